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
	ratio float64
}

func (a *movingAverage) add(exceeded bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ratio *= 1 - gapRatioWeight
	if exceeded {
		a.ratio += gapRatioWeight
	}
}

func (a *movingAverage) value() float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.ratio
}

// gapTracker measures the longest gap between events of a stream.
type gapTracker struct {
	last    time.Time
	longest time.Duration
}

func (g *gapTracker) event(now time.Time) {
	if !g.last.IsZero() {
		g.longest = max(g.longest, now.Sub(g.last))
	}
	g.last = now
}
