package rcrelay

import (
	"sync"
	"time"

	"github.com/radishcrank/radishcrank"
)

// suspectFactor divides the progress deadline of an attempt while another
// connection of its upstream was found silent.
const suspectFactor = 5

// watchdog calls expired once if it stays armed past its deadline. Disarming
// does not stop the timer, because that would cost two timer operations for
// each token; the timer finds out when it fires.
type watchdog struct {
	expired func()

	mu       sync.Mutex
	timer    *time.Timer
	firesAt  time.Time
	armed    bool
	suspect  bool
	deadline time.Time
	floor    time.Time // A suspicion moves the deadline no earlier than this.
}

// arm starts the wait for progress. While the upstream is suspect the wait is
// shorter, but it lasts at least for floor.
func (w *watchdog) arm(d, floor time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.floor = now.Add(floor)
	if w.suspect {
		d = max(d/suspectFactor, floor)
	}
	w.armed = true
	w.deadline = now.Add(d)
	w.scheduleLocked(d)
}

// scheduleLocked makes sure that the timer fires within d. It may fire earlier.
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

// progress ends the wait. The connection has proved that it works.
func (w *watchdog) progress() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.armed = false
	w.suspect = false
}

// stop ends the watch.
func (w *watchdog) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.armed = false
	if w.timer != nil {
		w.timer.Stop()
	}
}

// doubt shortens the running wait, or the next one.
func (w *watchdog) doubt() {
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
	if deadline.Before(w.floor) {
		deadline = w.floor
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
		w.timer = nil // The next wait starts a new one.
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

// watchers knows the attempts that run on each upstream.
type watchers struct {
	mu    sync.Mutex
	byUps map[radishcrank.UpstreamID]map[*watchdog]bool
}

func newWatchers() *watchers {
	return &watchers{byUps: make(map[radishcrank.UpstreamID]map[*watchdog]bool)}
}

func (w *watchers) add(id radishcrank.UpstreamID, dog *watchdog) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.byUps[id] == nil {
		w.byUps[id] = make(map[*watchdog]bool)
	}
	w.byUps[id][dog] = true
}

func (w *watchers) remove(id radishcrank.UpstreamID, dog *watchdog) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.byUps[id], dog)
	if len(w.byUps[id]) == 0 {
		delete(w.byUps, id)
	}
}

// doubt makes all attempts on an upstream suspect.
func (w *watchers) doubt(id radishcrank.UpstreamID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for dog := range w.byUps[id] {
		dog.doubt()
	}
}
