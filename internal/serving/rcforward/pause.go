package rcforward

import (
	"sync"
	"time"
)

// gapRatioWeight is the weight of the newest stream in the ratio of streams
// with an overlong gap: the moving average covers about 50 streams.
const gapRatioWeight = 0.02

// movingAverage is an exponential moving average of how often a condition held.
// It is safe for concurrent use.
type movingAverage struct {
	mu    sync.Mutex
	share float64
}

func (a *movingAverage) add(exceeded bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.share *= 1 - gapRatioWeight
	if exceeded {
		a.share += gapRatioWeight
	}
}

func (a *movingAverage) value() float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.share
}

// gapTracker measures the longest gap between events of a stream.
type gapTracker struct {
	last    time.Time
	longest time.Duration
}

func (l *gapTracker) event(now time.Time) {
	if !l.last.IsZero() {
		l.longest = max(l.longest, now.Sub(l.last))
	}
	l.last = now
}
