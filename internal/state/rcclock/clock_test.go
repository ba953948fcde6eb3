package rcclock

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// TestDelayedResponseDoesNotSetClockBack guards against ages that decrease when a
// response is read late, as after the process was frozen.
func TestDelayedResponseDoesNotSetClockBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var c Clock
		store := time.UnixMilli(5000)
		c.Observe(store)
		time.Sleep(4 * time.Second)
		require.Equal(t, store.Add(4*time.Second), c.Now())
		c.Observe(store.Add(time.Second)) // The response was unread for 3 s.
		require.Equal(t, store.Add(4*time.Second), c.Now())
	})
}

// TestSuspensionAdvancesClock guards against ages that omit the time for which the
// machine was suspended, which the local monotonic clock does not count.
func TestSuspensionAdvancesClock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var c Clock
		store := time.UnixMilli(5000)
		c.Observe(store)
		time.Sleep(time.Second)
		c.Observe(store.Add(9 * time.Second))
		require.Equal(t, store.Add(9*time.Second), c.Now())
	})
}

// TestDriftDoesNotAccumulate guards against ages that include the drift of a fast
// local clock over days. Older weights would then be refused as soon as a newer
// version is set.
func TestDriftDoesNotAccumulate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const drift = 1e-4 // The local clock gains 8.6 s a day.
		var c Clock
		start := time.Now()
		store := func() time.Time {
			return time.UnixMilli(5000).Add(time.Duration(float64(time.Since(start)) * (1 - drift)))
		}
		for range 24 * 60 * 60 / 5 {
			c.Observe(store())
			time.Sleep(5 * time.Second)
		}
		require.WithinDuration(t, store(), c.Now(), 100*time.Millisecond)
	})
}
