// Package rcclock follows the clock of the platform's store. Ages that must
// survive a restart, or that several instances must agree on, are counted on it.
package rcclock

import (
	"sync"
	"time"
)

// window is how long an observation counts at least. Within two of them, a local
// clock that is fast by 1e-4 gains 12 ms on the store's.
const window = time.Minute

// Clock estimates the store's clock from the times of its answers. It is safe
// for concurrent use.
type Clock struct {
	mu     sync.Mutex
	start  time.Time     // Local, with a monotonic reading.
	begun  time.Duration // Since start, when the latest window began.
	latest time.Time     // The store's clock at start, by the best observation of that window.
	before time.Time     // By that of the window before.
}

// Observe takes in the time of an answer that has just arrived. An answer is
// older than its arrival by its way, by the time that it lay unread in a process
// that was frozen, and by any suspension that the local clock does not count, so
// the observation that puts the store's clock furthest ahead is the best one.
// It does not count for ever, since a fast local clock would carry it ahead of the
// store's.
func (c *Clock) Observe(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.start.IsZero() {
		c.start = time.Now()
	}
	elapsed := time.Since(c.start)
	origin := at.Add(-elapsed)
	switch {
	case elapsed-c.begun >= window:
		c.begun, c.before, c.latest = elapsed, c.latest, origin
	case origin.After(c.latest):
		c.latest = origin
	}
}

// Now returns the store's clock. It shows no more than the store's own, except for
// the drift of two windows.
func (c *Clock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.start.IsZero() {
		return time.Time{}
	}
	origin := c.latest
	if c.before.After(origin) {
		origin = c.before
	}
	return origin.Add(time.Since(c.start))
}
