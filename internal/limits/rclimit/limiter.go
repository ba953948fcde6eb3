// Package rclimit enforces the limits of client accounts and shares capacity
// between them fairly.
package rclimit

import (
	"context"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/state/rcboard"
)

// Config holds the parts that a Limiter works with.
type Config struct {
	Board *rcboard.Board
}

// Limiter implements radishcrank.Admitter.
type Limiter struct {
	cfg Config
}

// New returns a Limiter.
func New(cfg Config) *Limiter { return &Limiter{cfg: cfg} }

// Admit implements radishcrank.Admitter.
func (l *Limiter) Admit(_ context.Context, req radishcrank.Request) (release func(radishcrank.Usage), err error) {
	l.add(req.Account, 1)
	return func(radishcrank.Usage) { l.add(req.Account, -1) }, nil
}

func (l *Limiter) add(id radishcrank.ClientAccountID, n int) {
	l.cfg.Board.Accounts.Update(id, func(u rcboard.AccountUsage, _ bool) (rcboard.AccountUsage, bool) {
		u.Running += n
		return u, true
	})
}
