// Package rcera tracks the era of the platform's store. The store may come back
// from a copy that is some seconds old. Its era rises by one each time, and
// versions of rows from different eras cannot be compared.
package rcera

import "sync"

// Tracker knows the newest era that any answer of the store has shown. The zero
// value is ready to use, and is safe for concurrent use.
type Tracker struct {
	mu      sync.Mutex
	era     uint64
	changed chan struct{} // Closed and replaced when era rises; nil if nobody waits.
}

// Observe records the era of an answer, or of something that was learned from one.
// It reports false if a newer era is known, so that the answer describes a state
// that the store has lost. Era 0 stands for an answer without an era.
func (t *Tracker) Observe(era uint64) (newest bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if era == 0 || era == t.era {
		return true
	}
	if era < t.era {
		return false
	}
	t.era = era
	if t.changed != nil {
		close(t.changed)
		t.changed = nil
	}
	return true
}

// Current returns the newest known era, 0 if there is none, and a channel that is
// closed when a newer one becomes known.
func (t *Tracker) Current() (era uint64, changed <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.changed == nil {
		t.changed = make(chan struct{})
	}
	return t.era, t.changed
}
