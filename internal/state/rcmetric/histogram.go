package rcmetric

import (
	"encoding/json"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// timingUnit is the resolution of histograms, a tenth of a millisecond: the
	// shortest latencies of interest are one round trip within a zone.
	timingUnit = 100 * time.Microsecond
	// maxTiming is the longest duration that is told apart from longer ones; no
	// request takes longer.
	maxTiming = time.Minute
	// timingDigits of each value are kept, so that figures are right within 1%.
	timingDigits = 2
)

// bucketBounds are the upper bounds of the buckets that are served, in
// milliseconds. They enclose the objectives of the known routes.
var bucketBounds = []int64{1, 2, 5, 10, 25, 50, 100, 150, 250, 400, 600, 1000, 2500, 5000, 10_000, 60_000}

// Summary is what a histogram tells. All times are in milliseconds.
type Summary struct {
	Count                              int64
	MeanMS, P50MS, P95MS, P99MS, MaxMS float64
	// Buckets holds, by upper bound, the number of durations up to it. Bounds
	// below the shortest and above the longest duration are left out.
	Buckets map[string]int64
}

// timings are the histograms of a Set. The zero value is ready to use.
type timings struct {
	mu   sync.Mutex
	hist map[HistogramName]*hdrhistogram.Histogram
}

func (t *timings) record(name HistogramName, d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h, ok := t.hist[name]
	if !ok {
		if t.hist == nil {
			t.hist = map[HistogramName]*hdrhistogram.Histogram{}
		}
		h = hdrhistogram.New(1, int64(maxTiming/timingUnit), timingDigits)
		t.hist[name] = h
	}
	_ = h.RecordValue(int64(min(max(d, 0), maxTiming) / timingUnit)) // The value is within the bounds.
}

func (t *timings) summary(name HistogramName) (s Summary) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h, ok := t.hist[name]
	if !ok {
		return s
	}
	ms := func(v float64) float64 { return v * float64(timingUnit) / float64(time.Millisecond) }
	s = Summary{
		Count: h.TotalCount(), MeanMS: ms(h.Mean()), P50MS: ms(float64(h.ValueAtQuantile(50))), P95MS: ms(float64(h.ValueAtQuantile(95))),
		P99MS: ms(float64(h.ValueAtQuantile(99))), MaxMS: ms(float64(h.Max())), Buckets: map[string]int64{},
	}
	bars := h.Distribution()
	for _, bound := range bucketBounds {
		var n int64
		for _, b := range bars {
			if b.To <= bound*int64(time.Millisecond/timingUnit) {
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
func (t *timings) String() string {
	all := map[HistogramName]Summary{}
	for _, m := range Histograms {
		if s := t.summary(m.Name); s.Count > 0 {
			all[m.Name] = s
		}
	}
	text, err := json.Marshal(all)
	if err != nil {
		return "{}" // Numbers and texts can always be marshalled.
	}
	return string(text)
}
