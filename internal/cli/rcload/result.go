package rcload

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/gravitational/trace"
)

// ResultVersion is the version of the result file's format.
const ResultVersion = 1

// Result holds the measurements of a run. Latencies are measured from the
// intended send time.
type Result struct {
	Version         int
	Shape           string
	Rate            float64 // Generations per second at the peak.
	CallsPerSecond  float64
	Seed            uint64
	StartedAt       time.Time
	DurationSeconds float64 // Until the end of the last response.
	Interrupted     bool    // The run was stopped before its end.
	Sent            int
	Completed       int
	Ends            []EndCount
	Statuses        []StatusCount
	TTFT            Latency
	BetweenTokens   Latency
	Total           Latency // Of completed generations.
	Calls           Latency // Of completed calls to plain services.
	GeneratedTokens int
	PromptTokens    int // Of generations that reported their usage.
	CachedTokens    int
	Timeline        []Second
}

// Latency summarizes a latency histogram in milliseconds.
type Latency struct {
	Count  int64
	MeanMs float64
	MaxMs  float64
	P50Ms  float64
	P90Ms  float64
	P95Ms  float64
	P99Ms  float64
	P999Ms float64
	Curve  []Point // Cumulative distribution, for plots.
}

// Point is a point of a cumulative distribution: Percentile percent of the
// values do not exceed Ms.
type Point struct {
	Percentile float64
	Ms         float64
}

// Second summarizes the generations whose intended send time is in one second
// of the run.
type Second struct {
	Second       int
	Sent         int
	Completed    int
	NotCompleted int
	P50Ms        float64 // TTFT.
	P99Ms        float64
}

// HitRate returns the fraction of the prompt tokens that engines found in their
// caches.
func (r Result) HitRate() float64 {
	if r.PromptTokens == 0 {
		return 0
	}
	return float64(r.CachedTokens) / float64(r.PromptTokens)
}

// Write writes the result file.
func (r Result) Write(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(r)
}

// ReadResult reads a result file.
func ReadResult(r io.Reader) (res Result, err error) {
	defer func() {
		if err != nil {
			err = trace.Wrap(err, "result file")
		}
	}()
	if err := json.NewDecoder(r).Decode(&res); err != nil {
		return res, err
	}
	if res.Version != ResultVersion {
		return res, fmt.Errorf("version %d is not supported, want %d", res.Version, ResultVersion)
	}
	return res, nil
}

func (l *loadRun) result(interrupted bool) Result {
	r := &l.recorder
	r.mu.Lock()
	defer r.mu.Unlock()
	res := Result{
		Version:         ResultVersion,
		Shape:           l.cfg.Shape,
		Rate:            l.cfg.Rate,
		CallsPerSecond:  l.cfg.CallsPerSecond,
		Seed:            l.cfg.Seed,
		StartedAt:       l.start.UTC(),
		DurationSeconds: time.Since(l.start).Seconds(),
		Interrupted:     interrupted,
		Sent:            r.sent,
		Ends:            r.endCounts(),
		Statuses:        r.statusCounts(),
		TTFT:            summarize(r.ttft),
		BetweenTokens:   summarize(r.betweenTokens),
		Total:           summarize(r.total),
		Calls:           summarize(r.calls),
		GeneratedTokens: r.tokens,
		PromptTokens:    r.promptTokens,
		CachedTokens:    r.cachedTokens,
	}
	for _, e := range res.Ends {
		if e.End == EndCompleted {
			res.Completed += e.Count
		}
	}
	for i := range r.seconds {
		res.Timeline = append(res.Timeline, r.seconds[i].summary(i))
	}
	return res
}

func (s *secondStats) summary(n int) Second {
	slices.Sort(s.ttft)
	return Second{
		Second:       n,
		Sent:         s.sent,
		Completed:    s.completed,
		NotCompleted: s.failed,
		P50Ms:        milliseconds(quantile(s.ttft, 0.50)),
		P99Ms:        milliseconds(quantile(s.ttft, 0.99)),
	}
}

// quantile returns the value of a sorted list at quantile q.
func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func summarize(h *hdrhistogram.Histogram) Latency {
	const microsecond = 1e-3 // One microsecond in milliseconds.
	out := Latency{Count: h.TotalCount()}
	if out.Count == 0 {
		return out
	}
	out.MeanMs = h.Mean() * microsecond
	out.MaxMs = float64(h.Max()) * microsecond
	out.P50Ms = float64(h.ValueAtPercentile(50)) * microsecond
	out.P90Ms = float64(h.ValueAtPercentile(90)) * microsecond
	out.P95Ms = float64(h.ValueAtPercentile(95)) * microsecond
	out.P99Ms = float64(h.ValueAtPercentile(99)) * microsecond
	out.P999Ms = float64(h.ValueAtPercentile(99.9)) * microsecond
	for _, b := range h.CumulativeDistribution() {
		out.Curve = append(out.Curve, Point{Percentile: b.Quantile, Ms: float64(b.ValueAt) * microsecond})
	}
	return out
}
