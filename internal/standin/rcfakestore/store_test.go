package rcfakestore

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestAge guards against a store whose clock does not start at its age, or does not go on.
func TestAge(t *testing.T) {
	s := New()
	s.SetAge(time.Hour)
	first := s.Now()
	require.GreaterOrEqual(t, first.Sub(time.Unix(0, 0)), time.Hour)
	require.Less(t, first.Sub(time.Unix(0, 0)), 2*time.Hour)
	require.Eventually(t, func() bool { return s.Now().After(first) }, time.Second, time.Millisecond)
}
