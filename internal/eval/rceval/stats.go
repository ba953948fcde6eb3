package rceval

import (
	"errors"
	"math"
	"slices"
	"time"

	"github.com/radishcrank/radishcrank"
)

// errDeadline fails a job whose deadline passes before it enters the batch.
var errDeadline = errors.New("deadline passed in the engine's queue")

// sample holds the measurements of one request.
type sample struct {
	prompt int // Prompt tokens of all attempts whose prefill started.
	cached int
	wasted int
	ttft   time.Duration
	state  requestState
}

type requestState int

const (
	stateOpen requestState = iota
	stateAnswered
	stateRefused
	stateFailed
	stateExpired // Its deadline passed before its first token.
)

// stats collects the samples of a run.
type stats struct {
	trace     *Trace
	byID      map[radishcrank.RequestID]*sample
	samples   []sample // In the order of the trace.
	evictions int
}

func newStats(t *Trace) *stats {
	s := &stats{
		trace:   t,
		byID:    make(map[radishcrank.RequestID]*sample, len(t.Requests)),
		samples: make([]sample, len(t.Requests)),
	}
	for i, r := range t.Requests {
		s.byID[r.ID] = &s.samples[i]
	}
	return s
}

func (s *stats) sample(r *TraceRequest) *sample { return s.byID[r.ID] }

func (s *stats) addPrefill(r *TraceRequest, cached, wasted int) {
	p := s.sample(r)
	p.prompt += r.PromptTokens
	p.cached += cached
	p.wasted += wasted
}

// Result holds the metrics of one policy on one trace, for the requests that
// arrive in a given period.
type Result struct {
	Policy             string
	Requests           int
	HitRate            float64 // Cached prompt tokens divided by prompt tokens.
	P50                time.Duration
	P95                time.Duration
	P99                time.Duration
	WastedTokens       int // Prefilled tokens whose blocks a live engine held at that time.
	Refused            int
	Expired            int
	Failed             int
	Fairness           float64 // p99 TTFT of the worst account divided by that of the median account.
	EvictionsPerSecond float64 // Per engine, over the whole run.
}

// result computes the metrics of the requests that arrive between from and to.
// An expired request counts with the time until it was given up, so that a
// policy gains nothing by letting requests expire.
func (s *stats) result(policy string, from, to time.Duration) Result {
	out := Result{Policy: policy}
	var prompt, cached int
	var all []time.Duration
	accounts := make(map[radishcrank.ClientAccountID][]time.Duration)
	for i, r := range s.trace.Requests {
		if r.At < from || r.At >= to {
			continue
		}
		p := s.samples[i]
		out.Requests++
		prompt += p.prompt
		cached += p.cached
		out.WastedTokens += p.wasted
		switch p.state {
		case stateAnswered:
		case stateExpired:
			out.Expired++
		case stateRefused:
			out.Refused++
			continue
		default:
			out.Failed++
			continue
		}
		all = append(all, p.ttft)
		accounts[r.Account] = append(accounts[r.Account], p.ttft)
	}
	out.HitRate = float64(cached) / float64(max(prompt, 1))
	slices.Sort(all)
	out.P50, out.P95, out.P99 = percentile(all, 0.50), percentile(all, 0.95), percentile(all, 0.99)
	out.Fairness = fairness(accounts)
	return out
}

// fairnessSamples is the minimum number of requests for which the p99 of an
// account is meaningful.
const fairnessSamples = 20

func fairness(accounts map[radishcrank.ClientAccountID][]time.Duration) float64 {
	var tails []time.Duration
	for _, list := range accounts {
		if len(list) >= fairnessSamples {
			slices.Sort(list)
			tails = append(tails, percentile(list, 0.99))
		}
	}
	if len(tails) == 0 {
		return math.NaN()
	}
	slices.Sort(tails)
	return float64(tails[len(tails)-1]) / float64(tails[len(tails)/2])
}

// percentile returns the smallest value of a sorted list that at least the
// fraction p of the values does not exceed.
func percentile(sorted []time.Duration, p float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[max(0, int(math.Ceil(p*float64(len(sorted))))-1)]
}

// idealResult returns bounds for comparison: the hit rate of one cache that all
// requests share and that never evicts, and the TTFT without queueing.
func idealResult(d Deployment, t *Trace, from, to time.Duration) Result {
	s := newStats(t)
	seen := make(map[radishcrank.BlockHash]bool)
	for i, r := range t.Requests {
		hits := 0
		for hits < len(r.CacheKeys) && seen[r.CacheKeys[hits]] {
			hits++
		}
		for _, k := range r.CacheKeys[hits:] {
			seen[k] = true
		}
		missing := r.PromptTokens - hits*blockTokens
		s.samples[i] = sample{
			prompt: r.PromptTokens,
			cached: hits * blockTokens,
			ttft:   2*zoneDelay + seconds(float64(missing)/d.Engine.PrefillPerSecond+1/d.Engine.DecodePerSecond),
			state:  stateAnswered,
		}
	}
	return s.result("limit: unlimited cache, no queue", from, to)
}
