package rcsoak

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/radishcrank/radishcrank/internal/standin/rcfakecaller"
	"github.com/radishcrank/radishcrank/internal/state/rcwait"
)

// probeConfig asks one instance for the newest route, with the newest key and
// with the key revoked last, and checks that the answers come from a
// configuration that is new enough and never from an older one than before.
func (s *soak) probeConfig(ctx context.Context, i *instance) {
	client := &http.Client{Timeout: callerPatience, Transport: &http.Transport{DisableKeepAlives: true}}
	// Large fleets are probed as often as small ones as a whole.
	pause := probePause * time.Duration(max(1, len(s.instances)/DefaultInstances))
	lifetime, route, key, revoked := 0, 0, 0, 0 // Newest that this process is known to know.
	for k := 0; rcwait.Sleep(ctx, pause); k++ {
		if now := i.lifetime(); now != lifetime {
			lifetime, route, key, revoked = now, 0, 0, 0
		}
		s.probe(client, i, fmt.Sprintf("p-%d-%d-route", i.number, k), configProbe{
			name: "route", path: func(d desired) string { return fmt.Sprintf("/new%d/1", d.route) }, since: func(d desired) (int, time.Time) { return d.route, d.routeAt },
			old: func(r rcfakecaller.Result, _ int) bool { return r.Status == http.StatusNotFound }, known: &route,
		})
		s.probe(client, i, fmt.Sprintf("p-%d-%d-key", i.number, k), configProbe{
			name: "key", key: func(d desired) int { return d.key }, since: func(d desired) (int, time.Time) { return d.key, d.keyAt },
			old: func(r rcfakecaller.Result, _ int) bool { return r.Status == http.StatusUnauthorized }, known: &key,
		})
		s.probe(client, i, fmt.Sprintf("p-%d-%d-revoked", i.number, k), configProbe{
			name: "revocation of key", key: func(d desired) int { return d.key - 1 }, since: func(d desired) (int, time.Time) { return d.key, d.keyAt },
			old: func(r rcfakecaller.Result, runs int) bool { return r.Status == http.StatusOK || runs > 0 }, known: &revoked,
		})
	}
}

// configProbe is a request whose answer tells which configuration is in force.
type configProbe struct {
	name  string
	path  func(desired) string // Nil asks for a route that all have.
	key   func(desired) int    // Nil is the key that all have.
	since func(desired) (number int, at time.Time)
	old   func(r rcfakecaller.Result, runs int) bool // Only an older configuration allows this.
	known *int                                       // Newest number known to be in force.
}

func (s *soak) probe(client *http.Client, i *instance, id string, p configProbe) {
	config := s.world.current()
	number, since := p.since(config)
	q := rcfakecaller.Request{Addr: i.front, Path: "/look/1", ID: id, Timeout: callerPatience}
	if p.path != nil {
		q.Path = p.path(config)
	}
	if p.key != nil {
		q.Key = fmt.Sprint("n", p.key(config))
	}
	begun, lifetime := time.Now(), i.lifetime()
	r := rcfakecaller.Send(client, q)
	now, _ := p.since(s.world.current())
	if r.Status == 0 || lifetime != i.lifetime() || now != number {
		return // A newer configuration may have changed the answer meanwhile.
	}
	old := p.old(r, s.world.ledger.Runs(id))
	if old {
		s.noticeStalls()
	}
	switch {
	case !old && refusals[r.Status]:
		// Of an instance that knows no configuration yet, or of a service that has no room.
	case !old:
		*p.known = number
	case *p.known >= number:
		s.broken("configuration never goes back", "i%d had %s %d; %s: status %d", i.number, p.name, number, id, r.Status)
	case begun.Sub(since) > configBound && i.calmSince(begun.Add(-contactTime)) && i.running():
		s.broken("configuration comes into force", "i%d does not know %s %d after %s; %s: status %d", i.number, p.name, number, begun.Sub(since), id, r.Status)
	}
}

// watchDrains checks all the while that upstreams that leave are left alone.
func (s *soak) watchDrains(ctx context.Context) {
	for rcwait.Sleep(ctx, probePause) {
		s.checkDrains()
	}
}

