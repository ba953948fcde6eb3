package rcaffinity

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/state/rcfleet"
)

// replayRequest is a request of a replay. Times are in milliseconds.
type replayRequest struct {
	at, target, gapAim float64
	prompt, output     int
	key                string // Of the prompt's shared part, which is two thirds of it.
	instance           int

	left, placed       int // Tokens that remain to be prefilled, and as expected at placement.
	first, last, pause float64
}

// replayEngine reads prompts in chunks, in the order of arrival, and makes one decode step
// of all streams after each chunk.
type replayEngine struct {
	speed             func(at float64) float64
	now               float64
	waiting, reading  []*replayRequest
	decoding          []*replayRequest
	cached            map[string]bool
	perInstance       []rcfleet.Load // In flight.
	reported          []rcfleet.Load // Of the other instances, as each of them knows it.
	slowness, samples float64        // Moving sums of the reported slowness.
	work              float64        // Tokens prefilled.
}

const (
	replayChunk      = 2048
	replayDecodeStep = 15.0 // Milliseconds.
	replayReportAge  = 300.0
)

// advance runs the engine until a time and calls end for each request that is over.
func (e *replayEngine) advance(until float64, slots int, end func(*replayRequest)) {
	for e.now < until {
		for len(e.waiting) > 0 && len(e.reading)+len(e.decoding) < slots {
			q := e.waiting[0]
			e.waiting, e.reading = e.waiting[1:], append(e.reading, q)
			if q.left = q.prompt; e.cached[q.key] {
				q.left -= q.prompt * 2 / 3
			}
		}
		if len(e.reading)+len(e.decoding) == 0 {
			e.now = until
			return
		}
		budget, step := replayChunk, 0.0
		var done []*replayRequest
		for budget > 0 && len(e.reading) > 0 {
			q := e.reading[0]
			n := min(budget, q.left)
			q.left, budget = q.left-n, budget-n
			if q.left == 0 {
				e.reading, done = e.reading[1:], append(done, q)
			}
		}
		if len(e.decoding) > 0 {
			step = replayDecodeStep
		}
		e.work += float64(replayChunk - budget)
		e.now += (float64(replayChunk-budget)/prefillRate + step) / e.speed(e.now)
		e.decoding = slices.DeleteFunc(append(e.decoding, done...), func(q *replayRequest) bool {
			if q.first == 0 {
				q.first, e.cached[q.key] = e.now, true
				e.perInstance[q.instance].Prefilling -= q.placed
			} else {
				q.pause = max(q.pause, e.now-q.last)
			}
			q.last = e.now
			if q.output--; q.output > 0 {
				return false
			}
			e.perInstance[q.instance].Running--
			e.perInstance[q.instance].Held -= q.placed
			end(q)
			return true
		})
	}
}

// replay is a fleet whose instances see the load of the others as it was up to
// replayReportAge ago.
type replay struct {
	engines         []*replayEngine
	instances       int
	slots, capacity int
	speedKnown      bool // Engines report their slowness.
	weighTargets    bool // Requests tell the targets of their routes.
	pauseRatio      float64
}

func newReplay(engines, instances int, speed func(engine int, at float64) float64) *replay {
	r := &replay{instances: instances, slots: 32}
	for i := range engines {
		r.engines = append(r.engines, &replayEngine{
			speed: func(at float64) float64 { return speed(i, at) }, cached: map[string]bool{},
			perInstance: make([]rcfleet.Load, instances), reported: make([]rcfleet.Load, instances),
		})
	}
	return r
}

// others returns what is known of the load from other instances after a report. Where engines
// report their speed, rcfleet takes its mean.
func (r *replay) others(known, reported rcfleet.Load) rcfleet.Load {
	if !r.speedKnown {
		return reported
	}
	follow := func(mean, value int) int {
		constant := 400.0
		if value > mean {
			constant = 200
		}
		return value + int(float64(mean-value)*math.Exp(-replayReportAge/constant))
	}
	reported.Running, reported.Prefilling = follow(known.Running, reported.Running), follow(known.Prefilling, reported.Prefilling)
	return reported
}

