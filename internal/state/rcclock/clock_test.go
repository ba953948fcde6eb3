package rcclock

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// TestLateAnswerDoesNotSetTheClockBack guards against ages that shrink when an
// answer is read late, as after a freeze.
func TestLateAnswerDoesNotSetTheClockBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var c Clock
		store := time.UnixMilli(5000)
		c.Observe(store)
		time.Sleep(4 * time.Second)
		require.Equal(t, store.Add(4*time.Second), c.Now())
		c.Observe(store.Add(time.Second)) // It lay unread for 3 s.
		require.Equal(t, store.Add(4*time.Second), c.Now())
	})
}

// TestSuspensionMovesTheClockOn guards against ages that leave out the time that
// the machine was suspended, which its own clock does not count.
func TestSuspensionMovesTheClockOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var c Clock
		store := time.UnixMilli(5000)
		c.Observe(store)
		time.Sleep(time.Second)
		c.Observe(store.Add(9 * time.Second))
		require.Equal(t, store.Add(9*time.Second), c.Now())
	})
}

// TestDriftDoesNotAddUp guards against ages that grow by the drift of a fast local
// clock over days, so that older weights are refused as soon as newer ones are named.
func TestDriftDoesNotAddUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const drift = 1e-4 // Fast, 8.6 s a day.
		var c Clock
		begun := time.Now()
		store := func() time.Time {
			return time.UnixMilli(5000).Add(time.Duration(float64(time.Since(begun)) * (1 - drift)))
		}
		for range 24 * 60 * 60 / 5 {
			c.Observe(store())
			time.Sleep(5 * time.Second)
		}
		require.WithinDuration(t, store(), c.Now(), 100*time.Millisecond)
	})
}
