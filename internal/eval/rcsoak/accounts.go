package rcsoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/radishcrank/radishcrank/internal/standin/rcfakecaller"
	"github.com/radishcrank/radishcrank/internal/state/rcwait"
)

const (
	// quotaWindow, quotaOver and quotaSlack are the bounds of the settings.
	quotaWindow = 8 * time.Second
	quotaOver   = 0.1
	quotaSlack  = 60
	// configApply is the platform's ConfigApplyMs.
	configApply = 3 * time.Second
	// usualDemand is the usual demand of an account in relation to its limit, and spikeFactor
	// how many times as much one asks for in a spike.
	usualDemand = 0.56
	spikeFactor = 7
	// loweredPart is what a lowered limit leaves of the usual one.
	loweredPart = 0.5
	// plainTokens is the cost of a request without token counts.
	plainTokens = 3000
	// spikingAccounts is the number of accounts that have spikes and lowered limits. The
	// others stay below their limits.
	spikingAccounts = 2
	// heldReportTime is after how long an instance that has started knows what others send to
	// engines, which they report every 400 ms.
	heldReportTime = time.Second
	// staysBelowTime is for how long an account must stay below its limit after a 429 that is
	// no consequence of the limit. Instances admit a part of the requests while less than half
	// of the burst is left, since they hear of each other's usage late.
	staysBelowTime = time.Second
	// focusTime is how long an account's requests come to one instance only, or to all.
	focusTime = time.Second
)

// accountPaths are the paths of accounts' requests. Most are calls of plain services, which
// are rarely without capacity, so that limits decide what runs.
var accountPaths = []string{"/book/1", "/look/1", "/look/1", "/chat/1"}

// account is a client account with a rate limit. Its burst is what it may use in a second.
type account struct {
	name, unit string
	rate       float64 // Its usual limit per second.
	meanCost   float64
	spikes     atomic.Int32 // Actions because of which it asks for more.
	requests   atomic.Int64
	limited    atomic.Int64
	// excused and starting count the responses with 429 while it was below its limit, which
	// faults excuse or that come from an instance that has just started.
	excused, starting atomic.Int64

	mu      sync.Mutex
	lowered int // Actions that lower its limit.
	limits  []limitPeriod
	runs    []accountRun
	bucket  centralBucket
	refused []string // IDs of the requests that got a 429.
}

// limitPeriod is a limit that was written to the store.
type limitPeriod struct {
	from time.Time
	rate float64
	// applied is when all instances had had configApply to apply it; zero if that was not yet
	// the case.
	applied time.Time
}

// accountRun is work that an upstream ran, at the time at which it was sent there.
type accountRun struct {
	at   time.Time
	cost float64
}

// centralBucket replays all that an account asks for in one token bucket. It is empty at
// first, as that of instances that all have just started, which are judged only later.
type centralBucket struct {
	startedAt  time.Time
	level      float64
	at         time.Time
	exceededAt time.Time // When a request last found too little in it.
}

// newAccounts returns the accounts. The first two have limits in tokens and in requests; the
// third one never exceeds its limit.
func newAccounts() (accounts []*account) {
	generation := rcfakecaller.Request{OutputTokens: outputTokens}.Tokens()
	meanCost := float64(generation+(len(accountPaths)-1)*plainTokens) / float64(len(accountPaths))
	for n, a := range []*account{{unit: "tokens", rate: 100_000, meanCost: meanCost}, {unit: "requests", rate: 20, meanCost: 1}, {unit: "tokens", rate: 60_000, meanCost: meanCost}} {
		a.name = fmt.Sprint("q", n)
		a.limits = []limitPeriod{{from: time.Now(), rate: a.rate, applied: time.Now()}}
		accounts = append(accounts, a)
	}
	return accounts
}

func (a *account) currentRate() float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.limits[len(a.limits)-1].rate
}

// changeLimit lowers the limit of an account by one more action, or by one less.
func (e *environment) changeLimit(a *account, lower int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	a.mu.Lock()
	a.lowered += lower
	next := limitPeriod{from: time.Now(), rate: a.rate}
	if a.lowered > 0 {
		next.rate *= loweredPart
	}
	a.limits = append(a.limits, next)
	a.mu.Unlock()
	e.config.version += 3
	e.putConfigLocked(e.config)
}

