// Package rcfaketable is a small in-memory stand-in of the platform's
// transactional table service, with switches for its failures.
package rcfaketable

import (
	"context"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/state/rcwait"
)

// Faults are the failure switches of a Table.
type Faults struct {
	Down          bool          // Every call fails with ErrUnavailable and writes nothing.
	LoseResponses int           // So many next commits take effect but return ErrUnknownOutcome.
	DropCommits   int           // So many next commits return ErrUnknownOutcome and write nothing.
	Delay         time.Duration // Each call takes this long.
}

// Counts are the calls that a Table has served.
type Counts struct {
	Commits int
	Reads   int
}

// Table implements radishcrank.TableService.
type Table struct {
	mu     sync.Mutex
	rows   map[string]radishcrank.Row
	faults Faults
	counts Counts
}

// New returns an empty table.
func New() *Table { return &Table{rows: make(map[string]radishcrank.Row)} }

// SetFaults replaces the failure switches.
func (t *Table) SetFaults(f Faults) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = f
}

// Counts returns how many calls were served.
func (t *Table) Counts() Counts {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.counts
}

// Commit implements radishcrank.TableService.
func (t *Table) Commit(ctx context.Context, tx radishcrank.Transaction) error {
	if err := t.wait(ctx); err != nil {
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
	if err := t.wait(ctx); err != nil {
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
	if err := t.wait(ctx); err != nil {
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

// wait takes the configured delay and fails while the table is down.
func (t *Table) wait(ctx context.Context) error {
	t.mu.Lock()
	faults := t.faults
	t.mu.Unlock()
	if !rcwait.Sleep(ctx, faults.Delay) || faults.Down {
		return radishcrank.ErrUnavailable
	}
	return nil
}
