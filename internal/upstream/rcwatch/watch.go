// Package rcwatch keeps the board's view of upstreams: it merges the platform's
// list with the load reports that it fetches from engines.
package rcwatch

import (
	"context"
	"sync"
	"time"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/state/rcboard"
)

const reportTimeout = 500 * time.Millisecond

// Config holds the parts that a Watcher works with.
type Config struct {
	Board    *rcboard.Board
	Lister   radishcrank.InstanceLister
	Dialer   radishcrank.EngineDialer
	Interval time.Duration // Between two rounds of reports.
}

// Watcher writes the Upstreams table.
type Watcher struct {
	cfg Config
}

// New returns a Watcher.
func New(cfg Config) *Watcher { return &Watcher{cfg: cfg} }

// Run refreshes the table until ctx ends.
func (w *Watcher) Run(ctx context.Context) error {
	ticker := time.NewTicker(w.cfg.Interval)
	defer ticker.Stop()
	for {
		w.Refresh(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Refresh runs one round: the list, then a report from each engine. An
// unreachable list leaves the known upstreams in place.
func (w *Watcher) Refresh(ctx context.Context) {
	if listing, err := w.cfg.Lister.List(ctx); err == nil {
		w.merge(listing)
	}
	var wg sync.WaitGroup
	for _, up := range w.cfg.Board.Upstreams.Values() {
		if up.Role == radishcrank.RoleEngine {
			wg.Go(func() { w.report(ctx, up) })
		}
	}
	wg.Wait()
}

func (w *Watcher) merge(listing radishcrank.Listing) {
	listed := make(map[radishcrank.UpstreamID]bool, len(listing.Upstreams))
	for _, up := range listing.Upstreams {
		listed[up.ID] = true
		w.cfg.Board.Upstreams.Update(up.ID, func(old radishcrank.Upstream, ok bool) (radishcrank.Upstream, bool) {
			if ok {
				up.Load, up.Incarnation = old.Load, old.Incarnation
			}
			return up, true
		})
	}
	for id := range w.cfg.Board.Upstreams.Snapshot() {
		if !listed[id] {
			w.cfg.Board.Upstreams.Delete(id)
		}
	}
}

func (w *Watcher) report(ctx context.Context, up radishcrank.Upstream) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	report, err := w.cfg.Dialer.Engine(up).Load(ctx)
	if err != nil {
		return
	}
	w.cfg.Board.Upstreams.Update(up.ID, func(row radishcrank.Upstream, ok bool) (radishcrank.Upstream, bool) {
		if !ok || report.Incarnation < row.Incarnation {
			return row, ok
		}
		row.Load, row.Incarnation = report, report.Incarnation
		return row, true
	})
}
