package rcwatch

import (
	"context"
	"time"

	"github.com/radishcrank/radishcrank"
)

const (
	// maxCrossZoneEngines is the fleet size, in engines, up to which the engines
	// of all availability zones are written to the board. For larger fleets the
	// table would exceed the memory and decision time budgets of an instance.
	maxCrossZoneEngines = 1000

	// shrinkGracePeriod is the time for which the list must lack most upstreams
	// before they are removed, so that a platform fault does not empty the table
	// immediately.
	shrinkGracePeriod = 30 * time.Second
	// minShrinkCheckSize is the number of known upstreams below which losing most
	// of them is considered normal.
	minShrinkCheckSize = 4
)

// mergeListing writes the selected upstreams of a listing to the board. Existing
// rows keep their load reports. Rows that are no longer listed are removed, so
// that their upstreams get no new requests.
func (w *Watcher) mergeListing(ctx context.Context, listing radishcrank.Listing) {
	selected := w.selectUpstreams(listing.Upstreams)
	if w.isImplausible(selected) {
		return
	}
	listed := make(map[radishcrank.UpstreamID]bool, len(selected))
	for _, up := range selected {
		listed[up.ID] = true
		if w.mergeUpstream(up) {
			w.startMigration(ctx, up.ID)
		}
	}
	for id := range w.cfg.Board.Upstreams.Snapshot() {
		if !listed[id] {
			w.cfg.Board.Upstreams.Delete(id)
		}
	}
}

// mergeUpstream merges a listed upstream into its row and reports whether it has
// started to leave since the previous listing.
func (w *Watcher) mergeUpstream(up radishcrank.Upstream) (newlyLeaving bool) {
	w.cfg.Board.Upstreams.Update(up.ID, func(old radishcrank.Upstream, ok bool) (radishcrank.Upstream, bool) {
		newlyLeaving = up.Leaving && !old.Leaving
		if !ok {
			return up, true
		}
		// The list lags behind, so its incarnation may be older than that of the
		// load reports.
		if up.Incarnation <= old.Incarnation {
			up.Incarnation, up.Load = old.Incarnation, old.Load
		}
		up.MissedReports = old.MissedReports
		return up, true
	})
	return newlyLeaving
}

// isImplausible reports whether a listing lacks more than half of the known
// upstreams, and so is probably wrong. It does so for at most shrinkGracePeriod.
func (w *Watcher) isImplausible(selected []radishcrank.Upstream) bool {
	known := w.cfg.Board.Upstreams.Snapshot()
	kept := 0
	for _, up := range selected {
		if _, ok := known[up.ID]; ok {
			kept++
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(known) < minShrinkCheckSize || 2*kept >= len(known) {
		w.shrunkSince = time.Time{}
		return false
	}
	if w.shrunkSince.IsZero() {
		w.shrunkSince = time.Now()
		w.cfg.Log.Warn().Int("Known", len(known)).Int("Listed", kept).Msg("instance list lacks most known upstreams; keeping them")
	}
	return time.Since(w.shrunkSince) < shrinkGracePeriod
}

// selectUpstreams returns the upstreams that this instance uses. In a fleet of more
// than maxCrossZoneEngines, these are the engines of its own availability zone,
// engines that serve models missing in the zone, and all plain services.
func (w *Watcher) selectUpstreams(listed []radishcrank.Upstream) []radishcrank.Upstream {
	engines := 0
	local := make(map[radishcrank.ModelID]bool)
	for _, up := range listed {
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
	if w.cfg.Zone == "" || engines <= maxCrossZoneEngines {
		return listed
	}
	selected := make([]radishcrank.Upstream, 0, len(listed))
	for _, up := range listed {
		if up.Role != radishcrank.RoleEngine || up.Zone == w.cfg.Zone || servesMissingModel(local, up.Models) {
			selected = append(selected, up)
		}
	}
	return selected
}

func servesMissingModel(local map[radishcrank.ModelID]bool, models []radishcrank.ModelID) bool {
	for _, m := range models {
		if !local[m] {
			return true
		}
	}
	return false
}
