package rcidem

import (
	"cmp"
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"github.com/radishcrank/radishcrank"
)

// refusedPenalty is how long an upstream that refused a connection is tried last.
const refusedPenalty = 2 * time.Second

// candidates returns the upstreams of a service in the order to try them: those
// that lately refused connections last, the own zone first, else round robin.
func (r *Runner) candidates(service string) []radishcrank.Upstream {
	var ups []radishcrank.Upstream
	for _, up := range r.cfg.Board.Upstreams.Values() {
		if up.Role == radishcrank.RoleService && up.Service == service && !up.Leaving {
			ups = append(ups, up)
		}
	}
	if len(ups) == 0 {
		return nil
	}
	// Rotating within the own zone and the others apart gives each upstream of a
	// zone the same share.
	slices.SortStableFunc(ups, func(a, b radishcrank.Upstream) int {
		return cmp.Compare(r.distance(a), r.distance(b))
	})
	near := 0
	for near < len(ups) && r.distance(ups[near]) == 0 {
		near++
	}
	turn := r.robin.Add(1)
	rotate(ups[:near], turn)
	rotate(ups[near:], turn)
	slices.SortStableFunc(ups, func(a, b radishcrank.Upstream) int {
		return cmp.Compare(r.penalty(a.ID), r.penalty(b.ID))
	})
	return ups
}

func rotate(ups []radishcrank.Upstream, turn uint64) {
	if len(ups) == 0 {
		return
	}
	n := int(turn % uint64(len(ups)))
	slices.Reverse(ups[:n])
	slices.Reverse(ups[n:])
	slices.Reverse(ups)
}

func (r *Runner) distance(up radishcrank.Upstream) int {
	if up.Zone == r.cfg.Zone {
		return 0
	}
	return 1
}

func (r *Runner) penalty(id radishcrank.UpstreamID) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	at, ok := r.refused[id]
	if !ok {
		return 0
	}
	if time.Since(at) > refusedPenalty {
		delete(r.refused, id)
		return 0
	}
	return 1
}

func (r *Runner) notePenalty(id radishcrank.UpstreamID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refused[id] = time.Now()
}

// didNotRun reports whether a call's error proves that it did not run.
func didNotRun(err error) bool {
	return errors.Is(err, radishcrank.ErrNotSent) || errors.Is(err, radishcrank.ErrUpstreamBusy)
}

// runRepeatable tries each upstream once until one answers below status 500.
func (r *Runner) runRepeatable(ctx context.Context, call radishcrank.ServiceCall) (answer radishcrank.ServiceAnswer, err error) {
	outcome := radishcrank.OutcomeNotRun
	answered := false
	for _, up := range r.candidates(call.Service) {
		if ctx.Err() != nil {
			break
		}
		got, err := r.callUpstream(ctx, up, call, r.cfg.CallTimeout)
		if err == nil {
			answer, answered = got, true
		}
		if err == nil && got.Status < http.StatusInternalServerError {
			return got, nil
		}
		if err == nil || !didNotRun(err) {
			outcome = radishcrank.OutcomeMayHaveRun
		}
	}
	if answered {
		return answer, nil
	}
	return answer, refuse(http.StatusServiceUnavailable, "no_upstream",
		"no upstream of the service answered the call", outcome, time.Second)
}

func (r *Runner) callUpstream(ctx context.Context, up radishcrank.Upstream, call radishcrank.ServiceCall, timeout time.Duration) (answer radishcrank.ServiceAnswer, err error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	answer, err = r.cfg.Client.Call(ctx, up, call)
	if errors.Is(err, radishcrank.ErrNotSent) {
		r.notePenalty(up.ID)
	}
	return answer, err
}

// lookup asks the service's upstreams one after the other whether the call of a
// record ran. Only found proves something. asked is false if none answered.
func (r *Runner) lookup(rec record) (answer radishcrank.ServiceAnswer, found, asked bool) {
	for _, up := range r.candidates(rec.Service) {
		ctx, cancel := context.WithTimeout(r.ctx, r.cfg.LookupTimeout)
		answer, found, err := r.cfg.Client.Lookup(ctx, up, rec.lookupCall())
		cancel()
		if err != nil {
			continue
		}
		if found {
			return answer, true, true
		}
		asked = true
	}
	return radishcrank.ServiceAnswer{}, false, asked
}
