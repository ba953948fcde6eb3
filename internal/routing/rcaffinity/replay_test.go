package rcaffinity

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/limits/rcadmission"
	"github.com/radishcrank/radishcrank/internal/state/rcfleet"
)

// replayRequest is a request of a replay. Times are in milliseconds.
type replayRequest struct {
	at, target, first    float64
	abandon              float64 // How long its caller waits for the first event; 0 means without end.
	rank                 float64 // Of the size in its class, from 0 to 1.
	prompt, left, output int
	key                  string // Of the prompt's shared part, which is two thirds of it.
	instance, placed     int
	rejected, gone       bool
}

func (q *replayRequest) shared() int { return q.prompt * 2 / 3 }

// replayEngine reads prompts in chunks, in the order of arrival, and makes one decode step
// of all streams after each chunk.
type replayEngine struct {
	speed                      func(at float64) float64
	now                        float64
	waiting, reading, decoding []*replayRequest
	cached                     map[string]bool
	own, others                []rcfleet.Load // Of each instance, and of the others as it knows it.
	slowness, samples          float64        // Moving sums of the reported slowness.
	work                       float64        // Tokens prefilled.
}

const (
	replayChunk     = 2048
	replaySlots     = 32
	replayStep      = 15.0 // A decode step.
	replayReportAge = 300.0
)

// leave drops the requests whose callers no longer wait.
func (e *replayEngine) leave(requests []*replayRequest) []*replayRequest {
	return slices.DeleteFunc(requests, func(q *replayRequest) bool {
		if q.gone = q.abandon > 0 && e.now > q.at+q.abandon; q.gone {
			e.own[q.instance].Running--
			e.own[q.instance].Prefilling -= q.placed
		}
		return q.gone
	})
}

func (e *replayEngine) advance(until float64) {
	for e.now < until {
		e.waiting, e.reading = e.leave(e.waiting), e.leave(e.reading)
		for len(e.waiting) > 0 && len(e.reading)+len(e.decoding) < replaySlots {
			q := e.waiting[0]
			e.waiting, e.reading = e.waiting[1:], append(e.reading, q)
			if q.left = q.prompt; e.cached[q.key] {
				q.left -= q.shared()
			}
		}
		if len(e.reading)+len(e.decoding) == 0 {
			e.now = until
			return
		}
		budget, step := replayChunk, 0.0
		if len(e.decoding) > 0 {
			step = replayStep
		}
		for budget > 0 && len(e.reading) > 0 {
			q := e.reading[0]
			n := min(budget, q.left)
			q.left, budget = q.left-n, budget-n
			if q.left == 0 {
				e.reading, e.decoding = e.reading[1:], append(e.decoding, q)
			}
		}
		e.work += float64(replayChunk - budget)
		e.now += (float64(replayChunk-budget)/prefillRate + step) / e.speed(e.now)
		e.decoding = slices.DeleteFunc(e.decoding, func(q *replayRequest) bool {
			if q.first == 0 {
				q.first, e.cached[q.key] = e.now, true
				e.own[q.instance].Prefilling -= q.placed
			}
			if q.output--; q.output == 0 {
				e.own[q.instance].Running--
			}
			return q.output == 0
		})
	}
}

// replay is a fleet whose instances see the load of the others as it was up to
// replayReportAge ago.
type replay struct {
	engines []*replayEngine
	known   bool // Engines report their slowness.
}

func newReplay(engines, instances int, known bool, speed func(engine int, at float64) float64) *replay {
	r := &replay{known: known}
	for i := range engines {
		r.engines = append(r.engines, &replayEngine{
			speed: func(at float64) float64 { return speed(i, at) }, cached: map[string]bool{},
			own: make([]rcfleet.Load, instances), others: make([]rcfleet.Load, instances),
		})
	}
	return r
}

