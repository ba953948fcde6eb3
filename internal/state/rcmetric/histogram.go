package rcmetric

import (
	"encoding/json"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// resolution is a tenth of a millisecond, because the shortest latencies of
	// interest are one round trip within an availability zone.
	resolution = 100 * time.Microsecond
	// maxDuration is the upper end of the recorded range. Longer durations are
	// recorded as this value; no request takes longer.
	maxDuration = time.Minute
	// significantDigits is the number of decimal digits kept of each value, which
	// gives an error of at most 1%.
	significantDigits = 2
)

// bucketBounds are the upper bounds of the exported buckets, in milliseconds. They
// cover the latency objectives of the known routes.
var bucketBounds = []int64{1, 2, 5, 10, 25, 50, 100, 150, 250, 400, 600, 1000, 2500, 5000, 10_000, 60_000}

// Summary holds the statistics of a histogram. All times are in milliseconds.
type Summary struct {
	Count                              int64
	MeanMS, P50MS, P95MS, P99MS, MaxMS float64
	// Buckets maps each upper bound to the cumulative number of durations up to it.
	// Bounds below the shortest and above the longest duration are left out.
	Buckets map[string]int64
}

// histograms holds the histograms of a Set. The zero value is ready to use.
type histograms struct {
	mu     sync.Mutex
	byName map[HistogramName]*hdrhistogram.Histogram
}

func (t *histograms) record(name HistogramName, d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h, ok := t.byName[name]
	if !ok {
		if t.byName == nil {
			t.byName = map[HistogramName]*hdrhistogram.Histogram{}
		}
		h = hdrhistogram.New(1, int64(maxDuration/resolution), significantDigits)
		t.byName[name] = h
	}
	_ = h.RecordValue(int64(min(max(d, 0), maxDuration) / resolution)) // The value is within the bounds.
}

func (t *histograms) summary(name HistogramName) (s Summary) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h, ok := t.byName[name]
	if !ok {
		return s
	}
	ms := func(v float64) float64 { return v * float64(resolution) / float64(time.Millisecond) }
	s = Summary{
		Count: h.TotalCount(), MeanMS: ms(h.Mean()), P50MS: ms(float64(h.ValueAtQuantile(50))), P95MS: ms(float64(h.ValueAtQuantile(95))),
		P99MS: ms(float64(h.ValueAtQuantile(99))), MaxMS: ms(float64(h.Max())), Buckets: map[string]int64{},
	}
	distribution := h.Distribution()
	for _, bound := range bucketBounds {
		var n int64
		for _, b := range distribution {
			if b.To <= bound*int64(time.Millisecond/resolution) {
				n += b.Count
			}
		}
		if n > 0 {
			s.Buckets[strconv.FormatInt(bound, 10)] = n
		}
		if n == s.Count {
			break
		}
	}
	return s
}

// String returns all histograms as JSON.
func (t *histograms) String() string {
	all := map[HistogramName]Summary{}
	for _, m := range Histograms {
		if s := t.summary(m.Name); s.Count > 0 {
			all[m.Name] = s
		}
	}
	text, err := json.Marshal(all)
	if err != nil {
		return "{}" // Unreachable: numbers and strings can always be marshalled.
	}
	return string(text)
}
