package rcplacement

import (
	"math"
	"sync"
	"time"
)

const (
	// fastWindow and slowWindow are the time constants of the counters. The slow
	// one tells the load; it would change the engines of a text less often than
	// the fast one, whose 20 or so requests vary by a quarter. The fast one
	// corrects it when the two differ by more than chance explains, so a shift
	// shows after a few seconds.
	fastWindow = 4 * time.Second
	slowWindow = 30 * time.Second

	// minSpan is the shortest time that a rate is worked out over.
	minSpan = 2 * time.Second

	// chance is the difference that chance explains, in standard errors.
	chance = 2

	// 2,048 sets of 8 counters of 48 bytes take 768 KiB. At 38 requests/s and
	// 15 levels an instance touches 2,280 counters in the fast window.
	counterSets = 2048
	counterWays = 8
)

// counter is the decaying load of one subtree.
type counter struct {
	key  uint64
	fast float64 // Requests, decayed with the fast window.
	slow float64 // Requests, decayed with the slow window.
	cost float64 // Engine-seconds, decayed with the slow window.
	born float64 // Time of the first request in seconds since the start.
	at   float64 // Time of the last request.
}

// counters is a set-associative table; a new subtree replaces the coldest one
// of its set.
type counters struct {
	start time.Time
	mu    sync.Mutex
	sets  [][counterWays]counter
}

func (c *counters) init(start time.Time) {
	c.start = start
	c.sets = make([][counterWays]counter, counterSets)
}

func (c *counters) since(now time.Time) float64 { return now.Sub(c.start).Seconds() }

func decay(age float64, window time.Duration) float64 {
	return math.Exp(-max(0, age) / window.Seconds())
}

// span returns the seconds that a decaying count of an age covers.
func span(age float64, window time.Duration) float64 {
	return max(minSpan.Seconds(), window.Seconds()*(1-decay(age, window)))
}

func (c *counters) add(key uint64, cost float64, now time.Time) {
	t := c.since(now)
	c.mu.Lock()
	defer c.mu.Unlock()
	k := c.slot(key, t)
	if k.key != key {
		*k = counter{key: key, born: t, at: t}
	}
	f, s := decay(t-k.at, fastWindow), decay(t-k.at, slowWindow)
	k.fast = k.fast*f + 1
	k.slow = k.slow*s + 1
	k.cost = k.cost*s + cost
	k.at = t
}

// slot returns the counter of a key, or the coldest of its set.
func (c *counters) slot(key uint64, now float64) *counter {
	set := &c.sets[key>>32%counterSets]
	coldest, least := 0, math.Inf(1)
	for i := range set {
		k := &set[i]
		if k.key == key {
			return k
		}
		if n := k.slow * decay(now-k.at, slowWindow); n < least {
			coldest, least = i, n
		}
	}
	return &set[coldest]
}

// load returns the fleet's load of a subtree in engine-seconds a second, and the
// requests for it that this instance has seen lately.
//
// A few requests seen by one of many instances say little about the fleet: one
// request in the window, times 34 instances, would look like a hot text. The
// count is therefore lowered by the standard error of the unseen share.
func (c *counters) load(key uint64, instances int, now time.Time) (load, seen float64) {
	t := c.since(now)
	c.mu.Lock()
	defer c.mu.Unlock()
	k := c.slot(key, t)
	if k.key != key || k.slow == 0 {
		return 0, 0
	}
	fast := k.fast * decay(t-k.at, fastWindow)
	slow := k.slow * decay(t-k.at, slowWindow)
	mean := k.cost / k.slow
	unseen := 1 - 1/float64(instances)
	rate := max(0, slow-unseen*math.Sqrt(slow)) / span(t-k.born, slowWindow)
	covered := span(t-k.born, fastWindow)
	doubt := chance * math.Sqrt(fast)
	rate = max(min(rate, (fast+doubt)/covered), (fast-doubt)/covered)
	return rate * mean * float64(instances), slow
}
