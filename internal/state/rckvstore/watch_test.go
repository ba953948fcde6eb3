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

// noticed is when a change must have been seen: after the call that was under way,
// a pause and two calls that fail.
const noticed = 2 * time.Second

// kvStore is a store that can crash, fall silent and come back.
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

func (s *kvStore) called() int {
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
	rcwait.For(ctx, wait)
	return radishcrank.KVSequence{BootEpoch: boot}, ctx.Err()
}

func watch(t *testing.T, store *kvStore, check func(t *testing.T, w *Watcher, s Store, emptied *int)) {
	synctest.Test(t, func(t *testing.T) {
		s := Store{ID: "store/kv", Addr: netip.MustParseAddrPort("10.0.0.1:80")}
		emptied := 0
		w := New(Config{
			Events: store, Stores: func() []Store { return []Store{s} },
			OnDataLoss: func(radishcrank.UpstreamID) { emptied++ }, Log: zerolog.Nop(),
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
		check(t, w, s, &emptied)
	})
}

// TestDeadStoreIsLeftAlone guards against engines that are sent to a store that
// crashed or fell silent for as long as it is away, and against one that is never
// used again (day kvstore-down: the median of Riga was 320 ms instead of 48).
func TestDeadStoreIsLeftAlone(t *testing.T) {
	for _, state := range []string{"refusing", "silent"} {
		t.Run(state, func(t *testing.T) {
			store := &kvStore{boot: 1}
			watch(t, store, func(t *testing.T, w *Watcher, s Store, emptied *int) {
				store.set(state, 1)
				time.Sleep(noticed)
				require.False(t, w.Up(s))
				time.Sleep(10 * time.Second)
				require.False(t, w.Up(s))
				store.set("", 2)
				time.Sleep(noticed)
				require.True(t, w.Up(s))
				require.Equal(t, 1, *emptied, "parts of the store that came back empty")
			})
		})
	}
}

// TestOneFailureIsNoProof guards against a store that is left alone because a
// connection to it had been closed.
func TestOneFailureIsNoProof(t *testing.T) {
	store := &kvStore{boot: 1}
	watch(t, store, func(t *testing.T, w *Watcher, s Store, emptied *int) {
		for range 20 {
			store.set("refusing once", 1)
			for range 100 {
				time.Sleep(10 * time.Millisecond)
				require.True(t, w.Up(s))
			}
		}
		require.Zero(t, *emptied)
	})
}

// TestBusyStoreIsAskedLess guards against dozens of instances that keep asking a
// store for more calls than it holds, and take it to be down.
func TestBusyStoreIsAskedLess(t *testing.T) {
	store := &kvStore{boot: 1}
	watch(t, store, func(t *testing.T, w *Watcher, s Store, _ *int) {
		store.set("busy", 1)
		time.Sleep(10 * time.Second)
		before := store.called()
		time.Sleep(10 * time.Second)
		require.LessOrEqual(t, store.called()-before, 3)
		require.True(t, w.Up(s))
	})
}

// limited is a store that holds a number of calls at once.
type limited struct {
	mu                   sync.Mutex
	held, turned, served int
}

const limitedCalls = 12

func (s *limited) Await(ctx context.Context, _ netip.AddrPort, _ uint64, wait time.Duration) (seq radishcrank.KVSequence, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.held >= limitedCalls {
		s.turned++
		return seq, radishcrank.ErrTooManyCalls
	}
	s.served++
	s.held++
	s.mu.Unlock()
	rcwait.For(ctx, wait)
	s.mu.Lock()
	s.held--
	return radishcrank.KVSequence{BootEpoch: 1}, ctx.Err()
}

// TestLargeFleetTakesTurns guards against a fleet of 58 instances of which each
// comes back at once when it was served, so that most calls are turned away.
func TestLargeFleetTakesTurns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &limited{}
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
		t.Logf("%d calls served, %d turned away", store.served, store.turned)
		require.Less(t, store.turned, store.served/3)
		require.Greater(t, store.served, 58*60/5, "instances ask too seldom")
	})
}
