package rceval

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/routing/rcindex"
	"github.com/radishcrank/radishcrank/internal/state/rcboard"
	"github.com/radishcrank/radishcrank/internal/state/rcconfig"
	"github.com/radishcrank/radishcrank/internal/upstream/rcwatch"
)

const (
	baselineWatchInterval = time.Second
	zoneDelay             = time.Millisecond       // One way, between zones and between a caller and its instance.
	watchInterval         = 250 * time.Millisecond // Same value as reportInterval in rcdaemon.
	faultWindowSeconds    = 5                      // Length of the compared periods before and after a fault.
)

// fleet runs one policy on one trace.
type fleet struct {
	scenario  Scenario
	policy    Policy
	trace     *Trace
	loop      *eventLoop
	stats     *stats
	engines   []*engine
	byID      map[radishcrank.UpstreamID]*engine
	requests  map[radishcrank.RequestID]*TraceRequest
	instances []*instance
	startedAt time.Time
}

// instance is one router process.
type instance struct {
	zone    radishcrank.AvailabilityZone
	board   *rcboard.Board
	chooser radishcrank.Chooser
	watcher *rcwatch.Watcher
	stopped bool
}

// Run runs a policy on the scenario's trace. It uses virtual time inside a
// synctest bubble and real time outside.
func Run(s Scenario, t *Trace, p Policy) Outcome {
	f := &fleet{
		scenario: s, policy: p, trace: t,
		loop: &eventLoop{}, stats: newStats(t),
		byID:      make(map[radishcrank.UpstreamID]*engine),
		requests:  make(map[radishcrank.RequestID]*TraceRequest),
		startedAt: time.Now(),
	}
	end := f.startedAt.Add(t.Config.Duration)
	holders := make(blockCounts)
	for n := range s.Deployment.Engines {
		e := newEngine(n, s.Deployment, f.loop, holders, f.stats, s.Seed)
		f.engines = append(f.engines, e)
		f.byID[e.id] = e
		f.loop.every(e.params.ReportInterval, end, e.takeReport)
	}
	f.loop.after(0, func() { f.startInstances(0, end) })
	for i := range t.Requests {
		r := &t.Requests[i]
		f.requests[r.ID] = r
		f.loop.at(f.startedAt.Add(r.At), func() { f.arrive(r) })
	}
	f.scheduleFault(end)
	f.loop.run()
	return f.outcome()
}

func (f *fleet) scheduleFault(end time.Time) {
	at := f.startedAt.Add(f.scenario.faultAt())
	switch f.scenario.Fault {
	case FaultEngineCrash:
		f.loop.at(at, f.crashBusiest)
	case FaultRestartAll:
		f.loop.at(at, func() { f.startInstances(1, end) })
	}
}

// crashBusiest crashes the engine with the most jobs, because its loss costs
// the most.
func (f *fleet) crashBusiest() {
	e := slices.MaxFunc(f.engines, func(a, b *engine) int {
		return len(a.running) + len(a.waiting) - len(b.running) - len(b.waiting)
	})
	e.crash()
}

// startInstances replaces all instances with new ones that have no state. The
// old instances still complete their running requests.
func (f *fleet) startInstances(generation uint64, end time.Time) {
	for _, old := range f.instances {
		old.stopped = true
	}
	f.instances = nil
	for n := range f.scenario.Deployment.Instances {
		i := &instance{zone: zoneName(n % f.scenario.Deployment.Zones), board: rcboard.New()}
		i.chooser = f.policy.New(ChooserEnv{
			Instance: instanceID(n),
			Zone:     i.zone,
			Board:    i.board,
			Seed:     f.scenario.Seed + 1000*generation + uint64(n),
			fleet:    f,
		})
		watchConfig := rcwatch.Config{
			Board:    i.board,
			Lister:   f,
			Dialer:   f,
			Interval: f.policy.watchInterval(),
			Instance: instanceID(n),
			Zone:     i.zone,
		}
		if indexed, ok := i.chooser.(indexedChooser); ok {
			watchConfig.Index = indexed.Index()
		}
		i.watcher = rcwatch.New(watchConfig)
		f.instances = append(f.instances, i)
		f.listInstances(i.board)
		f.poll(i)
		// Spread the polls of the instances over the interval.
		interval := f.policy.watchInterval()
		f.loop.after(time.Duration(n)*interval/time.Duration(f.scenario.Deployment.Instances), func() {
			f.loop.every(interval, end, func() { f.poll(i) })
		})
	}
}

