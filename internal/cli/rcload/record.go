package rcload

import (
	"cmp"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/radishcrank/radishcrank"
)

// Histograms hold microseconds up to an hour with three digits.
const (
	histogramMax    = int64(time.Hour / time.Microsecond)
	histogramDigits = 3
)

// recorder collects outcomes.
type recorder struct {
	mu       sync.Mutex
	sent     int
	ended    int
	ends     map[EndCount]int // Keyed with a zero Count.
	statuses map[int]int
	ttft     *hdrhistogram.Histogram
	between  *hdrhistogram.Histogram
	total    *hdrhistogram.Histogram
	calls    *hdrhistogram.Histogram
	recent   *hdrhistogram.Histogram // TTFT since the last progress line.
	seconds  []second
	tokens   int
	prompt   int
	cached   int
}

// second collects the generations that were intended for one second of the run.
type second struct {
	sent, completed, failed int
	ttft                    []time.Duration
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, histogramMax, histogramDigits)
}

func (r *recorder) init() {
	r.ends = make(map[EndCount]int)
	r.statuses = make(map[int]int)
	r.ttft, r.between, r.total = newHistogram(), newHistogram(), newHistogram()
	r.calls, r.recent = newHistogram(), newHistogram()
}

func (r *recorder) began() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent++
}

// add records an outcome of a generation, or of a call of a plain service.
func (r *recorder) add(o outcome, call bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ended++
	r.ends[EndCount{Call: call, End: o.end, Outcome: o.outcome}]++
	r.statuses[o.status]++
	if call {
		if o.end == EndCompleted {
			record(r.calls, o.total)
		}
		return
	}
	r.tokens += o.tokens
	r.prompt += o.prompt
	r.cached += o.cached
	if o.tokens > 0 {
		record(r.ttft, o.ttft)
		record(r.recent, o.ttft)
	}
	for _, gap := range o.gaps {
		record(r.between, gap)
	}
	if o.end == EndCompleted {
		record(r.total, o.total)
	}
}

// addSecond records a generation in the timeline.
func (r *recorder) addSecond(n int, o outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for len(r.seconds) <= n {
		r.seconds = append(r.seconds, second{})
	}
	s := &r.seconds[n]
	s.sent++
	if o.end == EndCompleted {
		s.completed++
	} else {
		s.failed++
	}
	if o.tokens > 0 {
		s.ttft = append(s.ttft, o.ttft)
	}
}

// record adds a duration. A value out of range counts as the highest one.
func record(h *hdrhistogram.Histogram, d time.Duration) {
	// The range check makes an error impossible.
	_ = h.RecordValue(min(max(d.Microseconds(), 1), histogramMax))
}

// line describes the run so far.
func (r *recorder) line(elapsed time.Duration) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	completed := 0
	for e, n := range r.ends {
		if e.End == EndCompleted {
			completed += n
		}
	}
	line := fmt.Sprintf("%6.1fs sent %d, under way %d, completed %d, not completed %d, recent TTFT p50 %v p99 %v",
		elapsed.Seconds(), r.sent, r.sent-r.ended, completed, r.ended-completed,
		percentile(r.recent, 50).Round(time.Millisecond), percentile(r.recent, 99).Round(time.Millisecond))
	r.recent.Reset()
	return line
}

func percentile(h *hdrhistogram.Histogram, p float64) time.Duration {
	return time.Duration(h.ValueAtPercentile(p)) * time.Microsecond
}

func (r *recorder) endCounts() []EndCount {
	counts := make([]EndCount, 0, len(r.ends))
	for e, n := range r.ends {
		e.Count = n
		counts = append(counts, e)
	}
	slices.SortFunc(counts, func(a, b EndCount) int {
		return cmp.Or(compareBool(a.Call, b.Call), cmp.Compare(a.End, b.End), cmp.Compare(a.Outcome, b.Outcome))
	})
	return counts
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

func (r *recorder) statusCounts() []StatusCount {
	counts := make([]StatusCount, 0, len(r.statuses))
	for status, n := range r.statuses {
		counts = append(counts, StatusCount{Status: status, Count: n})
	}
	slices.SortFunc(counts, func(a, b StatusCount) int { return cmp.Compare(a.Status, b.Status) })
	return counts
}

// EndCount counts requests with the same end.
type EndCount struct {
	Call    bool                // A call of a plain service, not a generation.
	End     string              // One of the End constants.
	Outcome radishcrank.Outcome // As stated by the fleet; empty if it stated none.
	Count   int
}

// StatusCount counts requests with the same HTTP status; 0 is no answer.
type StatusCount struct {
	Status int
	Count  int
}
