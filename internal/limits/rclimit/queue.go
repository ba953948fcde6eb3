package rclimit

import (
	"math"
	"net/http"
	"slices"
	"time"

	"github.com/radishcrank/radishcrank"
)

// dispatchLocked admits waiting requests in fair order while there is capacity, and
// schedules the next review if requests still wait.
func (l *Limiter) dispatchLocked() {
	now := time.Now()
	nextReview := reviewInterval
	for l.waiting > 0 && l.hasCapacity() {
		a, wait := l.nextLocked(now)
		if a == nil {
			nextReview = min(nextReview, wait)
			break
		}
		l.admitLocked(a, now)
	}
	for _, a := range l.queued {
		l.updateRowLocked(a)
	}
	l.scheduleReviewLocked(nextReview)
}

// addLocked appends a request to its account's queue.
func (l *Limiter) addLocked(a *account, w *waiter) {
	a.queue = append(a.queue, w)
	l.queued[a.id] = a
	l.waiting++
}

// removeLocked removes a request from its account's queue. It returns false if the
// request is not in the queue.
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

// hasCapacity reports whether the instance has capacity for another request.
func (l *Limiter) hasCapacity() bool {
	capacity := l.cfg.Capacity()
	return capacity <= 0 || l.running < capacity
}

// nextLocked returns the account whose first request is admitted next: among the
// accounts within their limits, the one with the smallest start tag. If all are at
// their limits, it returns nil and the time until the first of them may continue.
func (l *Limiter) nextLocked(now time.Time) (next *account, wait time.Duration) {
	wait = math.MaxInt64
	for _, a := range l.queued {
		if delay := l.limitDelayLocked(a, a.queue[0].cost, now); delay > 0 {
			wait = min(wait, delay)
			continue
		}
		if next == nil || l.admittedBefore(a, next) {
			next = a
		}
	}
	return next, wait
}

// admittedBefore reports whether the first request of a is admitted before that of b.
func (l *Limiter) admittedBefore(a, b *account) bool {
	tagA, tagB := max(l.virtualTime, a.finishTag), max(l.virtualTime, b.finishTag)
	if tagA != tagB {
		return tagA < tagB
	}
	return a.id < b.id
}

// limitDelayLocked returns how long the account's limits delay a request of the
// given cost. At the concurrency limit this is reviewInterval, because the time
// until a request completes is unknown.
func (l *Limiter) limitDelayLocked(a *account, cost float64, now time.Time) time.Duration {
	wait := time.Duration(0)
	if limit := l.concurrencyShareLocked(a, now); limit >= 0 && a.running >= limit {
		wait = reviewInterval
	}
	if a.settings.TokensPerSecond > 0 {
		rate := l.rateShareLocked(a, a.settings.TokensPerSecond, now)
		a.tokens.refill(rate, now)
		wait = max(wait, a.tokens.wait(cost, rate))
	}
	if a.settings.RequestsPerSecond > 0 {
		rate := l.rateShareLocked(a, a.settings.RequestsPerSecond, now)
		a.requests.refill(rate, now)
		wait = max(wait, a.requests.wait(1, rate))
	}
	return wait
}

// admitLocked admits the first request in the account's queue.
func (l *Limiter) admitLocked(a *account, now time.Time) {
	w := a.queue[0]
	l.removeLocked(a, w)
	start := max(l.virtualTime, a.finishTag)
	l.virtualTime = start
	a.finishTag = start + a.virtualTime(w.cost)
	if a.settings.TokensPerSecond > 0 {
		a.tokens.balance -= w.cost
	}
	if a.settings.RequestsPerSecond > 0 {
		a.requests.balance--
	}
	a.running++
	l.running++
	w.startedAt = now
	close(w.done)
	l.updateRowLocked(a)
}

// scheduleReviewLocked schedules the next review, or stops the timer if no request
// waits.
func (l *Limiter) scheduleReviewLocked(d time.Duration) {
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

// review refuses waiting requests that are now predicted to miss their deadline,
// and admits requests that are no longer over a limit.
func (l *Limiter) review() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, a := range l.queued {
		// Iterate backwards: removing a request changes only the positions after it.
		for i, w := range slices.Backward(slices.Clone(a.queue)) {
			err := l.deadlineRefusalLocked(a, i, w)
			if err == nil {
				continue
			}
			l.removeLocked(a, w)
			w.err = err
			close(w.done)
			l.updateRowLocked(a)
		}
	}
	l.dispatchLocked()
}