// weightsUse is what is reported once of older weights.
type weightsUse struct {
	upstream string
	instance int
	weights  int64
}

// judgeWeights checks that a request that begins does so on weights that are new
// enough. The time counts anew after faults of the store and of the links that the
// request or the news of the weights passes. Neither a kill nor a start of an
// instance excuses anything; a pause excuses what it had under way.
func (s *soak) judgeWeights(u *upstream, id string, weights int64) {
	var n int
	now := time.Now()
	replaced, ok := s.world.replacedAt(weights)
	if !ok {
		return
	}
	if _, err := fmt.Sscanf(id, "i%d-", &n); err != nil || n >= len(s.instances) {
		s.broken("the soak itself works", "an engine got %q", id)
		return
	}
	i, from := s.instances[n], replaced
	for _, f := range []*faultTime{&s.world.held, &u.held, &i.cut} {
		if end := f.last(); end.After(from) {
			from = end
		}
	}
	use := weightsUse{u.id, n, weights}
	s.mu.Lock()
	seen := s.judged[use]
	s.mu.Unlock()
	if seen || now.Sub(from) <= weightsBound+s.stalledSince(from) || !i.paused.calmSince(now.Add(-contactTime)) {
		return
	}
	s.mu.Lock()
	s.judged[use] = true
	s.mu.Unlock()
	s.broken("older weights are left alone", "%s from i%d, started %s ago, began at %s on weights %d, %s after newer ones were named",
		id, n, now.Sub(i.lastStart()), u.id, weights, now.Sub(replaced))
}

// checkDrains checks that upstreams that leave get nothing more.
func (s *soak) checkDrains() {
	s.world.mu.Lock()
	defer s.world.mu.Unlock()
	for _, u := range s.world.left {
		bound := u.leftAt.Add(drainBound)
		if last := u.LastRun(); !u.late && last.After(bound) && s.world.calmSince(u.leftAt.Add(-contactTime)) {
			u.late = true
			s.broken("upstreams that leave are left alone", "%s got a request %s after it announced that it leaves", u.id, last.Sub(u.leftAt))
		}
	}
}

// checkRecovery checks that all is well again some time after the last fault.
func (s *soak) checkRecovery(ctx context.Context, c *callers) {
	ended := time.Now()
	if err := s.awaitReady(ctx, recoverBound); err != nil {
		s.broken("instances recover", "%v", err)
		return
	}
	for len(s.world.outdated()) > 0 && time.Since(ended) < loadsBound+contactTime+s.stalledSince(ended) {
		rcwait.Sleep(ctx, probePause)
	}
	if late := s.world.outdated(); len(late) > 0 {
		s.broken("weights reach all engines", "%v are outdated %s after the last fault", late, time.Since(ended))
	}
	rcwait.Sleep(ctx, contactTime)
	failed := s.serveAll()
	if len(failed) > 0 {
		s.broken("service recovers", "%d of %d requests failed after the last fault; the first: %s", len(failed), recoveryProbes, failed[0])
	}
	if c.answered.Load() == 0 {
		s.broken("service recovers", "no request was answered in the whole run")
	}
}

const (
	recoveryProbes = 60
	// recoveryAttempts bounds how often a request is sent anew because the soak
	// itself stood still.
	recoveryAttempts = 10
)

// serveAll sends some requests of each kind and returns those that failed.
func (s *soak) serveAll() (failed []string) {
	client := &http.Client{Timeout: callerPatience}
	for k := range recoveryProbes {
		path := []string{"/book/1", "/look/1", "/advice/1"}[k%3]
		i := s.instances[k%len(s.instances)]
		for attempt := range recoveryAttempts {
			begun, id := time.Now(), fmt.Sprintf("i%d-end-%d-%d", i.number, k, attempt)
			r := send(client, i, path, id)
			if r.Status == http.StatusOK && r.Err == nil {
				break
			}
			s.noticeStalls()
			if s.stalledSince(begun) == 0 || attempt == recoveryAttempts-1 {
				failed = append(failed, fmt.Sprintf("%s: status %d, %v", id, r.Status, r.Err))
				break
			}
		}
	}
	return failed
}
