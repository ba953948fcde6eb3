package rcadmission

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/routing/rcaffinity"
	"github.com/radishcrank/radishcrank/internal/state/rcfleet"
	"github.com/radishcrank/radishcrank/internal/state/rcweights"
)

// The replay is a small event loop in virtual time: callers at several instances, and
// engines that admit by priority and read one prompt after another. Instances know the
// loads of others as they were some time ago.
const (
	replayEngines   = 12
	replayTokens    = 64000 // Tokens that fit into the memory of an engine.
	replayAccounts  = 8
	replaySlots     = 32
	replayRate      = 40 // Prompt tokens that an engine reads in a millisecond.
	replayStaleness = 3  // Age of the loads of others in reports.
	reportInterval  = 100 * time.Millisecond
	replayEnd       = 12 * time.Second
	burstBegin      = 3 * time.Second
	burstEnd        = 8 * time.Second
)

// replayRoute is a route of the replayed load.
type replayRoute struct {
	name                   string
	target, abandon, total time.Duration
	priority, late         int
	tokens, output         int
	share                  float64 // Of the engines' capacity at its usual rate.
}

var replayRoutes = []replayRoute{
	{"long", 1000 * time.Millisecond, 5 * time.Second, 6 * time.Second, 2, 4, 9200, 9, 0.7},
	{"chat", 600 * time.Millisecond, 2400 * time.Millisecond, 15 * time.Second, 0, 3, 830, 45, 0.1},
}

// perSecond is the usual rate. Owners have half of each prompt cached.
func (r *replayRoute) perSecond() float64 {
	return replayEngines * replayRate * 1000 * r.share / float64(r.tokens/2)
}

var replayBegin = time.Unix(1000, 0)

type policy struct {
	deferLate  bool // Late exchanges yield.
	byPriority bool // The wait of urgent exchanges leaves out what is less urgent.
	book       bool // Returns of rejected callers are booked.
	payFirst   bool // Excess demand of accounts and early returns yield first.
}

// complete is what rcforward does.
var complete = policy{deferLate: true, byPriority: true, book: true, payFirst: true}

type replayLoad struct {
	instances int
	burst     float64 // Times the usual rate, between burstBegin and burstEnd.
	usual     float64 // Factor of all rates; 0 means 1.
	surge     float64 // Of account 0 in the burst; 0 means as others.
	moved     bool    // Half of a zone's callers move to another zone in the burst.
	zoneGone  bool    // A third of the engines and instances are gone in the burst.
	hotKey    bool    // A quarter of the prompts share one part in the burst.
	impatient bool    // A third of the callers retry at once, up to three times.
	seed      uint64  // Of the arrivals.
	longTail  bool    // Sizes have a long tail; otherwise they are 0.5 to 1.5 times the usual.
}

type replayCall struct {
	route    *replayRoute
	instance int
	account  int
	tokens   int
	rank     float64 // Of the size in its route, from 0 to 1.
	uncached int     // Prompt tokens to read, as instances count them.
	work     int     // The same with what a copy takes.
	key      string
	sentAt   time.Duration // First.
	receipt  time.Duration // Of the current attempt of the caller.
	returns  int
	excess   bool // Exceeds the usual demand of its account.
	priority int
	engine   int
	deferred bool
	seq      int
	begun    bool
	gone     bool
}

type replay struct {
	load      replayLoad
	policy    policy
	now       time.Duration
	queue     replayQueue
	seq       int
	rnd       *rand.Rand // For arrivals, which are the same with all policies.
	decisions *rand.Rand
	returns   []Returns
	mixes     []Mix
	accounts  []Accounts
	engines   [replayEngines]replayEngine
	states    []rcfleet.State
	own       [][replayEngines]rcfleet.Load
	total     [][replayEngines]rcfleet.Load   // Of all instances, at the last reports.
	ownThen   [][][replayEngines]rcfleet.Load // Of each instance, at the same times.
	owners    map[string]rcfleet.UpstreamKey
	result    replayResult
}

