// Package rcadmission decides which exchanges are refused before they are sent,
// and when their callers are to come back.
//
// It answers loads beyond what the upstreams can serve. Callers leave a stream
// that has not begun after a while, so a queue longer than that serves nobody:
// each upstream works on exchanges whose callers are about to leave, and on
// prompts that it has half read when they do. An exchange that is refused at
// once can come back when the queue has become shorter.
package rcadmission

import "time"

const (
	// patienceShare of a caller's patience is the longest wait for what stands before
	// its exchange: its own prompt is still to be read then, and waits grow when
	// engines preempt.
	patienceShare = 0.75
	// leastReturn keeps callers from coming back before an instance can have heard
	// of a change: loads are told several times a second.
	leastReturn = 200 * time.Millisecond
	// leastSpread is the shortest time over which refused callers return.
	leastSpread = 400 * time.Millisecond
	// returnShare is the longest return as a share of the caller's remaining time:
	// callers honour no longer one, and one that comes back needs the rest.
	returnShare = 1.0 / 3
)

// Params is what the decision depends on.
type Params struct {
	// ExpectedWait is the expected wait at the upstream that would begin the exchange first.
	ExpectedWait time.Duration
	// StartTimeout is how long the caller still waits for the begin of its answer.
	StartTimeout time.Duration
	// TimeToDeadline is the time until the caller's deadline.
	TimeToDeadline time.Duration
}

// MaxWait is the longest wait with which the exchange is admitted.
func (c Params) MaxWait() time.Duration {
	return max(time.Duration(patienceShare*float64(c.StartTimeout)), 0)
}

// ShouldRefuse reports whether the exchange would probably begin only after its caller
// has left. It depends on the wait alone, not on the exchange's own size, so that long
// prompts are refused no earlier than short ones.
func (c Params) ShouldRefuse() bool { return c.ExpectedWait > c.MaxWait() }

// RetryAfter is when the caller is to come back. The callers that are refused
// together return evenly spread over the time in which the upstream serves what
// waits there now, from the moment at which one more would be served in time.
// random is uniform in [0, 1).
func (c Params) RetryAfter(random float64) time.Duration {
	longest := time.Duration(returnShare * float64(c.TimeToDeadline))
	first := max(c.ExpectedWait-c.MaxWait(), leastReturn)
	last := min(max(c.ExpectedWait, first+leastSpread), longest)
	first = min(first, longest/2)
	return max(first+time.Duration(random*float64(last-first)), 0)
}
