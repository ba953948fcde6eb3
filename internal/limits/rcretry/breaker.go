package rcretry

import (
	"context"
	"errors"
	"time"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/state/rcboard"
)

// States of a circuit breaker, as the Breakers table shows them.
const (
	Closed   = "Closed"
	Open     = "Open"
	HalfOpen = "HalfOpen"
)

// breaker is the circuit breaker of one upstream.
type breaker struct {
	state     string
	failures  int // Consecutive faults.
	changedAt time.Time
	openFor   time.Duration
	slowFrom  time.Time // Start of slow start; zero at full weight.
	inFlight  int
	probes    int // Attempts begun in the half-open state.
}

func (r *Retrier) breakerLocked(id radishcrank.UpstreamID) *breaker {
	b, ok := r.breakers[id]
	if !ok {
		b = &breaker{state: Closed}
		r.breakers[id] = b
	}
	return b
}

// Allow reports whether new work may go to an upstream and with which weight
// between 0 and 1. Asking does not count as an attempt.
func (r *Retrier) Allow(id radishcrank.UpstreamID) (weight float64, ok bool) {
	s := r.settings()
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	b, known := r.breakers[id]
	if !known {
		return 1, true
	}
	if b.state == Open && now.Sub(b.changedAt) >= b.openFor {
		b.state, b.changedAt, b.probes = HalfOpen, now, 0
		r.showLocked(id, b)
	}
	switch b.state {
	case Open:
		return 0, false
	case HalfOpen:
		return s.MinimumWeight, b.probes == 0
	}
	return b.weight(s, now), true
}

// weight grows linearly during slow start.
func (b *breaker) weight(s Settings, now time.Time) float64 {
	if b.slowFrom.IsZero() {
		return 1
	}
	part := now.Sub(b.slowFrom).Seconds() / s.SlowStart.Seconds()
	if part >= 1 {
		b.slowFrom = time.Time{}
		return 1
	}
	return max(s.MinimumWeight, part)
}

// begin counts an attempt.
func (b *breaker) begin() {
	b.inFlight++
	if b.state == HalfOpen {
		b.probes++
	}
}

// verdict is what the end of an attempt says about its upstream.
type verdict int

const (
	neutral verdict = iota
	success
	fault
)

// judge tells faults of an upstream from the caller's cancellation and from a
// refusal, which a healthy but full upstream gives.
func judge(err error) verdict {
	switch {
	case err == nil:
		return success
	case errors.Is(err, radishcrank.ErrNoProgress):
		return fault
	case errors.Is(err, context.Canceled), errors.Is(err, context.DeadlineExceeded), errors.Is(err, radishcrank.ErrUpstreamBusy):
		return neutral
	case errors.Is(err, radishcrank.ErrNotSent), errors.Is(err, radishcrank.ErrTruncated), errors.Is(err, radishcrank.ErrMismatch):
		return fault
	}
	return neutral
}

// Report tells how an attempt on an upstream ended; nil is success.
func (r *Retrier) Report(id radishcrank.UpstreamID, err error) {
	s := r.settings()
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.breakerLocked(id)
	b.inFlight = max(0, b.inFlight-1)
	switch v := judge(err); {
	case v == neutral && b.state == HalfOpen:
		b.probes = max(0, b.probes-1) // The probe proved nothing; the next one may.
	case v == success:
		b.succeed(now)
	case v == fault:
		b.fail(s, now)
	}
	r.showLocked(id, b)
}

// succeed ignores attempts that end in the open state: they began before it.
func (b *breaker) succeed(now time.Time) {
	switch b.state {
	case Closed:
		b.failures = 0
	case HalfOpen:
		b.state, b.changedAt = Closed, now
		b.failures, b.openFor = 0, 0
		b.slowFrom = now
	}
}

func (b *breaker) fail(s Settings, now time.Time) {
	b.failures++
	switch {
	case b.state == Closed && b.failures >= s.FailureThreshold:
		b.openFor = s.OpenDuration
	case b.state == HalfOpen:
		b.openFor = min(2*b.openFor, s.MaxOpenDuration)
	default:
		return
	}
	b.state, b.changedAt, b.slowFrom = Open, now, time.Time{}
}

// showLocked writes the row of a breaker. The table ranks after this lock and
// its lock is held for the write only.
func (r *Retrier) showLocked(id radishcrank.UpstreamID, b *breaker) {
	row := rcboard.Breaker{State: b.state, Failures: b.failures, ChangedAt: b.changedAt}
	if old, ok := r.cfg.Board.Breakers.Get(id); !ok || old != row {
		r.cfg.Board.Breakers.Put(id, row)
	}
}
