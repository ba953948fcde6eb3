package rcsoak

import (
	"sync"
	"time"
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
