package rcsoak

import (
	"context"
	"fmt"
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
	changes  []limitChange
	told     map[int]toldLimit
	arrivals []time.Time // Of requests from instances that know the limit.
	reported bool
}

// limitChange is a limit that an upstream named from a time on.
type limitChange struct {
	at   time.Time
	rate float64
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
		l.since, l.changes, l.told, l.arrivals, l.reported = time.Now(), nil, map[int]toldLimit{}, nil, false
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
	l.changes = append(l.changes, limitChange{time.Now(), rate})
	u.SetRateLimit(strconv.FormatFloat(rate, 'f', -1, 64))
}

func (l *rateLimit) end(u *upstream) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.actions--; l.actions == 0 {
		u.SetRateLimit("")
	}
}

// highestLocked returns the highest limit that was in force at some time since t.
func (l *rateLimit) highestLocked(t time.Time) (rate float64) {
	for i, c := range l.changes {
		if i == len(l.changes)-1 || l.changes[i+1].at.After(t) {
			rate = max(rate, c.rate)
		}
	}
	return rate
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
	// Instances have as long to hear of a changed limit as of the first one.
	rate := l.highestLocked(now.Add(-limitWindow - faultGracePeriod))
	allowed := limitFactor*rate*limitWindow.Seconds() + limitSlack
	if now.Sub(l.since) < faultGracePeriod || float64(len(l.arrivals)) <= allowed || s.stalledSince(now.Add(-limitWindow)) > 0 {
		return
	}
	l.reported = true
	s.violation("rate limits hold", "%s, which limits its rate to %v a second, got %d requests in %s, allowed %v; the last one was %s",
		u.id, rate, len(l.arrivals), limitWindow, allowed, id)
}

// sender returns the instance that has sent a request to an upstream, or else that got it
// from its caller. It returns nil for an unexpected ID.
func (s *soak) sender(id string) *instance {
	if sender, ok := s.senders.Load(id); ok {
		return sender.(*instance)
	}
	var n int
	for _, format := range []string{"i%d-", "p-%d-"} {
		if _, err := fmt.Sscanf(id, format, &n); err == nil && n < len(s.instances) {
			return s.instances[n]
		}
	}
	return nil
}
