package rcidem

import (
	"bytes"
	"context"
	"net/http"
	"time"

	"github.com/radishcrank/radishcrank"
)

// retryAfterBusy is the hint when the table service is down or a call is still running.
const retryAfterBusy = time.Second

// entry is what this instance knows of one row: the callers' work on it, and
// what the table service does not hold yet. It exists while there is either.
type entry struct {
	key    string
	flight *flight // Callers' work; nil when there is none. Guarded by Runner.mu.

	// sem guards the fields below. It is a channel because it is held over I/O.
	sem chan struct{}

	// voids are own attempts that were never sent and never will be, although
	// their Started row may exist or still appear.
	voids map[string]void
	// stored is the own attempt's final record, not yet known to be in the table
	// service; version is the one it replaces.
	stored  *record
	version uint64
	since   time.Time // When stored or the newest of voids was set.
}

// void is an own attempt that will never be sent.
type void struct {
	base uint64 // Version that the attempt's write expects.
	rec  record
}

// flight is one piece of work that all local callers of a key wait for.
type flight struct {
	call   radishcrank.ServiceCall
	hash   []byte
	done   chan struct{} // Closed once answer and err are set.
	answer radishcrank.ServiceResponse
	err    error

	// Guarded by Runner.mu.
	callers    int
	gone       chan struct{} // Closed when the last caller has left; renewed by the next one.
	dispatched bool          // The call may have been sent by this instance.
	following  bool          // Another attempt was seen to be running.
	cancelled  bool          // A caller was told NotRun; the call must not be sent any more.
}

// store keeps the final record of an own attempt until the table service has it.
func (e *entry) store(rec record, version uint64) {
	e.stored, e.version, e.since = &rec, version, time.Now()
}

// avoid marks the attempt of rec as one that is never sent.
func (e *entry) avoid(rec record, base uint64) {
	e.voids[rec.Attempt] = void{base: base, rec: rec}
	e.since = time.Now()
}

// runOnce waits for the flight of the call's key, which it starts if need be.
func (r *Runner) runOnce(ctx context.Context, call radishcrank.ServiceCall) (answer radishcrank.ServiceResponse, err error) {
	f, refusal := r.join(call)
	if refusal != nil {
		return answer, refusal
	}
	select {
	case <-f.done:
		return f.answer, f.err
	case <-ctx.Done():
		return answer, r.leave(f)
	}
}

func (r *Runner) join(call radishcrank.ServiceCall) (*flight, *radishcrank.Refusal) {
	key, hash := rowKey(call), bodyHash(call)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.draining {
		return nil, refuse(http.StatusServiceUnavailable, "shutting_down", "the instance is shutting down", radishcrank.OutcomeNotRun, retryAfterBusy)
	}
	e := r.entries[key]
	if e == nil {
		if len(r.entries) >= maxEntries {
			return nil, refuse(http.StatusServiceUnavailable, "too_many_calls", "too many calls wait for their records", radishcrank.OutcomeNotRun, retryAfterBusy)
		}
		e = &entry{key: key, sem: make(chan struct{}, 1), voids: make(map[string]void)}
		r.entries[key] = e
	}
	if e.flight == nil {
		e.flight = &flight{call: call, hash: hash, done: make(chan struct{}), gone: make(chan struct{})}
		go r.fly(e, e.flight)
	}
	if !bytes.Equal(e.flight.hash, hash) {
		return nil, refuseReuse()
	}
	if e.flight.cancelled {
		return nil, refuseLeft()
	}
	if e.flight.callers == 0 {
		e.flight.gone = make(chan struct{})
	}
	e.flight.callers++
	return e.flight, nil
}

// leave ends a caller's wait. The last one to leave before the call is sent
// cancels it, so that NotRun is true.
func (r *Runner) leave(f *flight) *radishcrank.Refusal {
	r.mu.Lock()
	defer r.mu.Unlock()
	f.callers--
	if f.callers == 0 {
		close(f.gone)
		if !f.dispatched && !f.following {
			f.cancelled = true
			return refuseLeft()
		}
	}
	return refuseRunning()
}

// mayDispatch reports whether the call may be sent, after which it counts as sent.
func (r *Runner) mayDispatch(f *flight) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if f.cancelled {
		return false
	}
	f.dispatched = true
	return true
}

func (r *Runner) goneOf(f *flight) <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return f.gone
}

func (r *Runner) setFollowing(f *flight) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f.following = true
}

// fly does the work of a flight, answers its callers, then settles the entry.
func (r *Runner) fly(e *entry, f *flight) {
	e.sem <- struct{}{}
	answer, err := r.resolve(e, f)
	<-e.sem
	r.mu.Lock()
	f.answer, f.err = answer, err
	e.flight = nil
	close(f.done)
	r.mu.Unlock()
	r.settleEntry(e)
}

func refuseReuse() *radishcrank.Refusal {
	return refuse(http.StatusUnprocessableEntity, "idempotency_key_reused",
		"the idempotency key belongs to a call with other content", radishcrank.OutcomeNotRun, 0)
}

func refuseLeft() *radishcrank.Refusal {
	return refuse(http.StatusServiceUnavailable, "cancelled_before_dispatch",
		"the caller's deadline passed before the call was sent", radishcrank.OutcomeNotRun, retryAfterBusy)
}

func refuseRunning() *radishcrank.Refusal {
	return refuse(http.StatusConflict, "call_in_progress",
		"the call is still running; repeat it with the same key for its answer", radishcrank.OutcomeMayHaveRun, retryAfterBusy)
}

func refuseLeaving() *radishcrank.Refusal {
	return refuse(http.StatusForbidden, "account_leaving",
		"the client account is leaving and gets no new work done", radishcrank.OutcomeNotRun, 0)
}

func refuseUnavailableAnswer() *radishcrank.Refusal {
	return refuse(http.StatusServiceUnavailable, "answer_unavailable",
		"the call with this key has run; its record cannot be read now", radishcrank.OutcomeRan, retryAfterBusy)
}

func refusePlatform() *radishcrank.Refusal {
	return refuse(http.StatusServiceUnavailable, "platform_unavailable",
		"the record that keeps the call from running twice cannot be written now", radishcrank.OutcomeNotRun, retryAfterBusy)
}

func refuseUpstream() *radishcrank.Refusal {
	return refuse(http.StatusServiceUnavailable, "no_upstream",
		"no upstream of the service took the call", radishcrank.OutcomeNotRun, retryAfterBusy)
}

// refuseUnknown hints at a repeat only if a lookup may bring the answer later.
func refuseUnknown(asked bool) *radishcrank.Refusal {
	retryAfter := retryAfterBusy
	if asked {
		retryAfter = 0
	}
	return refuse(http.StatusBadGateway, "outcome_unknown",
		"the call may have run; it will not be run again", radishcrank.OutcomeMayHaveRun, retryAfter)
}

func refuseOversize() *radishcrank.Refusal {
	return refuse(http.StatusConflict, "answer_not_stored",
		"the call ran; its answer was too large to store and the upstream does not know it any more", radishcrank.OutcomeRan, 0)
}