// restoreLimits records that the store may be back with an older, higher limit until a time.
func (l *loads) restoreLimits(until time.Time) {
	if l == nil {
		return
	}
	for _, a := range l.accounts {
		a.mu.Lock()
		current := a.limits[len(a.limits)-1].rate
		a.limits = append(a.limits, limitPeriod{from: time.Now(), rate: a.rate}, limitPeriod{from: until, rate: current})
		a.mu.Unlock()
	}
}

// watchLimits records when limits have become binding.
func (s *soak) watchLimits(ctx context.Context) {
	for rcwait.Sleep(ctx, probeInterval) {
		now := time.Now()
		since := now.Add(-configApply)
		if !s.storeInReach(now, configApply) || s.stalledSince(since) > 0 || slices.ContainsFunc(s.instances, func(i *instance) bool { return !i.pauses.faultFreeSince(since) }) {
			continue
		}
		for _, a := range s.env.loads.accounts {
			a.mu.Lock()
			for n := range a.limits {
				if l := &a.limits[n]; l.applied.IsZero() && l.from.Before(since) {
					l.applied = now
				}
			}
			a.mu.Unlock()
		}
	}
}

// runAccount sends the requests of an account.
func (s *soak) runAccount(ctx context.Context, a *account, rng *rand.Rand) {
	client := newLoadClient(false)
	var requests sync.WaitGroup
	defer requests.Wait()
	usual := time.Duration(float64(time.Second) * a.meanCost / (usualDemand * a.rate))
	focus, focusEnd := s.instances, time.Now()
	for {
		interval := usual
		if a.spikes.Load() > 0 {
			interval /= spikeFactor
		}
		if !rcwait.Sleep(ctx, time.Duration(rng.Int64N(int64(2*interval)))) {
			return
		}
		if now := time.Now(); now.After(focusEnd) {
			focus, focusEnd = s.instances, now.Add(focusTime)
			if rng.IntN(2) == 0 {
				focus = []*instance{s.instances[rng.IntN(len(s.instances))]}
			}
		}
		i := pickRunning(focus, rng)
		q := rcfakecaller.Request{ID: fmt.Sprintf("i%d-%s-%d", i.number, a.name, a.requests.Add(1)), Path: accountPaths[rng.IntN(len(accountPaths))]}
		cost := 1.0
		if generates(q.Path) {
			q.OutputTokens = outputTokens
		}
		if a.unit == "tokens" {
			if cost = plainTokens; generates(q.Path) {
				cost = float64(q.Tokens())
			}
		}
		requests.Go(func() { s.sendLoad(client, i, q, loadRequest{account: a, cost: cost}) })
	}
}

// offer replays a request in the account's central bucket.
func (a *account) offer(cost float64, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	rate := a.lowestRateLocked()
	b := &a.bucket
	if b.startedAt.IsZero() {
		b.startedAt, b.at = now, now
	}
	b.level, b.at = min(rate, b.level+rate*max(0, now.Sub(b.at).Seconds())), now
	if b.level < cost {
		if now.Sub(b.startedAt) > faultGracePeriod {
			b.exceededAt = now
		}
		return
	}
	b.level -= cost
}

// lowestRateLocked returns the lowest limit that may be in force. A limit may be in force
// until the next one has become binding.
func (a *account) lowestRateLocked() (rate float64) {
	last := len(a.limits) - 1
	rate = a.limits[last].rate
	for n := last; n > 0 && a.limits[n].applied.IsZero(); n-- {
		rate = min(rate, a.limits[n-1].rate)
	}
	return rate
}

// recordArrival records when a request arrives at an upstream.
func (l *loads) recordArrival(id string) {
	if l != nil {
		l.arrivals.Store(id, time.Now())
	}
}

