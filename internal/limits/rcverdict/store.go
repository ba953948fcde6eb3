// Package rcverdict keeps the verdicts on contents that crash engines in the
// table service, so that they outlive all instances.
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
	maxRows  = 4096 // As many as a tracker keeps.
)

// Config holds the parts that a Store works with.
type Config struct {
	Table radishcrank.TableService
	// Interval is the least time between two reads of all verdicts. Instances
	// learn new ones from each other; the table is for those that restart.
	Interval time.Duration
}

// Store implements rcpoison.Verdicts.
type Store struct {
	cfg    Config
	loaded time.Time
}

// New returns a Store.
func New(cfg Config) *Store { return &Store{cfg: cfg} }

// Load implements rcpoison.Verdicts. Within the interval it returns nothing.
func (s *Store) Load(ctx context.Context) (records []rcpoison.Record, err error) {
	defer func() {
		if err != nil {
			err = trace.Wrap(err, "verdicts")
		}
	}()
	if !s.loaded.IsZero() && time.Since(s.loaded) < s.cfg.Interval {
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
	s.loaded = time.Now()
	return records, nil
}

// Store implements rcpoison.Verdicts. A verdict never changes, so a row that is
// already there is as good as one's own.
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
