package rcsoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/radishcrank/radishcrank/internal/standin/rcfakecaller"
	"github.com/radishcrank/radishcrank/internal/state/rcwait"
)

const (
	// limitWindow is the window over which the requests to a limited upstream are
	// counted, and limitSlack the number that it gets in it beyond limitFactor times
	// its limit.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	// limitToldDelay is how long an instance may take to keep to a limit after it has
	// passed on an answer that names it.
	limitToldDelay = 500 * time.Millisecond
)

// rateLimits are the requests per second that upstreams in need accept.
var rateLimits = []float64{0.5, 1, 3.1, 8}

// rateLimit judges the requests that an upstream gets while it limits their rate.
type rateLimit struct {
	mu       sync.Mutex
	actions  int       // Actions that limit the upstream now.
	since    time.Time // When the first of them began.
	highest  float64   // Highest limit since then.
	told     map[int]toldLimit
	arrivals []time.Time // Of requests from instances that know the limit.
	reported bool
}

// toldLimit is when an instance passed on an answer that names the limit.
type toldLimit struct {
	at     time.Time
	starts int // Starts of the instance before.
}

// limitUpstream makes an upstream name a limit, and at half of the time another one.
func (s *soak) limitUpstream(ctx context.Context, a action, later func(func())) {
	u := s.env.upstream(a.target)
	u.limit.begin(rateLimits[a.variant%len(rateLimits)], u)
	s.background.Go(func() {
		if rcwait.Sleep(ctx, a.duration/2) {
			u.limit.change(rateLimits[a.variant/len(rateLimits)%len(rateLimits)], u)
		}
	})
	later(func() { u.limit.end(u) })
}

func (l *rateLimit) begin(rate float64, u *upstream) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.actions++; l.actions == 1 {
		l.since, l.highest, l.told, l.arrivals, l.reported = time.Now(), 0, map[int]toldLimit{}, nil, false
	}
	l.setLocked(rate, u)
}

func (l *rateLimit) change(rate float64, u *upstream) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.actions > 0 {
		l.setLocked(rate, u)
	}
}

func (l *rateLimit) setLocked(rate float64, u *upstream) {
	l.highest = max(l.highest, rate)
	u.SetRateLimit(strconv.FormatFloat(rate, 'f', -1, 64))
}

func (l *rateLimit) end(u *upstream) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.actions--; l.actions == 0 {
		u.SetRateLimit("")
	}
}

// recordTold records that an instance has passed on an answer that names a limit.
func (s *soak) recordTold(i *instance, r rcfakecaller.Result) {
	u := s.env.findUpstream(r.Upstream)
	if !r.Limited || u == nil {
		return
	}
	l := &u.limit
	l.mu.Lock()
	defer l.mu.Unlock()
	if starts := i.startCount(); l.told[i.number].starts != starts && l.actions > 0 {
		l.told[i.number] = toldLimit{time.Now(), starts}
	}
}

// checkLimit checks that the instances together keep to the limit of an upstream when a
// request arrives.
func (s *soak) checkLimit(u *upstream, id string) {
	now := time.Now()
	i := s.sender(id)
	l := &u.limit
	l.mu.Lock()
	defer l.mu.Unlock()
	if i == nil || l.actions == 0 || l.reported {
		return
	}
	told, ok := l.told[i.number]
	if !ok || told.starts != i.startCount() || now.Sub(told.at) < limitToldDelay || !i.faultFreeSince(now.Add(-faultGracePeriod)) {
		return
	}
	l.arrivals = append(l.arrivals, now)
	for now.Sub(l.arrivals[0]) >= limitWindow {
		l.arrivals = l.arrivals[1:]
	}
	allowed := limitFactor*l.highest*limitWindow.Seconds() + limitSlack
	if now.Sub(l.since) < faultGracePeriod || float64(len(l.arrivals)) <= allowed || s.stalledSince(now.Add(-limitWindow)) > 0 {
		return
	}
	l.reported = true
	s.violation("rate limits hold", "%s, which limits its rate to %v a second, got %d requests in %s, allowed %v; the last one was %s",
		u.id, l.highest, len(l.arrivals), limitWindow, allowed, id)
}

// sender returns the instance that got a request from its caller, or nil for an
// unexpected ID.
func (s *soak) sender(id string) *instance {
	var n int
	for _, format := range []string{"i%d-", "p-%d-"} {
		if _, err := fmt.Sscanf(id, format, &n); err == nil && n < len(s.instances) {
			return s.instances[n]
		}
	}
	return nil
}

// newTroubles returns what upstreams in need do: they limit the rate of their requests,
// several at a time, all through the run, which is no fault of any instance. In the part
// with faults engines are back with other software, also two in a row.
func newTroubles(cfg Config) (troubles []action) {
	rng := rand.New(rand.NewPCG(cfg.Seed, troubleStream))
	between := func(low, high time.Duration) time.Duration { return low + time.Duration(rng.Int64N(int64(high-low))) }
	for at := between(minActionGap, maxActionGap); at < cfg.Duration; at += between(minTroubleGap, maxTroubleGap) {
		troubles = append(troubles, action{
			at: at, kind: limitUpstream, target: rng.IntN(1 << 10), variant: rng.IntN(1 << 10), duration: between(minLimitDuration, maxLimitDuration),
		})
	}
	start := time.Duration(plannedOnlyFraction * float64(cfg.Duration))
	for at := start + between(minActionGap, minDrillGap); at < cfg.Duration; at += between(minActionGap, maxDrillGap) {
		troubles = append(troubles, action{
			at: at, kind: replaceSoftware, target: rng.IntN(1 << 10), variant: rng.IntN(1 << 10), duration: between(minActionGap, maxRestartTime),
		})
	}
	return troubles
}
