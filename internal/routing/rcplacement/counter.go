package rcplacement

import (
	"math"
	"sync"
	"time"
)

const (
	// fastWindow and slowWindow are the time constants of the decaying counters.
	// The slow counter gives the load estimate, because the replica count of a
	// prefix changes less often with it: the fast counter holds about 20 requests
	// and varies by a quarter. The fast counter corrects the estimate when the two
	// differ by more than sampling noise, so a change of load takes effect within
	// a few seconds.
	fastWindow = 4 * time.Second
	slowWindow = 30 * time.Second

	// minRateSpan is the shortest time over which a rate is computed.
	minRateSpan = 2 * time.Second

	// noiseStdErrors is the difference between the two counters that is attributed
	// to sampling noise, in standard errors.
	noiseStdErrors = 2

	// 2,048 sets of 8 counters of 48 bytes take 768 KiB. At 38 requests/s and
	// 15 levels an instance touches 2,280 counters in the fast window.
	counterSets = 2048
	counterWays = 8
)

// counter holds the exponentially decaying load of one subtree.
type counter struct {
	key     uint64
	fast    float64 // Requests, decayed over fastWindow.
	slow    float64 // Requests, decayed over slowWindow.
	cost    float64 // Engine-seconds, decayed over slowWindow.
	firstAt float64 // Time of the first request, in seconds since counters.start.
	lastAt  float64 // Time of the last request, in seconds since counters.start.
}

// counters is a set-associative table of counters. A new subtree replaces the
// one with the fewest recent requests in its set.
type counters struct {
	start time.Time
	mu    sync.Mutex
	sets  [][counterWays]counter
}

func (c *counters) init(start time.Time) {
	c.start = start
	c.sets = make([][counterWays]counter, counterSets)
}

func (c *counters) secondsSinceStart(now time.Time) float64 { return now.Sub(c.start).Seconds() }

func decay(age float64, window time.Duration) float64 {
	return math.Exp(-max(0, age) / window.Seconds())
}

// coveredSeconds returns the effective number of seconds that a decaying count
// of the given age covers, and at least minRateSpan.
func coveredSeconds(age float64, window time.Duration) float64 {
	return max(minRateSpan.Seconds(), window.Seconds()*(1-decay(age, window)))
}

func (c *counters) add(key uint64, cost float64, now time.Time) {
	t := c.secondsSinceStart(now)
	c.mu.Lock()
	defer c.mu.Unlock()
	k := c.find(key, t)
	if k.key != key {
		*k = counter{key: key, firstAt: t, lastAt: t}
	}
	f, s := decay(t-k.lastAt, fastWindow), decay(t-k.lastAt, slowWindow)
	k.fast = k.fast*f + 1
	k.slow = k.slow*s + 1
	k.cost = k.cost*s + cost
	k.lastAt = t
}

// find returns the counter of a key or, if it has none, the counter with the
// fewest recent requests in the key's set.
func (c *counters) find(key uint64, now float64) *counter {
	set := &c.sets[key>>32%counterSets]
	coldest, lowestCount := 0, math.Inf(1)
	for i := range set {
		k := &set[i]
		if k.key == key {
			return k
		}
		if n := k.slow * decay(now-k.lastAt, slowWindow); n < lowestCount {
			coldest, lowestCount = i, n
		}
	}
	return &set[coldest]
}

// load returns the estimated load that all instances put on a subtree, in
// engine-seconds per second, and the decayed number of requests for it on this
// instance.
//
// Few requests on one of many instances are a poor sample of the total: one
// request in the window, multiplied by 34 instances, would look like a hot
// prefix. The count is therefore lowered by the standard error of the share that
// other instances handle.
func (c *counters) load(key uint64, instances int, now time.Time) (load, seen float64) {
	t := c.secondsSinceStart(now)
	c.mu.Lock()
	defer c.mu.Unlock()
	k := c.find(key, t)
	if k.key != key || k.slow == 0 {
		return 0, 0
	}
	fast := k.fast * decay(t-k.lastAt, fastWindow)
	slow := k.slow * decay(t-k.lastAt, slowWindow)
	mean := k.cost / k.slow
	unseen := 1 - 1/float64(instances)
	rate := max(0, slow-unseen*math.Sqrt(slow)) / coveredSeconds(t-k.firstAt, slowWindow)
	fastSpan := coveredSeconds(t-k.firstAt, fastWindow)
	margin := noiseStdErrors * math.Sqrt(fast)
	rate = max(min(rate, (fast+margin)/fastSpan), (fast-margin)/fastSpan)
	return rate * mean * float64(instances), slow
}
