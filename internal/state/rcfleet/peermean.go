package rcfleet

import (
	"math"
	"time"
)

// Load reports are as old as it takes to prefill a few long prompts. An upstream that seems
// idle in a report gets the requests of all instances until the next one, and seems full
// then. The mean follows a rise faster than a fall, since a request at an upstream that is
// full waits, and one that avoids an idle upstream does not.
const (
	peerRiseTime = 200 * time.Millisecond
	peerFallTime = 400 * time.Millisecond
)

// peerMean is the moving mean of the load that other instances report.
type peerMean struct {
	running, prefilling         float64
	lateRunning, latePrefilling float64
}

// add adds a report. The previous one was made at a time that is zero if there was none.
func (p *peerMean) add(l Load, previous, now time.Time) {
	since := now.Sub(previous)
	if previous.IsZero() || since > peerLoadTTL {
		p.running, p.prefilling = float64(l.Running), float64(l.Prefilling)
		p.lateRunning, p.latePrefilling = float64(l.Late.Running), float64(l.Late.Prefilling)
		return
	}
	p.running = follow(p.running, float64(l.Running), since)
	p.prefilling = follow(p.prefilling, float64(l.Prefilling), since)
	p.lateRunning = follow(p.lateRunning, float64(l.Late.Running), since)
	p.latePrefilling = follow(p.latePrefilling, float64(l.Late.Prefilling), since)
}

// apply replaces the requests and prompt tokens of a load by their means.
func (p *peerMean) apply(l *Load) {
	l.Running, l.Prefilling = int(p.running+0.5), int(p.prefilling)
	l.Late = Late{Running: int(p.lateRunning + 0.5), Prefilling: int(p.latePrefilling)}
}

// follow returns the mean after a value that holds since a time.
func follow(mean, value float64, since time.Duration) float64 {
	if value == mean {
		return mean
	}
	constant := peerFallTime
	if value > mean {
		constant = peerRiseTime
	}
	return value + (mean-value)*math.Exp(-float64(since)/float64(constant))
}
