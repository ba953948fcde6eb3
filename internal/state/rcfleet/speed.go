package rcfleet

import (
	"maps"
	"time"

	"github.com/radishcrank/radishcrank"
)

// Upstreams of one service may run on machines of different speed and share them with
// others. They report how long work currently takes there. The value changes many times a
// second, and each instance sees an upstream only now and then, so placement uses the mean
// of what all instances saw in the last seconds.
const (
	// speedInterval is the interval in which samples expire together, so that the load
	// reports of an idle instance change rarely.
	speedInterval = 500 * time.Millisecond
	// speedIntervals is the number of intervals over which the mean is taken: 2 s.
	speedIntervals = 4
	// speedRetention is how long the last mean is kept without new samples.
	speedRetention = 5 * time.Second
	// usualSlowness is the reported value of a machine at its usual speed.
	usualSlowness = 100
	// usualSamples is the weight of the usual speed in the mean. A single sample of a value
	// that fluctuates says little.
	usualSamples = 1
	// minSlowness and maxSlowness bound the values that are believed, so that a wrong one
	// neither attracts all requests nor puts the upstream out of use.
	minSlowness = 20
	maxSlowness = 1000
)

// SpeedSamples sums up the values of how long work takes at an upstream, 100 is usual.
type SpeedSamples struct {
	Count int
	Sum   int
}

// add returns the sum of two sets of samples.
func (s SpeedSamples) add(o SpeedSamples) SpeedSamples {
	return SpeedSamples{Count: s.Count + o.Count, Sum: s.Sum + o.Sum}
}

// sub removes samples from a set and keeps its mean: the samples may not be the ones that
// were added, some of which may have expired since.
func (s SpeedSamples) sub(o SpeedSamples) SpeedSamples {
	if o.Count <= 0 {
		return s
	}
	if s.Count <= o.Count {
		return SpeedSamples{}
	}
	return SpeedSamples{Count: s.Count - o.Count, Sum: s.Sum * (s.Count - o.Count) / s.Count}
}

// slowness returns the mean of the samples and of the usual value.
func (s SpeedSamples) slowness() float64 {
	mean := float64(s.Sum+usualSlowness*usualSamples) / float64(s.Count+usualSamples)
	return min(max(mean, minSlowness), maxSlowness)
}

// speedTracker holds the samples of one incarnation of an upstream.
type speedTracker struct {
	intervals [speedIntervals]SpeedSamples // The newest is the first.
	newestAt  time.Time                    // When the newest interval began.
	speed     float64                      // By the last samples; 0 if there were none.
	speedAt   time.Time
	// peersAfter is when samples of others can no longer be those of an earlier incarnation.
	peersAfter time.Time
}

// expire drops the intervals that are over.
func (t *speedTracker) expire(now time.Time) {
	passed := int(now.Sub(t.newestAt) / speedInterval)
	switch {
	case passed <= 0:
		return
	case passed >= speedIntervals:
		t.intervals, t.newestAt = [speedIntervals]SpeedSamples{}, now
		return
	}
	copy(t.intervals[passed:], t.intervals[:])
	clear(t.intervals[:passed])
	t.newestAt = t.newestAt.Add(time.Duration(passed) * speedInterval)
}

// own returns the samples of this instance.
func (t *speedTracker) own(now time.Time) (s SpeedSamples) {
	if t.newestAt.IsZero() {
		return s
	}
	t.expire(now)
	for _, i := range t.intervals {
		s = s.add(i)
	}
	return s
}

// update returns the speed factor by the samples of this instance and of others; 0 if it is
// unknown.
func (t *speedTracker) update(others SpeedSamples, now time.Time) float64 {
	all := t.own(now)
	if !now.Before(t.peersAfter) {
		all = all.add(others)
	}
	switch {
	case all.Count > 0:
		t.speed, t.speedAt = usualSlowness/all.slowness(), now
	case t.speed > 0 && now.Sub(t.speedAt) > speedRetention:
		t.speed = 0
	}
	return t.speed
}

// ObserveSlowness records how long work takes at an incarnation of an upstream by its own
// report, where 100 is usual. It ignores 0, which means that the upstream did not say.
func (f *Fleet) ObserveSlowness(id radishcrank.UpstreamID, i radishcrank.Incarnation, slowness float64) {
	if !(slowness > 0) {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	m, ok := f.members[id]
	if !ok || m.Incarnation != i {
		return
	}
	now := time.Now()
	if m.speed.newestAt.IsZero() {
		m.speed.newestAt = now
	}
	m.speed.expire(now)
	value := int(min(max(slowness, minSlowness), maxSlowness) + 0.5)
	m.speed.intervals[0] = m.speed.intervals[0].add(SpeedSamples{Count: 1, Sum: value})
}

// SpeedFactor returns how fast the upstream works, 1 is usual.
func (s *State) SpeedFactor() float64 {
	if s.Speed == 0 {
		return 1
	}
	return s.Speed
}

// SetCacheTokens sets the KV cache capacities of the engines by service, in tokens.
func (f *Fleet) SetCacheTokens(capacities map[string]int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cacheTokens = capacities
}

// Hold records the prompt tokens that the exchange adds to the memory of its upstream until
// it ends. It must be called at most once.
func (e *Exchange) Hold(tokens int) {
	e.fleet.mu.Lock()
	defer e.fleet.mu.Unlock()
	if m := e.currentMemberLocked(); m != nil {
		e.held = tokens
		m.Held += tokens
	}
}

// hasCapacity reports whether a load says anything of speed or memory.
func (l Load) hasCapacity() bool { return l.Held > 0 || l.Speed.Count > 0 }

// HasCapacities reports whether a report says anything of speeds or memory.
func (r LoadReport) HasCapacities() bool {
	for _, l := range r {
		if l.hasCapacity() {
			return true
		}
	}
	return false
}

// WithoutCapacities returns the report without what it says of speeds and memory.
func (r LoadReport) WithoutCapacities() LoadReport {
	if !r.HasCapacities() {
		return r
	}
	counts := make(LoadReport, len(r))
	for key, l := range r {
		if l.Running > 0 || l.Prefilling > 0 {
			counts[key] = Load{Running: l.Running, Prefilling: l.Prefilling, Late: l.Late}
		}
	}
	return counts
}

// WithCapacitiesOf returns the report with what an earlier one says of speeds and memory.
func (r LoadReport) WithCapacitiesOf(old LoadReport) LoadReport {
	merged := make(LoadReport, len(r))
	maps.Copy(merged, r)
	for key, l := range old {
		if l.hasCapacity() {
			count := r[key]
			count.Held, count.Speed = l.Held, l.Speed
			merged[key] = count
		}
	}
	return merged
}
