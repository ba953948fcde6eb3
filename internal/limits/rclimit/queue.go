package rclimit

import (
	"math"
	"net/http"
	"slices"
	"time"

	"github.com/radishcrank/radishcrank"
)

// dispatchLocked admits waiting requests in fair order as long as there is
// capacity, and plans the next review if some still wait.
func (l *Limiter) dispatchLocked() {
	now := time.Now()
	soonest := reviewInterval
	for l.waiting > 0 && l.free() {
		a, wait := l.nextLocked(now)
		if a == nil {
			soonest = min(soonest, wait)
			break
		}
		l.admitLocked(a, now)
	}
	for _, a := range l.queued {
		l.showLocked(a)
	}
	l.planLocked(soonest)
}

// addLocked puts a request at the end of its account's queue.
func (l *Limiter) addLocked(a *account, w *waiter) {
	a.queue = append(a.queue, w)
	l.queued[a.id] = a
	l.waiting++
}

// removeLocked takes a request out of its account's queue. It reports false if
// it is not there any more.
func (l *Limiter) removeLocked(a *account, w *waiter) bool {
	i := slices.Index(a.queue, w)
	if i < 0 {
		return false
	}
	a.queue = slices.Delete(a.queue, i, i+1)
	l.waiting--
	if len(a.queue) == 0 {
		delete(l.queued, a.id)
	}
	return true
}

func (l *Limiter) free() bool {
	capacity := l.cfg.Capacity()
	return capacity <= 0 || l.running < capacity
}

// nextLocked returns the account whose turn it is among those within their
// limits: the one whose next request has the smallest start tag. Without one it
// returns the time until a rate limit allows the first of them.
func (l *Limiter) nextLocked(now time.Time) (next *account, wait time.Duration) {
	wait = math.MaxInt64
	for _, a := range l.queued {
		if due := l.limitedForLocked(a, a.queue[0].cost, now); due > 0 {
			wait = min(wait, due)
			continue
		}
		if next == nil || l.before(a, next) {
			next = a
		}
	}
	return next, wait
}

func (l *Limiter) before(a, b *account) bool {
	tagA, tagB := max(l.virtual, a.finish), max(l.virtual, b.finish)
	if tagA != tagB {
		return tagA < tagB
	}
	return a.id < b.id
}

// limitedForLocked returns how long the account's limits hold a request back;
// for the concurrency limit, whose end nobody knows, the review interval.
func (l *Limiter) limitedForLocked(a *account, cost float64, now time.Time) time.Duration {
	wait := time.Duration(0)
	if most := l.concurrencyShareLocked(a, now); most >= 0 && a.running >= most {
		wait = reviewInterval
	}
	if a.settings.TokensPerSecond > 0 {
		rate := l.shareLocked(a, a.settings.TokensPerSecond, now)
		a.tokens.refill(rate, now)
		wait = max(wait, a.tokens.wait(cost, rate))
	}
	if a.settings.RequestsPerSecond > 0 {
		rate := l.shareLocked(a, a.settings.RequestsPerSecond, now)
		a.requests.refill(rate, now)
		wait = max(wait, a.requests.wait(1, rate))
	}
	return wait
}

func (l *Limiter) admitLocked(a *account, now time.Time) {
	w := a.queue[0]
	l.removeLocked(a, w)
	start := max(l.virtual, a.finish)
	l.virtual = start
	a.finish = start + a.virtual(w.cost)
	if a.settings.TokensPerSecond > 0 {
		a.tokens.balance -= w.cost
	}
	if a.settings.RequestsPerSecond > 0 {
		a.requests.balance--
	}
	a.running++
	l.running++
	w.startedAt = now
	close(w.settled)
	l.showLocked(a)
}

// planLocked starts the timer of the next review.
func (l *Limiter) planLocked(d time.Duration) {
	switch {
	case l.waiting == 0 && l.timer != nil:
		l.timer.Stop()
		l.timer = nil
	case l.waiting > 0 && l.timer == nil:
		l.timer = time.AfterFunc(d, l.review)
	case l.waiting > 0:
		l.timer.Reset(d)
	}
}

