package rcretry

import (
	"context"
	"errors"
	"time"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/state/rcboard"
)

// States of a circuit breaker, as shown in the Breakers table.
const (
	Closed   = "Closed"
	Open     = "Open"
	HalfOpen = "HalfOpen"
)

// breaker is the circuit breaker of one upstream.
type breaker struct {
	state         string
	failures      int // Number of consecutive failures.
	changedAt     time.Time
	openDuration  time.Duration
	slowStartedAt time.Time // When slow start began; zero at full weight.
	inFlight      int
	probes        int // Attempts started in the half-open state.
}

func (r *Retrier) breakerLocked(id radishcrank.UpstreamID) *breaker {
	b, ok := r.breakers[id]
	if !ok {
		b = &breaker{state: Closed}
		r.breakers[id] = b
	}
	return b
}

// Allow reports whether new work may be sent to an upstream, and its weight between
// 0 and 1. The call does not count as an attempt.
func (r *Retrier) Allow(id radishcrank.UpstreamID) (weight float64, ok bool) {
	s := r.settings()
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	b, known := r.breakers[id]
	if !known {
		return 1, true
	}
	if b.state == Open && now.Sub(b.changedAt) >= b.openDuration {
		b.state, b.changedAt, b.probes = HalfOpen, now, 0
		r.updateRowLocked(id, b)
	}
	switch b.state {
	case Open:
		return 0, false
	case HalfOpen:
		return s.MinimumWeight, b.probes == 0
	}
	return b.weight(s, now), true
}

// weight returns the upstream's weight, which grows linearly during slow start.
func (b *breaker) weight(s Settings, now time.Time) float64 {
	if b.slowStartedAt.IsZero() {
		return 1
	}
	progress := now.Sub(b.slowStartedAt).Seconds() / s.SlowStart.Seconds()
	if progress >= 1 {
		b.slowStartedAt = time.Time{}
		return 1
	}
	return max(s.MinimumWeight, progress)
}

// startAttempt counts the start of an attempt.
func (b *breaker) startAttempt() {
	b.inFlight++
	if b.state == HalfOpen {
		b.probes++
	}
}

// result is what the error of an attempt says about the health of its upstream.
type result int

const (
	neutral result = iota
	success
	failure
)

// classify returns the result of an attempt that ended with err. Cancellations by
// the caller are neutral, and so are refusals, which a healthy upstream at full
// capacity also returns.
func classify(err error) result {
	switch {
	case err == nil:
		return success
	case errors.Is(err, radishcrank.ErrNoProgress):
		return failure
	case errors.Is(err, context.Canceled), errors.Is(err, context.DeadlineExceeded), errors.Is(err, radishcrank.ErrUpstreamBusy):
		return neutral
	case errors.Is(err, radishcrank.ErrNotSent), errors.Is(err, radishcrank.ErrTruncated), errors.Is(err, radishcrank.ErrMismatch):
		return failure
	}
	return neutral
}

// RecordResult records the result of an attempt on an upstream. A nil error is a success.
func (r *Retrier) RecordResult(id radishcrank.UpstreamID, err error) {
	s := r.settings()
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.breakerLocked(id)
	b.inFlight = max(0, b.inFlight-1)
	switch res := classify(err); {
	case res == neutral && b.state == HalfOpen:
		b.probes = max(0, b.probes-1) // The result is inconclusive; allow another probe.
	case res == success:
		b.recordSuccess(now)
	case res == failure:
		b.recordFailure(s, now)
	}
	r.updateRowLocked(id, b)
}

// recordSuccess records a successful attempt. It ignores attempts that end in the
// open state, because they started before the breaker opened.
func (b *breaker) recordSuccess(now time.Time) {
	switch b.state {
	case Closed:
		b.failures = 0
	case HalfOpen:
		b.state, b.changedAt = Closed, now
		b.failures, b.openDuration = 0, 0
		b.slowStartedAt = now
	}
}

// recordFailure records a failed attempt.
func (b *breaker) recordFailure(s Settings, now time.Time) {
	b.failures++
	switch {
	case b.state == Closed && b.failures >= s.FailureThreshold:
		b.openDuration = s.OpenDuration
	case b.state == HalfOpen:
		b.openDuration = min(2*b.openDuration, s.MaxOpenDuration)
	default:
		return
	}
	b.state, b.changedAt, b.slowStartedAt = Open, now, time.Time{}
}

// updateRowLocked updates the row of a breaker in the Breakers table. In the lock
// order the table's lock comes after r.mu; it is held only during the write.
func (r *Retrier) updateRowLocked(id radishcrank.UpstreamID, b *breaker) {
	row := rcboard.Breaker{State: b.state, Failures: b.failures, ChangedAt: b.changedAt}
	if old, ok := r.cfg.Board.Breakers.Get(id); !ok || old != row {
		r.cfg.Board.Breakers.Put(id, row)
	}
}
