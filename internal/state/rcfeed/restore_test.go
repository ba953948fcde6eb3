package rcfeed

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/radishcrank/radishcrank/internal/state/rcera"
)

// restorableSource simulates a store that comes back from an older copy. Its
// methods may be called while a follower waits for changes.
type restorableSource struct {
	mu      sync.Mutex
	era     uint64
	version uint64
	rows    map[string]Row
	reads   int
	cut     bool // The store cannot be reached.
	changed chan struct{}
}

func newRestorableSource() *restorableSource {
	return &restorableSource{era: 1, rows: map[string]Row{}, changed: make(chan struct{})}
}

func (s *restorableSource) update(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *restorableSource) putLocked(key string) {
	s.version++
	s.rows[key] = Row{Key: key, Value: []byte(key), Version: s.version}
}

// restoreLocked brings back a copy of the given version.
func (s *restorableSource) restoreLocked(version uint64) {
	s.era++
	s.version = version
	for key, row := range s.rows {
		if row.Version > version {
			delete(s.rows, key)
		}
	}
}

func (s *restorableSource) responseLocked(after uint64) (resp Response) {
	resp = Response{Version: s.version, At: time.Now(), Era: s.era}
	for _, row := range s.rows {
		if row.Version > after {
			resp.Rows = append(resp.Rows, row)
		}
	}
	return resp
}

func (s *restorableSource) Read(context.Context, string) (Response, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cut {
		return Response{}, context.DeadlineExceeded
	}
	s.reads++
	return s.responseLocked(0), nil
}

func (s *restorableSource) Changes(ctx context.Context, _ string, after uint64, wait, _ time.Duration) (Response, error) {
	timeout := time.After(wait)
	for {
		s.mu.Lock()
		resp, changed, gone, cut := s.responseLocked(after), s.changed, after > s.version, s.cut
		s.mu.Unlock()
		switch {
		case cut:
			return Response{}, context.DeadlineExceeded
		case gone:
			return Response{}, ErrHistoryGone
		case len(resp.Rows) > 0:
			return resp, nil
		}
		select {
		case <-changed:
		case <-timeout:
			return resp, nil
		case <-ctx.Done():
			return Response{}, ctx.Err()
		}
	}
}

// tableView is what a follower has passed on.
type tableView struct {
	mu       sync.Mutex
	rows     map[string]bool
	since    map[string]Provenance
	restored int
}

func (v *tableView) config(source Source) Config {
	v.rows, v.since = map[string]bool{}, map[string]Provenance{}
	set := func(row Row, p Provenance) {
		if _, seen := v.since[row.Key]; !seen {
			v.since[row.Key] = p
		}
		v.rows[row.Key] = true
	}
	return Config{
		Source: source, Table: "t", Log: zerolog.Nop(),
		OnReset: func(rows []Row, p Provenance) {
			v.mu.Lock()
			defer v.mu.Unlock()
			clear(v.rows)
			if p.Restored {
				v.restored++
			}
			for _, row := range rows {
				set(row, p)
			}
		},
		OnChange: func(row Row, p Provenance) {
			v.mu.Lock()
			defer v.mu.Unlock()
			set(row, p)
		},
	}
}

// has reports whether exactly these rows are known.
func (v *tableView) has(keys ...string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	ok := len(v.rows) == len(keys)
	for _, key := range keys {
		ok = ok && v.rows[key]
	}
	return ok
}

func (v *tableView) provenance(key string) Provenance {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.since[key]
}

func (v *tableView) restores() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.restored
}

// run runs f until the end of the test.
func run(t *testing.T, f *Follower) (stop func()) {
	ctx, cancel := context.WithCancel(t.Context())
	go f.Run(ctx)
	return func() {
		cancel()
		synctest.Wait()
	}
}

// TestRowsAfterRestoreAreNotMissed guards against rows that got versions below the
// known one after the store came back from an older copy, and against rows that stay
// known although the copy lacks them.
func TestRowsAfterRestoreAreNotMissed(t *testing.T) {
	for name, restore := range map[string]func(s *restorableSource){
		"versions are still behind": func(s *restorableSource) {
			s.restoreLocked(1)
			s.putLocked("d")
		},
		"versions have caught up": func(s *restorableSource) {
			s.restoreLocked(1)
			for _, key := range []string{"d", "x1", "x2"} {
				s.putLocked(key)
			}
			delete(s.rows, "x1")
			delete(s.rows, "x2")
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newRestorableSource()
				for _, key := range []string{"a", "b", "c"} {
					s.putLocked(key)
				}
				var v tableView
				defer run(t, New(v.config(s)))()
				time.Sleep(time.Second)
				require.True(t, v.has("a", "b", "c"))
				s.update(func() { restore(s) })
				time.Sleep(pollWait + pollMargin)
				require.True(t, v.has("a", "d"))
				require.Equal(t, 1, v.restores())
				s.update(func() { s.putLocked("e") })
				time.Sleep(time.Second)
				require.True(t, v.has("a", "d", "e"))
				require.LessOrEqual(t, s.reads, 2, "whole tables are read once per restore")
			})
		})
	}
}

