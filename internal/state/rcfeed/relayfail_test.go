package rcfeed

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/radishcrank/radishcrank/internal/state/rcera"
)

// cuttableSource is one instance's view of a store. While it is cut, calls get no answer.
type cuttableSource struct {
	*restorableSource
	cut   atomic.Bool
	calls atomic.Int32
}

func (s *cuttableSource) Changes(ctx context.Context, table string, after uint64, wait, margin time.Duration) (Response, error) {
	s.calls.Add(1)
	ctx, cancel := context.WithTimeout(ctx, wait+margin)
	defer cancel()
	if s.cut.Load() {
		<-ctx.Done()
		return Response{}, ctx.Err()
	}
	resp, err := s.restorableSource.Changes(ctx, table, after, wait, margin)
	if s.cut.Load() {
		<-ctx.Done()
		return Response{}, ctx.Err()
	}
	return resp, err
}

// relayChain is the relay that reads the store, the relay of another zone, and an instance of
// that zone. Messages between them take messageTime.
type relayChain struct {
	store   *restorableSource
	sources [3]*cuttableSource
	views   [3]tableView
	stops   [3]func()
	silent  [3]atomic.Bool // The messages of this instance are lost.
}

const messageTime = 150 * time.Millisecond

func startRelayChain(t *testing.T) *relayChain {
	c := &relayChain{store: newRestorableSource()}
	c.store.putLocked("first")
	var followers [3]*Follower
	for n := range followers {
		c.sources[n] = &cuttableSource{restorableSource: c.store}
		cfg := c.views[n].config(c.sources[n])
		cfg.Eras = &rcera.Tracker{}
		cfg.IsRelay = func() bool { return n < 2 }
		cfg.ReliesOnRelay = func() bool { return n > 0 }
		cfg.Publish = func(b Batch) {
			if n == 0 && b.Forwarded || c.silent[n].Load() {
				return
			}
			time.AfterFunc(messageTime, func() { followers[n+1].Offer(b) })
		}
		followers[n] = New(cfg)
	}
	for n := range followers {
		c.stops[n] = sync.OnceFunc(run(t, followers[n]))
	}
	return c
}

func (c *relayChain) stop() {
	for _, stop := range c.stops {
		stop()
	}
}

// TestChangesPassFailedRelays guards against changes that arrive late because a relay has
// stopped, sends nothing or has lost the store. The delays hold whenever it fails between
// two of its calls: 1 s without a failure and, with one, the 3 s for configurations and
// draining upstreams.
func TestChangesPassFailedRelays(t *testing.T) {
	for name, f := range map[string]struct {
		fail func(c *relayChain)
		late time.Duration
	}{
		"none":           {func(*relayChain) {}, time.Second},
		"reader stopped": {func(c *relayChain) { c.stops[0]() }, 3 * time.Second},
		"reader silent":  {func(c *relayChain) { c.silent[0].Store(true) }, 3 * time.Second},
		"reader cut off": {func(c *relayChain) { c.sources[0].cut.Store(true) }, 3 * time.Second},
		"relay stopped":  {func(c *relayChain) { c.stops[1]() }, 3 * time.Second},
		"relay silent":   {func(c *relayChain) { c.silent[1].Store(true) }, 3 * time.Second},
		"relays cut off": {func(c *relayChain) { c.sources[0].cut.Store(true); c.sources[1].cut.Store(true) }, 3 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			for at := time.Duration(0); at < relayPollWait; at += 100 * time.Millisecond {
				synctest.Test(t, func(t *testing.T) {
					c := startRelayChain(t)
					defer c.stop()
					time.Sleep(10*time.Second + at)
					f.fail(c)
					for n := range 4 {
						key := fmt.Sprint("changed ", n)
						c.store.update(func() { c.store.putLocked(key) })
						written := time.Now()
						for c.views[2].provenance(key) == (Provenance{}) {
							require.Less(t, time.Since(written), f.late, "%s, %s after a call", key, at)
							time.Sleep(10 * time.Millisecond)
						}
						time.Sleep(700 * time.Millisecond)
					}
				})
			}
		})
	}
}

// TestCalmInstancesMakeNoCalls guards against instances that read the store although their
// relay tells them, and against a relay that does although another one tells it.
func TestCalmInstancesMakeNoCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := startRelayChain(t)
		defer c.stop()
		time.Sleep(time.Minute)
		require.InDelta(t, time.Minute/relayPollWait, int(c.sources[0].calls.Load()), 3)
		require.Zero(t, c.sources[1].calls.Load())
		require.Zero(t, c.sources[2].calls.Load())
	})
}

// TestContactAfterOutage guards against instances that notice later than 3 s after an outage
// that the store is back, whenever it begins and however long it lasts.
func TestContactAfterOutage(t *testing.T) {
	for outage := 500 * time.Millisecond; outage < 6*time.Second; outage += 700 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			c := startRelayChain(t)
			defer c.stop()
			time.Sleep(10*time.Second + outage/3)
			for _, s := range c.sources {
				s.cut.Store(true)
			}
			time.Sleep(outage)
			for _, s := range c.sources {
				s.cut.Store(false)
			}
			c.store.update(func() { c.store.putLocked("after") })
			time.Sleep(3 * time.Second)
			for n := range c.views {
				require.True(t, c.views[n].has("first", "after"), "instance %d after %s", n, outage)
			}
		})
	}
}

// TestFewCallsDuringOutage guards against a whole fleet that calls a store which rejects calls
// as often as its relays do, and again when the store is back.
func TestFewCallsDuringOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := startRelayChain(t)
		defer c.stop()
		time.Sleep(10 * time.Second)
		c.store.update(func() { c.store.cut = true })
		time.Sleep(12 * time.Second)
		c.store.update(func() { c.store.cut = false })
		time.Sleep(3 * time.Second)
		require.LessOrEqual(t, c.sources[2].calls.Load(), int32(12))
		before := c.sources[2].calls.Load()
		time.Sleep(10 * time.Second)
		require.Equal(t, before, c.sources[2].calls.Load())
	})
}

// TestMissedBatchNeedsNoCall guards against a call to the store for each lost message, and
// against rows of a missed batch that count as changed later than they were.
func TestMissedBatchNeedsNoCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := startRelayChain(t)
		defer c.stop()
		time.Sleep(10 * time.Second)
		c.silent[1].Store(true)
		c.store.update(func() { c.store.putLocked("missed") })
		written := time.Now()
		time.Sleep(300 * time.Millisecond)
		c.silent[1].Store(false)
		time.Sleep(time.Second)
		require.True(t, c.views[2].has("first", "missed"))
		require.Zero(t, c.sources[2].calls.Load())
		require.False(t, c.views[2].provenance("missed").Since.After(written))
	})
}
