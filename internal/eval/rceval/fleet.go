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
	zoneDelay             = time.Millisecond       // Between zones, and between a client and its instance.
	watchInterval         = 250 * time.Millisecond // As in rcdaemon.
	restartSeconds        = 5                      // Span before and after a restart that its target compares.
)

// fleet is one run of a policy over a trace.
type fleet struct {
	scenario  Scenario
	policy    Policy
	trace     *Trace
	loop      *loop
	stats     *stats
	engines   []*engine
	byID      map[radishcrank.UpstreamID]*engine
	requests  map[radishcrank.RequestID]*TraceRequest
	instances []*instance
	began     time.Time
}

// instance is one router process.
type instance struct {
	zone    radishcrank.AvailabilityZone
	board   *rcboard.Board
	chooser radishcrank.Chooser
	watch   *rcwatch.Watcher
	gone    bool
}

// Run runs a policy over the scenario's trace. It takes virtual time inside a
// synctest bubble and real time outside.
func Run(s Scenario, t *Trace, p Policy) Outcome {
	f := &fleet{
		scenario: s, policy: p, trace: t,
		loop: &loop{}, stats: newStats(t),
		byID:     make(map[radishcrank.UpstreamID]*engine),
		requests: make(map[radishcrank.RequestID]*TraceRequest),
		began:    time.Now(),
	}
	end := f.began.Add(t.Config.Duration)
	held := make(holders)
	for n := range s.Deployment.Engines {
		e := newEngine(n, s.Deployment, f.loop, held, f.stats, s.Seed)
		f.engines = append(f.engines, e)
		f.byID[e.id] = e
		f.loop.every(e.params.ReportInterval, end, e.report)
	}
	f.loop.after(0, func() { f.startInstances(0, end) })
	for i := range t.Requests {
		r := &t.Requests[i]
		f.requests[r.ID] = r
		f.loop.at(f.began.Add(r.At), func() { f.arrive(r) })
	}
	f.scheduleFault(end)
	f.loop.run()
	return f.outcome()
}

func (f *fleet) scheduleFault(end time.Time) {
	at := f.began.Add(f.scenario.faultAt())
	switch f.scenario.Fault {
	case FaultEngineCrash:
		f.loop.at(at, f.busiest)
	case FaultRestartAll:
		f.loop.at(at, func() { f.startInstances(1, end) })
	}
}

// busiest crashes the engine with the most work, whose loss costs the most.
func (f *fleet) busiest() {
	e := slices.MaxFunc(f.engines, func(a, b *engine) int {
		return len(a.running) + len(a.waiting) - len(b.running) - len(b.waiting)
	})
	e.crash()
}

// startInstances replaces all instances by new ones that know nothing. The old
// ones still see their running requests out.
func (f *fleet) startInstances(generation uint64, end time.Time) {
	for _, old := range f.instances {
		old.gone = true
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
		watch := rcwatch.Config{
			Board:    i.board,
			Lister:   f,
			Dialer:   f,
			Interval: f.policy.watchInterval(),
			Instance: instanceID(n),
			Zone:     i.zone,
		}
		if real, ok := i.chooser.(indexed); ok {
			watch.Index = real.Index()
		}
		i.watch = rcwatch.New(watch)
		f.instances = append(f.instances, i)
		f.listInstances(i.board)
		f.poll(i)
		// Instances poll at different times.
		interval := f.policy.watchInterval()
		f.loop.after(time.Duration(n)*interval/time.Duration(f.scenario.Deployment.Instances), func() {
			f.loop.every(interval, end, func() { f.poll(i) })
		})
	}
}

func (f *fleet) poll(i *instance) {
	if !i.gone {
		i.watch.Refresh(context.Background())
	}
}

// indexed is a chooser whose index is fed with cache events.
type indexed interface{ Index() *rcindex.Index }

// listInstances fills in the table that rcmember keeps.
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
		fleet:    f,
		instance: f.instances[r.Instance],
		trace:    r,
		arrived:  time.Now(),
		req: radishcrank.Request{
			ID:        r.ID,
			Account:   r.Account,
			Model:     model,
			Stream:    true,
			MaxTokens: r.AnswerTokens,
			Deadline:  time.Now().Add(rcconfig.DefaultSettings().FirstTokenDeadline),
		},
	}
	if f.policy.router {
		c.req.Prompt = f.trace.Prompt(r)
	}
	f.loop.after(zoneDelay, c.dispatch)
}

// call is one request on its way through an instance.
type call struct {
	fleet    *fleet
	instance *instance
	trace    *TraceRequest
	req      radishcrank.Request
	arrived  time.Time
	tried    []radishcrank.UpstreamID
}

// dispatch makes the next attempt, as rcrelay does.
func (c *call) dispatch() {
	if len(c.tried) == maxAttempts {
		c.end(stateFailed)
		return
	}
	p, err := c.instance.chooser.Choose(context.Background(), c.req, c.tried)
	if err != nil {
		var refusal *radishcrank.Refusal
		if !errors.As(err, &refusal) {
			panic(fmt.Sprintf("rceval: Choose failed without a refusal: %v", err))
		}
		c.end(stateRefused)
		return
	}
	if p.CacheKeys != nil && !slices.Equal(p.CacheKeys, c.trace.CacheKeys) {
		panic(fmt.Sprintf("rceval: cache keys of %s are not the chain of its prompt", c.req.ID))
	}
	c.tried = append(c.tried, p.Upstream.ID)
	e := c.fleet.byID[p.Upstream.ID]
	delay := time.Duration(0)
	if e.zone != c.instance.zone {
		delay = zoneDelay
	}
	start := time.Now()
	j := &job{request: c.trace, resume: c.req.ResumeFrom, deadline: c.req.Deadline}
	j.onFirst = func() { c.fleet.loop.after(delay, func() { c.first(p, time.Since(start)) }) }
	j.onDone = func(u radishcrank.Usage) { c.fleet.loop.after(delay, func() { c.done(p, u) }) }
	j.onFail = func(err error) { c.fleet.loop.after(delay, func() { c.fail(p, err) }) }
	c.fleet.loop.after(delay, func() { e.submit(j) })
}

func (c *call) first(p radishcrank.Placement, ttft time.Duration) {
	c.instance.chooser.Observe(c.req, p, radishcrank.Observation{Kind: radishcrank.ObservedFirstToken, TTFT: ttft})
	if c.req.ResumeFrom == 0 {
		c.req.ResumeFrom = 1 // Enough to tell that the first token was delivered.
		c.fleet.stats.of(c.trace).ttft = time.Since(c.arrived) + zoneDelay
	}
}

func (c *call) done(p radishcrank.Placement, u radishcrank.Usage) {
	c.instance.chooser.Observe(c.req, p, radishcrank.Observation{Kind: radishcrank.ObservedDone, Usage: u})
	c.end(stateAnswered)
}

func (c *call) fail(p radishcrank.Placement, err error) {
	c.instance.chooser.Observe(c.req, p, radishcrank.Observation{Kind: radishcrank.ObservedFailure, Err: err})
	if errors.Is(err, errDeadline) {
		c.fleet.stats.of(c.trace).ttft = time.Since(c.arrived)
		c.end(stateExpired)
		return
	}
	c.dispatch()
}

func (c *call) end(state requestState) { c.fleet.stats.of(c.trace).state = state }
