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
	// ReportInterval is how often relays report the stores. An instance that receives no
	// report for reportMaxAge calls the stores itself.
	ReportInterval = 500 * time.Millisecond
	reportMaxAge   = 2 * time.Second
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
	// ReliesOnReports reports whether another instance calls the stores and reports them
	// to this one. In large fleets a store would otherwise turn most calls away, and each
	// of them is a status check and often a new connection. Nil means that none does.
	ReliesOnReports func() bool
	Log             zerolog.Logger
}

// Report is what an instance tells others about a store.
type Report struct {
	Store
	Down      bool   `json:",omitempty"`
	BootEpoch uint64 // Zero if unknown.
}

// Watcher tracks which stores respond. It is safe for concurrent use.
type Watcher struct {
	cfg    Config
	mu     sync.Mutex
	stores map[Store]*storeState
}

type storeState struct {
	down       bool
	bootEpoch  uint64    // Zero if unknown.
	reportedAt time.Time // Time of the last report, or of the start.
}

// New returns a Watcher that considers all stores to be up.
func New(cfg Config) *Watcher {
	if cfg.ReliesOnReports == nil {
		cfg.ReliesOnReports = func() bool { return false }
	}
	return &Watcher{cfg: cfg, stores: map[Store]*storeState{}}
}

// Up reports whether engines may use a store.
func (w *Watcher) Up(s Store) (up bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	state := w.stores[s]
	return state == nil || !state.down
}

// Reports returns what this instance knows about the configured stores.
func (w *Watcher) Reports() (reports []Report) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for s, state := range w.stores {
		reports = append(reports, Report{Store: s, Down: state.down, BootEpoch: state.bootEpoch})
	}
	return reports
}

// Offer applies the reports of an instance that calls the stores itself.
func (w *Watcher) Offer(reports []Report) {
	if !w.cfg.ReliesOnReports() {
		return
	}
	for _, r := range reports {
		w.mu.Lock()
		state, known := w.stores[r.Store]
		if known {
			state.reportedAt = time.Now()
		}
		w.mu.Unlock()
		if known {
			w.observeEpoch(r.Store, r.BootEpoch)
			w.setDown(r.Store, r.Down)
		}
	}
}

// reported reports whether the reports of another instance tell of a store.
func (w *Watcher) reported(s Store) bool {
	if !w.cfg.ReliesOnReports() {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	state := w.stores[s]
	return state != nil && time.Since(state.reportedAt) < reportMaxAge
}

// observeEpoch detects that a store has restarted.
func (w *Watcher) observeEpoch(s Store, epoch uint64) {
	w.mu.Lock()
	state := w.stores[s]
	restarted := state != nil && epoch != 0 && state.bootEpoch != 0 && epoch != state.bootEpoch
	if state != nil && epoch != 0 {
		state.bootEpoch = epoch
	}
	w.mu.Unlock()
	if restarted {
		w.cfg.OnDataLoss(s.ID)
	}
}

// setDown records whether a store is down, and logs changes.
func (w *Watcher) setDown(s Store, down bool) {
	w.mu.Lock()
	state := w.stores[s]
	changed := state != nil && state.down != down
	if changed {
		state.down = down
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
				w.mu.Lock()
				w.stores[s] = &storeState{reportedAt: time.Now()}
				w.mu.Unlock()
				wg.Go(func() { w.follow(storeCtx, s) })
			}
		}
		for s, stop := range watched {
			if !listed[s] {
				stop()
				delete(watched, s)
				w.mu.Lock()
				delete(w.stores, s)
				w.mu.Unlock()
			}
		}
		if !rcwait.Sleep(ctx, listInterval) {
			return nil
		}
	}
}

// follow waits for the events of one store until ctx ends.
func (w *Watcher) follow(ctx context.Context, s Store) {
	var last radishcrank.KVSequence
	failures, interval := 0, callInterval
	for ctx.Err() == nil {
		if w.reported(s) {
			failures, interval = 0, callInterval
			if !rcwait.Sleep(ctx, callInterval) {
				return
			}
			continue
		}
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
			w.observeEpoch(s, got.BootEpoch)
			last = got
			w.setDown(s, false)
		}
		if !rcwait.Sleep(ctx, interval) {
			return
		}
	}
}