// TestAnyAnswerShowsRestore guards against a follower that waits for changes of a
// version of an earlier era although another answer has shown a newer one.
func TestAnyAnswerShowsRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newRestorableSource()
		s.putLocked("a")
		var v tableView
		cfg := v.config(s)
		cfg.DelayTolerant, cfg.Eras = true, &rcera.Tracker{}
		defer run(t, New(cfg))()
		time.Sleep(time.Second)
		s.mu.Lock() // Nothing wakes the waiting call, as on a connection that went silent.
		s.restoreLocked(0)
		s.putLocked("b")
		s.mu.Unlock()
		cfg.Eras.Observe(2)
		time.Sleep(100 * time.Millisecond)
		require.True(t, v.has("b"))
	})
}

// TestRewrittenRowsCountFromBeforeRestore guards against a row that was written again
// after a restore and counts as new, so that deadlines which it sets start anew.
func TestRewrittenRowsCountFromBeforeRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newRestorableSource()
		s.putLocked("a")
		var v tableView
		defer run(t, New(v.config(s)))()
		time.Sleep(10 * time.Second)
		lostAt := time.Now()
		// The row is acknowledged and lost before any follower has heard of it.
		s.update(func() {
			s.restoreLocked(1)
			s.putLocked("other")
		})
		time.Sleep(time.Second)
		s.update(func() { s.putLocked("rewritten") })
		time.Sleep(5 * time.Second)
		written := time.Now()
		s.update(func() { s.putLocked("new") })
		time.Sleep(time.Second)
		rewritten, changed := v.provenance("rewritten"), v.provenance("new")
		require.False(t, rewritten.Since.After(lostAt))
		require.False(t, rewritten.Awaited)
		require.True(t, changed.Since.Equal(written))
		require.True(t, changed.Awaited)
	})
}

// TestRelayTellsRestore guards against instances that all read the store when it
// comes back from an older copy, against one that cannot reach it and learns nothing
// from its relay any more, and against a late batch of the earlier era.
func TestRelayTellsRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newRestorableSource()
		for n := range 5 {
			s.putLocked(fmt.Sprint("r", n))
		}
		var relayView, view tableView
		var follower *Follower
		var mu sync.Mutex
		var batches []Batch
		relayCfg := relayView.config(s)
		relayCfg.IsRelay = func() bool { return true }
		relayCfg.Publish = func(b Batch) {
			mu.Lock()
			batches = append(batches, b)
			mu.Unlock()
			follower.Offer(b)
		}
		own := newRestorableSource() // The store as the follower sees it, which is cut later.
		own.rows, own.version = maps.Clone(s.rows), s.version
		cfg := view.config(own)
		cfg.IsRelay = func() bool { return false }
		follower = New(cfg)
		defer run(t, New(relayCfg))()
		defer run(t, follower)()
		time.Sleep(10 * time.Second)
		require.True(t, view.has("r0", "r1", "r2", "r3", "r4"))
		s.update(func() { s.putLocked("lost") })
		time.Sleep(time.Second)
		require.True(t, view.has("r0", "r1", "r2", "r3", "r4", "lost"))
		mu.Lock()
		late := batches[slices.IndexFunc(batches, func(b Batch) bool { return len(b.Rows) > 0 })]
		mu.Unlock()
		own.update(func() { own.cut = true })
		reads := own.reads
		s.update(func() {
			s.restoreLocked(1)
			for _, key := range []string{"d", "e", "f", "g"} {
				s.putLocked(key) // Up to the version after which the late batch begins.
			}
		})
		time.Sleep(2 * time.Second)
		require.True(t, view.has("r0", "d", "e", "f", "g"))
		require.Equal(t, 1, view.restores())
		require.Equal(t, reads, own.reads)
		follower.Offer(late)
		s.update(func() { s.putLocked("h") })
		time.Sleep(2 * time.Second)
		require.True(t, view.has("r0", "d", "e", "f", "g", "h"))
	})
}
