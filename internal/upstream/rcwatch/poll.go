package rcwatch

import (
	"context"
	"sync"
	"time"

	"github.com/radishcrank/radishcrank"
)

const (
	// resyncInterval is the minimum time between two full reads of an engine's
	// events.
	resyncInterval = 5 * time.Second

	// discoveryInterval is the interval at which rounds look for engines that
	// have never reported, even if the budget is exhausted.
	discoveryInterval = time.Second

	// minReportsPerRound is the number of reports that the budget must cover
	// before a round runs.
	minReportsPerRound = 4

	// observedWeight is the ratio of the polling rates of observed and other
	// engines when the budget does not suffice for all.
	observedWeight = 4
)

// poll is the polling state of an engine. Its fields are guarded by Watcher.mu,
// except up, which is owned by the poll in flight if there is one.
type poll struct {
	up         radishcrank.Upstream
	inFlight   bool
	observed   bool
	events     bool      // Whether cache events are read.
	lastReport time.Time // End of the last poll, successful or not.
	lastResync time.Time
}

// poll returns the polling state of an engine. w.mu must be held.
func (w *Watcher) poll(up radishcrank.Upstream) *poll {
	p := w.polls[up.ID]
	if p == nil {
		p = &poll{}
		w.polls[up.ID] = p
	}
	if !p.inFlight {
		p.up = up
	}
	return p
}

// sortKey returns the sort key of an engine that is due; the lowest is polled first.
func (p *poll) sortKey(now time.Time) time.Duration {
	age := now.Sub(p.lastReport)
	if p.observed {
		age *= observedWeight
	}
	return -age
}

// eventRate estimates the size of an engine's events in bytes per second. While
// the cache is full, each eviction comes with a store, hence the factor 2.
func (p *poll) eventRate() float64 {
	return 2 * p.up.Load.EvictionsPerSecond * (eventBytes + blockBytes)
}

// pollDue starts to poll the engines that are due. The returned group is done when
// all polls have ended.
func (w *Watcher) pollDue(ctx context.Context) *sync.WaitGroup {
	if w.skipRound(time.Now()) {
		return &sync.WaitGroup{}
	}
	var engines []radishcrank.Upstream
	for _, up := range w.cfg.Board.Upstreams.Values() {
		if up.Role == radishcrank.RoleEngine {
			engines = append(engines, up)
		}
	}
	w.pruneRemoved(engines)
	var wg sync.WaitGroup
	for _, p := range w.dueEngines(engines, time.Now()) {
		wg.Add(1)
		w.background.Go(func() {
			defer wg.Done()
			w.pollEngine(ctx, p)
		})
	}
	return &wg
}

// skipRound reports whether to skip a round because the budget covers too few
// reports. A round over 500 engines takes 1.8 ms of CPU. One round per
// discoveryInterval is never skipped, to find new engines.
func (w *Watcher) skipRound(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.currentRate == 0 || now.Sub(w.lastDiscovery) >= discoveryInterval {
		w.lastDiscovery = now
		return false
	}
	w.refill(now)
	return w.reportBudget.bytes < min(minReportsPerRound*reportBytes, w.currentRate-w.eventShare)
}

// pruneRemoved drops the polling state of engines that are no longer on the board.
func (w *Watcher) pruneRemoved(engines []radishcrank.Upstream) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.polls) <= len(engines) {
		return
	}
	known := make(map[radishcrank.UpstreamID]bool, len(engines))
	for _, up := range engines {
		known[up.ID] = true
	}
	for id, p := range w.polls {
		if !known[id] && !p.inFlight {
			delete(w.polls, id)
		}
	}
}

// pollEngine fetches an engine's load report, and its cache events if it is
// subscribed to them and the budget allows.
func (w *Watcher) pollEngine(ctx context.Context, p *poll) {
	engine := w.cfg.Dialer.Engine(p.up)
	ok := w.fetchReport(ctx, engine, p.up)
	w.mu.Lock()
	events := p.events && w.cfg.Index != nil && (w.currentRate == 0 || w.eventBudget.bytes > 0)
	w.mu.Unlock()
	if ok && events {
		w.readEvents(ctx, engine, p)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	p.lastReport = time.Now()
	p.inFlight = false
}

func (w *Watcher) fetchReport(ctx context.Context, engine radishcrank.Engine, up radishcrank.Upstream) bool {
	parent := ctx
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	sent := time.Now()
	report, err := engine.Load(ctx)
	if parent.Err() != nil {
		return false
	}
	var row radishcrank.Upstream
	w.cfg.Board.Upstreams.Update(up.ID, func(old radishcrank.Upstream, ok bool) (radishcrank.Upstream, bool) {
		row = old
		switch {
		case !ok:
		case err != nil:
			row.MissedReports++
		case report.Incarnation >= row.Incarnation:
			row.Load, row.Incarnation, row.MissedReports = report, report.Incarnation, 0
			row.Load.ReportedAt = clampReportTime(report.ReportedAt, sent)
		}
		return row, ok
	})
	if err == nil && w.cfg.Index != nil && row.ID != "" {
		w.cfg.Index.SetUpstream(row)
	}
	return err == nil
}

// clampReportTime returns the time of a report, but not later than the time at
// which it was requested. Otherwise, with an engine whose clock is ahead, later
// dispatches would seem to be included in the report.
func clampReportTime(reported, sent time.Time) time.Time {
	if reported.IsZero() || reported.After(sent) {
		return sent
	}
	return reported
}

// readEvents applies new cache events to the index. After a gap it reads all events
// that the engine retains.
func (w *Watcher) readEvents(ctx context.Context, engine radishcrank.Engine, p *poll) {
	from := w.cfg.Index.NextSeq(p.up.ID)
	batch, sent, err := w.fetchEvents(ctx, engine, p, from)
	if err != nil {
		return
	}
	result := w.cfg.Index.Apply(p.up.ID, batch, sent)
	if !result.Gap || from <= batch.First || !w.allowResync(p) {
		return
	}
	w.cfg.Log.Debug().Str("Upstream", string(p.up.ID)).Uint64("From", from).Msg("gap in cache events; reading all retained events")
	if batch, sent, err = w.fetchEvents(ctx, engine, p, batch.First); err == nil {
		w.cfg.Index.Resync(p.up.ID, batch, sent)
	}
}

func (w *Watcher) allowResync(p *poll) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	if now.Sub(p.lastResync) < resyncInterval {
		return false
	}
	p.lastResync = now
	return true
}

func (w *Watcher) fetchEvents(ctx context.Context, engine radishcrank.Engine, p *poll, from uint64) (batch radishcrank.CacheEventBatch, sent time.Time, err error) {
	ctx, cancel := context.WithTimeout(ctx, eventTimeout)
	defer cancel()
	sent = time.Now()
	batch, err = engine.Events(ctx, from)
	bytes := float64(batchBytes)
	for _, e := range batch.Events {
		bytes += eventBytes + float64(blockBytes*len(e.Blocks))
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.eventBudget.bytes -= bytes
	return batch, sent, err
}

// PollSoon makes the next round poll an engine, without charge to the budget. The
// load of an engine that rejected a request has probably changed since its last
// report.
func (w *Watcher) PollSoon(id radishcrank.UpstreamID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if p := w.polls[id]; p != nil {
		p.lastReport = time.Time{}
	}
}
