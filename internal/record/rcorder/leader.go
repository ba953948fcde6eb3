package rcorder

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/platform/rcplatform"
)

// phase is what a task does.
type phase string

const (
	phaseDraining phase = "Draining" // Requests on the old weights finish.
	phaseWaiting  phase = "Waiting"  // For a slot, or for the weight store's rate limit.
	phaseLoading  phase = "Loading"
	phaseEnding   phase = "Ending" // Its drain was cancelled and has not returned yet.
)

// task is one engine's way to new weights.
type task struct {
	up       radishcrank.UpstreamID
	model    radishcrank.ModelID
	weights  radishcrank.WeightsVersion
	revision uint64
	phase    phase
	slot     int       // Valid while loading.
	started  time.Time // Of the load.
	refused  bool      // The engine certainly did not begin the load.
	cancel   context.CancelFunc
	resume   func() // Lets requests in again.
}

// sighting is when an upstream's report was last seen to change, on this
// instance's clock; the engines' clocks may be off.
type sighting struct {
	reportedAt time.Time
	at         time.Time
}

// result reports the end of a task's drain or of the sending of its order.
type result struct {
	task   *task
	sent   bool   // An order was sent; otherwise a drain has ended.
	resume func() // Of a drain.
	err    error
}

// release lets requests in again after a drain that no task waits for.
func (r result) release() {
	if r.resume != nil {
		r.resume()
	}
}

// leader gives orders during one term. One goroutine owns its fields; drains
// and sends run on others and report through results.
type leader struct {
	cfg     Config
	term    Term
	rows    *ledger
	dirty   bool // rows must be read anew before the next write.
	began   time.Time
	limiter *rate.Limiter
	pause   time.Time // Until when the weight store wants no requests.
	tasks   map[radishcrank.UpstreamID]*task
	delayed map[radishcrank.UpstreamID]time.Time // Until when no new task begins.
	seen    map[radishcrank.UpstreamID]sighting
	results chan result
	working sync.WaitGroup
	cancel  context.CancelFunc // Ends drains and sends.
}