// recordRun records that an upstream runs a request. Its cost counts from its arrival, since
// it may have waited there.
func (l *loads) recordRun(id string) {
	r, known := l.requests.Load(id)
	at, arrived := l.arrivals.Load(id)
	if !known || !arrived {
		return // Not a request of demanding loads.
	}
	if a := r.(loadRequest).account; a != nil {
		a.mu.Lock()
		a.runs = append(a.runs, accountRun{at.(time.Time), r.(loadRequest).cost})
		a.mu.Unlock()
	}
}

// checkLimited checks a response with status 429: it says when to come back, and its account
// has exceeded its limit lately, or instances may not know better.
func (s *soak) checkLimited(i *instance, id string, l loadRequest, start time.Time, r rcfakecaller.Result) {
	if wait, err := strconv.ParseFloat(r.RetryAfter, 64); err != nil || wait < 0 {
		s.violation("refusals say when to come back", "%s got 429 with Retry-After %q", id, r.RetryAfter)
	}
	if l.account == nil {
		return
	}
	a := l.account
	a.limited.Add(1)
	a.mu.Lock()
	a.refused = append(a.refused, id)
	exceeded, level := a.bucket.exceededAt, a.bucket.level
	a.mu.Unlock()
	since := start.Add(-quotaWindow)
	if !exceeded.Before(since) {
		return
	}
	// One that exceeds its limit right afterwards does not stay below it.
	time.Sleep(staysBelowTime)
	a.mu.Lock()
	exceeded = a.bucket.exceededAt
	a.mu.Unlock()
	if !exceeded.Before(since) && exceeded.Before(start.Add(staysBelowTime)) {
		return
	}
	text := fmt.Sprintf("%s of account %s got 429 at %s from %s (running for %s); a central bucket holds %.0f",
		id, a.name, s.elapsed(start), i.name(), start.Sub(i.lastStart()), level)
	if !s.instancesInTouch(start, quotaWindow) || !s.storeInReach(start, quotaWindow) {
		a.excused.Add(1)
		return
	}
	if start.Sub(i.lastStart()) < faultGracePeriod {
		a.starting.Add(1)
		return
	}
	s.violation("requests within the limit are admitted", "%s", text)
}

// instancesInTouch reports whether no instance and no link between instances has had a fault
// for a time. Planned operations are no fault.
func (s *soak) instancesInTouch(now time.Time, free time.Duration) bool {
	since := now.Add(-free)
	return s.env.peerFaults.faultFreeSince(since) && s.stalledSince(since) == 0 && !slices.ContainsFunc(s.instances, func(i *instance) bool {
		return !i.kills.faultFreeSince(since) || !i.pauses.faultFreeSince(since)
	})
}

// storeInReach reports whether neither the store nor the links to it have had a fault for a
// time.
func (s *soak) storeInReach(now time.Time, free time.Duration) bool {
	since := now.Add(-free)
	return s.env.storeFaults.faultFreeSince(since) && !slices.ContainsFunc(s.instances, func(i *instance) bool { return !i.storeLinkFaults.faultFreeSince(since) })
}

// checkAccounts checks at the end of a run that no account used more than its bound in any
// window, and that no refused request has run.
func (s *soak) checkAccounts() {
	for _, a := range s.env.loads.accounts {
		a.mu.Lock()
		worst, at, used := worstWindow(a.runs, a.limits, s.stalledBetween)
		for _, id := range a.refused {
			if n := s.env.runCounter.Runs(id); n > 0 {
				s.violation("refusals are true", "%s got 429 and ran %d times", id, n)
			}
		}
		s.logf("account %s: %d requests, %d limited, below its limit %d of them under faults and %d by instances that had just started; at most %.3f of its bound",
			a.name, a.requests.Load(), a.limited.Load(), a.excused.Load(), a.starting.Load(), worst)
		a.mu.Unlock()
		if worst > 1 {
			s.violation("rate limits of accounts hold", "upstreams ran %.0f of account %s in %s until %s, %.3f of its bound", used, a.name, quotaWindow, s.elapsed(at), worst)
		}
	}
}

