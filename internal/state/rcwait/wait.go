// Package rcwait provides a sleep that a context can interrupt.
package rcwait

import (
	"context"
	"time"
)

// Sleep waits until d has passed or ctx is done, and reports whether d passed
// first. If d is not positive, it returns at once and reports whether ctx is not
// done.
func Sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
