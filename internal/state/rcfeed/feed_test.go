package rcfeed_test

import (
	"context"
	"net/http/httptest"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/radishcrank/radishcrank/internal/standin/rcfakestore"
	"github.com/radishcrank/radishcrank/internal/state/rcfeed"
	"github.com/radishcrank/radishcrank/platform"
)

func fakeStore(t *testing.T) (*rcfakestore.Store, *platform.Store) {
	t.Helper()
	fake := rcfakestore.New()
	server := httptest.NewServer(fake)
	t.Cleanup(server.Close)
	t.Cleanup(func() { fake.SetFault(rcfakestore.None) })
	return fake, platform.NewStore(platform.StoreConfig{Addr: netip.MustParseAddrPort(server.Listener.Addr().String())})
}

// tableCopy follows a table and keeps its rows.
type tableCopy struct {
	mu      sync.Mutex
	rows    map[string]string
	reached []bool
}

// follow follows the table "t". Batches from a relay may be offered before it
// starts.
func follow(t *testing.T, cfg rcfeed.Config, first ...rcfeed.Batch) (*tableCopy, *rcfeed.Follower) {
	t.Helper()
	c := &tableCopy{rows: map[string]string{}}
	set := func(row rcfeed.Row) {
		if row.Removed {
			delete(c.rows, row.Key)
		} else {
			c.rows[row.Key] = string(row.Value)
		}
	}
	cfg.Table, cfg.Log = "t", zerolog.Nop()
	cfg.OnReset = func(rows []rcfeed.Row, _ rcfeed.Provenance) {
		c.mu.Lock()
		defer c.mu.Unlock()
		clear(c.rows)
		for _, row := range rows {
			set(row)
		}
	}
	cfg.OnChange = func(row rcfeed.Row, _ rcfeed.Provenance) {
		c.mu.Lock()
		defer c.mu.Unlock()
		set(row)
	}
	cfg.OnReachability = func(ok bool) {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.reached = append(c.reached, ok)
	}
	f := rcfeed.New(cfg)
	for _, b := range first {
		f.Offer(b)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return c, f
}

func (c *tableCopy) has(key, value string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rows[key] == value
}

func (c *tableCopy) await(t *testing.T, within time.Duration, key, value string) {
	t.Helper()
	require.Eventually(t, func() bool { return c.has(key, value) }, within, 5*time.Millisecond)
}

// TestFollowerSurvivesLostHistory guards against changes that are missed
// because the store has discarded them.
func TestFollowerSurvivesLostHistory(t *testing.T) {
	fake, store := fakeStore(t)
	fake.Put("t", "a", 1)
	c, _ := follow(t, rcfeed.Config{Source: store})
	c.await(t, time.Second, "a", "1")
	fake.Put("t", "b", 2)
	c.await(t, time.Second, "b", "2")
	fake.SetFault(rcfakestore.Unavailable)
	fake.Put("t", "a", 3)
	fake.Delete("t", "b")
	fake.DiscardHistory()
	fake.SetFault(rcfakestore.None)
	c.await(t, 2*time.Second, "a", "3")
	c.await(t, time.Second, "b", "")
}

// TestFollowerRecoversAfterSilence guards against a call that hangs on a store
// that stopped responding: a change after the recovery of the store must be
// observed within 3 s (measured by CONFIG on Sofia trouble-3: 5.7 s).
func TestFollowerRecoversAfterSilence(t *testing.T) {
	fake, store := fakeStore(t)
	fake.Put("t", "a", 1)
	c, _ := follow(t, rcfeed.Config{Source: store})
	c.await(t, time.Second, "a", "1")
	fake.SetFault(rcfakestore.Unresponsive)
	begun := time.Now()
	fake.PutBytes("t", "a", []byte("2"))
	<-time.After(100 * time.Millisecond)
	fake.SetFault(rcfakestore.None)
	c.await(t, 3*time.Second-time.Since(begun), "a", "2")
}

// TestRelayedBatches guards against an instance that reads the store although
// its relay does, that applies batches with a gap, or that gets no changes
// after its relay has stopped.
func TestRelayedBatches(t *testing.T) {
	fake, store := fakeStore(t)
	fake.Put("t", "a", 1) // Version 1.
	c, f := follow(t, rcfeed.Config{Source: store, IsRelay: func() bool { return false }}, rcfeed.Batch{Table: "t", After: 0, Version: 1})
	c.await(t, time.Second, "a", "1")
	before := fake.Calls()
	f.Offer(rcfeed.Batch{Table: "t", After: 1, Version: 5, Rows: []rcfeed.Row{{Key: "b", Value: []byte("5"), Version: 5}}})
	const pollWait = 2 * time.Second           // Of a call that the store holds open.
	c.await(t, pollWait+time.Second, "b", "5") // The first call to the store may be in progress.
	require.LessOrEqual(t, fake.Calls()-before, 1)
	f.Offer(rcfeed.Batch{Table: "t", After: 7, Version: 9, Rows: []rcfeed.Row{{Key: "c", Value: []byte("9"), Version: 9}}})
	fake.Put("t", "d", 4)
	require.Never(t, func() bool { return c.has("c", "9") }, 100*time.Millisecond, 10*time.Millisecond)
}

// provenancesOf follows the table "t" and returns the provenance of each row.
func provenancesOf(t *testing.T, cfg rcfeed.Config) (f *rcfeed.Follower, provenance func(key string) (rcfeed.Provenance, bool)) {
	t.Helper()
	var mu sync.Mutex
	provenances := map[string]rcfeed.Provenance{}
	cfg.Table, cfg.Log = "t", zerolog.Nop()
	cfg.OnChange = func(row rcfeed.Row, s rcfeed.Provenance) {
		mu.Lock()
		defer mu.Unlock()
		provenances[row.Key] = s
	}
	cfg.OnReset = func(rows []rcfeed.Row, s rcfeed.Provenance) {
		for _, row := range rows {
			cfg.OnChange(row, s)
		}
	}
	f = rcfeed.New(cfg)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return f, func(key string) (s rcfeed.Provenance, ok bool) {
		mu.Lock()
		defer mu.Unlock()
		s, ok = provenances[key]
		return s, ok
	}
}

// TestSinceOfMissedChanges guards against changes that count from the time when
// a process read them, although it started or could not reach the store when
// they were made.
func TestSinceOfMissedChanges(t *testing.T) {
	fake, store := fakeStore(t)
	fake.Put("t", "old", 1)
	_, provenance := provenancesOf(t, rcfeed.Config{Source: store})
	since := func(key string) time.Time {
		require.Eventually(t, func() bool { _, ok := provenance(key); return ok }, 4*time.Second, time.Millisecond)
		s, _ := provenance(key)
		return s.Since
	}
	require.True(t, since("old").IsZero(), "a row that is read at the start of a process may be of any age")
	<-time.After(100 * time.Millisecond)
	changedAt := fake.Now()
	fake.Put("t", "awaited", 2)
	require.WithinDuration(t, changedAt, since("awaited"), 50*time.Millisecond)
	<-time.After(100 * time.Millisecond)
	fake.SetFault(rcfakestore.Unavailable)
	<-time.After(300 * time.Millisecond)
	outageAt := fake.Now()
	fake.Put("t", "missed", 3)
	<-time.After(300 * time.Millisecond)
	fake.SetFault(rcfakestore.None)
	require.False(t, since("missed").After(outageAt), "a row may be as old as the last response before an outage")
}

// TestSinceAfterRelayStopped guards against changes that count from the time
// when an instance switched from its unresponsive relay to the store.
func TestSinceAfterRelayStopped(t *testing.T) {
	fake, store := fakeStore(t)
	f, provenance := provenancesOf(t, rcfeed.Config{Source: store, IsRelay: func() bool { return false }})
	<-time.After(100 * time.Millisecond)
	relayedAt := fake.Now()
	f.Offer(rcfeed.Batch{Table: "t", After: 0, Version: 0, At: relayedAt.UnixMilli(), Since: relayedAt.UnixMilli()})
	<-time.After(2100 * time.Millisecond) // The first call to the store has ended, and the batch has been applied.
	fake.Put("t", "missed", 1)
	require.Eventually(t, func() bool { _, ok := provenance("missed"); return ok }, 4*time.Second, time.Millisecond)
	s, _ := provenance("missed")
	require.False(t, s.Relayed)
	require.False(t, s.Since.After(relayedAt.Add(time.Millisecond)), "%s after the relay's last batch", s.Since.Sub(relayedAt))
}
