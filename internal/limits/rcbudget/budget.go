// Package rcbudget bounds how often instances send requests once more, without
// asking each other for each one. A fleet-wide allowance of a share of all
// requests plus a constant is kept by giving each instance the same share of its
// own requests and an equal part of the constant. A process has that part only
// after its first window, in which an earlier process may have spent it.
package rcbudget

import (
	"sync"
	"time"
)

const (
	// safety leaves room for requests that are counted in another window than here.
	safety  = 0.85
	buckets = 20
)

// Allowance is what the whole fleet may repeat.
type Allowance struct {
	Ratio float64 // Repeats for each request.
	Slack float64 // Repeats besides, in one window.
}

// Config says what the fleet may repeat and who shares it.
type Config struct {
	Allowance func() Allowance
	Window    time.Duration // Any span of this length counts.
	Instances func() int    // Instances that share the slack.
}

// Budget counts requests and repeats of one service after the other. It is safe
// for concurrent use.
type Budget struct {
	cfg  Config
	born time.Time // Its monotonic reading counts: the time of day may jump.

	mu       sync.Mutex
	services map[string]*window
}

// window counts in a ring of buckets that covers Config.Window.
type window struct {
	at       [buckets]int64 // Number of the bucket's span of time.
	requests [buckets]int
	repeats  [buckets]int
}

// New returns a Budget.
func New(cfg Config) *Budget {
	return &Budget{cfg: cfg, born: time.Now(), services: map[string]*window{}}
}

func (b *Budget) bucketLocked(service string) (w *window, i int, span int64) {
	w, ok := b.services[service]
	if !ok {
		w = &window{}
		b.services[service] = w
	}
	span = int64(time.Since(b.born) / (b.cfg.Window / buckets))
	i = int(span % buckets)
	if w.at[i] != span {
		w.at[i], w.requests[i], w.repeats[i] = span, 0, 0
	}
	return w, i, span
}

// RecordRequest counts a caller's request for a service.
func (b *Budget) RecordRequest(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w, i, _ := b.bucketLocked(service)
	w.requests[i]++
}

// AllowRetry takes one repeat out of the budget, or reports that it is used up.
func (b *Budget) AllowRetry(service string) bool {
	n := 1
	if b.cfg.Instances != nil {
		n = max(1, b.cfg.Instances())
	}
	allowed := b.cfg.Allowance()
	if time.Since(b.born) < b.cfg.Window {
		allowed.Slack = 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	w, i, span := b.bucketLocked(service)
	requests, repeats := 0, 0
	for j := range w.at {
		if span-w.at[j] < buckets {
			requests += w.requests[j]
			repeats += w.repeats[j]
		}
	}
	if float64(repeats+1) > safety*(allowed.Ratio*float64(requests)+allowed.Slack/float64(n)) {
		return false
	}
	w.repeats[i]++
	return true
}
