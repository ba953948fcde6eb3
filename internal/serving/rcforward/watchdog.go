package rcforward

import "time"

// watchdog calls a function unless it is reset or stopped within the wait. A
// wait of 0 means no limit.
type watchdog struct {
	timer *time.Timer
}

func newWatchdog(wait time.Duration, onTimeout func()) *watchdog {
	d := &watchdog{timer: time.AfterFunc(time.Hour, onTimeout)}
	d.reset(wait)
	return d
}

func (d *watchdog) reset(wait time.Duration) {
	if wait <= 0 {
		d.timer.Stop()
		return
	}
	d.timer.Reset(wait)
}

func (d *watchdog) stop() { d.timer.Stop() }
