package rcretry

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/state/rcboard"
	"github.com/radishcrank/radishcrank/internal/testing/rcbubble"
	_ "github.com/radishcrank/radishcrank/internal/testing/rcseed"
)

// Guards against retry storms: for each account and each upstream, retries stay
// within the bound of ratio, minimum rate and burst.
func TestRetryBudget(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.IntRange(0, 3), 200, 400).Draw(rt, "steps")
		rcbubble.Run(t, func() {
			r := New(Config{Board: rcboard.New()})
			s := DefaultSettings()
			start := time.Now()
			requests, retries, hedges := map[string]float64{}, map[string]float64{}, 0.0
			for i, step := range steps {
				account, upstream := fmt.Sprint("a", i%2), fmt.Sprint("u", i%3)
				switch step {
				case 0:
					r.RecordDispatch(radishcrank.ClientAccountID(account), radishcrank.UpstreamID(upstream))
					requests[account]++
					requests[upstream]++
					requests["all"]++
				case 1, 2:
					if r.AllowRetry(radishcrank.ClientAccountID(account), radishcrank.UpstreamID(upstream)) {
						retries[account]++
						retries[upstream]++
					}
				case 3:
					time.Sleep(20 * time.Millisecond)
					if r.AllowHedge() {
						hedges++
					}
				}
				for key, n := range retries {
					bound := s.RetryBurst/2 + s.RetryRatio*requests[key] + s.MinRetriesPerSecond*time.Since(start).Seconds()
					require.LessOrEqual(rt, n, bound+1e-9, key)
				}
				require.LessOrEqual(rt, hedges, 1+s.HedgeRatio*requests["all"]+1e-9)
			}
		})
	})
}

// Guards against an exhausted budget that does not recover without requests.
func TestRetryBudgetRefills(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := New(Config{Board: rcboard.New()})
		for r.AllowRetry("a", "u") {
		}
		time.Sleep(time.Second)
		require.True(t, r.AllowRetry("a", "u"))
		require.False(t, r.AllowRetry("a", "u"))
	})
}

// Guards against delays beyond the bound and against synchronized retries.
func TestBackoff(t *testing.T) {
	r := New(Config{Board: rcboard.New()})
	seen := map[time.Duration]bool{}
	for n := range 100 {
		wait := r.Backoff(n)
		require.LessOrEqual(t, wait, min(DefaultSettings().BackoffBase<<min(n, 10), DefaultSettings().MaxBackoff))
		seen[wait] = true
	}
	require.Greater(t, len(seen), 50)
}

// Guards against breakers that open without enough consecutive failures, allow
// more than one probe at a time or never close again, and against cancellations and
// refusals that count as failures.
func TestBreakerStates(t *testing.T) {
	results := []error{nil, radishcrank.ErrNotSent, radishcrank.ErrTruncated, radishcrank.ErrNoProgress, radishcrank.ErrUpstreamBusy, context.Canceled}
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.IntRange(0, len(results)), 100, 200).Draw(rt, "steps")
		rcbubble.Run(t, func() {
			board := rcboard.New()
			r := New(Config{Board: board})
			failures, opened := 0, false // Consecutive failures, counted independently of the breaker.
			for _, step := range steps {
				if step == len(results) {
					time.Sleep(400 * time.Millisecond)
					continue
				}
				weight, ok := r.Allow("u")
				if !ok {
					require.True(rt, opened, "open without enough failures")
					continue
				}
				require.Positive(rt, weight)
				r.RecordDispatch("a", "u")
				if row, _ := board.Breakers.Get("u"); row.State == HalfOpen {
					_, second := r.Allow("u")
					require.False(rt, second, "more than one probe is allowed")
				}
				err := results[step]
				r.RecordResult("u", fmt.Errorf("wrapped: %w", err))
				if err == nil {
					r.RecordDispatch("a", "u")
					r.RecordResult("u", nil)
					failures, opened = 0, false
				} else if !errors.Is(err, context.Canceled) && !errors.Is(err, radishcrank.ErrUpstreamBusy) {
					failures++
					opened = opened || failures >= DefaultSettings().FailureThreshold
				}
				row, _ := board.Breakers.Get("u")
				require.Equal(rt, opened && row.State != HalfOpen, row.State == Open)
			}
			time.Sleep(DefaultSettings().MaxOpenDuration)
			_, ok := r.Allow("u")
			require.True(rt, ok)
		})
	})
}

// Guards against an upstream that gets its full load immediately after it recovers.
func TestSlowStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := New(Config{Board: rcboard.New()})
		for range 3 {
			r.RecordDispatch("a", "u")
			r.RecordResult("u", radishcrank.ErrTruncated)
		}
		_, ok := r.Allow("u")
		require.False(t, ok)
		time.Sleep(time.Second)
		weight, ok := r.Allow("u")
		require.True(t, ok)
		require.Less(t, weight, 0.1)
		r.RecordDispatch("a", "u")
		r.RecordResult("u", nil)
		time.Sleep(5 * time.Second)
		weight, _ = r.Allow("u")
		require.InDelta(t, 0.5, weight, 0.01)
		time.Sleep(5 * time.Second)
		weight, _ = r.Allow("u")
		require.Equal(t, 1.0, weight)
	})
}
