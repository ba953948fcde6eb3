package radishcrank

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

// Outcome says whether a request that was refused or failed has run.
type Outcome string

// Outcomes of a request.
const (
	// OutcomeNotRun promises that the request did not run and never will.
	OutcomeNotRun Outcome = "NotRun"
	// OutcomeRan says that the request ran.
	OutcomeRan Outcome = "Ran"
	// OutcomeMayHaveRun says that nobody can tell whether the request ran.
	OutcomeMayHaveRun Outcome = "MayHaveRun"
)

// Header names that callers see.
const (
	HeaderOutcome        = "Radishcrank-Outcome"
	HeaderRequestID      = "Radishcrank-Request-Id"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderLastEventID    = "Last-Event-ID"
)

// Refusal is an error with everything that a caller is told about it.
type Refusal struct {
	Status     int           // HTTP status.
	Code       string        // Machine-readable reason in snake case, as in the OpenAI API.
	Message    string        // For people; holds no secret.
	Outcome    Outcome       // Whether the request ran.
	RetryAfter time.Duration // Zero when a retry does not help.
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s (%d %s): %s", r.Code, r.Status, r.Outcome, r.Message)
}

// AsRefusal returns the Refusal in the chain of err. Any other error becomes an
// internal error whose outcome is MayHaveRun, the only safe claim about an
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
