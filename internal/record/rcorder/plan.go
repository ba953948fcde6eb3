package rcorder

import (
	"cmp"
	"context"
	"time"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/state/rcconfig"
)

// maxTasks bounds the engines that are out of use at a time. It is above the
// number of slots, so that a slot need not wait for a drain.
const maxTasks = 2 * loadSlots

func compareIDs(a, b radishcrank.UpstreamID) int { return cmp.Compare(a, b) }

// observe notes which reports have changed.
func (l *leader) observe() {
	for id, up := range l.cfg.Board.Upstreams.Snapshot() {
		if s, ok := l.seen[id]; !ok || !s.reportedAt.Equal(up.Load.ReportedAt) {
			l.seen[id] = sighting{reportedAt: up.Load.ReportedAt, at: time.Now()}
		}
	}
}

// plan begins tasks for engines that report other weights than desired.
func (l *leader) plan(ctx context.Context) {
	doc := l.cfg.Document()
	for _, up := range l.cfg.Board.Upstreams.Values() {
		if len(l.tasks) >= maxTasks {
			return
		}
		model, weights, differs := difference(doc, up)
		if !differs || !l.mayOrder(doc, up) || !l.othersServe(up) {
			continue
		}
		t := &task{up: up.ID, model: model, weights: weights, revision: doc.Revision, phase: phaseDraining, resume: func() {}}
		l.tasks[up.ID] = t
		drainCtx, cancel := context.WithTimeout(ctx, l.cfg.DrainTimeout)
		t.cancel = cancel
		l.working.Go(func() { l.drain(drainCtx, t) })
	}
}

// difference returns the first model whose reported weights are not the desired ones.
func difference(doc *rcconfig.Document, up radishcrank.Upstream) (model radishcrank.ModelID, weights radishcrank.WeightsVersion, differs bool) {
	for _, m := range up.Models {
		for _, desired := range doc.Models {
			if desired.ID == m && desired.Weights != "" && up.Load.Weights[m] != desired.Weights {
				return m, desired.Weights, true
			}
		}
	}
	return "", "", false
}

// mayOrder reports whether the engine may get an order from this holder now.
func (l *leader) mayOrder(doc *rcconfig.Document, up radishcrank.Upstream) bool {
	switch {
	case up.Role != radishcrank.RoleEngine, up.Leaving, l.tasks[up.ID] != nil, !l.fresh(up.ID):
		return false
	case time.Now().Before(l.delayed[up.ID]):
		return false
	case l.rows.intents[up.ID].Revision > doc.Revision:
		return false // This instance has not got the newest configuration yet.
	}
	fenced := up.ChecksFence || doc.EffectiveSettings(rcconfig.Scope{Upstream: up.ID}).ChecksFence
	return fenced || time.Since(l.began) >= l.cfg.LeaseDuration+l.cfg.OrderTimeout
}

func (l *leader) fresh(id radishcrank.UpstreamID) bool {
	s := l.seen[id]
	return !s.reportedAt.IsZero() && time.Since(s.at) <= l.cfg.MaxReportAge
}

// othersServe reports whether each model that the engine serves now has another
// engine in use.
func (l *leader) othersServe(up radishcrank.Upstream) bool {
	for model, weights := range up.Load.Weights {
		if weights != "" && !l.servedBesides(up.ID, model) {
			return false
		}
	}
	return true
}

func (l *leader) servedBesides(id radishcrank.UpstreamID, model radishcrank.ModelID) bool {
	for _, other := range l.cfg.Board.Upstreams.Values() {
		inUse := other.Role == radishcrank.RoleEngine && !other.Leaving && l.tasks[other.ID] == nil && l.fresh(other.ID)
		if other.ID != id && inUse && other.Load.Weights[model] != "" {
			return true
		}
	}
	return false
}

// stillDesired reports whether the configuration still wants what a task does,
// and other engines still allow it.
func (l *leader) stillDesired(t *task) bool {
	up, ok := l.cfg.Board.Upstreams.Get(t.up)
	if !ok || up.Leaving {
		return false
	}
	model, weights, differs := difference(l.cfg.Document(), up)
	return differs && model == t.model && weights == t.weights && l.othersServe(up)
}

func (l *leader) drain(ctx context.Context, t *task) {
	resume, err := l.cfg.Drainer.Drain(ctx, t.up, t.model)
	l.results <- result{task: t, resume: resume, err: err}
}
