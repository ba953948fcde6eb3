package rcforward

import "time"

// watchdog calls a function unless it is reset or stopped in time. A wait of
// zero is unlimited.
type watchdog struct {
	timer *time.Timer
}

func newWatchdog(wait time.Duration, bark func()) *watchdog {
	d := &watchdog{timer: time.AfterFunc(time.Hour, bark)}
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
