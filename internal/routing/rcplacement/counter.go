package rcplacement

import (
	"math"
	"sync"
	"time"
)

const (
	// window is the time constant of the counters. A hot text shows after a
	// second or two and is forgotten within a quarter of a minute.
	window = 5 * time.Second

	// 2,048 sets of 8 counters of 32 bytes take 512 KiB. At 38 requests/s and
	// 15 levels an instance touches 2,850 counters in one window.
	counterSets = 2048
	counterWays = 8
)

// counter is the decaying load of one subtree.
type counter struct {
	key  uint64
	n    float64 // Requests, decayed.
	cost float64 // Engine-seconds, decayed.
	at   float64 // Time of the last change in seconds since the start.
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

// decayed returns the factor by which a counter has shrunk since its last change.
func (k *counter) decayed(now float64) float64 {
	return math.Exp(-max(0, now-k.at) / window.Seconds())
}

func (c *counters) add(key uint64, cost float64, now time.Time) {
	t := c.since(now)
	c.mu.Lock()
	defer c.mu.Unlock()
	k := c.slot(key, t)
	if k.key != key {
		*k = counter{key: key}
	}
	f := k.decayed(t)
	k.n = k.n*f + 1
	k.cost = k.cost*f + cost
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
		if n := k.n * k.decayed(now); n < least {
			coldest, least = i, n
		}
	}
	return &set[coldest]
}

// load returns the fleet's load of a subtree in engine-seconds a second.
//
// A few requests seen by one of many instances say little about the fleet: one
// request in the window, times 34 instances, would look like a hot text. The
// count is therefore lowered by the standard error of the unseen share.
func (c *counters) load(key uint64, instances int, now time.Time) float64 {
	t := c.since(now)
	c.mu.Lock()
	defer c.mu.Unlock()
	k := c.slot(key, t)
	if k.key != key || k.n == 0 {
		return 0
	}
	f := k.decayed(t)
	n := k.n * f
	unseen := 1 - 1/float64(instances)
	sure := max(0, n-unseen*math.Sqrt(n))
	mean := k.cost / k.n
	return sure * mean * float64(instances) / window.Seconds()
}
