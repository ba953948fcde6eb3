// Package rcclock estimates the clock of the platform's store. Ages that must
// survive a restart, or that several instances must agree on, are measured by it.
package rcclock

import (
	"sync"
	"time"
)

// windowLength is the minimum time for which an observation is used. In two
// windows, a local clock that runs fast by 1e-4 gains 12 ms on the store's clock.
const windowLength = time.Minute

// Clock estimates the store's clock from the timestamps of its responses. It is
// safe for concurrent use.
type Clock struct {
	mu          sync.Mutex
	localStart  time.Time     // Local time of the first observation, with a monotonic reading.
	windowStart time.Duration // Start of the current window, since localStart.
	current     time.Time     // The store's clock at localStart by the best observation of the current window.
	previous    time.Time     // The same by the best observation of the previous window.
}

// Observe records the timestamp of a response that has just been received. The
// timestamp lags behind by the network latency, by the time for which the response
// was unread in a frozen process, and by any suspension of the machine that the
// local clock does not count. The observation that yields the latest store time is
// therefore the most accurate one. It expires, because a local clock that runs fast
// would otherwise move the estimate ahead of the store's clock without bound.
func (c *Clock) Observe(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.localStart.IsZero() {
		c.localStart = time.Now()
	}
	elapsed := time.Since(c.localStart)
	storeStart := at.Add(-elapsed)
	switch {
	case elapsed-c.windowStart >= windowLength:
		c.windowStart, c.previous, c.current = elapsed, c.current, storeStart
	case storeStart.After(c.current):
		c.current = storeStart
	}
}

// Now returns the estimated time of the store, or the zero time before the first
// observation. The estimate is never ahead of the store's clock, except for the
// drift of the local clock over two windows.
func (c *Clock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.localStart.IsZero() {
		return time.Time{}
	}
	storeStart := c.current
	if c.previous.After(storeStart) {
		storeStart = c.previous
	}
	return storeStart.Add(time.Since(c.localStart))
}
