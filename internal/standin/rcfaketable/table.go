// Package rcfaketable implements an in-memory fake of the platform's transactional
// table service, with fault injection.
package rcfaketable

import (
	"context"
	"maps"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/state/rcwait"
)

// Faults selects the faults that a Table injects.
type Faults struct {
	Down          bool          // Each call fails with ErrUnavailable and writes nothing.
	LoseResponses int           // Number of upcoming commits that take effect but return ErrUnknownOutcome.
	DropCommits   int           // Number of upcoming commits that return ErrUnknownOutcome and write nothing.
	Delay         time.Duration // Added latency of each call.
}

// Counts holds the numbers of operations that a Table has served.
type Counts struct {
	Commits int
	Reads   int // Keys that were read plus scans.
}

// Table is an in-memory table. It implements radishcrank.TableService.
type Table struct {
	mu     sync.Mutex
	rows   map[string]radishcrank.Row
	era    uint64
	faults Faults
	counts Counts
}

// New returns an empty table.
func New() *Table { return &Table{rows: make(map[string]radishcrank.Row), era: 1} }

// Copy returns a copy of all rows.
func (t *Table) Copy() map[string]radishcrank.Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	return maps.Clone(t.rows)
}

// Restore replaces all rows by an earlier copy and starts a new era.
func (t *Table) Restore(rows map[string]radishcrank.Row) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rows, t.era = maps.Clone(rows), t.era+1
}

// Era returns the number of the era, which starts at 1 and rises with each restore.
func (t *Table) Era() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.era
}

// SetFaults replaces the injected faults.
func (t *Table) SetFaults(f Faults) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = f
}

// Counts returns the numbers of operations served so far.
func (t *Table) Counts() Counts {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.counts
}

// Commit implements radishcrank.TableService.
func (t *Table) Commit(ctx context.Context, tx radishcrank.Transaction) error {
	if err := t.beginCall(ctx); err != nil {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts.Commits++
	if t.faults.DropCommits > 0 {
		t.faults.DropCommits--
		return radishcrank.ErrUnknownOutcome
	}
	for _, c := range tx.Checks {
		if t.rows[c.Key].Version != c.Version {
			return radishcrank.ErrConflict
		}
	}
	for _, w := range tx.Writes {
		if w.Delete {
			delete(t.rows, w.Key)
			continue
		}
		t.rows[w.Key] = radishcrank.Row{Key: w.Key, Value: slices.Clone(w.Value), Version: t.rows[w.Key].Version + 1}
	}
	if t.faults.LoseResponses > 0 {
		t.faults.LoseResponses--
		return radishcrank.ErrUnknownOutcome
	}
	return nil
}

// Get implements radishcrank.TableService.
func (t *Table) Get(ctx context.Context, keys ...string) ([]radishcrank.Row, error) {
	if err := t.beginCall(ctx); err != nil {
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts.Reads += len(keys)
	rows := make([]radishcrank.Row, 0, len(keys))
	for _, k := range keys {
		row := t.rows[k]
		row.Key = k
		rows = append(rows, row)
	}
	return rows, nil
}

// Scan implements radishcrank.TableService.
func (t *Table) Scan(ctx context.Context, prefix, after string, limit int) ([]radishcrank.Row, error) {
	if err := t.beginCall(ctx); err != nil {
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts.Reads++
	var rows []radishcrank.Row
	for k, row := range t.rows {
		if strings.HasPrefix(k, prefix) && k > after {
			rows = append(rows, row)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	return rows[:min(limit, len(rows))], nil
}

// beginCall waits for the injected delay. It returns ErrUnavailable if the table is
// down or ctx ends first.
func (t *Table) beginCall(ctx context.Context) error {
	t.mu.Lock()
	faults := t.faults
	t.mu.Unlock()
	if !rcwait.Sleep(ctx, faults.Delay) || faults.Down {
		return radishcrank.ErrUnavailable
	}
	return nil
}
