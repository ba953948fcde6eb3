// Package rckvstore monitors the external stores of KV cache, so that engines
// are not directed to a store that is down, and do not expect parts on a store
// that has restarted empty.
//
// Stores may crash or stop responding under load. Each prompt that an engine
// tries to copy from such a store waits for some hundred milliseconds and is
// then prefilled in full, which adds to the load.
package rckvstore

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/state/rcwait"
)

const (
	// eventWait is how long the store may wait for an event. The platform
	// counts shorter waits as probes; longer ones delay the detection of an
	// unresponsive store.
	eventWait = 300 * time.Millisecond
	// responseMargin is the longest time from the end of the wait to the
	// response.
	responseMargin = 250 * time.Millisecond
	// callInterval is the pause between two calls. It bounds the calls to a
	// store with many events.
	callInterval = 300 * time.Millisecond
	// failuresUntilDown is the number of consecutive failed calls after which a
	// store counts as down. A single call may fail because the store had closed
	// the connection.
	failuresUntilDown = 2
	// maxBusyInterval is the longest pause after a call that the store rejected
	// because too many calls wait there. In large fleets the instances take
	// turns.
	maxBusyInterval = 5 * time.Second
	// listInterval is the interval at which the list of stores is read.
	listInterval = 500 * time.Millisecond
)

// Store is an external store of KV cache.
type Store struct {
	ID   radishcrank.UpstreamID
	Addr netip.AddrPort
}

// Config holds the dependencies of a Watcher.
type Config struct {
	Events radishcrank.KVEvents
	// Stores returns the configured stores.
	Stores func() []Store
	// OnDataLoss is called when a store has lost its data.
	OnDataLoss func(id radishcrank.UpstreamID)
	Log        zerolog.Logger
}

// Watcher tracks which stores respond. It is safe for concurrent use.
type Watcher struct {
	cfg  Config
	mu   sync.Mutex
	down map[Store]bool
}

// New returns a Watcher that considers all stores to be up.
func New(cfg Config) *Watcher { return &Watcher{cfg: cfg, down: map[Store]bool{}} }

// Up reports whether engines may use a store.
func (w *Watcher) Up(s Store) (up bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.down[s]
}

// setDown records whether a store is down, and logs changes.
func (w *Watcher) setDown(s Store, down bool) {
	w.mu.Lock()
	changed := w.down[s] != down
	if down {
		w.down[s] = true
	} else {
		delete(w.down, s)
	}
	w.mu.Unlock()
	if changed {
		w.cfg.Log.Info().Str("Event", "KVStore").Str("Store", string(s.ID)).Str("Addr", s.Addr.String()).Bool("Up", !down).Send()
	}
}

// Run monitors the stores until ctx ends.
func (w *Watcher) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	defer wg.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	watched := map[Store]context.CancelFunc{}
	for {
		listed := map[Store]bool{}
		for _, s := range w.cfg.Stores() {
			listed[s] = true
			if watched[s] == nil {
				storeCtx, stop := context.WithCancel(ctx)
				watched[s] = stop
				wg.Go(func() { w.follow(storeCtx, s) })
			}
		}
		for s, stop := range watched {
			if !listed[s] {
				stop()
				delete(watched, s)
			}
		}
		if !rcwait.Sleep(ctx, listInterval) {
			return nil
		}
	}
}

// follow waits for the events of one store until ctx ends.
func (w *Watcher) follow(ctx context.Context, s Store) {
	defer w.setDown(s, false)
	var last radishcrank.KVSequence
	failures, interval := 0, callInterval
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, eventWait+responseMargin)
		got, err := w.cfg.Events.Await(callCtx, s.Addr, last.Next, eventWait)
		cancel()
		switch {
		case ctx.Err() != nil:
			return
		case errors.Is(err, radishcrank.ErrTooManyCalls):
			failures, interval = 0, min(2*interval, maxBusyInterval)
			w.setDown(s, false)
		case err != nil:
			interval = callInterval
			if failures++; failures == failuresUntilDown {
				w.cfg.Log.Warn().Str("Event", "KVStoreSilent").Str("Store", string(s.ID)).Err(err).Send()
			}
			if failures >= failuresUntilDown {
				w.setDown(s, true)
			} else {
				continue
			}
		default:
			failures, interval = 0, max(callInterval, interval*9/10) // Instances that share the store converge on a common interval.
			if last.BootEpoch != 0 && got.BootEpoch != last.BootEpoch {
				w.cfg.OnDataLoss(s.ID)
			}
			last = got
			w.setDown(s, false)
		}
		if !rcwait.Sleep(ctx, interval) {
			return
		}
	}
}
