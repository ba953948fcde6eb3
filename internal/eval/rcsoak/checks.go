package rcsoak

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/radishcrank/radishcrank/internal/standin/rcfakecaller"
	"github.com/radishcrank/radishcrank/internal/state/rcwait"
)

// probeConfig repeatedly sends requests to the newest route, with the newest key
// and with the most recently revoked key to one instance. It checks that the
// configuration behind the responses is recent enough and never older than one
// that this process has already applied.
func (s *soak) probeConfig(ctx context.Context, i *instance) {
	client := &http.Client{Timeout: callerTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	// The total probe rate does not grow with the number of instances.
	pause := probeInterval * time.Duration(max(1, len(s.instances)/DefaultInstances))
	starts, route, key, revoked := 0, 0, 0, 0 // Newest versions seen from this process.
	for k := 0; rcwait.Sleep(ctx, pause); k++ {
		if now := i.startCount(); now != starts {
			starts, route, key, revoked = now, 0, 0, 0
		}
		s.probe(client, i, fmt.Sprintf("p-%d-%d-route", i.number, k), configProbe{
			name: "route", path: func(d configState) string { return fmt.Sprintf("/new%d/1", d.route) }, since: func(d configState) (int, time.Time) { return d.route, d.routeAt },
			outdated: func(r rcfakecaller.Result, _ int) bool { return r.Status == http.StatusNotFound }, newest: &route,
		})
		s.probe(client, i, fmt.Sprintf("p-%d-%d-key", i.number, k), configProbe{
			name: "key", key: func(d configState) int { return d.key }, since: func(d configState) (int, time.Time) { return d.key, d.keyAt },
			outdated: func(r rcfakecaller.Result, _ int) bool { return r.Status == http.StatusUnauthorized }, newest: &key,
		})
		s.probe(client, i, fmt.Sprintf("p-%d-%d-revoked", i.number, k), configProbe{
			name: "revocation of key", key: func(d configState) int { return d.key - 1 }, since: func(d configState) (int, time.Time) { return d.key, d.keyAt },
			outdated: func(r rcfakecaller.Result, runs int) bool { return r.Status == http.StatusOK || runs > 0 }, newest: &revoked,
			applied: func(r rcfakecaller.Result) bool { return r.Status == http.StatusUnauthorized },
		})
	}
}

// configProbe is a request whose response shows which configuration is in force.
type configProbe struct {
	name     string
	path     func(configState) string // Nil selects a route that all configurations have.
	key      func(configState) int    // Nil selects the key that all configurations have.
	since    func(configState) (number int, at time.Time)
	outdated func(r rcfakecaller.Result, runs int) bool // Reports whether only an older configuration allows the response.
	newest   *int                                       // Newest number seen in force.
	// applied reports whether a response that is not outdated shows that the configuration
	// is in force. Nil means that each does that is no refusal.
	applied func(r rcfakecaller.Result) bool
}

func (s *soak) probe(client *http.Client, i *instance, id string, p configProbe) {
	config := s.env.currentConfig()
	number, since := p.since(config)
	q := rcfakecaller.Request{Addr: i.frontAddr, Path: "/look/1", ID: id, Timeout: callerTimeout}
	if p.path != nil {
		q.Path = p.path(config)
	}
	if p.key != nil {
		q.Key = fmt.Sprint("n", p.key(config))
	}
	start, starts := time.Now(), i.startCount()
	r := rcfakecaller.Send(client, q)
	now, _ := p.since(s.env.currentConfig())
	if r.Status == 0 || starts != i.startCount() || now != number {
		return // A newer configuration or a restart may have changed the response.
	}
	outdated := p.outdated(r, s.env.runCounter.Runs(id))
	if outdated {
		s.awaitStallDetection()
	}
	switch {
	case !outdated && (refusals[r.Status] || p.applied != nil && !p.applied(r)):
		// The instance has no configuration yet, or the service has no capacity.
	case !outdated:
		*p.newest = number
	case *p.newest >= number:
		s.violation("configuration never reverts", "i%d had already applied %s %d; %s: status %d", i.number, p.name, number, id, r.Status)
	case start.Sub(since) > configBound && i.faultFreeSince(start.Add(-faultGracePeriod)) && i.running():
		s.violation("configuration comes into force", "i%d has not applied %s %d after %s; %s: status %d", i.number, p.name, number, start.Sub(since), id, r.Status)
	}
}

// watchDrains checks periodically that draining upstreams get no new requests.
func (s *soak) watchDrains(ctx context.Context) {
	for rcwait.Sleep(ctx, probeInterval) {
		s.checkDrains()
	}
}

// staleWeightsUse identifies a use of outdated weights, which is reported once.
type staleWeightsUse struct {
	upstream string
	instance int
	weights  int64
}

// checkWeights checks that a request starts on weights that were superseded no
// longer than weightsBound ago. The time starts anew after faults of the store and
// of the links on the path of the request or of the weights update. Kills and
// starts of instances do not extend it. A pause excuses the requests in flight.
func (s *soak) checkWeights(u *upstream, id string, weights int64) {
	var n int
	now := time.Now()
	replaced, ok := s.env.supersededAt(weights)
	if !ok {
		return
	}
	if _, err := fmt.Sscanf(id, "i%d-", &n); err != nil || n >= len(s.instances) {
		s.violation("soak harness works", "an engine received a request with the unexpected ID %q", id)
		return
	}
	i, from := s.sender(id), replaced
	for _, f := range []*faultWindow{&s.env.storeFaults, &u.linkFaults, &i.storeLinkFaults} {
		if end := f.lastEnd(); end.After(from) {
			from = end
		}
	}
	use := staleWeightsUse{u.id, n, weights}
	s.mu.Lock()
	seen := s.staleWeightsReported[use]
	s.mu.Unlock()
	if seen || now.Sub(from) <= weightsBound+s.stalledSince(from) || !i.pauses.faultFreeSince(now.Add(-faultGracePeriod)) {
		return
	}
	s.mu.Lock()
	s.staleWeightsReported[use] = true
	s.mu.Unlock()
	s.violation("older weights are left alone", "%s from i%d (running for %s) started at %s on weights %d, %s after newer ones were named",
		id, n, now.Sub(i.lastStart()), u.id, weights, now.Sub(replaced))
}

// checkDrains checks that draining upstreams get no requests after drainBound.
func (s *soak) checkDrains() {
	s.env.mu.Lock()
	defer s.env.mu.Unlock()
	for _, u := range s.env.draining {
		bound := u.drainedAt.Add(drainBound)
		if last := u.LastRun(); !u.lateRequestReported && last.After(bound) && s.env.faultFreeSince(u.drainedAt.Add(-faultGracePeriod)) {
			u.lateRequestReported = true
			s.violation("draining upstreams get no requests", "%s got a request %s after it announced its drain", u.id, last.Sub(u.drainedAt))
		}
	}
}

// checkRecovery checks that instances, weights and requests recover within their
// bounds after the last fault.
func (s *soak) checkRecovery(ctx context.Context, c *callers) {
	ended := time.Now()
	if err := s.awaitReady(ctx, recoverBound); err != nil {
		s.violation("instances recover", "%v", err)
		return
	}
	for len(s.env.outdatedEngines()) > 0 && time.Since(ended) < loadsBound+faultGracePeriod+s.stalledSince(ended) {
		rcwait.Sleep(ctx, probeInterval)
	}
	if late := s.env.outdatedEngines(); len(late) > 0 {
		s.violation("weights reach all engines", "%v have outdated weights %s after the last fault", late, time.Since(ended))
	}
	rcwait.Sleep(ctx, faultGracePeriod)
	s.checkRecords()
	s.checkNewestConfig()
	failed := s.sendRecoveryProbes()
	if len(failed) > 0 {
		s.violation("service recovers", "%d of %d requests failed after the last fault; the first: %s", len(failed), recoveryProbes, failed[0])
	}
	if c.answered.Load() == 0 {
		s.violation("service recovers", "no request was answered in the whole run")
	}
}

const (
	recoveryProbes = 60
	// recoveryAttempts bounds the attempts of a request that fails because the soak
	// process itself stalled.
	recoveryAttempts = 10
)

// sendRecoveryProbes sends requests of each kind and returns those that failed.
func (s *soak) sendRecoveryProbes() (failed []string) {
	client := &http.Client{Timeout: callerTimeout}
	for k := range recoveryProbes {
		path := callerPaths[k%len(callerPaths)]
		i := s.instances[k%len(s.instances)]
		for attempt := range recoveryAttempts {
			start, id := time.Now(), fmt.Sprintf("i%d-end-%d-%d", i.number, k, attempt)
			r := send(client, i, path, id)
			if r.Status == http.StatusOK && r.Err == nil {
				break
			}
			s.awaitStallDetection()
			if s.stalledSince(start) == 0 || attempt == recoveryAttempts-1 {
				failed = append(failed, fmt.Sprintf("%s: status %d, %v", id, r.Status, r.Err))
				break
			}
		}
	}
	return failed
}
