// Package rckvstore watches the stores of kept KV cache, so that engines are sent
// to no store that is down and expect nothing of one that has come back empty.
//
// It answers a store that crashes or falls silent under load: each prompt that is
// to be copied from it waits for some hundred milliseconds and is then read in
// full, on top of the load.
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
	// eventWait is how long the store may wait for an event. Shorter waits count as
	// probes on the platform; longer ones find a silent store later.
	eventWait = 300 * time.Millisecond
	// answerMargin is the longest time from the end of the wait to the answer.
	answerMargin = 250 * time.Millisecond
	// pause between two calls bounds the calls to a store with many events.
	pause = 300 * time.Millisecond
	// failuresUntilDown are the failed calls in a row that show that a store is
	// down: a single one may have met a connection that the store had closed.
	failuresUntilDown = 2
	// busyPause is the longest pause after a call that the store turned away because
	// too many wait there: in large fleets the instances take turns.
	busyPause = 5 * time.Second
	// listPause is how often the list of stores is read.
	listPause = 500 * time.Millisecond
)

// Store is a store of kept KV cache.
type Store struct {
	ID   radishcrank.UpstreamID
	Addr netip.AddrPort
}

// Config holds the parts that a Watch works with.
type Config struct {
	Events radishcrank.KVEvents
	// Stores returns the stores that the configuration names.
	Stores func() []Store
	// OnDataLoss is called when a store has lost what it kept.
	OnDataLoss func(id radishcrank.UpstreamID)
	Log        zerolog.Logger
}

// Watcher knows which stores answer. It is safe for concurrent use.
type Watcher struct {
	cfg  Config
	mu   sync.Mutex
	down map[Store]bool
}

// New returns a Watch that holds all stores to be up.
func New(cfg Config) *Watcher { return &Watcher{cfg: cfg, down: map[Store]bool{}} }

// Up reports whether engines may be sent to a store.
func (w *Watcher) Up(s Store) (up bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.down[s]
}

func (w *Watcher) set(s Store, down bool) {
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

// Run watches the stores until ctx ends.
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
				one, stop := context.WithCancel(ctx)
				watched[s] = stop
				wg.Go(func() { w.follow(one, s) })
			}
		}
		for s, stop := range watched {
			if !listed[s] {
				stop()
				delete(watched, s)
			}
		}
		if !rcwait.For(ctx, listPause) {
			return nil
		}
	}
}

// follow asks one store for its events until ctx ends.
func (w *Watcher) follow(ctx context.Context, s Store) {
	defer w.set(s, false)
	var seen radishcrank.KVSequence
	failures, next := 0, pause
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, eventWait+answerMargin)
		got, err := w.cfg.Events.Await(call, s.Addr, seen.Next, eventWait)
		cancel()
		switch {
		case ctx.Err() != nil:
			return
		case errors.Is(err, radishcrank.ErrTooManyCalls):
			failures, next = 0, min(2*next, busyPause)
			w.set(s, false)
		case err != nil:
			next = pause
			if failures++; failures == failuresUntilDown {
				w.cfg.Log.Warn().Str("Event", "KVStoreSilent").Str("Store", string(s.ID)).Err(err).Send()
			}
			if failures >= failuresUntilDown {
				w.set(s, true)
			} else {
				continue
			}
		default:
			failures, next = 0, max(pause, next*9/10) // A fleet that shares the store finds its pace.
			if seen.BootEpoch != 0 && got.BootEpoch != seen.BootEpoch {
				w.cfg.OnDataLoss(s.ID)
			}
			seen = got
			w.set(s, false)
		}
		if !rcwait.For(ctx, next) {
			return
		}
	}
}