func (l replayLoad) run(p policy) replayResult {
	r := &replay{
		owners: map[string]rcfleet.UpstreamKey{},
		load:   l, policy: p, rnd: rand.New(rand.NewPCG(1, 2+l.seed)), decisions: rand.New(rand.NewPCG(3, 4)), returns: make([]Returns, l.instances), mixes: make([]Mix, l.instances), accounts: make([]Accounts, l.instances),
		own: make([][replayEngines]rcfleet.Load, l.instances), result: newReplayResult(),
	}
	for i := range replayEngines {
		id := radishcrank.UpstreamID(fmt.Sprint("e", i))
		r.states = append(r.states, rcfleet.State{
			Entry: rcfleet.Entry{
				Upstream: radishcrank.Upstream{ID: id, Service: "s"}, Slots: replaySlots,
				Weights: map[radishcrank.ModelID]radishcrank.WeightsVersion{"m": "1"},
			},
			Hash: xxhash.Sum64String(string(id)),
		})
	}
	r.usualDemand()
	for i := range replayRoutes {
		r.arrive(&replayRoutes[i])
	}
	for at := time.Duration(0); at < replayEnd; at += reportInterval {
		r.at(at, r.report)
	}
	for r.queue.Len() > 0 {
		e := heap.Pop(&r.queue).(replayEvent)
		r.now = e.at
		e.do()
	}
	return r.result
}

func (r *replay) at(t time.Duration, do func()) {
	r.seq++
	heap.Push(&r.queue, replayEvent{t, r.seq, do})
}

// arrive sends the calls of a route.
func (r *replay) arrive(route *replayRoute) {
	perSecond := route.perSecond()
	perSecond *= cmp.Or(r.load.usual, 1)
	if r.inBurst() {
		perSecond *= r.load.burst
		if s := r.load.surge; s > 0 {
			perSecond *= (replayAccounts - 1 + s) / replayAccounts
		}
	}
	next := r.now + time.Duration(r.rnd.ExpFloat64()/perSecond*float64(time.Second))
	if next > replayEnd {
		return
	}
	r.at(next, func() {
		rank := r.rnd.Float64()
		size := 0.5 + rank // 0.5 to 1.5 of the route's usual size.
		if r.load.longTail {
			size = longTail(rank)
		}
		c := &replayCall{
			seq: r.seq, route: route, rank: rank, instance: r.rnd.IntN(r.load.instances), account: r.account(),
			tokens: int(size * float64(route.tokens)), key: fmt.Sprint(route.name, r.rnd.IntN(40)), sentAt: r.now, receipt: r.now,
		}
		r.disturb(c)
		r.result.add(c, func(t *tally) { t.sent++ })
		excess := r.accounts[c.instance].Record(radishcrank.ClientAccountID(fmt.Sprint(c.account)), replayBegin.Add(r.now))
		c.excess = r.decisions.Float64() < excess
		r.receive(c)
		r.arrive(route)
	})
}

func (r *replay) inBurst() bool { return r.now >= burstBegin && r.now < burstEnd }

// account draws the account of a call. The usual demand of all is the same.
func (r *replay) account() int {
	if s := r.load.surge; s > 0 && r.inBurst() {
		// The rate of all calls is higher by what account 0 sends in excess.
		x := r.rnd.Float64() * (replayAccounts - 1 + s)
		if x < s {
			return 0
		}
		return 1 + int(x-s)
	}
	return r.rnd.IntN(replayAccounts)
}

// disturb applies what happens in the burst to a call.
func (r *replay) disturb(c *replayCall) {
	if !r.inBurst() {
		return
	}
	zone := c.instance % 3
	if zone == 0 && r.load.instances >= 3 && (r.load.zoneGone || r.load.moved && c.seq%2 == 0) {
		c.instance++
	}
	if c.instance >= r.load.instances {
		c.instance = 1
	}
	if r.load.hotKey && c.seq%4 == 0 {
		c.key = c.route.name + "hot"
	}
}

// usualDemand records the demand of accounts before the replay.
func (r *replay) usualDemand() {
	perSecond := 0.0
	for _, route := range replayRoutes {
		perSecond += route.perSecond()
	}
	perAccount := perSecond / float64(r.load.instances*replayAccounts)
	for i := range r.accounts {
		for n := range int(20 * perAccount) {
			for account := range replayAccounts {
				at := time.Duration(float64(n) / perAccount * float64(time.Second))
				r.accounts[i].Record(radishcrank.ClientAccountID(fmt.Sprint(account)), replayBegin.Add(-20*time.Second).Add(at))
			}
		}
	}
}

// report records what instances hear of each other.
func (r *replay) report() {
	var sum [replayEngines]rcfleet.Load
	then := append([][replayEngines]rcfleet.Load(nil), r.own...)
	for i := range then {
		for e := range sum {
			sum[e] = sum[e].Add(then[i][e])
		}
	}
	r.total, r.ownThen = append(r.total, sum), append(r.ownThen, then)
}

// view returns the states of the engines as an instance knows them.
func (r *replay) view(instance int) []rcfleet.State {
	old := max(0, len(r.total)-replayStaleness)
	for e := range r.states {
		s, own := &r.states[e], r.own[instance][e]
		s.Running, s.Prefilling, s.Late = own.Running, own.Prefilling, own.Late
		s.PeerLoad = rcfleet.Load{}
		s.Suspect = r.load.zoneGone && r.inBurst() && e%3 == 0
		if old < len(r.total) {
			s.PeerLoad = r.total[old][e].Sub(r.ownThen[old][instance][e])
		}
	}
	return r.states
}

