package rcforward

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/routing/rcaffinity"
)

// TestSpeedOfReply guards against a speed that is taken from another upstream's reply, and
// against one that never arrives in the fleet's state.
func TestSpeedOfReply(t *testing.T) {
	f := newThrottlingForwarder(&scriptedSender{})
	up := f.cfg.Fleet.All()[0].Upstream
	d := &dispatch{f: f, x: &radishcrank.Exchange{}}
	speed := func(class radishcrank.ReplyClass, slowness float64) float64 {
		d.updateFleet(up, rcaffinity.Choice{}, &radishcrank.Reply{Class: class, Load: &radishcrank.QueueReport{Slowness: slowness}})
		s, _ := f.cfg.Fleet.Get(up.ID)
		return s.Speed
	}
	require.Zero(t, speed(radishcrank.ReplyInvalid, 200))
	require.Zero(t, speed(radishcrank.ReplyMisdirected, 200))
	require.Zero(t, speed(radishcrank.ReplyAnswered, 0))
	require.InDelta(t, 100/150.0, speed(radishcrank.ReplyAnswered, 200), 0.01)
}