// refusalLocked returns the refusal of a new request at the given position of the
// account's queue, or nil if the request may wait.
func (l *Limiter) refusalLocked(a *account, position int, w *waiter) error {
	bound := a.settings.QueueLength
	if bound <= 0 {
		bound = maxQueue
	}
	if position >= bound {
		return newRefusal(http.StatusTooManyRequests, "queue_full", "too many requests of the account are waiting", l.predictWaitLocked(a, position, w))
	}
	return l.deadlineRefusalLocked(a, position, w)
}

// deadlineRefusalLocked returns a refusal if the request is predicted to wait past
// its deadline, and nil otherwise.
func (l *Limiter) deadlineRefusalLocked(a *account, position int, w *waiter) error {
	if w.deadline.IsZero() {
		return nil
	}
	wait := l.predictWaitLocked(a, position, w)
	if wait <= max(0, time.Until(w.deadline)) {
		return nil
	}
	return newRefusal(http.StatusTooManyRequests, "wait_too_long", "the request would wait past its deadline", wait)
}

// newRefusal returns a refusal with OutcomeNotRun. Its RetryAfter is the predicted
// wait, limited to the range from 1 s to maxRetryAfter.
func newRefusal(status int, code, message string, wait time.Duration) *radishcrank.Refusal {
	return &radishcrank.Refusal{
		Status: status, Code: code, Message: message,
		Outcome:    radishcrank.OutcomeNotRun,
		RetryAfter: min(max(wait, time.Second), maxRetryAfter),
	}
}

// predictWaitLocked predicts the wait of a request at the given position of the
// account's queue. It is the longer of the waits for capacity and for the account's
// limits.
func (l *Limiter) predictWaitLocked(a *account, position int, w *waiter) time.Duration {
	now := time.Now()
	wait := l.limitDelayLocked(a, w.cost+costAhead(a, position), now)
	if a.settings.TokensPerSecond > 0 {
		// bucket.wait returns at most the time to a full bucket, but the requests
		// ahead take their tokens first.
		rate := l.rateShareLocked(a, a.settings.TokensPerSecond, now)
		wait = max(wait, seconds((costAhead(a, position)+min(w.cost, rate*burst.Seconds())-a.tokens.balance)/rate))
	}
	if a.settings.RequestsPerSecond > 0 {
		rate := l.rateShareLocked(a, a.settings.RequestsPerSecond, now)
		wait = max(wait, seconds((float64(position+1)-a.requests.balance)/rate))
	}
	if limit := l.concurrencyShareLocked(a, now); limit > 0 && a.running+position >= limit {
		wait = max(wait, l.drainTime(a.running+position+1-limit, limit))
	}
	capacity := l.cfg.Capacity()
	before := l.countBeforeLocked(a, position, w)
	if capacity > 0 && l.running+before >= capacity {
		wait = max(wait, l.drainTime(l.running+before+1-capacity, capacity))
	}
	return wait
}

// drainTime estimates the time in which n requests complete if slots of them run
// concurrently.
func (l *Limiter) drainTime(n, slots int) time.Duration {
	return time.Duration(float64(n) / float64(slots) * float64(l.meanDuration))
}

// costAhead returns the total cost of the account's requests before position.
func costAhead(a *account, position int) (cost float64) {
	for _, w := range a.queue[:position] {
		cost += w.cost
	}
	return cost
}

// countBeforeLocked counts the waiting requests of all accounts that are admitted
// before the request at the given position of the account's queue.
func (l *Limiter) countBeforeLocked(a *account, position int, w *waiter) int {
	tag := max(l.virtualTime, a.finishTag) + a.virtualTime(costAhead(a, position))
	n := position
	for _, other := range l.queued {
		if other == a {
			continue
		}
		start := max(l.virtualTime, other.finishTag)
		for _, o := range other.queue {
			if start > tag {
				break
			}
			n++
			start += other.virtualTime(o.cost)
		}
	}
	return n
}

// seconds converts a number of seconds to a duration, limited to the range from 0
// to the maximum duration. NaN gives the maximum.
func seconds(s float64) time.Duration {
	if math.IsNaN(s) || s > math.MaxInt64/float64(time.Second) {
		return math.MaxInt64
	}
	return time.Duration(max(0, s) * float64(time.Second))
}