// review refuses requests that would wait past their deadline by now, and
// admits those whose limit allows it again.
func (l *Limiter) review() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, a := range l.queued {
		// From the back, since a refusal moves only those behind it.
		for i, w := range slices.Backward(slices.Clone(a.queue)) {
			err := l.lateLocked(a, i, w)
			if err == nil {
				continue
			}
			l.removeLocked(a, w)
			w.err = err
			close(w.settled)
			l.showLocked(a)
		}
	}
	l.dispatchLocked()
}

// refusalLocked says why a new request at position of the account's queue is
// refused at once, or returns nil.
func (l *Limiter) refusalLocked(a *account, position int, w *waiter) error {
	bound := a.settings.QueueLength
	if bound <= 0 {
		bound = maxQueue
	}
	if position >= bound {
		return refusal(http.StatusTooManyRequests, "queue_full", "too many requests of the account are waiting", l.waitLocked(a, position, w))
	}
	return l.lateLocked(a, position, w)
}

// lateLocked refuses a request whose predicted wait passes its deadline.
func (l *Limiter) lateLocked(a *account, position int, w *waiter) error {
	if w.deadline.IsZero() {
		return nil
	}
	wait := l.waitLocked(a, position, w)
	if wait <= max(0, time.Until(w.deadline)) {
		return nil
	}
	return refusal(http.StatusTooManyRequests, "wait_too_long", "the request would wait past its deadline", wait)
}

func refusal(status int, code, message string, wait time.Duration) *radishcrank.Refusal {
	return &radishcrank.Refusal{
		Status: status, Code: code, Message: message,
		Outcome:    radishcrank.OutcomeNotRun,
		RetryAfter: min(max(wait, time.Second), maxRetryAfter),
	}
}

// waitLocked predicts the wait of the request at position of the account's
// queue: the longer one of the wait for capacity and that for the limits.
func (l *Limiter) waitLocked(a *account, position int, w *waiter) time.Duration {
	now := time.Now()
	wait := l.limitedForLocked(a, w.cost+ahead(a, position), now)
	if a.settings.TokensPerSecond > 0 {
		// The bucket's wait stops at a full bucket; those ahead empty it first.
		rate := l.shareLocked(a, a.settings.TokensPerSecond, now)
		wait = max(wait, seconds((ahead(a, position)+min(w.cost, rate*burst.Seconds())-a.tokens.balance)/rate))
	}
	if a.settings.RequestsPerSecond > 0 {
		rate := l.shareLocked(a, a.settings.RequestsPerSecond, now)
		wait = max(wait, seconds((float64(position+1)-a.requests.balance)/rate))
	}
	if most := l.concurrencyShareLocked(a, now); most > 0 && a.running+position >= most {
		wait = max(wait, l.turns(a.running+position+1-most, most))
	}
	capacity := l.cfg.Capacity()
	before := l.beforeLocked(a, position, w)
	if capacity > 0 && l.running+before >= capacity {
		wait = max(wait, l.turns(l.running+before+1-capacity, capacity))
	}
	return wait
}

// turns returns the time until n of the requests that run slots at once have ended.
func (l *Limiter) turns(n, slots int) time.Duration {
	return time.Duration(float64(n) / float64(slots) * float64(l.hold))
}

// ahead returns the cost of the account's own requests before position.
func ahead(a *account, position int) (cost float64) {
	for _, w := range a.queue[:position] {
		cost += w.cost
	}
	return cost
}

// beforeLocked counts the waiting requests whose turn comes before that of the
// request at position of the account's queue.
func (l *Limiter) beforeLocked(a *account, position int, w *waiter) int {
	tag := max(l.virtual, a.finish) + a.virtual(ahead(a, position))
	n := position
	for _, other := range l.queued {
		if other == a {
			continue
		}
		start := max(l.virtual, other.finish)
		for _, o := range other.queue {
			if start > tag {
				break
			}
			n++
			start += other.virtual(o.cost)
		}
	}
	return n
}

func seconds(s float64) time.Duration {
	if math.IsNaN(s) || s > math.MaxInt64/float64(time.Second) {
		return math.MaxInt64
	}
	return time.Duration(max(0, s) * float64(time.Second))
}
