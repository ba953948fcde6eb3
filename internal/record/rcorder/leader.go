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

// phase is the state of a task.
type phase string

const (
	phaseDraining phase = "Draining" // Requests on the old weights are finishing.
	phaseWaiting  phase = "Waiting"  // For a slot, or for the weight store.
	phaseLoading  phase = "Loading"
	phaseEnding   phase = "Ending" // The drain was cancelled and has not returned yet.
)

// task is the update of one engine to other weights.
type task struct {
	up         radishcrank.UpstreamID
	model      radishcrank.ModelID
	weights    radishcrank.WeightsVersion
	revision   uint64
	phase      phase
	slot       int       // Valid in phaseLoading.
	started    time.Time // Start of the load.
	notStarted bool      // The load certainly did not begin.
	cancel     context.CancelFunc
	resume     func() // Admits new requests again.
}

// reportObservation is the time, on this instance's clock, at which an upstream's
// report was last seen to change. The engines' clocks may be inaccurate.
type reportObservation struct {
	reportedAt time.Time
	observedAt time.Time
}

// result is the outcome of a task's drain or of the sending of its order.
type result struct {
	task   *task
	sent   bool   // True for an order, false for a drain.
	resume func() // Set for a drain.
	err    error
}

// resumeRequests admits new requests after a drain whose task is gone.
func (r result) resumeRequests() {
	if r.resume != nil {
		r.resume()
	}
}

// leader sends orders during one term. One goroutine owns its fields; drains and
// sends run on other goroutines, which report through results.
type leader struct {
	cfg                Config
	term               Term
	store              *orderStore
	needsReload        bool // store must be reloaded before the next write.
	termStart          time.Time
	limiter            *rate.Limiter
	weightStoreRetryAt time.Time // No request is sent to the weight store before this time.
	tasks              map[radishcrank.UpstreamID]*task
	retryAt            map[radishcrank.UpstreamID]time.Time // No task of the engine starts before this time.
	observations       map[radishcrank.UpstreamID]reportObservation
	results            chan result
	wg                 sync.WaitGroup
	cancel             context.CancelFunc // Cancels drains and sends.
}

