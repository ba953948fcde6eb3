package rcidem

import (
	"cmp"
	"context"
	"errors"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/state/rcboard"
)

// refusedPenalty is how long an upstream that refused a connection is tried last.
const refusedPenalty = 2 * time.Second

// servicesAge is how long the list of services is used without a look at the
// board. An engine's report changes the same table, and reading it for every
// call would cost a pass over all engines.
const servicesAge = 100 * time.Millisecond

// services keeps the plain services apart from the many engines of the board.
type services struct {
	mu      sync.Mutex
	readAt  time.Time
	version uint64
	rows    map[radishcrank.UpstreamID]radishcrank.Upstream
	byName  map[string][]radishcrank.Upstream // In order of ID; lists are never changed.
}

// list returns the upstreams of a service that are not leaving.
func (s *services) list(board *rcboard.Board, name string) []radishcrank.Upstream {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byName == nil || time.Since(s.readAt) >= servicesAge {
		s.refresh(board)
	}
	return s.byName[name]
}

func (s *services) refresh(board *rcboard.Board) {
	changed := s.byName == nil
	if s.rows == nil {
		s.rows = make(map[radishcrank.UpstreamID]radishcrank.Upstream)
	}
	reset := func() {
		clear(s.rows)
		changed = true
	}
	s.readAt = time.Now()
	s.version = board.Upstreams.ChangesSince(s.version, reset, func(id radishcrank.UpstreamID, up radishcrank.Upstream, ok bool) {
		_, known := s.rows[id]
		delete(s.rows, id)
		serves := ok && up.Role == radishcrank.RoleService && !up.Leaving
		if serves {
			s.rows[id] = up
		}
		changed = changed || known || serves
	})
	if !changed {
		return
	}
	s.byName = make(map[string][]radishcrank.Upstream)
	for _, id := range slices.Sorted(maps.Keys(s.rows)) {
		up := s.rows[id]
		s.byName[up.Service] = append(s.byName[up.Service], up)
	}
}

// candidates returns the upstreams of a service in the order to try them: those
// that lately refused connections last, the own zone first, else round robin.
func (r *Runner) candidates(service string) []radishcrank.Upstream {
	ups := slices.Clone(r.services.list(r.cfg.Board, service))
	near := 0
	for i, up := range ups {
		if up.Zone == r.cfg.Zone {
			ups[near], ups[i] = ups[i], ups[near]
			near++
		}
	}
	// Rotating within the own zone and the others apart gives each upstream of a
	// zone the same share.
	turn := r.robin.Add(1)
	rotate(ups[:near], turn)
	rotate(ups[near:], turn)
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.refused) > 0 {
		slices.SortStableFunc(ups, func(a, b radishcrank.Upstream) int {
			return cmp.Compare(r.penaltyLocked(a.ID), r.penaltyLocked(b.ID))
		})
	}
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

func (r *Runner) penaltyLocked(id radishcrank.UpstreamID) int {
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
func (r *Runner) runRepeatable(ctx context.Context, call radishcrank.ServiceCall) (answer radishcrank.ServiceResponse, err error) {
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

func (r *Runner) callUpstream(ctx context.Context, up radishcrank.Upstream, call radishcrank.ServiceCall, timeout time.Duration) (answer radishcrank.ServiceResponse, err error) {
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
func (r *Runner) lookup(rec record) (answer radishcrank.ServiceResponse, found, asked bool) {
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
	return radishcrank.ServiceResponse{}, false, asked
}
