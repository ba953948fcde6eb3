// Package rcwatch keeps the board's view of upstreams: it merges the platform's
// list with the load reports that it fetches from engines, and feeds the prefix
// index with their cache events.
//
// At the target size one instance can neither read the reports of all engines
// nor the events of many. It therefore writes only the engines of its own
// availability zone to the board, observes its share of them closely, and asks
// the others in turn; see observers and Config.BytesPerSecond.
package rcwatch

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/routing/rcdecision"
	"github.com/radishcrank/radishcrank/internal/routing/rcindex"
	"github.com/radishcrank/radishcrank/internal/state/rcboard"
)

const (
	listTimeout   = 500 * time.Millisecond
	reportTimeout = 500 * time.Millisecond
	eventTimeout  = time.Second

	// listInterval and listTimeout leave half a second until an upstream that
	// announced its departure must get no new work (2 s).
	listInterval = time.Second

	defaultInterval = 250 * time.Millisecond
)

// Config holds the parts that a Watcher works with.
type Config struct {
	Board    *rcboard.Board
	Lister   radishcrank.InstanceLister
	Dialer   radishcrank.EngineDialer
	Interval time.Duration // Between two reports of an observed engine; 0 means 250 ms.
	Instance radishcrank.InstanceID
	Zone     radishcrank.AvailabilityZone // Empty: all engines count as those of the own zone.

	// Index is fed with cache events; nil: events are not read.
	Index *rcindex.Index

	// PlanMoves returns the hot prefixes of a leaving engine and the engines that get
	// their load, with at most maxBlocks blocks. It is usually Chooser.PlanMoves.
	// nil: nothing is exported.
	PlanMoves func(leaving radishcrank.UpstreamID, maxBlocks int) []rcdecision.Move

	// OnInstances is told the router instances of each listing. It may be nil.
	OnInstances func([]radishcrank.Instance)

	// BytesPerSecond bounds the reports and events that are read, beyond the
	// first report of each engine; 0 is unlimited. nil: unlimited up to 64
	// engines, 2,000 B/s above, which leaves a third of an instance's 3 KB/s of
	// control traffic to configuration.
	BytesPerSecond func() int

	Log zerolog.Logger
}

// Watcher writes the Upstreams table.
type Watcher struct {
	cfg Config

	mu                        sync.Mutex
	polls                     map[radishcrank.UpstreamID]*poll
	rateNow                   float64 // Bytes a second at the last round; 0 is unlimited.
	reportBudget, eventBudget budget
	subscribed                time.Time
	engines                   int       // At that time.
	eventShare                float64   // Bytes a second set aside for events.
	looked                    time.Time // Last round over all engines.
	shrunk                    time.Time // When the list was first seen to have lost most upstreams.
	running                   sync.WaitGroup
}

// New returns a Watcher.
func New(cfg Config) *Watcher {
	if cfg.Interval <= 0 {
		cfg.Interval = defaultInterval
	}
	return &Watcher{cfg: cfg, polls: make(map[radishcrank.UpstreamID]*poll)}
}

// Run refreshes the table until ctx ends. The list has its own goroutine, so
// that engines that answer slowly don't delay a notice of departure.
func (w *Watcher) Run(ctx context.Context) error {
	defer w.running.Wait()
	w.running.Go(func() { every(ctx, listInterval, w.readList) })
	every(ctx, w.cfg.Interval, func(ctx context.Context) { w.pollDue(ctx) })
	return ctx.Err()
}

func every(ctx context.Context, interval time.Duration, f func(context.Context)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		f(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// Refresh runs one round and waits for it: the list, then a report from each
// engine that is due. An unreachable list leaves the known upstreams in place.
func (w *Watcher) Refresh(ctx context.Context) {
	w.readList(ctx)
	w.pollDue(ctx).Wait()
}

// readList merges the platform's list.
func (w *Watcher) readList(ctx context.Context) {
	listCtx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	listing, err := w.cfg.Lister.List(listCtx)
	if err != nil {
		w.cfg.Log.Debug().Err(err).Msg("instance list unavailable, keeping the last one")
		return
	}
	if w.cfg.OnInstances != nil {
		w.cfg.OnInstances(listing.Instances)
	}
	w.merge(ctx, listing)
}