func (l *leader) run(ctx context.Context) error {
	defer l.abandon()
	ticker := time.NewTicker(l.cfg.ReconcileInterval)
	defer ticker.Stop()
	l.adopt()
	for {
		if !l.term.Valid() {
			return context.Cause(ctx)
		}
		if err := l.step(ctx); err != nil {
			return err
		}
		select {
		case res := <-l.results:
			if err := l.take(res); err != nil {
				return err
			}
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// abandon ends all tasks with the term. Loads go on; the next holder finds their slots.
func (l *leader) abandon() {
	l.cancel()
	go func() {
		l.working.Wait()
		close(l.results)
	}()
	for res := range l.results {
		res.release()
	}
	for _, t := range l.tasks {
		t.resume()
	}
}

// adopt makes tasks of the loads that earlier holders began.
func (l *leader) adopt() {
	for n, s := range l.rows.slots {
		if s.Upstream == "" || l.tasks[s.Upstream] != nil {
			continue
		}
		in := l.rows.intents[s.Upstream]
		l.tasks[s.Upstream] = &task{
			up: s.Upstream, model: in.Order.Model, weights: in.Order.Weights, revision: in.Revision,
			phase: phaseLoading, slot: n, started: time.Now(), cancel: func() {}, resume: func() {},
		}
	}
}

// step compares what is desired with what is reported and acts on the difference.
func (l *leader) step(ctx context.Context) error {
	l.observe()
	if l.dirty {
		if err := l.reload(ctx); err != nil {
			return fatal(err)
		}
	}
	for _, t := range l.sorted() {
		var err error
		switch {
		case t.phase == phaseEnding:
		case t.phase == phaseLoading && l.over(t):
			err = l.finish(ctx, t)
		case t.phase != phaseLoading && !l.stillDesired(t):
			l.drop(t)
		case t.phase == phaseWaiting:
			err = l.start(ctx, t)
		}
		if err != nil {
			l.dirty = true
			return fatal(err)
		}
	}
	l.plan(ctx)
	return nil
}

// fatal keeps only the errors that end the term; the others pass with time.
func fatal(err error) error {
	if errors.Is(err, errSuperseded) || errors.Is(err, radishcrank.ErrStaleFence) {
		return err
	}
	return nil
}

func (l *leader) sorted() []*task {
	list := make([]*task, 0, len(l.tasks))
	for _, t := range l.tasks {
		list = append(list, t)
	}
	slices.SortFunc(list, func(a, b *task) int { return compareIDs(a.up, b.up) })
	return list
}

// reload reads the rows after a write that failed. A write of unknown outcome
// may have taken effect: its load then counts, although its order was not sent.
func (l *leader) reload(ctx context.Context) error {
	if err := l.rows.checkFence(ctx); err != nil {
		return err
	}
	if err := l.rows.load(ctx); err != nil {
		return err
	}
	l.dirty = false
	for _, t := range l.sorted() {
		// The write that freed the slot took effect, and the slot may be taken again.
		if t.phase == phaseLoading && l.rows.slots[t.slot].Upstream != t.up {
			l.drop(t)
		}
	}
	for n, s := range l.rows.slots {
		t := l.tasks[s.Upstream]
		if t != nil && t.phase == phaseWaiting {
			t.phase, t.slot, t.started = phaseLoading, n, time.Now()
			t.refused = true // Frees the slot; the task begins anew later.
		}
	}
	l.adopt()
	return nil
}

// take acts on the end of a drain or a send.
func (l *leader) take(res result) error {
	t := res.task
	if l.tasks[t.up] != t {
		return nil // The load was over before its order was answered.
	}
	if !res.sent {
		t.resume = res.resume
	}
	switch {
	case errors.Is(res.err, radishcrank.ErrStaleFence):
		return res.err
	case res.sent:
		t.refused = errors.Is(res.err, radishcrank.ErrNotSent) || errors.Is(res.err, radishcrank.ErrUpstreamBusy)
	case res.err != nil || t.phase == phaseEnding:
		t.phase = phaseEnding
		l.forget(t)
	default:
		t.phase = phaseWaiting
	}
	return nil
}

// drop ends a task that does not load. While its drain goes on, the engine
// stays out of use.
func (l *leader) drop(t *task) {
	t.cancel()
	if t.phase == phaseDraining {
		t.phase = phaseEnding
		return
	}
	l.forget(t)
}

// forget lets requests in again and removes the task.
func (l *leader) forget(t *task) {
	t.cancel()
	t.resume()
	delete(l.tasks, t.up)
	l.delayed[t.up] = time.Now().Add(retryDelay)
}

// over reports whether a load occupies its slot no longer.
func (l *leader) over(t *task) bool {
	up, ok := l.cfg.Board.Upstreams.Get(t.up)
	if !ok || t.refused || up.Incarnation != l.rows.intents[t.up].Incarnation {
		return true
	}
	return l.arrived(t, up) || time.Since(t.started) > l.cfg.LoadTimeout
}

// arrived reports whether a report since the order shows the ordered weights.
func (l *leader) arrived(t *task, up radishcrank.Upstream) bool {
	return up.Load.Weights[t.model] == t.weights && l.seen[t.up].at.After(t.started)
}

// finish frees a load's slot, then lets requests in again.
func (l *leader) finish(ctx context.Context, t *task) error {
	in := l.rows.intents[t.up]
	in.Upstream, in.Open = t.up, false
	if err := l.rows.put(ctx, t.slot, slot{}, in); err != nil {
		return err
	}
	up, _ := l.cfg.Board.Upstreams.Get(t.up)
	arrived := l.arrived(t, up)
	l.drop(t)
	if arrived {
		delete(l.delayed, t.up)
	}
	return nil
}

// start takes a slot for a drained engine and sends its order.
func (l *leader) start(ctx context.Context, t *task) error {
	n := slices.IndexFunc(l.rows.slots[:], func(s slot) bool { return s.Upstream == "" })
	if n < 0 || time.Now().Before(l.pause) || !l.limiter.Allow() {
		return nil
	}
	if !l.inStore(ctx, t) {
		return nil
	}
	up, ok := l.cfg.Board.Upstreams.Get(t.up)
	if !ok {
		l.drop(t)
		return nil
	}
	in := intent{
		Upstream:    t.up,
		Incarnation: up.Incarnation,
		Order:       radishcrank.Order{Fence: l.rows.fence, Kind: radishcrank.OrderLoadWeights, Model: t.model, Weights: t.weights},
		Revision:    t.revision,
		Open:        true,
	}
	if err := l.rows.put(ctx, n, slot{Upstream: t.up}, in); err != nil {
		return err
	}
	t.phase, t.slot, t.started, t.refused = phaseLoading, n, time.Now(), false
	l.working.Go(func() { l.send(ctx, t, up, in.Order) })
	return nil
}

// inStore asks the weight store for the weights and keeps to its rate limit.
func (l *leader) inStore(ctx context.Context, t *task) bool {
	if l.cfg.WeightStore == nil {
		return true
	}
	_, err := l.cfg.WeightStore.Info(ctx, t.model, t.weights)
	var limited *rcplatform.RateLimitError
	switch {
	case err == nil:
		return true
	case errors.As(err, &limited):
		l.pause = time.Now().Add(limited.RetryAfter)
	case errors.Is(err, radishcrank.ErrNotFound):
		l.drop(t)
	}
	return false
}

// send sends an order unless the lease has ended.
func (l *leader) send(ctx context.Context, t *task, up radishcrank.Upstream, order radishcrank.Order) {
	ctx, cancel := context.WithTimeout(ctx, l.cfg.OrderTimeout)
	defer cancel()
	err := radishcrank.ErrNotSent
	if l.term.Valid() {
		err = l.cfg.Dialer.Engine(up).Order(ctx, order)
	}
	l.results <- result{task: t, sent: true, err: err}
}
