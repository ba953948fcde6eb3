// Package rcadmission decides which exchanges are refused before they are sent
// upstream, which yield to others or wait for a place, and when callers should
// retry. It does no I/O, and time and randomness are passed in.
//
// It sheds load that exceeds the capacity of the upstreams. Callers cancel a
// stream that does not start within a certain time. With a queue longer than
// that, upstreams spend their time on exchanges that are about to be cancelled
// and on prompts whose prefill is then abandoned. An exchange that is refused
// immediately can be retried when the queue is shorter.
package rcadmission

import "time"

const (
	// maxWaitFraction is the longest admitted queueing time as a fraction of
	// Params.StartTimeout. The rest covers the prefill of the exchange's own prompt,
	// which follows the wait, and waits that grow when engines preempt requests.
	maxWaitFraction = 0.75
	// maxLateWaitFraction is the same for exchanges that are late. Those in time that
	// arrive during the wait go before them, so the wait grows. In the replay of a burst,
	// 0.75 lets up to twice as many callers wait in vain for as many answers, and 0.25
	// answers up to 4% fewer.
	maxLateWaitFraction = 0.5
	// minRetryAfter is the shortest delay of a retry. Load reports arrive several
	// times per second; a retry before the next report would meet the same decision.
	minRetryAfter = 200 * time.Millisecond
	// minRetrySpread is the shortest interval over which retries are spread.
	minRetrySpread = 400 * time.Millisecond
	// maxRetryFraction is the longest retry delay as a fraction of the time until the
	// caller's deadline. Callers do not honor longer delays, and the retried exchange
	// needs the rest of the time.
	maxRetryFraction = 1.0 / 3
)

// Params holds the inputs of an admission decision.
type Params struct {
	// ExpectedWait is the wait at the upstream that would start the exchange first.
	ExpectedWait time.Duration
	// StartTimeout is how long the caller still waits for the start of the answer.
	StartTimeout time.Duration
	// TimeToDeadline is the time until the caller's deadline.
	TimeToDeadline time.Duration
	// Late means that the exchange yields to those that are in time.
	Late bool
	// UrgentTimeout is the shortest time that callers of more urgent exchanges wait for the
	// start of the answer; 0 if there are none. A late exchange is admitted at no wait at
	// which they would be refused.
	UrgentTimeout time.Duration
}

// MaxWait returns the longest expected wait at which the exchange is admitted.
func (p Params) MaxWait() time.Duration {
	if !p.Late {
		return max(time.Duration(maxWaitFraction*float64(p.StartTimeout)), 0)
	}
	timeout := p.StartTimeout
	if p.UrgentTimeout > 0 {
		timeout = min(timeout, p.UrgentTimeout)
	}
	return max(time.Duration(maxLateWaitFraction*float64(timeout)), 0)
}

// ShouldRefuse reports whether the caller would probably cancel the exchange before
// it starts. The decision depends on the wait only, not on the size of the
// exchange, so that long prompts are refused no earlier than short ones.
func (p Params) ShouldRefuse() bool { return p.ExpectedWait > p.MaxWait() }

// RetryAfter returns the time after which the caller should retry. Callers that
// are refused together get delays spread evenly over the time that the upstream
// needs to drain its current queue. The earliest delay ends when one more exchange
// would be admitted. random is uniform in [0, 1).
func (p Params) RetryAfter(random float64) time.Duration {
	maxDelay := time.Duration(maxRetryFraction * float64(p.TimeToDeadline))
	earliest := max(p.ExpectedWait-p.MaxWait(), minRetryAfter)
	latest := min(max(p.ExpectedWait, earliest+minRetrySpread), maxDelay)
	earliest = min(earliest, maxDelay/2)
	return max(earliest+time.Duration(random*float64(latest-earliest)), 0)
}