func (f *fleet) poll(i *instance) {
	if !i.stopped {
		i.watcher.Refresh(context.Background())
	}
}

// indexedChooser is a chooser with an index that is updated from cache events.
type indexedChooser interface{ Index() *rcindex.Index }

// listInstances fills the board's table of instances, which rcmember maintains
// in production.
func (f *fleet) listInstances(board *rcboard.Board) {
	for n := range f.scenario.Deployment.Instances {
		id := instanceID(n)
		board.Instances.Put(id, radishcrank.Instance{ID: id, Zone: zoneName(n % f.scenario.Deployment.Zones)})
	}
}

func instanceID(n int) radishcrank.InstanceID {
	return radishcrank.InstanceID(fmt.Sprintf("instance-%d", n+1))
}

func (f *fleet) arrive(r *TraceRequest) {
	c := &call{
		fleet:        f,
		instance:     f.instances[r.Instance],
		traceRequest: r,
		arrived:      time.Now(),
		req: radishcrank.Request{
			ID:        r.ID,
			Account:   r.Account,
			Model:     model,
			Stream:    true,
			MaxTokens: r.AnswerTokens,
			Deadline:  time.Now().Add(rcconfig.DefaultSettings().FirstTokenDeadline),
		},
	}
	if f.policy.isRouter {
		c.req.Prompt = f.trace.Prompt(r)
	}
	f.loop.after(zoneDelay, c.dispatch)
}

// call is a request that an instance is handling.
type call struct {
	fleet        *fleet
	instance     *instance
	traceRequest *TraceRequest
	req          radishcrank.Request
	arrived      time.Time
	tried        []radishcrank.UpstreamID
}

// dispatch starts the next attempt in the same way as rcrelay.
func (c *call) dispatch() {
	if len(c.tried) == maxAttempts {
		c.end(stateFailed)
		return
	}
	p, err := c.instance.chooser.Choose(context.Background(), c.req, c.tried)
	if err != nil {
		var refusal *radishcrank.Refusal
		if !errors.As(err, &refusal) {
			panic(fmt.Sprintf("rceval: Choose returned an error other than a refusal: %v", err))
		}
		c.end(stateRefused)
		return
	}
	if p.CacheKeys != nil && !slices.Equal(p.CacheKeys, c.traceRequest.CacheKeys) {
		panic(fmt.Sprintf("rceval: cache keys of request %s do not match the block hashes of its prompt", c.req.ID))
	}
	c.tried = append(c.tried, p.Upstream.ID)
	e := c.fleet.byID[p.Upstream.ID]
	delay := time.Duration(0)
	if e.zone != c.instance.zone {
		delay = zoneDelay
	}
	start := time.Now()
	j := &job{request: c.traceRequest, resumeFrom: c.req.ResumeFrom, deadline: c.req.Deadline}
	j.onFirstToken = func() { c.fleet.loop.after(delay, func() { c.firstToken(p, time.Since(start)) }) }
	j.onDone = func(u radishcrank.Usage) { c.fleet.loop.after(delay, func() { c.done(p, u) }) }
	j.onFail = func(err error) { c.fleet.loop.after(delay, func() { c.fail(p, err) }) }
	c.fleet.loop.after(delay, func() { e.submit(j) })
}

func (c *call) firstToken(p radishcrank.Placement, ttft time.Duration) {
	c.instance.chooser.Observe(c.req, p, radishcrank.Observation{Kind: radishcrank.ObservedFirstToken, TTFT: ttft})
	if c.req.ResumeFrom == 0 {
		c.req.ResumeFrom = 1 // Any value above 0 marks the first token as delivered.
		c.fleet.stats.sample(c.traceRequest).ttft = time.Since(c.arrived) + zoneDelay
	}
}

func (c *call) done(p radishcrank.Placement, u radishcrank.Usage) {
	c.instance.chooser.Observe(c.req, p, radishcrank.Observation{Kind: radishcrank.ObservedDone, Usage: u})
	c.end(stateAnswered)
}

func (c *call) fail(p radishcrank.Placement, err error) {
	c.instance.chooser.Observe(c.req, p, radishcrank.Observation{Kind: radishcrank.ObservedFailure, Err: err})
	if errors.Is(err, errDeadline) {
		c.fleet.stats.sample(c.traceRequest).ttft = time.Since(c.arrived)
		c.end(stateExpired)
		return
	}
	c.dispatch()
}

func (c *call) end(state requestState) { c.fleet.stats.sample(c.traceRequest).state = state }
