package rckvstore

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/state/rcwait"
)

// detectionTime is when a change must have been detected: after the call in
// progress, a pause and two failing calls.
const detectionTime = 2 * time.Second

// kvStore is a store that can crash, stop responding and recover.
type kvStore struct {
	mu    sync.Mutex
	state string // "", "refusing", "refusing once", "silent" or "busy".
	boot  uint64
	calls int
}

func (s *kvStore) set(state string, boot uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state, s.boot = state, boot
}

func (s *kvStore) callCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

func (s *kvStore) Await(ctx context.Context, _ netip.AddrPort, _ uint64, wait time.Duration) (radishcrank.KVSequence, error) {
	s.mu.Lock()
	state, boot := s.state, s.boot
	s.calls++
	if state == "refusing once" {
		s.state = ""
	}
	s.mu.Unlock()
	switch state {
	case "refusing", "refusing once":
		return radishcrank.KVSequence{}, errors.New("connection refused")
	case "busy":
		return radishcrank.KVSequence{}, radishcrank.ErrTooManyCalls
	case "silent":
		<-ctx.Done()
		return radishcrank.KVSequence{}, ctx.Err()
	}
	rcwait.Sleep(ctx, wait)
	return radishcrank.KVSequence{BootEpoch: boot}, ctx.Err()
}

func watch(t *testing.T, store *kvStore, check func(t *testing.T, w *Watcher, s Store, losses *int)) {
	synctest.Test(t, func(t *testing.T) {
		s := Store{ID: "store/kv", Addr: netip.MustParseAddrPort("10.0.0.1:80")}
		losses := 0
		w := New(Config{
			Events: store, Stores: func() []Store { return []Store{s} },
			OnDataLoss: func(radishcrank.UpstreamID) { losses++ }, Log: zerolog.Nop(),
		})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- w.Run(ctx) }()
		defer func() {
			cancel()
			require.NoError(t, <-done)
		}()
		time.Sleep(2 * time.Second)
		require.True(t, w.Up(s))
		check(t, w, s, &losses)
	})
}

// TestDeadStoreIsAvoided guards against engines that are directed to a store
// for as long as it has crashed or does not respond, and against a store that
// is never used again (load test kvstore-down: the median of Riga was 320 ms
// instead of 48 ms).
func TestDeadStoreIsAvoided(t *testing.T) {
	for _, state := range []string{"refusing", "silent"} {
		t.Run(state, func(t *testing.T) {
			store := &kvStore{boot: 1}
			watch(t, store, func(t *testing.T, w *Watcher, s Store, losses *int) {
				store.set(state, 1)
				time.Sleep(detectionTime)
				require.False(t, w.Up(s))
				time.Sleep(10 * time.Second)
				require.False(t, w.Up(s))
				store.set("", 2)
				time.Sleep(detectionTime)
				require.True(t, w.Up(s))
				require.Equal(t, 1, *losses, "a store that restarted empty has lost its data")
			})
		})
	}
}

// TestSingleFailureIsIgnored guards against a store that is avoided because it
// had closed a connection.
func TestSingleFailureIsIgnored(t *testing.T) {
	store := &kvStore{boot: 1}
	watch(t, store, func(t *testing.T, w *Watcher, s Store, losses *int) {
		for range 20 {
			store.set("refusing once", 1)
			for range 100 {
				time.Sleep(10 * time.Millisecond)
				require.True(t, w.Up(s))
			}
		}
		require.Zero(t, *losses)
	})
}

// TestBusyStoreGetsFewerCalls guards against dozens of instances that keep
// sending more calls to a store than it accepts, and consider it to be down.
func TestBusyStoreGetsFewerCalls(t *testing.T) {
	store := &kvStore{boot: 1}
	watch(t, store, func(t *testing.T, w *Watcher, s Store, _ *int) {
		store.set("busy", 1)
		time.Sleep(10 * time.Second)
		before := store.callCount()
		time.Sleep(10 * time.Second)
		require.LessOrEqual(t, store.callCount()-before, 3)
		require.True(t, w.Up(s))
	})
}

// limitedStore is a store that accepts a limited number of concurrent calls.
type limitedStore struct {
	mu                       sync.Mutex
	active, rejected, served int
}

const maxConcurrentCalls = 12

func (s *limitedStore) Await(ctx context.Context, _ netip.AddrPort, _ uint64, wait time.Duration) (seq radishcrank.KVSequence, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.active >= maxConcurrentCalls {
		s.rejected++
		return seq, radishcrank.ErrTooManyCalls
	}
	s.served++
	s.active++
	s.mu.Unlock()
	rcwait.Sleep(ctx, wait)
	s.mu.Lock()
	s.active--
	return radishcrank.KVSequence{BootEpoch: 1}, ctx.Err()
}

// TestLargeFleetTakesTurns guards against a fleet of 58 instances of which each
// calls again immediately after it was served, so that most calls are rejected.
func TestLargeFleetTakesTurns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &limitedStore{}
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		for i := range 58 {
			time.Sleep(time.Duration(i) * time.Millisecond)
			w := New(Config{
				Events: store, Stores: func() []Store { return []Store{{ID: "store/kv"}} },
				OnDataLoss: func(radishcrank.UpstreamID) {}, Log: zerolog.Nop(),
			})
			wg.Go(func() { w.Run(ctx) })
		}
		time.Sleep(time.Minute)
		cancel()
		wg.Wait()
		t.Logf("%d calls served, %d rejected", store.served, store.rejected)
		require.Less(t, store.rejected, store.served/3)
		require.Greater(t, store.served, 58*60/5, "instances call too rarely")
	})
}

// TestOnlyRelayCallsStores guards against hundreds of instances that each call every
// store, against a dead or restarted store that those do not hear of, and against
// instances that hear nothing after their relay has died.
func TestOnlyRelayCallsStores(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, s := &kvStore{boot: 1}, Store{ID: "store/kv", Addr: netip.MustParseAddrPort("10.0.0.1:80")}
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		losses := 0
		start := func(relies func() bool) *Watcher {
			w := New(Config{
				Events: store, Stores: func() []Store { return []Store{s} }, ReliesOnReports: relies,
				OnDataLoss: func(radishcrank.UpstreamID) { losses++ }, Log: zerolog.Nop(),
			})
			wg.Go(func() { w.Run(ctx) })
			return w
		}
		relay := start(nil)
		var others []*Watcher
		for range 59 {
			others = append(others, start(func() bool { return true }))
		}
		relayCtx, stopRelay := context.WithCancel(ctx)
		wg.Go(func() {
			for rcwait.Sleep(relayCtx, ReportInterval) {
				for _, w := range others {
					w.Offer(relay.Reports())
				}
			}
		})
		requireUp := func(up bool) {
			t.Helper()
			for _, w := range others {
				require.Equal(t, up, w.Up(s))
			}
		}
		time.Sleep(10 * time.Second)
		requireUp(true)
		require.LessOrEqual(t, store.callCount(), 20, "the relay calls twice a second")
		store.set("silent", 1)
		time.Sleep(detectionTime + ReportInterval)
		requireUp(false)
		store.set("", 2)
		time.Sleep(detectionTime + ReportInterval)
		requireUp(true)
		require.Equal(t, 60, losses)

		stopRelay()
		time.Sleep(reportMaxAge)
		store.set("refusing", 2)
		time.Sleep(detectionTime + reportMaxAge)
		requireUp(false)
		cancel()
		wg.Wait()
	})
}
