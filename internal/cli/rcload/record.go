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

// Histograms hold values in microseconds up to an hour with three significant
// digits.
const (
	histogramMax    = int64(time.Hour / time.Microsecond)
	histogramDigits = 3
)

// recorder aggregates the outcomes of requests.
type recorder struct {
	mu            sync.Mutex
	sent          int
	ended         int
	ends          map[EndCount]int // The Count of each key is 0.
	statuses      map[int]int
	ttft          *hdrhistogram.Histogram
	betweenTokens *hdrhistogram.Histogram
	total         *hdrhistogram.Histogram
	calls         *hdrhistogram.Histogram
	recent        *hdrhistogram.Histogram // TTFT since the last progress line.
	seconds       []secondStats
	tokens        int
	promptTokens  int
	cachedTokens  int
}

// secondStats aggregates the generations whose intended send time is in one
// second of the run.
type secondStats struct {
	sent, completed, failed int
	ttft                    []time.Duration
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, histogramMax, histogramDigits)
}

func (r *recorder) init() {
	r.ends = make(map[EndCount]int)
	r.statuses = make(map[int]int)
	r.ttft, r.betweenTokens, r.total = newHistogram(), newHistogram(), newHistogram()
	r.calls, r.recent = newHistogram(), newHistogram()
}

func (r *recorder) addSent() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent++
}

// add records the outcome of a generation or, if call is true, of a call to a
// plain service.
func (r *recorder) add(o outcome, call bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ended++
	r.ends[EndCount{Call: call, End: o.end, Outcome: o.outcome}]++
	r.statuses[o.status]++
	if call {
		if o.end == EndCompleted {
			recordDuration(r.calls, o.total)
		}
		return
	}
	r.tokens += o.tokens
	r.promptTokens += o.promptTokens
	r.cachedTokens += o.cachedTokens
	if o.tokens > 0 {
		recordDuration(r.ttft, o.ttft)
		recordDuration(r.recent, o.ttft)
	}
	for _, gap := range o.gaps {
		recordDuration(r.betweenTokens, gap)
	}
	if o.end == EndCompleted {
		recordDuration(r.total, o.total)
	}
}

// addSecond records a generation in the timeline.
func (r *recorder) addSecond(n int, o outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for len(r.seconds) <= n {
		r.seconds = append(r.seconds, secondStats{})
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

// recordDuration adds a duration to a histogram. Values out of range are
// clamped.
func recordDuration(h *hdrhistogram.Histogram, d time.Duration) {
	// RecordValue fails only for values out of range.
	_ = h.RecordValue(min(max(d.Microseconds(), 1), histogramMax))
}

// progressLine returns a summary of the run so far.
func (r *recorder) progressLine(elapsed time.Duration) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	completed := 0
	for e, n := range r.ends {
		if e.End == EndCompleted {
			completed += n
		}
	}
	line := fmt.Sprintf("%6.1fs sent %d, in flight %d, completed %d, not completed %d, recent TTFT p50 %v p99 %v",
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

// EndCount is the number of requests with the same end.
type EndCount struct {
	Call    bool                // A call to a plain service, not a generation.
	End     string              // One of the End constants.
	Outcome radishcrank.Outcome // As reported by the fleet; empty if it reported none.
	Count   int
}

// StatusCount is the number of requests with the same HTTP status. Status 0
// means that there was no response.
type StatusCount struct {
	Status int
	Count  int
}
