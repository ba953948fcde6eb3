// Package rcbudget limits how many requests the fleet retries, without
// coordination between instances. The fleet-wide allowance is a ratio of all
// requests plus a constant. Each instance applies the ratio to its own requests
// and gets an equal part of the constant. A process gets that part only after its
// first window, because a previous process may have spent it during that window.
package rcbudget

import (
	"sync"
	"time"
)

const (
	// safetyFactor is the fraction of the allowance in use. The rest covers requests
	// that fall into different windows on different instances.
	safetyFactor = 0.85
	bucketCount  = 20
)

// Allowance is the number of retries that the whole fleet may send.
type Allowance struct {
	Ratio float64 // Retries per request.
	Slack float64 // Additional retries per window.
}

// Config configures a Budget.
type Config struct {
	Allowance func() Allowance
	Window    time.Duration // Length of the sliding window to which the allowance applies.
	Instances func() int    // Number of instances that share Allowance.Slack. Nil means 1.
}

// Budget counts the requests and retries of each service. It is safe for
// concurrent use.
type Budget struct {
	cfg       Config
	createdAt time.Time // Intervals use its monotonic reading, since the wall clock may jump.

	mu       sync.Mutex
	services map[string]*window
}

// window is a ring of buckets that covers Config.Window.
type window struct {
	intervals [bucketCount]int64 // Number of the interval that each bucket counts.
	requests  [bucketCount]int
	retries   [bucketCount]int
}

// New returns a Budget.
func New(cfg Config) *Budget {
	return &Budget{cfg: cfg, createdAt: time.Now(), services: map[string]*window{}}
}

// bucketLocked returns the window of a service, the index of the current bucket
// and the number of the current interval. It resets a bucket of an older interval.
func (b *Budget) bucketLocked(service string) (w *window, i int, interval int64) {
	w, ok := b.services[service]
	if !ok {
		w = &window{}
		b.services[service] = w
	}
	interval = int64(time.Since(b.createdAt) / (b.cfg.Window / bucketCount))
	i = int(interval % bucketCount)
	if w.intervals[i] != interval {
		w.intervals[i], w.requests[i], w.retries[i] = interval, 0, 0
	}
	return w, i, interval
}

// RecordRequest counts a request of a caller to a service.
func (b *Budget) RecordRequest(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w, i, _ := b.bucketLocked(service)
	w.requests[i]++
}

// AllowRetry takes one retry from the budget. It returns false if the budget is
// exhausted.
func (b *Budget) AllowRetry(service string) bool {
	n := 1
	if b.cfg.Instances != nil {
		n = max(1, b.cfg.Instances())
	}
	allowed := b.cfg.Allowance()
	if time.Since(b.createdAt) < b.cfg.Window {
		allowed.Slack = 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	w, i, interval := b.bucketLocked(service)
	requests, retries := 0, 0
	for j := range w.intervals {
		if interval-w.intervals[j] < bucketCount {
			requests += w.requests[j]
			retries += w.retries[j]
		}
	}
	if float64(retries+1) > safetyFactor*(allowed.Ratio*float64(requests)+allowed.Slack/float64(n)) {
		return false
	}
	w.retries[i]++
	return true
}