// run serves requests.
func (r *replay) run(requests []*replayRequest) {
	slices.SortFunc(requests, func(a, b *replayRequest) int { return cmp.Compare(a.at, b.at) })
	states := engines(len(r.engines))
	reportAt, now := 0.0, time.Now()
	for _, q := range requests {
		for ; reportAt <= q.at; reportAt += replayReportAge {
			r.advance(reportAt)
			for _, e := range r.engines {
				sum := rcfleet.Load{}
				for _, l := range e.perInstance {
					sum = sum.Add(l)
				}
				for i, l := range e.perInstance {
					e.reported[i] = r.others(e.reported[i], sum.Sub(l))
				}
				e.slowness, e.samples = 0.8*e.slowness+100/e.speed(reportAt), 0.8*e.samples+1
			}
		}
		r.advance(q.at)
		for i, e := range r.engines {
			s, own := &states[i], e.perInstance[q.instance]
			s.Slots, s.CacheTokens = r.slots, r.capacity
			s.Running, s.Prefilling, s.Held = own.Running, own.Prefilling, own.Held
			s.PeerLoad = e.reported[q.instance]
			if r.speedKnown {
				s.Speed = 100 * e.samples / e.slowness
			}
		}
		req := request(q.key)
		req.Spread = mix(uint64(q.at * 1e6))
		if r.weighTargets {
			req.LatencyTarget, req.MaxEventGap = time.Duration(q.target)*time.Millisecond, time.Duration(q.gapAim)*time.Millisecond
		}
		req.Parts = []radishcrank.PromptPart{{ID: q.key, Tokens: q.prompt * 2 / 3}, {ID: "own", Tokens: q.prompt - q.prompt*2/3}}
		req.PauseRatio = r.pauseRatio
		req.CachedPrefixes = func(string) map[rcfleet.UpstreamKey]rcfleet.CachedPrefix {
			cached := map[rcfleet.UpstreamKey]rcfleet.CachedPrefix{}
			for i, e := range r.engines {
				if e.cached[q.key] {
					cached[rcfleet.KeyOf(states[i].ID)] = rcfleet.CachedPrefix{Tokens: q.prompt * 2 / 3}
				}
			}
			return cached
		}
		c, _ := Choose(req, states, now)
		at := slices.IndexFunc(states, func(s rcfleet.State) bool { return s.ID == c.Upstream.ID })
		e := r.engines[at]
		q.placed = c.HeldTokens
		e.perInstance[q.instance] = e.perInstance[q.instance].Add(rcfleet.Load{Running: 1, Prefilling: q.placed, Held: q.placed})
		e.waiting = append(e.waiting, q)
	}
	r.advance(requests[len(requests)-1].at + 60_000)
}

func (r *replay) advance(until float64) {
	for _, e := range r.engines {
		e.advance(until, r.slots, func(q *replayRequest) {
			late := 0.0
			if q.pause > q.gapAim {
				late = 1
			}
			r.pauseRatio += (late - r.pauseRatio) / 32
		})
	}
}

// replayLoad returns requests of one class at a rate per second for a number of seconds.
func replayLoad(rng *rand.Rand, rate, seconds float64, instances, keys int, class replayRequest) (list []*replayRequest) {
	for at := 0.0; rate > 0; {
		if at += rng.ExpFloat64() * 1000 / rate; at > seconds*1000 {
			return list
		}
		q := class
		q.at, q.instance, q.key = class.at+at, rng.IntN(instances), fmt.Sprintf("%s%d", class.key, rng.IntN(keys))
		list = append(list, &q)
	}
	return nil
}

var (
	replayShort = replayRequest{prompt: 830, output: 45, target: 400, gapAim: 500, key: "s"}
	replayLong  = replayRequest{prompt: 9200, output: 9, target: 800, gapAim: 500, key: "l"}
)

// p95 returns the time to the first event that 95 in 100 requests do not exceed, and the
// share of those within their target.
func p95(requests []*replayRequest) (ms, onTime float64) {
	if len(requests) == 0 {
		return 0, 1
	}
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
