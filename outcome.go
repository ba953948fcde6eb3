package radishcrank

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

// Outcome states whether a rejected or failed request has run.
type Outcome string

// Outcomes of a request.
const (
	// OutcomeNotRun guarantees that the request did not run and never will.
	OutcomeNotRun Outcome = "NotRun"
	// OutcomeRan means that the request ran.
	OutcomeRan Outcome = "Ran"
	// OutcomeMayHaveRun means that it is unknown whether the request ran.
	OutcomeMayHaveRun Outcome = "MayHaveRun"
)

// Names of headers exchanged with clients.
const (
	HeaderOutcome        = "Radishcrank-Outcome"
	HeaderRequestID      = "Radishcrank-Request-Id"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderLastEventID    = "Last-Event-ID"
)

// Refusal is an error with everything that is reported to the client.
type Refusal struct {
	Status     int           // HTTP status.
	Code       string        // Machine-readable error code in snake case, as in the OpenAI API.
	Message    string        // Human-readable; contains no secrets.
	Outcome    Outcome       // Whether the request ran.
	RetryAfter time.Duration // Zero if a retry does not help.
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s (%d %s): %s", r.Code, r.Status, r.Outcome, r.Message)
}

// AsRefusal returns the Refusal in the chain of err. Any other error is turned
// into an internal error with outcome MayHaveRun, the only safe claim about an
// unknown failure.
func AsRefusal(err error) *Refusal {
	var r *Refusal
	if errors.As(err, &r) {
		return r
	}
	return &Refusal{
		Status:  http.StatusInternalServerError,
		Code:    "internal_error",
		Message: "internal error",
		Outcome: OutcomeMayHaveRun,
	}
}
