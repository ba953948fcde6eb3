package rceval

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/radishcrank/radishcrank"
)

// job is one attempt of a request on an engine.
type job struct {
	request  *TraceRequest
	resume   int // Tokens delivered by earlier attempts.
	deadline time.Time
	estimate int // Prompt tokens to prefill, as counted on arrival.
	cached   int

	onFirst func()
	onDone  func(radishcrank.Usage)
	onFail  func(error)
}

// engine is a model of one engine: a batch of limited size whose requests share
// one prefill unit and decode side by side.
type engine struct {
	id     radishcrank.UpstreamID
	zone   radishcrank.AvailabilityZone
	params EngineParams
	loop   *loop
	rng    *rand.Rand
	stats  *stats

	up          bool
	incarnation radishcrank.Incarnation
	cache       *cache
	pending     holders // Blocks that waiting requests will store.
	running     map[*job]bool
	runOrder    []*job // Requests in the batch in the order they entered it.
	waiting     []*job
	prefills    []*job
	prefilling  *job
	prefillEnd  time.Time
	queued      int // Sum of the estimates of requests that wait for prefill.

	reports []radishcrank.LoadReport
	evicted []int // Blocks evicted in each of the last report intervals.
	events  []timedEvent
	nextSeq uint64
}

type timedEvent struct {
	at    time.Time
	event radishcrank.CacheEvent
}

func newEngine(n int, d Deployment, l *loop, h holders, s *stats, seed uint64) *engine {
	e := &engine{
		id:     radishcrank.UpstreamID(fmt.Sprintf("engine-%02d", n+1)),
		zone:   zoneName(n % d.Zones),
		params: d.Engine,
		loop:   l,
		rng:    rand.New(rand.NewPCG(seed, uint64(n)+100)),
		stats:  s,
		cache:  newCache(d.Engine.CacheBlocks, h),
	}
	e.start()
	return e
}

func zoneName(n int) radishcrank.AvailabilityZone {
	return radishcrank.AvailabilityZone(fmt.Sprintf("zone-%d", n+1))
}

func (e *engine) start() {
	e.up = true
	e.incarnation++
	e.pending = make(holders)
	e.running = make(map[*job]bool)
	e.runOrder, e.waiting, e.prefills, e.prefilling = nil, nil, nil, nil
	e.queued = 0
	e.reports, e.evicted = nil, []int{0}
	e.events, e.nextSeq = nil, 1
}

// crash loses the cache and fails all work; the next incarnation starts later.
func (e *engine) crash() {
	e.up = false
	e.cache.clear()
	lost := append(e.runOrder, e.waiting...)
	e.runOrder, e.waiting, e.prefills, e.prefilling = nil, nil, nil, nil
	e.running = make(map[*job]bool)
	for _, j := range lost {
		j.onFail(radishcrank.ErrTruncated)
	}
	e.loop.after(e.params.RestartDelay, func() {
		e.start()
		e.report()
	})
}

// submit takes a request, or fails it at once while the engine is down.
func (e *engine) submit(j *job) {
	if !e.up {
		j.onFail(radishcrank.ErrNotSent)
		return
	}
	e.enqueueEstimate(j)
	e.waiting = append(e.waiting, j)
	e.pump()
}

// enqueueEstimate counts what j will have to prefill, given the cache and the
// requests before it.
func (e *engine) enqueueEstimate(j *job) {
	keys := j.request.CacheKeys
	hits := 0
	for hits < len(keys) && (e.cache.entries[keys[hits]] != nil || e.pending[keys[hits]] > 0) {
		hits++
	}
	for _, k := range keys {
		e.pending[k]++
	}
	j.estimate = j.request.PromptTokens - hits*blockTokens
	e.queued += j.estimate
}

func (e *engine) dequeueEstimate(j *job) {
	e.queued -= j.estimate
	for _, k := range j.request.CacheKeys {
		if e.pending[k]--; e.pending[k] <= 0 {
			delete(e.pending, k)
		}
	}
}

// pump fills the batch and the prefill unit.
func (e *engine) pump() {
	for len(e.waiting) > 0 && len(e.running) < e.params.MaxBatch {
		j := e.waiting[0]
		e.waiting = e.waiting[1:]
		if time.Now().After(j.deadline) {
			e.dequeueEstimate(j)
			j.onFail(errDeadline)
			continue
		}
		e.running[j] = true
		e.runOrder = append(e.runOrder, j)
		e.prefills = append(e.prefills, j)
	}
	if e.prefilling == nil && len(e.prefills) > 0 {
		j := e.prefills[0]
		e.prefills = e.prefills[1:]
		e.prefill(j)
	}
}

func (e *engine) prefill(j *job) {
	keys := j.request.CacheKeys
	hits := e.cache.hits(keys)
	e.cache.use(keys[:hits])
	wasted := 0
	for _, k := range keys[hits:] {
		if e.cache.holders[k] > 0 {
			wasted += blockTokens
		}
	}
	j.cached = hits * blockTokens
	missing := j.request.PromptTokens - j.cached
	e.stats.prefill(j.request, j.cached, wasted)
	e.prefilling = j
	d := seconds(float64(missing) / e.params.PrefillPerSecond)
	e.prefillEnd = time.Now().Add(d)
	e.loop.at(e.prefillEnd, func() { e.prefilled(j) })
}

func (e *engine) prefilled(j *job) {
	if !e.running[j] {
		return // Lost in a crash.
	}
	e.dequeueEstimate(j)
	stored, evicted := e.cache.store(j.request.CacheKeys)
	e.record(radishcrank.CacheStored, stored)
	e.record(radishcrank.CacheEvicted, evicted)
	e.evicted[len(e.evicted)-1] += len(evicted)
	e.stats.evictions += len(evicted)
	e.prefilling = nil
	step := seconds(1 / e.params.DecodePerSecond)
	e.loop.after(step, func() {
		if e.running[j] {
			j.onFirst()
		}
	})
	rest := max(j.request.AnswerTokens-j.resume, 1)
	e.loop.after(time.Duration(rest)*step, func() { e.finish(j) })
	e.pump()
}

func (e *engine) finish(j *job) {
	if !e.running[j] {
		return
	}
	delete(e.running, j)
	for i, other := range e.runOrder {
		if other == j {
			e.runOrder = append(e.runOrder[:i], e.runOrder[i+1:]...)
			break
		}
	}
	j.onDone(radishcrank.Usage{
		PromptTokens:     j.request.PromptTokens,
		CachedTokens:     j.cached,
		CompletionTokens: j.request.AnswerTokens,
	})
	e.pump()
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
