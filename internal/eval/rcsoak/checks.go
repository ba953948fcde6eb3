package rcsoak

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/radishcrank/radishcrank/internal/state/rcwait"
)

// probeConfig asks each instance for the newest route and checks that the answers
// come from a configuration that is new enough and never from an older one than before.
func (s *soak) probeConfig(ctx context.Context) {
	client := &http.Client{Timeout: callerPatience, Transport: &http.Transport{DisableKeepAlives: true}}
	type known struct {
		lifetime, config int
	}
	seen := make([]known, len(s.instances))
	for k := 0; rcwait.For(ctx, probePause); k++ {
		for n, i := range s.instances {
			config, since := s.world.current()
			begun, lifetime := time.Now(), i.lifetime()
			r := send(client, i, fmt.Sprintf("/new%d/1", config), fmt.Sprintf("p-%d-%d", n, k))
			if now, _ := s.world.current(); r.Status == 0 || lifetime != i.lifetime() || now != config {
				continue // A newer configuration may have dropped the route meanwhile.
			}
			if lifetime != seen[n].lifetime {
				seen[n] = known{lifetime: lifetime}
			}
			old := r.Status == http.StatusNotFound
			switch {
			case !old:
				seen[n].config = config
			case seen[n].config >= config:
				s.broken("configuration never goes back", "i%d had configuration %d", n, config)
			case begun.Sub(since) > configBound && i.calmSince(begun.Add(-contactTime)) && i.running():
				s.broken("configuration comes into force", "i%d does not know configuration %d after %s", n, config, begun.Sub(since))
			}
		}
		s.checkDrains()
	}
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
	for len(s.world.outdated()) > 0 && time.Since(ended) < weightsBound+contactTime {
		rcwait.For(ctx, probePause)
	}
	if late := s.world.outdated(); len(late) > 0 {
		s.broken("weights reach all engines", "%v are outdated %s after the last fault", late, time.Since(ended))
	}
	rcwait.For(ctx, contactTime)
	client := &http.Client{Timeout: callerPatience}
	served := 0
	const probes = 60
	for k := range probes {
		path := []string{"/book/1", "/look/1", "/advice/1"}[k%3]
		if r := send(client, s.instances[k%len(s.instances)], path, fmt.Sprint("end-", k)); r.Status == http.StatusOK && r.Err == nil {
			served++
		}
	}
	if served < probes {
		s.broken("service recovers", "%d of %d requests served after the last fault", served, probes)
	}
	if c.answered.Load() == 0 {
		s.broken("service recovers", "no request was answered in the whole run")
	}
}
