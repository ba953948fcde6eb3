package rcwatch

import (
	"context"
	"sync"
	"time"

	"github.com/radishcrank/radishcrank"
)

const (
	// resyncInterval bounds how often all events of an engine are read again.
	resyncInterval = 5 * time.Second

	// lookInterval is how often engines are looked for that never reported.
	lookInterval = time.Second

	// worthwhileReports is the number of reports that a round is worth.
	worthwhileReports = 4

	// observedWeight is how much more often an observed engine is asked than
	// another one when the budget does not reach.
	observedWeight = 4
)

// poll is the state of asking one engine. Its fields are guarded by Watcher.mu,
// except up, which belongs to the poll in progress.
type poll struct {
	up       radishcrank.Upstream
	busy     bool
	observed bool
	events   bool      // Events are read.
	last     time.Time // Last answered or failed report.
	resynced time.Time
}

// poll returns the state of an engine. w.mu must be locked.
func (w *Watcher) poll(up radishcrank.Upstream) *poll {
	p := w.polls[up.ID]
	if p == nil {
		p = &poll{}
		w.polls[up.ID] = p
	}
	if !p.busy {
		p.up = up
	}
	return p
}

// urgency orders engines that wait to be asked; the lowest is asked first.
func (p *poll) urgency(now time.Time) time.Duration {
	age := now.Sub(p.last)
	if p.observed {
		age *= observedWeight
	}
	return -age
}

// eventRate estimates the bytes of an engine's events in a second. While the
// cache is full each evicted block makes way for a stored one.
func (p *poll) eventRate() float64 {
	return 2 * p.up.Load.EvictionsPerSecond * (eventBytes + blockBytes)
}

// pollDue starts to ask the engines that are due. The returned group ends when
// they have answered.
func (w *Watcher) pollDue(ctx context.Context) *sync.WaitGroup {
	if w.exhausted(time.Now()) {
		return &sync.WaitGroup{}
	}
	var engines []radishcrank.Upstream
	for _, up := range w.cfg.Board.Upstreams.Values() {
		if up.Role == radishcrank.RoleEngine {
			engines = append(engines, up)
		}
	}
	w.forget(engines)
	var wg sync.WaitGroup
	for _, p := range w.due(engines, time.Now()) {
		wg.Add(1)
		w.running.Go(func() {
			defer wg.Done()
			w.ask(ctx, p)
		})
	}
	return &wg
}

// exhausted reports whether a round can be left out because the budget pays for
// too few reports. One round a second looks for new engines. A round over 500 engines
// takes 1.8 ms of CPU.
func (w *Watcher) exhausted(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.rateNow == 0 || now.Sub(w.looked) >= lookInterval {
		w.looked = now
		return false
	}
	w.refill(now)
	return w.reportBudget.bytes < min(worthwhileReports*reportBytes, w.rateNow-w.eventShare)
}

// forget drops the state of engines that left the board.
func (w *Watcher) forget(engines []radishcrank.Upstream) {
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
		if !known[id] && !p.busy {
			delete(w.polls, id)
		}
	}
}

// ask fetches the report of an engine, and its events if they are read.
func (w *Watcher) ask(ctx context.Context, p *poll) {
	engine := w.cfg.Dialer.Engine(p.up)
	ok := w.report(ctx, engine, p.up)
	w.mu.Lock()
	events := p.events && w.cfg.Index != nil && (w.rateNow == 0 || w.eventBudget.bytes > 0)
	w.mu.Unlock()
	if ok && events {
		w.readEvents(ctx, engine, p)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	p.last = time.Now()
	p.busy = false
}

func (w *Watcher) report(ctx context.Context, engine radishcrank.Engine, up radishcrank.Upstream) bool {
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
			row.Load.ReportedAt = plausible(report.ReportedAt, sent)
		}
		return row, ok
	})
	if err == nil && w.cfg.Index != nil && row.ID != "" {
		w.cfg.Index.SetUpstream(row)
	}
	return err == nil
}

// plausible returns the time of a report on this instance's clock. An engine
// whose clock is ahead would make all later dispatches look as if they were in
// the report.
func plausible(reported, sent time.Time) time.Time {
	if reported.IsZero() || reported.After(sent) {
		return sent
	}
	return reported
}

// readEvents applies new cache events, and all that the engine still holds
// after a gap.
func (w *Watcher) readEvents(ctx context.Context, engine radishcrank.Engine, p *poll) {
	from := w.cfg.Index.Next(p.up.ID)
	batch, sent, err := w.fetch(ctx, engine, p, from)
	if err != nil {
		return
	}
	sync := w.cfg.Index.Apply(p.up.ID, batch, sent)
	if !sync.Gap || from <= batch.First || !w.mayResync(p) {
		return
	}
	w.cfg.Log.Debug().Str("Upstream", string(p.up.ID)).Uint64("From", from).Msg("gap in cache events, reading all again")
	if batch, sent, err = w.fetch(ctx, engine, p, batch.First); err == nil {
		w.cfg.Index.Resync(p.up.ID, batch, sent)
	}
}

func (w *Watcher) mayResync(p *poll) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	if now.Sub(p.resynced) < resyncInterval {
		return false
	}
	p.resynced = now
	return true
}

func (w *Watcher) fetch(ctx context.Context, engine radishcrank.Engine, p *poll, from uint64) (batch radishcrank.CacheEventBatch, sent time.Time, err error) {
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

// PollSoon has an engine asked for its load in the next round, outside the budget.
// An engine that refused a request has probably changed since its last report.
func (w *Watcher) PollSoon(id radishcrank.UpstreamID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if p := w.polls[id]; p != nil {
		p.last = time.Time{}
	}
}