func (l *leader) run(ctx context.Context) error {
	defer l.shutdown()
	ticker := time.NewTicker(l.cfg.ReconcileInterval)
	defer ticker.Stop()
	l.adoptLoads()
	for {
		if !l.term.Valid() {
			return context.Cause(ctx)
		}
		if err := l.reconcile(ctx); err != nil {
			return err
		}
		select {
		case res := <-l.results:
			if err := l.handleResult(res); err != nil {
				return err
			}
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// shutdown cancels all tasks at the end of the term. Loads continue on the engines;
// the next lease holder finds their slots.
func (l *leader) shutdown() {
	l.cancel()
	go func() {
		l.wg.Wait()
		close(l.results)
	}()
	for res := range l.results {
		res.resumeRequests()
	}
	for _, t := range l.tasks {
		t.resume()
	}
}

// adoptLoads creates tasks for occupied slots without a task, such as those of
// loads that earlier lease holders ordered.
func (l *leader) adoptLoads() {
	for n, s := range l.store.slots {
		if s.Upstream == "" || l.tasks[s.Upstream] != nil {
			continue
		}
		in := l.store.intents[s.Upstream]
		l.tasks[s.Upstream] = &task{
			up: s.Upstream, model: in.Order.Model, weights: in.Order.Weights, revision: in.Revision,
			phase: phaseLoading, slot: n, started: time.Now(), cancel: func() {}, resume: func() {},
		}
	}
}

// reconcile compares the desired weights with the reported ones and advances or
// starts tasks accordingly.
func (l *leader) reconcile(ctx context.Context) error {
	l.observeReports()
	if l.needsReload {
		if err := l.reload(ctx); err != nil {
			return termEndingError(err)
		}
	}
	for _, t := range l.sortedTasks() {
		var err error
		switch {
		case t.phase == phaseEnding:
		case t.phase == phaseLoading && l.loadEnded(t):
			err = l.finishLoad(ctx, t)
		case t.phase != phaseLoading && !l.stillDesired(t):
			l.cancelTask(t)
		case t.phase == phaseWaiting:
			err = l.startLoad(ctx, t)
		}
		if err != nil {
			l.needsReload = true
			return termEndingError(err)
		}
	}
	l.startTasks(ctx)
	return nil
}

// termEndingError returns err if it ends the term. Other errors are transient, and
// it returns nil for them.
func termEndingError(err error) error {
	if errors.Is(err, errSuperseded) || errors.Is(err, radishcrank.ErrStaleFence) {
		return err
	}
	return nil
}

func (l *leader) sortedTasks() []*task {
	list := make([]*task, 0, len(l.tasks))
	for _, t := range l.tasks {
		list = append(list, t)
	}
	slices.SortFunc(list, func(a, b *task) int { return compareIDs(a.up, b.up) })
	return list
}

// reload reads the rows again after a failed write. A write with an unknown outcome
// may have taken effect; its slot is then occupied, although the order was not sent.
func (l *leader) reload(ctx context.Context) error {
	if err := l.store.checkFence(ctx); err != nil {
		return err
	}
	if err := l.store.load(ctx); err != nil {
		return err
	}
	l.needsReload = false
	for _, t := range l.sortedTasks() {
		// The write that freed the slot took effect, and another load may occupy the
		// slot by now.
		if t.phase == phaseLoading && l.store.slots[t.slot].Upstream != t.up {
			l.cancelTask(t)
		}
	}
	for n, s := range l.store.slots {
		t := l.tasks[s.Upstream]
		if t != nil && t.phase == phaseWaiting {
			t.phase, t.slot, t.started = phaseLoading, n, time.Now()
			t.notStarted = true // Frees the slot; a new task starts later.
		}
	}
	l.adoptLoads()
	return nil
}

// handleResult processes the outcome of a drain or a send.
func (l *leader) handleResult(res result) error {
	t := res.task
	if l.tasks[t.up] != t {
		return nil // The load ended before the engine responded to the order.
	}
	if !res.sent {
		t.resume = res.resume
	}
	switch {
	case errors.Is(res.err, radishcrank.ErrStaleFence):
		return res.err
	case res.sent:
		t.notStarted = errors.Is(res.err, radishcrank.ErrNotSent) || errors.Is(res.err, radishcrank.ErrUpstreamBusy)
	case res.err != nil || t.phase == phaseEnding:
		t.phase = phaseEnding
		l.removeTask(t)
	default:
		t.phase = phaseWaiting
	}
	return nil
}

// cancelTask ends a task. The engine stays out of service until a drain that is
// still running has returned.
func (l *leader) cancelTask(t *task) {
	t.cancel()
	if t.phase == phaseDraining {
		t.phase = phaseEnding
		return
	}
	l.removeTask(t)
}

// removeTask admits new requests again and removes the task.
func (l *leader) removeTask(t *task) {
	t.cancel()
	t.resume()
	delete(l.tasks, t.up)
	l.retryAt[t.up] = time.Now().Add(retryDelay)
}

// loadEnded reports whether a load no longer needs its slot.
func (l *leader) loadEnded(t *task) bool {
	up, ok := l.cfg.Board.Upstreams.Get(t.up)
	if !ok || t.notStarted || up.Incarnation != l.store.intents[t.up].Incarnation {
		return true
	}
	return l.loadConfirmed(t, up) || time.Since(t.started) > l.cfg.LoadTimeout
}

// loadConfirmed reports whether a load report that was seen after the order shows
// the ordered weights.
func (l *leader) loadConfirmed(t *task, up radishcrank.Upstream) bool {
	return up.Load.Weights[t.model] == t.weights && l.observations[t.up].observedAt.After(t.started)
}

// finishLoad frees the slot of a load, then admits new requests again.
func (l *leader) finishLoad(ctx context.Context, t *task) error {
	in := l.store.intents[t.up]
	in.Upstream, in.Open = t.up, false
	if err := l.store.put(ctx, t.slot, slot{}, in); err != nil {
		return err
	}
	up, _ := l.cfg.Board.Upstreams.Get(t.up)
	confirmed := l.loadConfirmed(t, up)
	l.cancelTask(t)
	if confirmed {
		delete(l.retryAt, t.up)
	}
	return nil
}

// startLoad occupies a slot for a drained engine and sends its order. It does
// nothing if no slot is free or the weights cannot be loaded yet.
func (l *leader) startLoad(ctx context.Context, t *task) error {
	n := slices.IndexFunc(l.store.slots[:], func(s slot) bool { return s.Upstream == "" })
	if n < 0 || time.Now().Before(l.weightStoreRetryAt) || !l.limiter.Allow() {
		return nil
	}
	if !l.weightsAvailable(ctx, t) {
		return nil
	}
	up, ok := l.cfg.Board.Upstreams.Get(t.up)
	if !ok {
		l.cancelTask(t)
		return nil
	}
	in := intent{
		Upstream:    t.up,
		Incarnation: up.Incarnation,
		Order:       radishcrank.Order{Fence: l.store.fence, Kind: radishcrank.OrderLoadWeights, Model: t.model, Weights: t.weights},
		Revision:    t.revision,
		Open:        true,
	}
	if err := l.store.put(ctx, n, slot{Upstream: t.up}, in); err != nil {
		return err
	}
	t.phase, t.slot, t.started, t.notStarted = phaseLoading, n, time.Now(), false
	l.wg.Go(func() { l.sendOrder(ctx, t, up, in.Order) })
	return nil
}

// weightsAvailable reports whether the weight store has the weights. If the store
// reports its rate limit, loads wait for the time that it gives; if it does not
// have the weights, the task is cancelled.
func (l *leader) weightsAvailable(ctx context.Context, t *task) bool {
	if l.cfg.WeightStore == nil {
		return true
	}
	_, err := l.cfg.WeightStore.Info(ctx, t.model, t.weights)
	var limited *rcplatform.RateLimitError
	switch {
	case err == nil:
		return true
	case errors.As(err, &limited):
		l.weightStoreRetryAt = time.Now().Add(limited.RetryAfter)
	case errors.Is(err, radishcrank.ErrNotFound):
		l.cancelTask(t)
	}
	return false
}

// sendOrder sends an order unless the term has ended.
func (l *leader) sendOrder(ctx context.Context, t *task, up radishcrank.Upstream, order radishcrank.Order) {
	ctx, cancel := context.WithTimeout(ctx, l.cfg.OrderTimeout)
	defer cancel()
	err := radishcrank.ErrNotSent
	if l.term.Valid() {
		err = l.cfg.Dialer.Engine(up).Order(ctx, order)
	}
	l.results <- result{task: t, sent: true, err: err}
}
