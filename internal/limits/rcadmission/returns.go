package rcadmission

import (
	"sync"
	"time"
)

const (
	// beginRateTime is the time over which the rate of exchanges that begin is averaged.
	// Shortages last for some seconds.
	beginRateTime = 2 * time.Second
	// returningShare is the share of the rate at which exchanges begin that is left to
	// callers that return. New ones take the rest.
	returningShare = 0.5
)

// Returns books the times at which rejected callers of one service return to this
// instance, so that they come at the rate that the upstreams can take.
//
// It addresses callers that are rejected within a second, return within the next one and
// meet a queue that is as long as before. Each instance goes by what it has begun itself,
// which is its share of the upstreams. It is safe for concurrent use.
type Returns struct {
	mu       sync.Mutex
	begins   rate
	nextSlot time.Time            // Before it all slots are taken.
	told     map[uint64]time.Time // When rejected requests should return, by their contents.
}

// RecordBegin records that the answer to an exchange has begun.
func (r *Returns) RecordBegin(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.begins.add(1, now, beginRateTime)
}

const (
	// maxTold bounds the memory for rejected requests.
	maxTold = 4096
	// earlyTolerance is how much earlier than told a caller may return.
	earlyTolerance = 50 * time.Millisecond
)

// Tell records when the caller of a request with a content was told to return.
func (r *Returns) Tell(content uint64, after time.Duration, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.told) >= maxTold {
		for c, at := range r.told {
			if !now.Before(at) {
				delete(r.told, c)
			}
		}
	}
	if r.told == nil {
		r.told = map[uint64]time.Time{}
	}
	if len(r.told) < maxTold {
		r.told[content] = now.Add(after)
	}
}

// Early reports whether the caller of a request with a content was rejected here and returns
// before the time that it was told.
func (r *Returns) Early(content uint64, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	at, ok := r.told[content]
	if ok && !now.Before(at) {
		delete(r.told, content)
	}
	return ok && now.Before(at.Add(-earlyTolerance))
}

// Book returns when a rejected caller should return. random is uniform in [0, 1).
// If all slots are taken until the caller can no longer come back, it returns a time in
// the later half of those that are left, in which the shortage is most likely to end.
func (r *Returns) Book(p Params, random float64, now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	latest := time.Duration(maxRetryFraction * float64(p.TimeToDeadline))
	perSecond := returningShare * r.begins.value(now, beginRateTime)
	earliest := min(max(p.ExpectedWait-p.MaxWait(), minRetryAfter), latest/2)
	if perSecond*minRetrySpread.Seconds() < 1 {
		return p.RetryAfter(random) // Too few have begun to tell a rate.
	}
	interval := time.Duration(float64(time.Second) / perSecond)
	slot := max(r.nextSlot.Sub(now), earliest)
	if slot+interval > latest {
		return max(latest/2+time.Duration(random*float64(latest-latest/2)), 0)
	}
	r.nextSlot = now.Add(slot + interval)
	return slot + time.Duration(random*float64(interval))
}
