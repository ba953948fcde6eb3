package rcrelay

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/radishcrank/radishcrank"
)

var (
	errClientGone = errors.New("client disconnected")
	// errSuperseded cancels the slower of two hedged attempts. It does not count as a
	// failure of its engine.
	errSuperseded = errors.Join(errors.New("hedged attempt superseded by a faster one"), context.Canceled)
	// errStreamTimeout cancels a generation that exceeds the StreamTimeout setting. Its
	// text is sent to the client.
	errStreamTimeout = errors.New("answer took too long")
)

// retryAfterFailure is the Retry-After of requests that failed on several engines. By
// then the circuit breakers of failing engines are open.
const retryAfterFailure = time.Second

// mayHaveReached reports whether an attempt that failed with err may have reached an
// engine.
func mayHaveReached(err error) bool {
	return !errors.Is(err, radishcrank.ErrNotSent) && !errors.Is(err, radishcrank.ErrUpstreamBusy)
}

// isCrash reports whether err indicates a crash of the engine. A progress
// timeout, mismatched output and cancellation by this instance do not.
func isCrash(err error) bool {
	return errors.Is(err, radishcrank.ErrTruncated) && mayHaveReached(err) &&
		!errors.Is(err, context.Canceled) && !errors.Is(err, radishcrank.ErrNoProgress)
}

// failureRefusal returns the refusal of a request that failed on all attempted engines.
func failureRefusal(reached bool) *radishcrank.Refusal {
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

// unknownWeightsRefusal returns the refusal of a request that continues a response
// without specifying the weights that generated the delivered tokens.
func unknownWeightsRefusal() *radishcrank.Refusal {
	return &radishcrank.Refusal{
		Status:  http.StatusGone,
		Code:    "stream_lost",
		Message: "the weights of the delivered part of the answer are not known",
		Outcome: radishcrank.OutcomeMayHaveRun,
	}
}

// timeoutRefusal returns the refusal of a request that exceeded the StreamTimeout
// setting.
func timeoutRefusal(reached bool) *radishcrank.Refusal {
	r := failureRefusal(reached)
	r.Status, r.Code, r.Message = http.StatusGatewayTimeout, "stream_timeout", errStreamTimeout.Error()
	return r
}

// correctOutcome changes the outcome of a refusal from NotRun to MayHaveRun if an
// earlier attempt may have reached an engine, which the origin of the refusal does not
// know.
func correctOutcome(err error, reached bool) error {
	var refusal *radishcrank.Refusal
	if !reached || !errors.As(err, &refusal) || refusal.Outcome != radishcrank.OutcomeNotRun {
		return err
	}
	corrected := *refusal
	corrected.Outcome = radishcrank.OutcomeMayHaveRun
	return &corrected
}
