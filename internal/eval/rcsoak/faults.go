package rcsoak

import (
	"context"
	"sync"
	"time"

	"github.com/radishcrank/radishcrank/internal/state/rcwait"
)

// faultWindow tracks when the last fault of its subject ends. The zero value is
// ready to use.
type faultWindow struct {
	mu    sync.Mutex
	start time.Time // Of the fault that begin recorded last.
	end   time.Time // Latest end of a fault.
}

// begin records a fault that starts now and lasts until the given time. Such faults do not
// overlap.
func (f *faultWindow) begin(until time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.start, f.end = time.Now(), until
}

// span returns the start and the end of the fault that begin recorded last.
func (f *faultWindow) span() (start, end time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.start, f.end
}

// extend records a fault that lasts until the given time.
func (f *faultWindow) extend(until time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if until.After(f.end) {
		f.end = until
	}
}

// faultFreeSince reports whether the last fault ended before t.
func (f *faultWindow) faultFreeSince(t time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.end.Before(t)
}

// lastEnd returns the end of the last fault, or the zero time if there was none.
func (f *faultWindow) lastEnd() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.end
}

const (
	// stallCheckInterval is how often the soak checks whether its own process stalled.
	stallCheckInterval = 20 * time.Millisecond
	// stallThreshold is well below the timeouts of callers and instances.
	stallThreshold = 250 * time.Millisecond
)

// watchStalls records stalls of the soak process, as on an overloaded machine.
// During a stall its upstreams, its store and all links do not respond, so it
// counts as a fault of all of them.
func (s *soak) watchStalls(ctx context.Context) {
	for last := time.Now(); rcwait.Sleep(ctx, stallCheckInterval); last = time.Now() {
		gap := time.Since(last)
		if gap < stallThreshold {
			continue
		}
		now := time.Now()
		s.env.extend(now)
		for _, i := range s.instances {
			i.extend(now)
		}
		s.mu.Lock()
		s.report.Stalls = append(s.report.Stalls, Stall{now, gap})
		s.mu.Unlock()
		s.logf("%s  the soak process stalled for %s", s.elapsed(now), gap)
	}
}

// stalledSince returns the total duration of the stalls that ended after t.
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

// awaitStallDetection waits until a stall that has just ended is recorded.
func (s *soak) awaitStallDetection() { time.Sleep(2 * stallCheckInterval) }
