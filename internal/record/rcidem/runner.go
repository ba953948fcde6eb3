// Package rcidem runs calls of plain services, those that must not be repeated
// at most once.
package rcidem

import (
	"context"
	"net/http"
	"time"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/state/rcboard"
)

// Config holds the parts that a Runner works with.
type Config struct {
	Board  *rcboard.Board
	Client radishcrank.ServiceClient
}

// Runner implements radishcrank.CallRunner.
type Runner struct {
	cfg Config
}

// New returns a Runner.
func New(cfg Config) *Runner { return &Runner{cfg: cfg} }

// Run implements radishcrank.CallRunner.
func (r *Runner) Run(ctx context.Context, call radishcrank.ServiceCall) (radishcrank.ServiceAnswer, error) {
	for _, up := range r.cfg.Board.Upstreams.Values() {
		if up.Role == radishcrank.RoleService && up.Service == call.Service && !up.Leaving {
			return r.cfg.Client.Call(ctx, up, call)
		}
	}
	return radishcrank.ServiceAnswer{}, &radishcrank.Refusal{
		Status:     http.StatusServiceUnavailable,
		Code:       "no_upstream",
		Message:    "no upstream of the service can take the call now",
		Outcome:    radishcrank.OutcomeNotRun,
		RetryAfter: time.Second,
	}
}
