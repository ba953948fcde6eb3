// Package rcwait holds the one way to wait for a while that can be cut short.
package rcwait

import (
	"context"
	"time"
)

// Sleep waits for d and reports whether the whole of it passed before ctx ended.
// A d of zero or less does not wait, and reports whether ctx is still live.
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
