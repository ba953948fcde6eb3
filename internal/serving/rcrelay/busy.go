package rcrelay

import (
	"slices"
	"time"

	"github.com/radishcrank/radishcrank"
)

const (
	// busyRetryWindow is how long a request that all engines reject is retried. Load
	// reports show a change of weights within a quarter of a second, but a rolling
	// update may change several engines between two reports.
	busyRetryWindow   = 2 * time.Second
	busyRetryInterval = 100 * time.Millisecond

	// maxBusyRefusals limits the refusals that do not count as attempts.
	maxBusyRefusals = 32
)

// busyEngines tracks the engines that rejected a request without running it.
type busyEngines struct {
	ids      []radishcrank.UpstreamID
	count    int
	deadline time.Time // End of the retry window; zero before the first wait.
}

// recordBusy records that the engine tried last rejected the request, and refreshes
// its load report. It returns false if there were too many refusals.
func (g *generation) recordBusy() bool {
	if len(g.tried) == 0 || g.busy.count >= maxBusyRefusals {
		return false
	}
	id := g.tried[len(g.tried)-1]
	g.busy.ids = append(g.busy.ids, id)
	g.busy.count++
	if g.relay.cfg.RefreshLoad != nil {
		g.relay.cfg.RefreshLoad(id)
	}
	return true
}

// waitForBusyEngines waits for busyRetryInterval and makes the engines that rejected
// the request eligible again. It returns false if there are none or the retry window
// has ended.
func (g *generation) waitForBusyEngines() bool {
	if len(g.busy.ids) == 0 {
		return false
	}
	now := time.Now()
	if g.busy.deadline.IsZero() {
		g.busy.deadline = now.Add(busyRetryWindow)
		if !g.req.Deadline.IsZero() && g.req.Deadline.Before(g.busy.deadline) {
			g.busy.deadline = g.req.Deadline
		}
	}
	if now.After(g.busy.deadline) {
		return false
	}
	timer := time.NewTimer(busyRetryInterval)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-g.ctx.Done():
		return false
	}
	g.tried = slices.DeleteFunc(g.tried, func(id radishcrank.UpstreamID) bool { return slices.Contains(g.busy.ids, id) })
	g.busy.ids = nil
	return true
}
