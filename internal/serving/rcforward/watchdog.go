package rcforward

import (
	"sync"
	"time"
)

// watchdogRecheckInterval is how often a watchdog whose wait has passed calls its function
// until that has acted.
const watchdogRecheckInterval = 200 * time.Millisecond

// watchdog calls a function unless it is reset or stopped within the wait. A
// wait of 0 means no limit.
type watchdog struct {
	onTimeout func() (acted bool)

	mu      sync.Mutex
	timer   *time.Timer
	wait    time.Duration
	resetAt time.Time
	stopped bool
}

func newWatchdog(wait time.Duration, onTimeout func() (acted bool)) *watchdog {
	w := &watchdog{onTimeout: onTimeout}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(time.Hour, w.fire)
	w.resetLocked(wait)
	return w
}

func (w *watchdog) fire() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped || w.wait <= 0 {
		return
	}
	if left := w.wait - time.Since(w.resetAt); left > 0 {
		w.timer.Reset(left) // It was reset while this call was due.
		return
	}
	if !w.onTimeout() {
		w.timer.Reset(watchdogRecheckInterval)
	}
}

func (w *watchdog) reset(wait time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.resetLocked(wait)
}

func (w *watchdog) resetLocked(wait time.Duration) {
	w.wait, w.resetAt = wait, time.Now()
	if wait <= 0 {
		w.timer.Stop()
		return
	}
	w.timer.Reset(wait)
}

// stop waits for a call of the function that is in progress.
func (w *watchdog) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
}