// worstWindow returns the highest usage in a window in relation to its bound, the end of that
// window and the usage. stalled returns how long the soak process stalled between two times:
// work that was sent over a longer time seems to arrive at once then.
func worstWindow(runs []accountRun, limits []limitPeriod, stalled func(from, to time.Time) time.Duration) (worst float64, at time.Time, used float64) {
	runs = slices.SortedFunc(slices.Values(runs), func(a, b accountRun) int { return a.at.Compare(b.at) })
	sum, first := 0.0, 0
	for _, r := range runs {
		for sum += r.cost; r.at.Sub(runs[first].at) >= quotaWindow; first++ {
			sum -= runs[first].cost
		}
		from := r.at.Add(-quotaWindow)
		rate := highestRate(limits, from, r.at)
		bound := rate*(1+(quotaWindow+stalled(from, r.at)).Seconds())*(1+quotaOver) + quotaSlack
		if sum/bound > worst {
			worst, at, used = sum/bound, r.at, sum
		}
	}
	return worst, at, used
}

// highestRate returns the highest limit that may have been in force between two times: each
// may until the next one has become binding.
func highestRate(limits []limitPeriod, from, to time.Time) (rate float64) {
	for n, l := range limits {
		ended := n+1 < len(limits) && !limits[n+1].applied.IsZero() && limits[n+1].applied.Before(from)
		if !ended && l.from.Before(to) {
			rate = max(rate, l.rate)
		}
	}
	return rate
}

// stalledBetween returns the total duration of the stalls that touch a period.
func (s *soak) stalledBetween(from, to time.Time) (sum time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, stall := range s.report.Stalls {
		if stall.End.After(from) && stall.End.Add(-stall.Duration).Before(to) {
			sum += stall.Duration
		}
	}
	return sum
}

// checkOverflow judges an engine that has run out of memory while instances know what it
// holds.
func (s *soak) checkOverflow(u *upstream, id string, held int) {
	now := time.Now()
	since := now.Add(-faultGracePeriod)
	i := s.sender(id)
	s.env.loads.overflows.Add(1)
	total := 0
	s.env.mu.Lock()
	var engines []string
	for _, o := range s.env.upstreams {
		if o.service == "llm" {
			total += o.HeldTokens()
			engines = append(engines, fmt.Sprintf("%s %d", o.id, o.HeldTokens()))
		}
	}
	s.env.mu.Unlock()
	s.logf("%s  %s ran out of memory at %s: it holds %d tokens; all hold %d: %v", s.elapsed(now), u.id, id, held, total, engines)
	switch {
	case i == nil || now.Sub(i.lastStart()) < heldReportTime:
		s.logf("  excused: the instance has just started")
	case !s.instancesInTouch(now, faultGracePeriod) || !s.storeInReach(now, faultGracePeriod):
		s.logf("  excused: instances or the store have had faults")
	case !u.linkFaults.faultFreeSince(since):
		s.logf("  excused: the engine has crashed or could not be reached")
	default:
		s.violation("upstreams do not run out of memory", "%s got %s from %s and holds %d tokens of %d; %d fit in %d engines, which hold %d",
			u.id, id, i.name(), held, engineTokens, engineTokens*len(engines), len(engines), total)
	}
}

// startAccounts starts the traffic of accounts with limits.
func (s *soak) startAccounts(ctx context.Context, wg *sync.WaitGroup) {
	if s.env.loads == nil {
		return
	}
	wg.Go(func() { s.watchLimits(ctx) })
	for n, a := range s.env.loads.accounts {
		wg.Go(func() { s.runAccount(ctx, a, rand.New(rand.NewPCG(s.cfg.Seed, uint64(loadStream)<<32+uint64(n)))) })
	}
}

// checkLoads performs the checks of demanding loads that need a whole run.
func (s *soak) checkLoads() {
	l := s.env.loads
	if l == nil {
		return
	}
	s.checkAccounts()
	l.mu.Lock()
	defer l.mu.Unlock()
	s.logf("demanding loads: %d complete responses, slow readers got %d complete and %d broken ones, %d engines out of memory; by status %v",
		l.answered.Load(), l.large.Load(), l.broken.Load(), l.overflows.Load(), l.statuses)
}
