package rcidem

import (
	"bytes"
	"context"
	"net/http"
	"time"

	"github.com/radishcrank/radishcrank"
)

// retryAfterBusy is the Retry-After hint while the table service is unavailable or
// a call is still running.
const retryAfterBusy = time.Second

// entry is this instance's state of one row: the call that local callers wait for
// and the writes that are not yet in the table service. It exists as long as
// there is either.
type entry struct {
	key      string
	inFlight *sharedCall // Nil if no caller waits. Guarded by Runner.mu.

	// sem guards the fields below. It is a channel rather than a mutex because it is
	// held during I/O.
	sem chan struct{}

	// abandoned holds this instance's attempts, by identifier, that did not run and
	// will not be sent again, although their Started row may exist or may still be written.
	abandoned map[string]abandonedAttempt
	// pendingRecord is the final record of this instance's attempt, if it is not yet
	// known to be in the table service. pendingVersion is the row version that it
	// replaces.
	pendingRecord  *record
	pendingVersion uint64
	pendingSince   time.Time // When pendingRecord or the latest abandoned attempt was set.
}

// abandonedAttempt is an attempt of this instance that will not be sent any more.
type abandonedAttempt struct {
	baseVersion uint64 // Row version that the attempt's write expects.
	rec         record
}

// sharedCall is one execution that all local callers with the same key wait for.
type sharedCall struct {
	call     radishcrank.ServiceCall
	hash     []byte
	done     chan struct{} // Closed when response and err are set.
	response radishcrank.ServiceResponse
	err      error

	// Guarded by Runner.mu.
	callers      int
	noCallers    chan struct{} // Closed when the last caller has left; replaced when another one joins.
	dispatched   bool          // The call may have been sent by this instance.
	otherRunning bool          // Another attempt was found to be running.
	cancelled    bool          // A caller got the outcome NotRun, so the call must not be sent.
}

// setPending keeps the final record of this instance's attempt until it is in the
// table service.
func (e *entry) setPending(rec record, version uint64) {
	e.pendingRecord, e.pendingVersion, e.pendingSince = &rec, version, time.Now()
}

// abandon marks the attempt of rec as one that will not be sent any more.
func (e *entry) abandon(rec record, base uint64) {
	e.abandoned[rec.Attempt] = abandonedAttempt{baseVersion: base, rec: rec}
	e.pendingSince = time.Now()
}

// runAtMostOnce waits for the shared call of the call's key and starts it if there
// is none.
func (r *Runner) runAtMostOnce(ctx context.Context, call radishcrank.ServiceCall) (response radishcrank.ServiceResponse, err error) {
	sc, refusal := r.join(call)
	if refusal != nil {
		return response, refusal
	}
	select {
	case <-sc.done:
		return sc.response, sc.err
	case <-ctx.Done():
		return response, r.leave(sc)
	}
}

func (r *Runner) join(call radishcrank.ServiceCall) (*sharedCall, *radishcrank.Refusal) {
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
		e = &entry{key: key, sem: make(chan struct{}, 1), abandoned: make(map[string]abandonedAttempt)}
		r.entries[key] = e
	}
	if e.inFlight == nil {
		e.inFlight = &sharedCall{call: call, hash: hash, done: make(chan struct{}), noCallers: make(chan struct{})}
		go r.runShared(e, e.inFlight)
	}
	if !bytes.Equal(e.inFlight.hash, hash) {
		return nil, refuseKeyReused()
	}
	if e.inFlight.cancelled {
		return nil, refuseCancelled()
	}
	if e.inFlight.callers == 0 {
		e.inFlight.noCallers = make(chan struct{})
	}
	e.inFlight.callers++
	return e.inFlight, nil
}

// leave removes a caller. If the last caller leaves before the call is sent, and no
// other attempt is running, the call is cancelled, so that the outcome NotRun is
// true.
func (r *Runner) leave(sc *sharedCall) *radishcrank.Refusal {
	r.mu.Lock()
	defer r.mu.Unlock()
	sc.callers--
	if sc.callers == 0 {
		close(sc.noCallers)
		if !sc.dispatched && !sc.otherRunning {
			sc.cancelled = true
			return refuseCancelled()
		}
	}
	return refuseInProgress()
}

// tryDispatch reports whether the call may be sent. If so, it marks the call as
// dispatched.
func (r *Runner) tryDispatch(sc *sharedCall) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if sc.cancelled {
		return false
	}
	sc.dispatched = true
	return true
}

func (r *Runner) noCallersChan(sc *sharedCall) <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return sc.noCallers
}

func (r *Runner) setOtherRunning(sc *sharedCall) {
	r.mu.Lock()
	defer r.mu.Unlock()
	sc.otherRunning = true
}

// runShared executes a shared call, wakes its callers, and then settles the entry.
func (r *Runner) runShared(e *entry, sc *sharedCall) {
	e.sem <- struct{}{}
	response, err := r.resolve(e, sc)
	<-e.sem
	r.mu.Lock()
	sc.response, sc.err = response, err
	e.inFlight = nil
	close(sc.done)
	r.mu.Unlock()
	r.settleEntry(e)
}

func refuseKeyReused() *radishcrank.Refusal {
	return refuse(http.StatusUnprocessableEntity, "idempotency_key_reused",
		"the idempotency key belongs to a call with other content", radishcrank.OutcomeNotRun, 0)
}

func refuseCancelled() *radishcrank.Refusal {
	return refuse(http.StatusServiceUnavailable, "cancelled_before_dispatch",
		"the caller's deadline passed before the call was sent", radishcrank.OutcomeNotRun, retryAfterBusy)
}

func refuseInProgress() *radishcrank.Refusal {
	return refuse(http.StatusConflict, "call_in_progress",
		"the call is still running; repeat it with the same key for its answer", radishcrank.OutcomeMayHaveRun, retryAfterBusy)
}

func refuseAccountLeaving() *radishcrank.Refusal {
	return refuse(http.StatusForbidden, "account_leaving",
		"the client account is leaving and gets no new work done", radishcrank.OutcomeNotRun, 0)
}

func refuseResponseUnavailable() *radishcrank.Refusal {
	return refuse(http.StatusServiceUnavailable, "answer_unavailable",
		"the call with this key has run; its record cannot be read now", radishcrank.OutcomeRan, retryAfterBusy)
}

func refusePlatformUnavailable() *radishcrank.Refusal {
	return refuse(http.StatusServiceUnavailable, "platform_unavailable",
		"the record that keeps the call from running twice cannot be written now", radishcrank.OutcomeNotRun, retryAfterBusy)
}

func refuseNoUpstream() *radishcrank.Refusal {
	return refuse(http.StatusServiceUnavailable, "no_upstream",
		"no upstream of the service took the call", radishcrank.OutcomeNotRun, retryAfterBusy)
}

// refuseOutcomeUnknown sets a Retry-After hint only if no upstream answered the
// lookup, because a later lookup may then still find the response.
func refuseOutcomeUnknown(asked bool) *radishcrank.Refusal {
	retryAfter := retryAfterBusy
	if asked {
		retryAfter = 0
	}
	return refuse(http.StatusBadGateway, "outcome_unknown",
		"the call may have run; it will not be run again", radishcrank.OutcomeMayHaveRun, retryAfter)
}

func refuseResponseNotStored() *radishcrank.Refusal {
	return refuse(http.StatusConflict, "answer_not_stored",
		"the call ran; its answer could not be stored and the upstream does not know it any more", radishcrank.OutcomeRan, 0)
}
