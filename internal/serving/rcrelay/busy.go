package rcrelay

import (
	"slices"
	"time"

	"github.com/radishcrank/radishcrank"
)

const (
	// A request waits up to busyWait for an engine when all refuse it. Load
	// reports show a change of weights within a quarter of a second; a rolling
	// update may change several engines between two reports.
	busyWait  = 2 * time.Second
	busyPause = 100 * time.Millisecond

	// maxBusy bounds the refusals that cost no attempt.
	maxBusy = 32
)

// busyEngines are the engines that refused a request without running it.
type busyEngines struct {
	ids   []radishcrank.UpstreamID
	count int
	until time.Time // No waiting after it; zero before the first wait.
}

// noteBusy remembers that the engine tried last refused the request, and has its
// load report fetched. It reports false if there were too many refusals.
func (g *generation) noteBusy() bool {
	if len(g.tried) == 0 || g.busy.count >= maxBusy {
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

// waitForBusy waits a moment and lets the engines that refused be tried again.
// It reports false if none refused or the time for it is over.
func (g *generation) waitForBusy() bool {
	if len(g.busy.ids) == 0 {
		return false
	}
	now := time.Now()
	if g.busy.until.IsZero() {
		g.busy.until = now.Add(busyWait)
		if !g.req.Deadline.IsZero() && g.req.Deadline.Before(g.busy.until) {
			g.busy.until = g.req.Deadline
		}
	}
	if now.After(g.busy.until) {
		return false
	}
	timer := time.NewTimer(busyPause)
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
