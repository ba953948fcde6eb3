// Package rcverdict stores the verdicts on request contents that crash engines in
// the table service, so that they survive restarts of all instances.
package rcverdict

import (
	"context"
	"errors"
	"time"

	"github.com/gravitational/trace"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/limits/rcpoison"
)

const (
	prefix   = "poison/"
	pageSize = 200
	maxRows  = 4096 // The number of records that an rcpoison.Tracker holds.
)

// Config configures a Store.
type Config struct {
	Table radishcrank.TableService
	// Interval is the minimum time between two reads of all verdicts. Running
	// instances receive new verdicts from their peers; the table serves instances
	// that restart.
	Interval time.Duration
}

// Store implements rcpoison.VerdictStore.
type Store struct {
	cfg      Config
	loadedAt time.Time
}

// New returns a Store.
func New(cfg Config) *Store { return &Store{cfg: cfg} }

// Load implements rcpoison.VerdictStore. It returns no records if the last
// successful read is less than Config.Interval ago.
func (s *Store) Load(ctx context.Context) (records []rcpoison.Record, err error) {
	defer func() {
		if err != nil {
			err = trace.Wrap(err, "verdicts")
		}
	}()
	if !s.loadedAt.IsZero() && time.Since(s.loadedAt) < s.cfg.Interval {
		return nil, nil
	}
	after := ""
	for len(records) < maxRows {
		rows, err := s.cfg.Table.Scan(ctx, prefix, after, pageSize)
		if err != nil {
			return nil, err
		}
		for _, row := range rows {
			var r rcpoison.Record
			if err := msgpack.Unmarshal(row.Value, &r); err != nil {
				return nil, err
			}
			records = append(records, r)
			after = row.Key
		}
		if len(rows) < pageSize {
			break
		}
	}
	s.loadedAt = time.Now()
	return records, nil
}

// Expire implements rcpoison.VerdictStore.
func (s *Store) Expire() { s.loadedAt = time.Time{} }

// Store implements rcpoison.VerdictStore. A stored verdict never changes, so an
// existing row counts as success.
func (s *Store) Store(ctx context.Context, r rcpoison.Record) (err error) {
	defer func() {
		if err != nil {
			err = trace.Wrap(err, "verdict %s", r.Key)
		}
	}()
	data, err := msgpack.Marshal(r)
	if err != nil {
		return err
	}
	key := prefix + string(r.Key)
	err = s.cfg.Table.Commit(ctx, radishcrank.Transaction{
		Checks: []radishcrank.Check{{Key: key}},
		Writes: []radishcrank.Write{{Key: key, Value: data}},
	})
	if errors.Is(err, radishcrank.ErrConflict) {
		return nil
	}
	return err
}
