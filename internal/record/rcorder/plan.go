package rcorder

import (
	"cmp"
	"context"
	"time"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/state/rcconfig"
)

// maxTasks limits the number of engines that are out of service at a time. It
// exceeds the number of slots, so that a free slot need not wait for a drain.
const maxTasks = 2 * loadSlots

func compareIDs(a, b radishcrank.UpstreamID) int { return cmp.Compare(a, b) }

// observeReports records which load reports have changed, and when.
func (l *leader) observeReports() {
	for id, up := range l.cfg.Board.Upstreams.Snapshot() {
		if s, ok := l.observations[id]; !ok || !s.reportedAt.Equal(up.Load.ReportedAt) {
			l.observations[id] = reportObservation{reportedAt: up.Load.ReportedAt, observedAt: time.Now()}
		}
	}
}

// startTasks starts tasks for engines that report other weights than the desired
// ones.
func (l *leader) startTasks(ctx context.Context) {
	doc := l.cfg.Document()
	for _, up := range l.cfg.Board.Upstreams.Values() {
		if len(l.tasks) >= maxTasks {
			return
		}
		model, weights, mismatch := weightsMismatch(doc, up)
		if !mismatch || !l.canOrder(doc, up) || !l.servedElsewhere(up) {
			continue
		}
		t := &task{up: up.ID, model: model, weights: weights, revision: doc.Revision, phase: phaseDraining, resume: func() {}}
		l.tasks[up.ID] = t
		drainCtx, cancel := context.WithTimeout(ctx, l.cfg.DrainTimeout)
		t.cancel = cancel
		l.wg.Go(func() { l.runDrain(drainCtx, t) })
	}
}

// weightsMismatch returns the first model of an engine whose reported weights are
// not the desired ones, with the desired weights.
func weightsMismatch(doc *rcconfig.Document, up radishcrank.Upstream) (model radishcrank.ModelID, weights radishcrank.WeightsVersion, mismatch bool) {
	for _, m := range up.Models {
		for _, desired := range doc.Models {
			if desired.ID == m && desired.Weights != "" && up.Load.Weights[m] != desired.Weights {
				return m, desired.Weights, true
			}
		}
	}
	return "", "", false
}

// canOrder reports whether this lease holder may start a task for the engine now.
func (l *leader) canOrder(doc *rcconfig.Document, up radishcrank.Upstream) bool {
	switch {
	case up.Role != radishcrank.RoleEngine, up.Leaving, l.tasks[up.ID] != nil, !l.hasFreshReport(up.ID):
		return false
	case time.Now().Before(l.retryAt[up.ID]):
		return false
	case l.store.intents[up.ID].Revision > doc.Revision:
		return false // This instance does not have the latest configuration yet.
	}
	fenced := up.ChecksFence || doc.EffectiveSettings(rcconfig.Scope{Upstream: up.ID}).ChecksFence
	return fenced || time.Since(l.termStart) >= l.cfg.LeaseDuration+l.cfg.OrderTimeout
}

func (l *leader) hasFreshReport(id radishcrank.UpstreamID) bool {
	s := l.observations[id]
	return !s.reportedAt.IsZero() && time.Since(s.observedAt) <= l.cfg.MaxReportAge
}

// servedElsewhere reports whether another engine in service serves each model that
// the engine serves now.
func (l *leader) servedElsewhere(up radishcrank.Upstream) bool {
	for model, weights := range up.Load.Weights {
		if weights != "" && !l.modelServedElsewhere(up.ID, model) {
			return false
		}
	}
	return true
}

func (l *leader) modelServedElsewhere(id radishcrank.UpstreamID, model radishcrank.ModelID) bool {
	for _, other := range l.cfg.Board.Upstreams.Values() {
		inUse := other.Role == radishcrank.RoleEngine && !other.Leaving && l.tasks[other.ID] == nil && l.hasFreshReport(other.ID)
		if other.ID != id && inUse && other.Load.Weights[model] != "" {
			return true
		}
	}
	return false
}

// stillDesired reports whether the configuration still specifies the weights of a
// task and other engines still serve the models of the task's engine.
func (l *leader) stillDesired(t *task) bool {
	up, ok := l.cfg.Board.Upstreams.Get(t.up)
	if !ok || up.Leaving {
		return false
	}
	model, weights, mismatch := weightsMismatch(l.cfg.Document(), up)
	return mismatch && model == t.model && weights == t.weights && l.servedElsewhere(up)
}

func (l *leader) runDrain(ctx context.Context, t *task) {
	resume, err := l.cfg.Drainer.Drain(ctx, t.up, t.model)
	l.results <- result{task: t, resume: resume, err: err}
}
