package rcforward

import (
	"sync"
	"time"
)

// pauseWeight is the weight of the newest stream in the share of those that
// paused for too long: it looks back over about 50 streams.
const pauseWeight = 0.02

// average is a moving average of yes and no. It is safe for concurrent use.
type average struct {
	mu    sync.Mutex
	share float64
}

func (a *average) add(yes bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.share *= 1 - pauseWeight
	if yes {
		a.share += pauseWeight
	}
}

func (a *average) value() float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.share
}

// longest measures the longest pause between the events of a stream.
type longest struct {
	last time.Time
	wait time.Duration
}

func (l *longest) event(now time.Time) {
	if !l.last.IsZero() {
		l.wait = max(l.wait, now.Sub(l.last))
	}
	l.last = now
}
