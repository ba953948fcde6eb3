package rcrelay

import (
	"sync"
	"time"

	"github.com/radishcrank/radishcrank"
)

// suspectFactor divides the progress timeout of an attempt after an attempt on another
// connection to its upstream has timed out.
const suspectFactor = 5

// watchdog calls expired once if it is still armed at its deadline. Disarming does not
// stop the timer, because that would need two timer operations for each token; the
// timer checks the state when it fires.
type watchdog struct {
	expired func()

	mu       sync.Mutex
	timer    *time.Timer
	firesAt  time.Time
	armed    bool
	suspect  bool
	deadline time.Time
	earliest time.Time // markSuspect does not move the deadline before this time.
}

// arm starts a wait of at most d for progress. If the upstream is suspect, the wait is
// shortened, but not below minimum.
func (w *watchdog) arm(d, minimum time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.earliest = now.Add(minimum)
	if w.suspect {
		d = max(d/suspectFactor, minimum)
	}
	w.armed = true
	w.deadline = now.Add(d)
	w.scheduleLocked(d)
}

// scheduleLocked ensures that the timer fires within d. It may fire earlier.
func (w *watchdog) scheduleLocked(d time.Duration) {
	switch {
	case w.timer == nil:
		w.timer = time.AfterFunc(d, w.fire)
	case w.firesAt.After(w.deadline):
		w.timer.Reset(d)
	default:
		return
	}
	w.firesAt = w.deadline
}

// progress ends the wait and clears the suspicion, since the connection works.
func (w *watchdog) progress() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.armed = false
	w.suspect = false
}

// stop disarms the watchdog and stops its timer.
func (w *watchdog) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.armed = false
	if w.timer != nil {
		w.timer.Stop()
	}
}

// markSuspect shortens the current wait, or the next one if there is none.
func (w *watchdog) markSuspect() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.suspect {
		return
	}
	w.suspect = true
	if !w.armed {
		return
	}
	now := time.Now()
	deadline := now.Add(w.deadline.Sub(now) / suspectFactor)
	if deadline.Before(w.earliest) {
		deadline = w.earliest
	}
	if deadline.Before(w.deadline) {
		w.deadline = deadline
		w.scheduleLocked(deadline.Sub(now))
	}
}

func (w *watchdog) fire() {
	w.mu.Lock()
	now := time.Now()
	if !w.armed {
		w.timer = nil // The next call to arm starts a new timer.
		w.mu.Unlock()
		return
	}
	if now.Before(w.deadline) {
		w.firesAt = w.deadline
		w.timer.Reset(w.deadline.Sub(now))
		w.mu.Unlock()
		return
	}
	w.armed = false
	w.mu.Unlock()
	w.expired()
}

// watchdogRegistry holds the watchdogs of the running attempts by upstream.
type watchdogRegistry struct {
	mu         sync.Mutex
	byUpstream map[radishcrank.UpstreamID]map[*watchdog]bool
}

func newWatchdogRegistry() *watchdogRegistry {
	return &watchdogRegistry{byUpstream: make(map[radishcrank.UpstreamID]map[*watchdog]bool)}
}

func (w *watchdogRegistry) add(id radishcrank.UpstreamID, wd *watchdog) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.byUpstream[id] == nil {
		w.byUpstream[id] = make(map[*watchdog]bool)
	}
	w.byUpstream[id][wd] = true
}

func (w *watchdogRegistry) remove(id radishcrank.UpstreamID, wd *watchdog) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.byUpstream[id], wd)
	if len(w.byUpstream[id]) == 0 {
		delete(w.byUpstream, id)
	}
}

// markSuspect shortens the waits of all attempts on an upstream.
func (w *watchdogRegistry) markSuspect(id radishcrank.UpstreamID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for wd := range w.byUpstream[id] {
		wd.markSuspect()
	}
}
