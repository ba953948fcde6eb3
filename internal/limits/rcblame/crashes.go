package rcblame

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/radishcrank/radishcrank"
)

const (
	// assumedRun is for how long an instance that has just started assumes to have had a
	// beginning run with each part.
	assumedRun = 100 * time.Millisecond
	// crashRetention is how long a crash counts.
	crashRetention = 10 * time.Minute
	// maxCrashes, maxRuns and maxSuspects bound the memory for crashes and the size of
	// reports.
	maxCrashes  = 128
	maxRuns     = 32
	maxSuspects = 48
)

// crash is a crash of an upstream.
type crash struct {
	id       string
	service  string
	knownAt  time.Time
	reported bool // By this instance.
	runs     [][]Key
	presence map[Key]presence
	// explained means that a run held all parts of a convicted set.
	explained bool
}

// presence pools the Suspect.Presence of a part over reports. An instance that has watched
// for longer knows better. An instance reports a part because it had a run with it at the
// crash, which says little of how often the others have one; so such runs count once.
type presence struct {
	watched time.Duration
	others  float64 // Sum of Suspect.Presence without Suspect.Own, times the seconds watched.
	own     float64 // Largest Suspect.Own, times the seconds watched.
}

func (p presence) plus(o presence) presence {
	return presence{p.watched + o.watched, p.others + o.others, max(p.own, o.own)}
}

func (p presence) mean() float64 { return (p.others + p.own) / p.watched.Seconds() }

// reportLocked reports the crash of the upstream of a run, once for each incarnation.
func (t *Tracker) reportLocked(r *Run, now time.Time) {
	id := t.crashIDLocked(r.up)
	if c := t.crashLocked(id); c != nil && c.reported {
		return
	}
	report := Report{Crash: id, Service: r.service, Watched: t.usage.span(now)}
	index := map[Key]int{}
	for other := range t.runs[r.up.ID] {
		if other.up.Incarnation != r.up.Incarnation || !other.beginning(now) || len(report.Runs) >= maxRuns {
			continue
		}
		var run []int
		for _, p := range other.parts {
			i, known := index[p]
			if !known && len(report.Suspects) < maxSuspects && !t.sound.has(p, now) {
				i, known = len(report.Suspects), true
				index[p] = i
				report.Suspects = append(report.Suspects, t.suspectLocked(p, r, now))
			}
			if known {
				run = append(run, i)
			}
		}
		if len(run) > 0 {
			report.Runs = append(report.Runs, run)
		}
	}
	t.addCrashLocked(report, now)
	t.crashLocked(id).reported = true
	t.cfg.Announce(report)
}

// suspectLocked returns a part with its presence at a crash. An instance that has just started
// has seen none of most parts, and assumes that it has seen a run with each.
func (t *Tracker) suspectLocked(p Key, crashed *Run, now time.Time) Suspect {
	span := t.usage.span(now)
	busy, own := t.usage.busy(p), time.Duration(0)
	if unseen := 1 - span.Seconds()/usageWindow.Seconds(); unseen > 0 {
		busy += time.Duration(unseen * float64(assumedRun))
	}
	for id, runs := range t.runs {
		for r := range runs {
			if !slices.Contains(r.parts, p) {
				continue
			}
			d := r.beginDuration(now)
			busy += d
			if id == crashed.up.ID {
				own += d
			}
		}
	}
	watched := span.Seconds() * float64(max(1, t.cfg.Upstreams(crashed.service)))
	return Suspect{Part: p, Presence: busy.Seconds() / watched, Own: own.Seconds() / watched}
}

// crashIDLocked identifies a crash on all instances. If the incarnation is unknown, each
// instance counts a crash of its own.
func (t *Tracker) crashIDLocked(up radishcrank.Upstream) string {
	if up.Incarnation == 0 {
		t.unknownCrashes++
		return fmt.Sprintf("%s@%s/%d", up.ID, t.cfg.Instance, t.unknownCrashes)
	}
	return crashID(up)
}

func crashID(up radishcrank.Upstream) string { return fmt.Sprintf("%s@%d", up.ID, up.Incarnation) }

func (t *Tracker) crashLocked(id string) *crash {
	for _, c := range t.crashes {
		if c.id == id {
			return c
		}
	}
	return nil
}

// addCrashLocked adds what one instance reports of a crash.
func (t *Tracker) addCrashLocked(r Report, now time.Time) {
	c := t.crashLocked(r.Crash)
	if c == nil {
		if len(t.crashes) >= maxCrashes {
			t.removeCrashLocked(t.crashes[0])
		}
		c = &crash{id: r.Crash, service: r.Service, knownAt: now, presence: map[Key]presence{}}
		t.crashes = append(t.crashes, c)
	}
	watched := cmp.Or(r.Watched, usageWindow)
	// The report may be on its way to other instances, so it is not changed.
	counted := make([]Key, min(len(r.Suspects), maxSuspects)) // Empty for those that do not count.
	for i, s := range r.Suspects[:len(counted)] {
		if s.Part == "" || t.sound.has(s.Part, now) {
			continue
		}
		seen, known := c.presence[s.Part]
		if !known {
			if len(c.presence) >= 2*maxSuspects {
				continue
			}
			t.suspected[s.Part]++
		}
		counted[i] = s.Part
		c.presence[s.Part] = seen.plus(presence{watched, (s.Presence - s.Own) * watched.Seconds(), s.Own * watched.Seconds()})
	}
	for _, run := range r.Runs[:min(len(r.Runs), maxRuns)] {
		var parts []Key
		for _, i := range run {
			if i >= 0 && i < len(counted) && counted[i] != "" {
				parts = append(parts, counted[i])
			}
		}
		if len(parts) > 0 && len(c.runs) < 2*maxRuns {
			c.runs = append(c.runs, parts)
		}
	}
	for _, set := range t.convicted {
		c.explain(set)
	}
}

func (t *Tracker) removeCrashLocked(c *crash) {
	for p := range c.presence {
		if t.suspected[p]--; t.suspected[p] <= 0 {
			delete(t.suspected, p)
		}
	}
	for i := range t.crashes {
		if t.crashes[i] == c {
			t.crashes = append(t.crashes[:i:i], t.crashes[i+1:]...)
			return
		}
	}
}

// remove removes a part from the crash.
func (c *crash) remove(p Key) {
	if _, known := c.presence[p]; !known {
		return
	}
	delete(c.presence, p)
	kept := c.runs[:0]
	for _, run := range c.runs {
		if rest := without(run, p); len(rest) > 0 {
			kept = append(kept, rest)
		}
	}
	c.runs = kept
}
