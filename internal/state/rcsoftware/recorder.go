// Package rcsoftware records in the platform's store which software versions the upstreams
// of each service run, and since when. An instance that has just started, such as after a
// loss of power of the whole fleet, learns from it that a stream can only have begun at the
// one version that it finds, so that the stream may go on there.
package rcsoftware

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/rs/zerolog"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/state/rcwait"
)

const (
	// checkInterval is how often the recorder compares the record with the list. Streams that
	// begin at a new version are uncertain until it is recorded.
	checkInterval = 250 * time.Millisecond
	// settleTime is how long an instance must have been the one that records. While a fleet
	// starts, many take themselves for it until they know the others.
	settleTime = 2 * time.Second
	// retryDelay is the pause after a failed call.
	retryDelay = time.Second
	// rereadDelay is how long a record counts that does not say that a version is the only one.
	rereadDelay = time.Second
)

// Config holds the dependencies of a Recorder.
type Config struct {
	Table radishcrank.TableService // One row for each service.
	Now   func() time.Time         // Clock of the store; zero if it is unknown.
	// Era returns the newest known era of the store, which rises when it loses writes.
	Era func() uint64
	// Services returns the services whose streams may be taken up.
	Services func() []string
	// Versions returns the versions of a service's upstreams that were listed in the last
	// minute, and whether the list has been known for as long.
	Versions func(service string) (versions []radishcrank.SoftwareVersion, complete bool)
	// Records reports whether this instance writes the records. Several that do disagree only
	// on who writes first.
	Records func() bool
	Log     zerolog.Logger
}

// Recorder is safe for concurrent use.
type Recorder struct {
	cfg Config

	mu    sync.Mutex
	known map[string]record
}

// record is the value of the row of a service.
type record struct {
	Versions []radishcrank.SoftwareVersion // In order.
	SinceMS  int64                         // On the clock of the store.
	Era      uint64

	version uint64    // Of the row.
	readAt  time.Time // On the local clock.
}

// New returns a Recorder that knows no records.
func New(cfg Config) *Recorder { return &Recorder{cfg: cfg, known: map[string]record{}} }

// Run writes records while this instance is the one to do so, until ctx is done.
func (r *Recorder) Run(ctx context.Context) error {
	var since time.Time // When this instance became the one that records.
	for rcwait.Sleep(ctx, checkInterval) {
		switch {
		case !r.cfg.Records() || r.cfg.Now().IsZero():
			since = time.Time{}
			continue
		case since.IsZero():
			since = time.Now()
		}
		if time.Since(since) < settleTime {
			continue
		}
		for _, service := range r.cfg.Services() {
			if err := r.update(ctx, service); err != nil {
				r.cfg.Log.Warn().Str("Event", "SoftwareUnrecorded").Str("Service", service).Err(err).Send()
				rcwait.Sleep(ctx, retryDelay)
			}
		}
	}
	return ctx.Err()
}

// next returns the record that should follow one. ok is false if it holds.
func (rec record) next(versions []radishcrank.SoftwareVersion, complete bool, now time.Time, era uint64) (next record, ok bool) {
	if len(versions) == 0 || versions[0] == "" {
		return rec, false // Nothing is listed, or an upstream does not say what it runs.
	}
	if rec.version > 0 && rec.Era == era && !complete {
		// This instance may not have seen all that are recorded.
		versions = slices.Compact(slices.Sorted(slices.Values(slices.Concat(rec.Versions, versions))))
	}
	if rec.version > 0 && rec.Era == era && slices.Equal(rec.Versions, versions) {
		return rec, false
	}
	return record{Versions: versions, SinceMS: now.UnixMilli(), Era: era, version: rec.version}, true
}

// update compares the record of a service with the list, and writes it if it has changed.
func (r *Recorder) update(ctx context.Context, service string) (err error) {
	defer func() { err = trace.Wrap(err) }()
	rec, known := r.cached(service)
	versions, complete := r.cfg.Versions(service)
	if _, changed := rec.next(versions, complete, r.cfg.Now(), r.cfg.Era()); known && !changed {
		return nil
	}
	if rec, err = r.read(ctx, service); err != nil {
		return err
	}
	next, changed := rec.next(versions, complete, r.cfg.Now(), r.cfg.Era())
	if !changed {
		return nil
	}
	value, err := json.Marshal(next)
	if err != nil {
		return err
	}
	err = r.cfg.Table.Commit(ctx, radishcrank.Transaction{
		Checks: []radishcrank.Check{{Key: service, Version: rec.version}},
		Writes: []radishcrank.Write{{Key: service, Value: value}},
	})
	if errors.Is(err, radishcrank.ErrConflict) {
		return nil // Another instance has written. It is compared again in the next interval.
	}
	if err != nil {
		return err
	}
	r.cfg.Log.Info().Str("Event", "SoftwareRecorded").Str("Service", service).Int("Versions", len(versions)).Send()
	next.version++
	next.readAt = time.Now()
	r.store(service, next)
	return nil
}

// OnlyVersion reports whether the upstreams of a service have run only one version of their
// software for some time, by the record in the store.
func (r *Recorder) OnlyVersion(ctx context.Context, service string, version radishcrank.SoftwareVersion, within time.Duration) bool {
	rec, known := r.cached(service)
	if holds := r.holds(rec, version, within); holds || known && time.Since(rec.readAt) < rereadDelay {
		return holds
	}
	rec, err := r.read(ctx, service)
	return err == nil && r.holds(rec, version, within)
}

// holds reports whether a record says that a version has been the only one for some time.
func (r *Recorder) holds(rec record, version radishcrank.SoftwareVersion, within time.Duration) bool {
	now := r.cfg.Now()
	return rec.version > 0 && !now.IsZero() && rec.Era == r.cfg.Era() && len(rec.Versions) == 1 && rec.Versions[0] == version &&
		now.Sub(time.UnixMilli(rec.SinceMS)) >= within
}

func (r *Recorder) cached(service string) (rec record, known bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	rec, known = r.known[service]
	return rec, known
}

func (r *Recorder) store(service string, rec record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.known[service] = rec
}

// read reads the record of a service. One that cannot be parsed counts as one of an earlier
// era, so that it is written anew.
func (r *Recorder) read(ctx context.Context, service string) (rec record, err error) {
	rows, err := r.cfg.Table.Get(ctx, service)
	if err != nil {
		return rec, err
	}
	if rows[0].Version > 0 && json.Unmarshal(rows[0].Value, &rec) != nil {
		rec = record{}
	}
	rec.version, rec.readAt = rows[0].Version, time.Now()
	r.store(service, rec)
	return rec, nil
}
