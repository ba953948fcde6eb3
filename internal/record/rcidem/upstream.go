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

// refusalPenaltyTime is the time for which an upstream that refused a connection is
// tried after all others.
const refusalPenaltyTime = 2 * time.Second

// serviceCacheTTL is the time for which the list of services is used without reading
// the board. Engine reports change the same table of the board, so reading it for
// every call would process the changes of all engines each time.
const serviceCacheTTL = 100 * time.Millisecond

// serviceCache caches the upstreams of services, which are few compared with the
// engines on the board.
type serviceCache struct {
	mu      sync.Mutex
	readAt  time.Time
	version uint64
	rows    map[radishcrank.UpstreamID]radishcrank.Upstream
	byName  map[string][]radishcrank.Upstream // Sorted by ID; the slices are never modified.
}

// list returns the upstreams of a service that are not leaving.
func (s *serviceCache) list(board *rcboard.Board, name string) []radishcrank.Upstream {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byName == nil || time.Since(s.readAt) >= serviceCacheTTL {
		s.refresh(board)
	}
	return s.byName[name]
}

func (s *serviceCache) refresh(board *rcboard.Board) {
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

// candidates returns the upstreams of a service in the order in which they are to be
// tried: upstreams that recently refused connections last, otherwise upstreams of
// this instance's availability zone first, and round robin within these groups.
func (r *Runner) candidates(service string) []radishcrank.Upstream {
	ups := slices.Clone(r.services.list(r.cfg.Board, service))
	local := 0
	for i, up := range ups {
		if up.Zone == r.cfg.Zone {
			ups[local], ups[i] = ups[i], ups[local]
			local++
		}
	}
	// Upstreams of this availability zone and of others are rotated separately, so
	// that each upstream of a group gets the same share.
	offset := r.roundRobin.Add(1)
	rotate(ups[:local], offset)
	rotate(ups[local:], offset)
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.refusedAt) > 0 {
		slices.SortStableFunc(ups, func(a, b radishcrank.Upstream) int {
			return cmp.Compare(r.penaltyLocked(a.ID), r.penaltyLocked(b.ID))
		})
	}
	return ups
}

func rotate(ups []radishcrank.Upstream, offset uint64) {
	if len(ups) == 0 {
		return
	}
	n := int(offset % uint64(len(ups)))
	slices.Reverse(ups[:n])
	slices.Reverse(ups[n:])
	slices.Reverse(ups)
}

func (r *Runner) penaltyLocked(id radishcrank.UpstreamID) int {
	at, ok := r.refusedAt[id]
	if !ok {
		return 0
	}
	if time.Since(at) > refusalPenaltyTime {
		delete(r.refusedAt, id)
		return 0
	}
	return 1
}

func (r *Runner) markRefused(id radishcrank.UpstreamID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refusedAt[id] = time.Now()
}

// didNotRun reports whether the error of a call proves that the call did not run.
func didNotRun(err error) bool {
	return errors.Is(err, radishcrank.ErrNotSent) || errors.Is(err, radishcrank.ErrUpstreamBusy)
}

// runRepeatable tries each upstream once until one responds with a status below 500.
func (r *Runner) runRepeatable(ctx context.Context, call radishcrank.ServiceCall) (response radishcrank.ServiceResponse, err error) {
	outcome := radishcrank.OutcomeNotRun
	responded := false
	for _, up := range r.candidates(call.Service) {
		if ctx.Err() != nil {
			break
		}
		got, err := r.callUpstream(ctx, up, call, r.cfg.CallTimeout)
		if err == nil {
			response, responded = got, true
		}
		if err == nil && got.Status < http.StatusInternalServerError {
			return got, nil
		}
		if err == nil || !didNotRun(err) {
			outcome = radishcrank.OutcomeMayHaveRun
		}
	}
	if responded {
		return response, nil
	}
	return response, refuse(http.StatusServiceUnavailable, "no_upstream",
		"no upstream of the service answered the call", outcome, time.Second)
}

func (r *Runner) callUpstream(ctx context.Context, up radishcrank.Upstream, call radishcrank.ServiceCall, timeout time.Duration) (response radishcrank.ServiceResponse, err error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	response, err = r.cfg.Client.Call(ctx, up, call)
	if errors.Is(err, radishcrank.ErrNotSent) {
		r.markRefused(up.ID)
	}
	return response, err
}

// lookup asks the upstreams of the service one after the other whether the call of a
// record ran. Only found == true is proof. asked is false if no upstream answered.
func (r *Runner) lookup(rec record) (response radishcrank.ServiceResponse, found, asked bool) {
	for _, up := range r.candidates(rec.Service) {
		ctx, cancel := context.WithTimeout(r.ctx, r.cfg.LookupTimeout)
		response, found, err := r.cfg.Client.Lookup(ctx, up, rec.lookupCall())
		cancel()
		if err != nil {
			continue
		}
		if found {
			return response, true, true
		}
		asked = true
	}
	return radishcrank.ServiceResponse{}, false, asked
}
