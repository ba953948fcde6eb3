package rcadmission

import (
	"sync"
	"time"
)

const (
	// minFullFraction and maxFullFraction of the usual time of a reply are how long an
	// exchange waits after an upstream has rejected it. Within half of that time the
	// upstream finishes half of what it has in its slots. Exchanges draw different times,
	// so that they do not try together, and the slots do not run empty meanwhile.
	minFullFraction = 0.25
	maxFullFraction = 0.75
	// maxDoublings bounds the wait.
	maxDoublings = 4
	// rejectedWeight is the weight of the newest attempt in the share that was rejected.
	rejectedWeight = 0.05
	// maxRejectedShare bounds how much longer waits become by it.
	maxRejectedShare = 0.9
	// replyTimeWeight is the weight of the newest reply in the usual time of a reply.
	replyTimeWeight = 0.1
	// defaultReplyFraction of the latency target is the usual time before the first reply.
	defaultReplyFraction = 0.25
)

// Places tracks whether the upstreams of a plain service are full, by what they rejected
// here. Loads that other instances report are older than requests of 30 to 60 ms take, so
// they do not tell. Load is spread evenly over the few upstreams of such a service, so that
// the others are taken to be full as well. It is safe for concurrent use.
//
// It addresses short bursts on few slots: each exchange tried all servers within a few
// milliseconds, was rejected by all and used up the retry budget of the fleet, although a
// slot was about to be free.
type Places struct {
	mu        sync.Mutex
	fullUntil time.Time
	replyTime time.Duration // 0 if unknown.
	rejected  float64       // Moving average of the share of attempts that were rejected.
}

// Wait returns how long an exchange that upstreams have rejected a number of times waits
// before it tries one again, or, if it is 0, one that finds the upstreams full. The time
// doubles with each further rejection, since the few attempts of an exchange have to last
// until the burst is over, and grows as most attempts are rejected. random is uniform in [0, 1).
func (p *Places) Wait(latencyTarget time.Duration, rejections int, random float64) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	usual := p.replyTime
	if usual == 0 {
		usual = time.Duration(defaultReplyFraction * float64(latencyTarget))
	}
	fraction := minFullFraction + random*(maxFullFraction-minFullFraction)
	return time.Duration(fraction*float64(usual)/(1-min(p.rejected, maxRejectedShare))) << min(max(rejections-1, 0), maxDoublings)
}

// Rejected records that an upstream has rejected an exchange, which now waits.
func (p *Places) Rejected(wait time.Duration, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rejected += rejectedWeight * (1 - p.rejected)
	if until := now.Add(wait); until.After(p.fullUntil) {
		p.fullUntil = until
	}
}

// Replied records that an upstream has answered an exchange after a time.
func (p *Places) Replied(after time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rejected *= 1 - rejectedWeight
	if p.replyTime == 0 {
		p.replyTime = after
		return
	}
	p.replyTime += time.Duration(replyTimeWeight * float64(after-p.replyTime))
}

// Full reports whether the upstreams count as full.
func (p *Places) Full(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Before(p.fullUntil)
}
