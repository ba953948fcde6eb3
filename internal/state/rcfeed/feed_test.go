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

// copyOf follows a table and keeps its rows.
type copyOf struct {
	mu      sync.Mutex
	rows    map[string]string
	reached []bool
}

// follow follows the table "t". Batches of a relay may be offered before it begins.
func follow(t *testing.T, cfg rcfeed.Config, first ...rcfeed.Batch) (*copyOf, *rcfeed.Follower) {
	t.Helper()
	c := &copyOf{rows: map[string]string{}}
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

func (c *copyOf) has(key, value string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rows[key] == value
}

func (c *copyOf) await(t *testing.T, within time.Duration, key, value string) {
	t.Helper()
	require.Eventually(t, func() bool { return c.has(key, value) }, within, 5*time.Millisecond)
}

// TestFeedSurvivesLostHistory guards against changes that are missed because the
// store forgot them.
func TestFeedSurvivesLostHistory(t *testing.T) {
	fake, store := fakeStore(t)
	fake.Put("t", "a", 1)
	c, _ := follow(t, rcfeed.Config{Source: store})
	c.await(t, time.Second, "a", "1")
	fake.Put("t", "b", 2)
	c.await(t, time.Second, "b", "2")
	fake.SetFault(rcfakestore.Busy)
	fake.Put("t", "a", 3)
	fake.Drop("t", "b")
	fake.Forget()
	fake.SetFault(rcfakestore.None)
	c.await(t, 2*time.Second, "a", "3")
	c.await(t, time.Second, "b", "")
}

// TestFeedReturnsAfterSilence guards against a call that hangs on a store which
// fell silent: a change after the store's return must be seen within 3 s
// (CONFIG on Sofia trouble-3: 5.7 s).
func TestFeedReturnsAfterSilence(t *testing.T) {
	fake, store := fakeStore(t)
	fake.Put("t", "a", 1)
	c, _ := follow(t, rcfeed.Config{Source: store})
	c.await(t, time.Second, "a", "1")
	fake.SetFault(rcfakestore.Silent)
	begun := time.Now()
	fake.PutBytes("t", "a", []byte("2"))
	<-time.After(100 * time.Millisecond)
	fake.SetFault(rcfakestore.None)
	c.await(t, 3*time.Second-time.Since(begun), "a", "2")
}

// TestRelayedBatches guards against an instance that reads the store though its
// relay does, that applies batches with a gap, and that goes on without news
// after its relay has stopped.
func TestRelayedBatches(t *testing.T) {
	fake, store := fakeStore(t)
	fake.Put("t", "a", 1) // Version 1.
	c, f := follow(t, rcfeed.Config{Source: store, IsRelay: func() bool { return false }}, rcfeed.Batch{Table: "t", After: 0, Version: 1})
	c.await(t, time.Second, "a", "1")
	before := fake.Calls()
	f.Offer(rcfeed.Batch{Table: "t", After: 1, Version: 5, Rows: []rcfeed.Row{{Key: "b", Value: []byte("5"), Version: 5}}})
	const feedWait = 2 * time.Second           // Of a call that the store holds open.
	c.await(t, feedWait+time.Second, "b", "5") // The first call to the store may be under way.
	require.LessOrEqual(t, fake.Calls()-before, 1)
	f.Offer(rcfeed.Batch{Table: "t", After: 7, Version: 9, Rows: []rcfeed.Row{{Key: "c", Value: []byte("9"), Version: 9}}})
	fake.Put("t", "d", 4)
	require.Never(t, func() bool { return c.has("c", "9") }, 100*time.Millisecond, 10*time.Millisecond)
}

// sightsOf follows the table "t" and returns what is learned of each row.
func sightsOf(t *testing.T, cfg rcfeed.Config) (f *rcfeed.Follower, sight func(key string) (rcfeed.Provenance, bool)) {
	t.Helper()
	var mu sync.Mutex
	sights := map[string]rcfeed.Provenance{}
	cfg.Table, cfg.Log = "t", zerolog.Nop()
	cfg.OnChange = func(row rcfeed.Row, s rcfeed.Provenance) {
		mu.Lock()
		defer mu.Unlock()
		sights[row.Key] = s
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
		s, ok = sights[key]
		return s, ok
	}
}

// TestSinceWhenNewsCounts guards against news that counts from when a process
// read it, though it started or was without the store while the news was made.
func TestSinceWhenNewsCounts(t *testing.T) {
	fake, store := fakeStore(t)
	fake.Put("t", "old", 1)
	_, sight := sightsOf(t, rcfeed.Config{Source: store})
	since := func(key string) time.Time {
		require.Eventually(t, func() bool { _, ok := sight(key); return ok }, 4*time.Second, time.Millisecond)
		s, _ := sight(key)
		return s.Since
	}
	require.True(t, since("old").IsZero(), "a row that a process starts with may be of any age")
	<-time.After(100 * time.Millisecond)
	made := fake.Now()
	fake.Put("t", "awaited", 2)
	require.WithinDuration(t, made, since("awaited"), 50*time.Millisecond)
	<-time.After(100 * time.Millisecond)
	fake.SetFault(rcfakestore.Busy)
	<-time.After(300 * time.Millisecond)
	away := fake.Now()
	fake.Put("t", "missed", 3)
	<-time.After(300 * time.Millisecond)
	fake.SetFault(rcfakestore.None)
	require.False(t, since("missed").After(away), "a row may be as old as the last answer before an outage")
}

// TestSinceAfterARelayStopped guards against news that counts from when an
// instance turned from its silent relay to the store.
func TestSinceAfterARelayStopped(t *testing.T) {
	fake, store := fakeStore(t)
	f, sight := sightsOf(t, rcfeed.Config{Source: store, IsRelay: func() bool { return false }})
	<-time.After(100 * time.Millisecond)
	heard := fake.Now()
	f.Offer(rcfeed.Batch{Table: "t", After: 0, Version: 0, At: heard.UnixMilli(), Since: heard.UnixMilli()})
	<-time.After(2100 * time.Millisecond) // The first call to the store has ended, and the batch been taken.
	fake.Put("t", "missed", 1)
	require.Eventually(t, func() bool { _, ok := sight("missed"); return ok }, 4*time.Second, time.Millisecond)
	s, _ := sight("missed")
	require.False(t, s.Relayed)
	require.False(t, s.Since.After(heard.Add(time.Millisecond)), "%s after the relay's last batch", s.Since.Sub(heard))
}
