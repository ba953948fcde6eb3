package rcadmission

import (
	"sync"
	"time"
)

// mixTime is the time over which the mix of priorities is averaged.
const mixTime = 2 * time.Second

// Mix is the mix of priorities among the exchanges in time that an instance sends to the
// engines of one service. Instances serve similar mixes, so each goes by its own instead of
// reporting the load of each priority. It is safe for concurrent use.
//
// It addresses a queue of long, deferrable prompts in front of short, urgent ones: engines
// admit the urgent ones first, so they do not wait for the whole queue.
type Mix struct {
	mu      sync.Mutex
	classes map[int]*priorityClass
}

type priorityClass struct {
	tokens       rate
	abandonAfter time.Duration // Shortest of the routes; 0 if none is known.
}

// Record records an exchange that was sent to an engine and is expected to be in time.
func (m *Mix) Record(priority, tokens int, abandonAfter time.Duration, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.classes == nil {
		m.classes = map[int]*priorityClass{}
	}
	c := m.classes[priority]
	if c == nil {
		c = &priorityClass{abandonAfter: abandonAfter}
		m.classes[priority] = c
	}
	c.tokens.add(float64(tokens), now, mixTime)
	if abandonAfter > 0 && (c.abandonAfter == 0 || abandonAfter < c.abandonAfter) {
		c.abandonAfter = abandonAfter
	}
}

// Ahead returns which share of the queue in time comes before an exchange of a priority:
// what has the same or a more urgent one. It is 1 if nothing is known.
func (m *Mix) Ahead(priority int, now time.Time) float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	ahead, all := 0.0, 0.0
	for p, c := range m.classes {
		tokens := c.tokens.value(now, mixTime)
		all += tokens
		if p <= priority {
			ahead += tokens
		}
	}
	if all < 1 {
		return 1
	}
	return ahead / all
}

// UrgentTimeout returns how long callers of more urgent priorities wait for the start of
// the answer, or 0 if there are none.
func (m *Mix) UrgentTimeout(priority int) (timeout time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for p, c := range m.classes {
		if p < priority && c.abandonAfter > 0 && (timeout == 0 || c.abandonAfter < timeout) {
			timeout = c.abandonAfter
		}
	}
	return timeout
}
