package rcwatch

import (
	"context"
	"time"

	"github.com/radishcrank/radishcrank"
)

const (
	// maxForeignEngines is the size of a fleet up to which the engines of all
	// availability zones are written. Above it the table would not fit the
	// memory and the decision time of an instance.
	maxForeignEngines = 1000

	// shrinkDelay is how long the list must lack most upstreams before they are
	// removed. A fault of the platform must not empty the table at once.
	shrinkDelay = 30 * time.Second
	// Below this number of upstreams losing most of them is ordinary.
	minShrink = 4
)

// merge writes the chosen part of a listing to the board. Rows keep their load
// reports. A row that is gone from the list is removed, which also ends new work.
func (w *Watcher) merge(ctx context.Context, listing radishcrank.Listing) {
	chosen := w.choose(listing.Upstreams)
	if w.doubtful(chosen) {
		return
	}
	listed := make(map[radishcrank.UpstreamID]bool, len(chosen))
	for _, up := range chosen {
		listed[up.ID] = true
		if w.write(up) {
			w.depart(ctx, up.ID)
		}
	}
	for id := range w.cfg.Board.Upstreams.Snapshot() {
		if !listed[id] {
			w.cfg.Board.Upstreams.Delete(id)
		}
	}
}

// write merges a listed upstream into its row and reports whether it is newly leaving.
func (w *Watcher) write(up radishcrank.Upstream) (leaves bool) {
	w.cfg.Board.Upstreams.Update(up.ID, func(old radishcrank.Upstream, ok bool) (radishcrank.Upstream, bool) {
		leaves = up.Leaving && !old.Leaving
		if !ok {
			return up, true
		}
		// The list lags, so it may name an older incarnation than the reports.
		if up.Incarnation <= old.Incarnation {
			up.Incarnation, up.Load = old.Incarnation, old.Load
		}
		up.MissedReports = old.MissedReports
		return up, true
	})
	return leaves
}

// doubtful reports whether a listing lacks so many known upstreams that it is
// more likely wrong than true, for now.
func (w *Watcher) doubtful(chosen []radishcrank.Upstream) bool {
	known := w.cfg.Board.Upstreams.Snapshot()
	kept := 0
	for _, up := range chosen {
		if _, ok := known[up.ID]; ok {
			kept++
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(known) < minShrink || 2*kept >= len(known) {
		w.shrunk = time.Time{}
		return false
	}
	if w.shrunk.IsZero() {
		w.shrunk = time.Now()
		w.cfg.Log.Warn().Int("Known", len(known)).Int("Listed", kept).Msg("instance list lacks most upstreams, keeping them")
	}
	return time.Since(w.shrunk) < shrinkDelay
}

// choose returns the upstreams that this instance works with: in a large fleet
// the engines of its own availability zone, engines of models that the zone
// lacks, and all plain services.
func (w *Watcher) choose(all []radishcrank.Upstream) []radishcrank.Upstream {
	engines := 0
	local := make(map[radishcrank.ModelID]bool)
	for _, up := range all {
		if up.Role != radishcrank.RoleEngine {
			continue
		}
		engines++
		if up.Zone == w.cfg.Zone {
			for _, m := range up.Models {
				local[m] = true
			}
		}
	}
	if w.cfg.Zone == "" || engines <= maxForeignEngines {
		return all
	}
	chosen := make([]radishcrank.Upstream, 0, len(all))
	for _, up := range all {
		if up.Role != radishcrank.RoleEngine || up.Zone == w.cfg.Zone || lacks(local, up.Models) {
			chosen = append(chosen, up)
		}
	}
	return chosen
}

func lacks(local map[radishcrank.ModelID]bool, models []radishcrank.ModelID) bool {
	for _, m := range models {
		if !local[m] {
			return true
		}
	}
	return false
}
