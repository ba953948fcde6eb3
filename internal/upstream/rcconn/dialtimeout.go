package rcconn

import (
	"math"
	"sync"
	"time"
)

// A request that waits for a connection to an upstream that has died loses that time from its
// latency target, at each instance and for each upstream. Regular connections open within a
// few round trips, and a lost packet is sent again only after a second, so that waiting for
// much longer than connections take gains nothing.
const (
	// minDialTimeout leaves room for a machine whose processor is busy.
	minDialTimeout = 100 * time.Millisecond
	// dialDeviations is how far above the mean a regular connection may take, in mean
	// deviations.
	dialDeviations = 8
	// minDialSamples is the number of connections from which on their times count.
	minDialSamples = 8
	// dialWeight is the weight of a new time in the means.
	dialWeight = 1.0 / 16
)

// dialTimes learns how long connections take to open. It is safe for concurrent use.
type dialTimes struct {
	mu              sync.Mutex
	samples         int
	mean, deviation float64 // In seconds.
}

// add records how long a connection took to open.
func (d *dialTimes) add(took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	v, weight := took.Seconds(), max(dialWeight, 1/float64(d.samples+1))
	d.deviation += weight * (math.Abs(v-d.mean) - d.deviation)
	d.mean += weight * (v - d.mean)
	d.samples = min(d.samples+1, minDialSamples)
}

// timeout returns how long to wait for a connection, at most limit.
func (d *dialTimes) timeout(limit time.Duration) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.samples < minDialSamples {
		return limit
	}
	regular := time.Duration((d.mean + dialDeviations*d.deviation) * float64(time.Second))
	return min(max(regular, minDialTimeout), limit)
}