// report tells the instances of the load of the others. Where engines report their speed,
// rcfleet takes its mean.
func (r *replay) report(e *replayEngine, at float64) {
	e.slowness, e.samples = 0.8*e.slowness+100/e.speed(at), 0.8*e.samples+1
	sum := rcfleet.Load{}
	for _, l := range e.own {
		sum = sum.Add(l)
	}
	follow := func(mean *int, value int) {
		constant := 400.0
		if value > *mean {
			constant = 200
		}
		if !r.known {
			constant = 1
		}
		*mean = value + int(float64(*mean-value)*math.Exp(-replayReportAge/constant))
	}
	for i, l := range e.own {
		follow(&e.others[i].Running, sum.Running-l.Running)
		follow(&e.others[i].Prefilling, sum.Prefilling-l.Prefilling)
	}
}

// run serves requests.
func (r *replay) run(requests []*replayRequest) {
	slices.SortFunc(requests, func(a, b *replayRequest) int { return cmp.Compare(a.at, b.at) })
	states := engines(len(r.engines))
	reportAt := 0.0
	for _, q := range requests {
		for ; reportAt <= q.at; reportAt += replayReportAge {
			for _, e := range r.engines {
				e.advance(reportAt)
				r.report(e, reportAt)
			}
		}
		req, cached := request(q.key), map[rcfleet.UpstreamKey]rcfleet.CachedPrefix{}
		for i, e := range r.engines {
			e.advance(q.at)
			s := &states[i]
			s.Slots, s.Running, s.Prefilling, s.PeerLoad = replaySlots, e.own[q.instance].Running, e.own[q.instance].Prefilling, e.others[q.instance]
			if r.known {
				s.Speed = 100 * e.samples / e.slowness
			}
			if e.cached[q.key] {
				cached[rcfleet.KeyOf(s.ID)] = rcfleet.CachedPrefix{Tokens: q.shared()}
			}
		}
		req.Spread, req.LatencyTarget, req.MaxEventGap = mix(uint64(q.at*1e6)), time.Duration(q.target)*time.Millisecond, 500*time.Millisecond
		req.Parts = []radishcrank.PromptPart{{ID: q.key, Tokens: q.shared()}, {ID: "own", Tokens: q.prompt - q.shared()}}
		req.CachedPrefixes = func(string) map[rcfleet.UpstreamKey]rcfleet.CachedPrefix { return cached }
		admission := rcadmission.Params{StartTimeout: time.Duration(q.abandon) * time.Millisecond}
		req.MaxWait = admission.MaxWait()
		c, _ := Choose(req, states, time.Now())
		if admission.ExpectedWait = c.MinQueueWait; q.abandon > 0 && admission.ShouldRefuse() {
			q.rejected = true
			continue
		}
		e := r.engines[slices.IndexFunc(states, func(s rcfleet.State) bool { return s.ID == c.Upstream.ID })]
		q.placed = c.HeldTokens
		e.own[q.instance] = e.own[q.instance].Add(rcfleet.Load{Running: 1, Prefilling: q.placed})
		e.waiting = append(e.waiting, q)
	}
	for _, e := range r.engines {
		e.advance(reportAt + 60_000)
	}
}

// replayLoad returns requests of one class at a rate per second for a number of seconds.
func replayLoad(rng *rand.Rand, rate, seconds float64, instances, keys int, class replayRequest) (list []*replayRequest) {
	for at := 0.0; rate > 0 && at <= seconds*1000; at += rng.ExpFloat64() * 1000 / rate {
		q := class
		q.at, q.instance, q.key = class.at+at, rng.IntN(instances), fmt.Sprintf("%s%d", class.key, rng.IntN(keys))
		list = append(list, &q)
	}
	return list
}

// p95 returns the time to the first event that 95 in 100 requests do not exceed, and the
// share of those within their target.
func p95(requests []*replayRequest) (ms, onTime float64) {
	var times []float64
	for _, q := range requests {
		times = append(times, q.first-q.at)
		if q.first-q.at <= q.target {
			onTime += 1 / float64(len(requests))
		}
	}
	slices.Sort(times)
	return times[len(times)*95/100], onTime
}
