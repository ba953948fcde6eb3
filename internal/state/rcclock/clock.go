// Package rcclock follows the clock of the platform's store. Ages that must
// survive a restart, or that several instances must agree on, are counted on it.
package rcclock

import (
	"sync"
	"time"
)

// Clock estimates the store's clock from the times of its answers. It is safe
// for concurrent use.
type Clock struct {
	mu     sync.Mutex
	start  time.Time // Local, with a monotonic reading.
	origin time.Time // The store's clock at start.
}

// Observe takes in the time of an answer that has just arrived. An answer is
// older than its arrival by its way, by the time that it lay unread in a process
// that was frozen, and by any suspension that the local clock does not count, so
// the observation that puts the store's clock furthest ahead is the best one.
func (c *Clock) Observe(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.start.IsZero() {
		c.start = time.Now()
	}
	if origin := at.Add(-time.Since(c.start)); origin.After(c.origin) {
		c.origin = origin
	}
}

// Now returns the store's clock. It never shows more than the store's own.
func (c *Clock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.start.IsZero() {
		return c.origin
	}
	return c.origin.Add(time.Since(c.start))
}
