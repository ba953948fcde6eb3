// Package rcwatch maintains the upstreams on the board. It merges the platform's
// list with load reports polled from the engines, and applies the engines' cache
// events to the prefix index.
//
// At the target size, an instance can read neither the reports of all engines nor
// the events of more than a few. In fleets of more than maxCrossZoneEngines it
// therefore writes only the engines that selectUpstreams returns to the board,
// mostly those of its own availability zone. It polls a share of them frequently,
// called the observed engines, and the others in turn. See observers and
// Config.BytesPerSecond.
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

	// An upstream that has announced its shutdown must get no new requests after
	// 2 s; listInterval and listTimeout together leave half a second of that.
	listInterval = time.Second

	defaultInterval = 250 * time.Millisecond
)

// Config holds the dependencies and settings of a Watcher.
type Config struct {
	Board    *rcboard.Board
	Lister   radishcrank.InstanceLister
	Dialer   radishcrank.EngineDialer
	Interval time.Duration // Polling interval of observed engines; 0 means 250 ms.
	Instance radishcrank.InstanceID
	Zone     radishcrank.AvailabilityZone // If empty, all engines count as local.

	// Index receives the cache events. If nil, events are not read.
	Index *rcindex.Index

	// PlanMoves returns the hot prefixes of a leaving engine and the engines that
	// take over their load, with at most maxBlocks blocks. It is usually
	// rcdecision.Chooser.PlanMigrations. If nil, nothing is migrated.
	PlanMoves func(leaving radishcrank.UpstreamID, maxBlocks int) []rcdecision.PrefixMigration

	// OnInstances is called with the router instances of each listing. It may be
	// nil.
	OnInstances func([]radishcrank.Instance)

	// BytesPerSecond returns the limit on the traffic for reports and events,
	// not counting the first report of each engine; 0 means unlimited. If nil,
	// the limit is 2,000 B/s for more than 64 engines, which leaves a third of an
	// instance's 3 KB/s of control traffic to configuration, and none otherwise.
	BytesPerSecond func() int

	Log zerolog.Logger
}

// Watcher maintains the Upstreams table of the board.
type Watcher struct {
	cfg Config

	mu                        sync.Mutex
	polls                     map[radishcrank.UpstreamID]*poll
	currentRate               float64 // Bytes per second in the last round; 0 means unlimited.
	reportBudget, eventBudget byteBudget
	lastSubscribe             time.Time
	lastEngineCount           int       // Number of engines at lastSubscribe.
	eventShare                float64   // Bytes per second reserved for events.
	lastDiscovery             time.Time // Last round run regardless of the budget.
	shrunkSince               time.Time // When the list was first found to lack most known upstreams; zero if it does not.
	background                sync.WaitGroup
}

func New(cfg Config) *Watcher {
	if cfg.Interval <= 0 {
		cfg.Interval = defaultInterval
	}
	return &Watcher{cfg: cfg, polls: make(map[radishcrank.UpstreamID]*poll)}
}

// Run refreshes the table until ctx is done. It reads the list in a goroutine of
// its own, so that slow engines do not delay the processing of leaving upstreams.
func (w *Watcher) Run(ctx context.Context) error {
	defer w.background.Wait()
	w.background.Go(func() { runPeriodically(ctx, listInterval, w.readList) })
	runPeriodically(ctx, w.cfg.Interval, func(ctx context.Context) { w.pollDue(ctx) })
	return ctx.Err()
}

func runPeriodically(ctx context.Context, interval time.Duration, f func(context.Context)) {
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

// Refresh runs one round and waits for its end: it reads the list, then polls the
// engines that are due. If the list is unavailable, the known upstreams remain.
func (w *Watcher) Refresh(ctx context.Context) {
	w.readList(ctx)
	w.pollDue(ctx).Wait()
}

// readList reads the platform's list and merges it into the board.
func (w *Watcher) readList(ctx context.Context) {
	listCtx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	listing, err := w.cfg.Lister.List(listCtx)
	if err != nil {
		w.cfg.Log.Debug().Err(err).Msg("instance list unavailable; keeping the previous one")
		return
	}
	if w.cfg.OnInstances != nil {
		w.cfg.OnInstances(listing.Instances)
	}
	w.mergeListing(ctx, listing)
}
