package rceval

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/radishcrank/radishcrank"
)

// job is one attempt to run a request on an engine.
type job struct {
	request         *TraceRequest
	resumeFrom      int // Tokens delivered by earlier attempts.
	deadline        time.Time
	prefillEstimate int // Prompt tokens to prefill, estimated on arrival.
	cached          int

	onFirstToken func()
	onDone       func(radishcrank.Usage)
	onFail       func(error)
}

// engine models one engine: a batch of limited size whose requests share one
// prefill unit and decode concurrently.
type engine struct {
	id     radishcrank.UpstreamID
	zone   radishcrank.AvailabilityZone
	params EngineParams
	loop   *eventLoop
	rng    *rand.Rand
	stats  *stats

	up             bool
	incarnation    radishcrank.Incarnation
	cache          *cache
	pending        blockCounts // Blocks that queued jobs will store.
	running        map[*job]bool
	runOrder       []*job // Jobs in the batch, in the order in which they entered it.
	waiting        []*job
	prefillQueue   []*job
	prefilling     *job
	prefillEnd     time.Time
	queuedEstimate int // Sum of the estimates of jobs whose prefill is not complete.

	reports            []radishcrank.LoadReport
	evictedPerInterval []int // Blocks evicted in each of the last report intervals.
	events             []timedEvent
	nextSeq            uint64
}

type timedEvent struct {
	at    time.Time
	event radishcrank.CacheEvent
}

func newEngine(n int, d Deployment, l *eventLoop, h blockCounts, s *stats, seed uint64) *engine {
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
	e.pending = make(blockCounts)
	e.running = make(map[*job]bool)
	e.runOrder, e.waiting, e.prefillQueue, e.prefilling = nil, nil, nil, nil
	e.queuedEstimate = 0
	e.reports, e.evictedPerInterval = nil, []int{0}
	e.events, e.nextSeq = nil, 1
}

// crash clears the cache and fails all jobs. The next incarnation starts after
// RestartDelay.
func (e *engine) crash() {
	e.up = false
	e.cache.clear()
	lost := append(e.runOrder, e.waiting...)
	e.runOrder, e.waiting, e.prefillQueue, e.prefilling = nil, nil, nil, nil
	e.running = make(map[*job]bool)
	for _, j := range lost {
		j.onFail(radishcrank.ErrTruncated)
	}
	e.loop.after(e.params.RestartDelay, func() {
		e.start()
		e.takeReport()
	})
}

// submit queues a job, or fails it immediately if the engine is down.
func (e *engine) submit(j *job) {
	if !e.up {
		j.onFail(radishcrank.ErrNotSent)
		return
	}
	e.enqueueEstimate(j)
	e.waiting = append(e.waiting, j)
	e.schedule()
}

// enqueueEstimate estimates the prompt tokens that j will have to prefill,
// given the cache and the jobs queued before it.
func (e *engine) enqueueEstimate(j *job) {
	keys := j.request.CacheKeys
	hits := 0
	for hits < len(keys) && (e.cache.entries[keys[hits]] != nil || e.pending[keys[hits]] > 0) {
		hits++
	}
	for _, k := range keys {
		e.pending[k]++
	}
	j.prefillEstimate = j.request.PromptTokens - hits*blockTokens
	e.queuedEstimate += j.prefillEstimate
}

func (e *engine) dequeueEstimate(j *job) {
	e.queuedEstimate -= j.prefillEstimate
	for _, k := range j.request.CacheKeys {
		if e.pending[k]--; e.pending[k] <= 0 {
			delete(e.pending, k)
		}
	}
}

// schedule admits waiting jobs to the batch and starts the next prefill if the
// prefill unit is idle.
func (e *engine) schedule() {
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
		e.prefillQueue = append(e.prefillQueue, j)
	}
	if e.prefilling == nil && len(e.prefillQueue) > 0 {
		j := e.prefillQueue[0]
		e.prefillQueue = e.prefillQueue[1:]
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
	e.stats.addPrefill(j.request, j.cached, wasted)
	e.prefilling = j
	d := seconds(float64(missing) / e.params.PrefillPerSecond)
	e.prefillEnd = time.Now().Add(d)
	e.loop.at(e.prefillEnd, func() { e.finishPrefill(j) })
}

func (e *engine) finishPrefill(j *job) {
	if !e.running[j] {
		return // The job was lost in a crash.
	}
	e.dequeueEstimate(j)
	stored, evicted := e.cache.store(j.request.CacheKeys)
	e.recordEvent(radishcrank.CacheStored, stored)
	e.recordEvent(radishcrank.CacheEvicted, evicted)
	e.evictedPerInterval[len(e.evictedPerInterval)-1] += len(evicted)
	e.stats.evictions += len(evicted)
	e.prefilling = nil
	step := seconds(1 / e.params.DecodePerSecond)
	e.loop.after(step, func() {
		if e.running[j] {
			j.onFirstToken()
		}
	})
	rest := max(j.request.AnswerTokens-j.resumeFrom, 1)
	e.loop.after(time.Duration(rest)*step, func() { e.finish(j) })
	e.schedule()
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
	e.schedule()
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
