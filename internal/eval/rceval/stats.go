package rceval

import (
	"errors"
	"math"
	"slices"
	"time"

	"github.com/radishcrank/radishcrank"
)

// errDeadline ends a request whose first token would come after its deadline.
var errDeadline = errors.New("deadline passed in the engine's queue")

// sample is what became of one request.
type sample struct {
	prompt int // Prompt tokens of all its attempts that were prefilled.
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

func (s *stats) of(r *TraceRequest) *sample { return s.byID[r.ID] }

func (s *stats) prefill(r *TraceRequest, cached, wasted int) {
	p := s.of(r)
	p.prompt += r.PromptTokens
	p.cached += cached
	p.wasted += wasted
}

// Result holds the measures of one policy on one trace, taken of the requests
// that arrive after the warm-up.
type Result struct {
	Policy             string
	Requests           int
	HitRate            float64 // Cached prompt tokens over prompt tokens.
	P50                time.Duration
	P95                time.Duration
	P99                time.Duration
	WastedTokens       int // Prefilled tokens that some live engine held at that time.
	Refused            int
	Expired            int
	Failed             int
	Fairness           float64 // Worst account's p99 TTFT over the median account's.
	EvictionsPerSecond float64 // For each engine, over the whole run.
}

// result works the measures out. An expired request counts with the time after
// which it was given up, so that a policy gains nothing by letting it expire.
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

// fairnessSamples is the least number of requests whose p99 says something
// about an account.
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

// percentile returns the value of a sorted list that the part p does not exceed.
func percentile(sorted []time.Duration, p float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[max(0, int(math.Ceil(p*float64(len(sorted))))-1)]
}

// unlimited returns the limits for comparison: the hit rate of one cache that
// never evicts and that all requests share, and the TTFT without any queue.
func unlimited(d Deployment, t *Trace, from, to time.Duration) Result {
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
