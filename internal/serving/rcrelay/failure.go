package rcrelay

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/radishcrank/radishcrank"
)

var (
	errCallerGone = errors.New("caller is gone")
	// errSuperseded ends the slower one of two hedged attempts. It is no fault of its engine.
	errSuperseded = errors.Join(errors.New("another attempt was faster"), context.Canceled)
	// errStreamTimeout ends a generation that takes longer than the setting allows.
	errStreamTimeout = errors.New("answer took too long")
)

// retryAfterFailure is told to callers whose request failed on several engines.
// By then the circuit breakers of broken engines are open.
const retryAfterFailure = time.Second

// reached reports whether an attempt that ended with err may have reached an engine.
func reached(err error) bool {
	return !errors.Is(err, radishcrank.ErrNotSent) && !errors.Is(err, radishcrank.ErrUpstreamBusy)
}

// crashed reports whether err looks like a crash of the engine. Silence, output
// that does not match and an attempt that was cancelled here do not.
func crashed(err error) bool {
	return errors.Is(err, radishcrank.ErrTruncated) && reached(err) &&
		!errors.Is(err, context.Canceled) && !errors.Is(err, radishcrank.ErrNoProgress)
}

// incomplete is the refusal of a request that the relay has given up on.
func incomplete(reached bool) *radishcrank.Refusal {
	if !reached {
		return &radishcrank.Refusal{
			Status:     http.StatusServiceUnavailable,
			Code:       "engines_busy",
			Message:    "no engine accepted the request",
			Outcome:    radishcrank.OutcomeNotRun,
			RetryAfter: retryAfterFailure,
		}
	}
	return &radishcrank.Refusal{
		Status:     http.StatusBadGateway,
		Code:       "upstream_failed",
		Message:    "every engine that was tried failed",
		Outcome:    radishcrank.OutcomeMayHaveRun,
		RetryAfter: retryAfterFailure,
	}
}

// unpinned is the refusal of a request that continues an answer without saying
// which weights the delivered tokens came from.
func unpinned() *radishcrank.Refusal {
	return &radishcrank.Refusal{
		Status:  http.StatusGone,
		Code:    "stream_lost",
		Message: "the weights of the delivered part of the answer are not known",
		Outcome: radishcrank.OutcomeMayHaveRun,
	}
}

// timedOut is the refusal of an answer that took longer than the setting allows.
func timedOut(reached bool) *radishcrank.Refusal {
	r := incomplete(reached)
	r.Status, r.Code, r.Message = http.StatusGatewayTimeout, "stream_timeout", errStreamTimeout.Error()
	return r
}

// withReach corrects the outcome of a refusal that was made without knowing
// whether an earlier attempt reached an engine.
func withReach(err error, reached bool) error {
	var refusal *radishcrank.Refusal
	if !reached || !errors.As(err, &refusal) || refusal.Outcome != radishcrank.OutcomeNotRun {
		return err
	}
	corrected := *refusal
	corrected.Outcome = radishcrank.OutcomeMayHaveRun
	return &corrected
}
