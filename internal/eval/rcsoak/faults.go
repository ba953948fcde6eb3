package rcsoak

import (
	"context"
	"sync"
	"time"

	"github.com/radishcrank/radishcrank/internal/state/rcwait"
)

// faultTime remembers how long faults last. The zero value is ready to use.
type faultTime struct {
	mu  sync.Mutex
	end time.Time // Latest end of a fault.
}

// disturb notes a fault that lasts until a moment.
func (f *faultTime) disturb(until time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if until.After(f.end) {
		f.end = until
	}
}

// calmSince reports whether there was no fault from a moment on.
func (f *faultTime) calmSince(t time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.end.Before(t)
}

// last returns the end of the last fault; it is zero if there was none.
func (f *faultTime) last() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.end
}

const (
	// stallTick is how often the soak looks whether it stands still itself.
	stallTick = 20 * time.Millisecond
	// stallBound is well below the times that callers and instances wait for an answer.
	stallBound = 250 * time.Millisecond
)

// watchStalls notes when the soak itself has stood still, as on a machine with too
// much to do: then its upstreams, its store and all links were silent.
func (s *soak) watchStalls(ctx context.Context) {
	for last := time.Now(); rcwait.Sleep(ctx, stallTick); last = time.Now() {
		gap := time.Since(last)
		if gap < stallBound {
			continue
		}
		now := time.Now()
		s.world.disturb(now)
		for _, i := range s.instances {
			i.disturb(now)
		}
		s.mu.Lock()
		s.report.Stalls = append(s.report.Stalls, Stall{now, gap})
		s.mu.Unlock()
		s.say("%s  the soak itself stood still for %s", s.clock(now), gap)
	}
}

// stalledSince returns for how long the soak has stood still since a moment.
func (s *soak) stalledSince(t time.Time) (sum time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, stall := range s.report.Stalls {
		if stall.End.After(t) {
			sum += stall.Duration
		}
	}
	return sum
}

// noticeStalls waits until a stall that has just ended is known.
func (s *soak) noticeStalls() { time.Sleep(2 * stallTick) }
