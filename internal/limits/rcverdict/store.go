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

// Store implements rcpoison.VerdictStore. An existing row with the same verdict counts as
// success; otherwise the records are merged, since a conviction may have been lifted.
func (s *Store) Store(ctx context.Context, r rcpoison.Record) (err error) {
	defer func() {
		if err != nil {
			err = trace.Wrap(err, "verdict %s", r.Key)
		}
	}()
	key := prefix + string(r.Key)
	if err = s.write(ctx, key, 0, r); !errors.Is(err, radishcrank.ErrConflict) {
		return err
	}
	rows, err := s.cfg.Table.Get(ctx, key)
	if err != nil || len(rows) == 0 || rows[0].Version == 0 {
		return err
	}
	var stored rcpoison.Record
	if err := msgpack.Unmarshal(rows[0].Value, &stored); err != nil {
		return err
	}
	verdict := stored.Verdict
	if stored.Merge(r); stored.Verdict == verdict {
		return nil
	}
	if err = s.write(ctx, key, rows[0].Version, stored); errors.Is(err, radishcrank.ErrConflict) {
		return nil // Another instance has just stored its own.
	}
	return err
}

func (s *Store) write(ctx context.Context, key string, version uint64, r rcpoison.Record) error {
	data, err := msgpack.Marshal(r)
	if err != nil {
		return err
	}
	return s.cfg.Table.Commit(ctx, radishcrank.Transaction{
		Checks: []radishcrank.Check{{Key: key, Version: version}},
		Writes: []radishcrank.Write{{Key: key, Value: data}},
	})
}