// receive decides about a call as rcforward does.
func (r *replay) receive(c *replayCall) {
	parts := []radishcrank.PromptPart{{ID: c.key, Tokens: c.tokens / 2}, {ID: fmt.Sprint(c.seq), Tokens: c.tokens - c.tokens/2}}
	p := Params{StartTimeout: c.route.abandon - (r.now - c.receipt), TimeToDeadline: c.route.total - (r.now - c.sentAt)}
	req := rcaffinity.Request{
		Model: "m", Parts: parts, Salt: func(radishcrank.WeightsVersion) string { return "" },
		TargetHistory: rcweights.History{}, MaxWait: p.MaxWait(),
		CachedPrefixes: func(string) map[rcfleet.UpstreamKey]rcfleet.CachedPrefix {
			return map[rcfleet.UpstreamKey]rcfleet.CachedPrefix{r.owner(c.key): {Tokens: parts[0].Tokens}}
		},
	}
	now := replayBegin.Add(r.now)
	choice, _ := rcaffinity.Choose(req, r.view(c.instance), now)
	c.priority, c.deferred = c.route.priority, false
	content := xxhash.Sum64String(fmt.Sprint(c.sentAt, c.tokens))
	paysFirst := r.policy.payFirst && (c.excess || r.returns[c.instance].Early(content, now))
	start := Start{PaysFirst: paysFirst, Elapsed: r.now - c.receipt, ExpectedWait: choice.StartWait, OwnPrefill: choice.Prefill, LatencyTarget: c.route.target}
	ahead := 1.0
	if r.policy.byPriority {
		ahead = r.mixes[c.instance].Ahead(c.route.priority, now)
	}
	start.ExpectedWait = time.Duration(ahead * float64(start.ExpectedWait))
	if r.policy.deferLate && start.Late() {
		req.Deferred, c.deferred, c.priority = true, true, c.route.late
		choice, _ = rcaffinity.Choose(req, r.view(c.instance), now)
	}
	if c.deferred {
		ahead = 1
		p.Late, p.UrgentTimeout = true, r.mixes[c.instance].UrgentTimeout(c.route.priority)
	}
	if p.ExpectedWait = time.Duration(ahead * float64(choice.MinQueueWait)); p.ShouldRefuse() {
		after := p.RetryAfter(r.decisions.Float64())
		if r.policy.book {
			after = r.returns[c.instance].Book(p, r.decisions.Float64(), now)
		}
		if r.policy.payFirst {
			r.returns[c.instance].Tell(content, after, now)
		}
		r.refuse(c, after)
		return
	}
	if c.deferred {
		r.result.deferred++
	}
	for e := range r.states {
		if r.states[e].ID == choice.Upstream.ID {
			c.engine = e
		}
	}
	c.uncached = choice.UncachedTokens
	if !c.deferred {
		r.mixes[c.instance].Record(c.priority, c.uncached, c.route.abandon, now)
	}
	if c.work = c.uncached; !choice.Owner {
		c.work += parts[0].Tokens / 10 // A copy takes a tenth of the time of reading.
	}
	r.send(c)
}

// owner returns the engine that has the shared part of a prompt in its cache.
func (r *replay) owner(key string) rcfleet.UpstreamKey {
	owner, ok := r.owners[key]
	if !ok {
		idle := make([]rcfleet.State, len(r.states))
		for i := range idle {
			idle[i] = rcfleet.State{Entry: r.states[i].Entry, Hash: r.states[i].Hash}
		}
		choice, _ := rcaffinity.Choose(rcaffinity.Request{
			Model: "m", Parts: []radishcrank.PromptPart{{ID: key, Tokens: 1000}, {}},
			Salt: func(radishcrank.WeightsVersion) string { return "" },
		}, idle, replayBegin)
		owner = rcfleet.KeyOf(choice.Upstream.ID)
		r.owners[key] = owner
	}
	return owner
}

// refuse lets a caller return once.
func (r *replay) refuse(c *replayCall, after time.Duration) {
	maxReturns := 1
	if r.load.impatient && c.seq%3 == 0 {
		after, maxReturns = 10*time.Millisecond, 3
	}
	if c.returns >= maxReturns || after > (c.route.total-(r.now-c.sentAt))/3 {
		r.result.add(c, func(t *tally) { t.refused++ })
		return
	}
	c.returns++
	r.at(r.now+after, func() { c.receipt = r.now; r.receive(c) })
}
