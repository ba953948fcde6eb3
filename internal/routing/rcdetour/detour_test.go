package rcdetour

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/state/rcfleet"
)

// TestOutOfReach guards against detours because some upstreams have failed, and against
// requests that keep trying upstreams of which none can be reached.
func TestOutOfReach(t *testing.T) {
	sound, suspect, probing, tried := rcfleet.State{}, rcfleet.State{Suspect: true}, rcfleet.State{Probing: true}, rcfleet.State{Probing: true, Running: 1}
	leaving := rcfleet.State{}
	leaving.Leaving = true
	for _, c := range []struct {
		name   string
		states []rcfleet.State
		want   bool
	}{
		{"none", nil, false},
		{"one has not failed", []rcfleet.State{suspect, sound, suspect}, false},
		{"one may be tried", []rcfleet.State{suspect, probing}, false},
		{"each is suspect or being tried", []rcfleet.State{suspect, tried}, true},
		{"the sound one leaves", []rcfleet.State{suspect, leaving}, true},
		{"all leave", []rcfleet.State{leaving}, false},
	} {
		require.Equal(t, c.want, OutOfReach(c.states), c.name)
	}
}

// TestPick guards against detours through an instance that has just been of no use, and
// through one of another zone while one of the same zone responds.
func TestPick(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		others := []Instance{{ID: "near", Zone: "z1"}, {ID: "far", Zone: "z2"}}
		p := New(Config{Zone: "z1", Others: func() []Instance { return append([]Instance(nil), others...) }})
		pick := func(tried ...radishcrank.InstanceID) radishcrank.InstanceID {
			picked, _ := p.Pick("s", tried)
			return picked.ID
		}
		for range 20 {
			require.EqualValues(t, "near", pick())
		}
		require.EqualValues(t, "far", pick("near"))
		require.Empty(t, pick("near", "far"))
		p.Avoid("near")
		require.EqualValues(t, "far", pick())
		require.False(t, p.OutOfReachElsewhere("s"))
		p.AvoidOutOfReach(others[0], "s")
		p.AvoidOutOfReach(others[1], "s")
		require.Empty(t, pick())
		require.True(t, p.OutOfReachElsewhere("s"))
		time.Sleep(avoidTime)
		require.EqualValues(t, "near", pick())
		require.False(t, p.OutOfReachElsewhere("s"))
		p.AvoidOutOfReach(Instance{ID: "gone", Zone: "z1"}, "s")
		picked := map[radishcrank.InstanceID]bool{}
		for range 40 {
			picked[pick()] = true
		}
		require.Len(t, picked, 2, "the zone may be cut off")
	})
}

// TestOnlyInstanceIsAvoided guards against requests that are refused because the only other
// instances have been of no use some seconds ago.
func TestOnlyInstanceIsAvoided(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		others := []Instance{{ID: "a", Zone: "z1"}, {ID: "b", Zone: "z2", Failing: true}}
		p := New(Config{Zone: "z1", Others: func() []Instance { return append([]Instance(nil), others...) }})
		pick := func(tried ...radishcrank.InstanceID) radishcrank.InstanceID {
			picked, _ := p.Pick("s", tried)
			return picked.ID
		}
		require.EqualValues(t, "a", pick())
		p.Avoid("a")
		require.EqualValues(t, "b", pick())
		require.Empty(t, pick("b"), "one request tries one such instance")
		p.Avoid("b")
		require.EqualValues(t, "a", pick(), "it was avoided first")
		p.AvoidOutOfReach(others[0], "s")
		require.EqualValues(t, "b", pick())
		p.AvoidOutOfReach(others[1], "s")
		require.Empty(t, pick(), "nobody reaches upstreams")
		require.False(t, p.OutOfReachElsewhere("other"))
		time.Sleep(outOfReachTime)
		_, ok := p.Pick("other", nil)
		require.True(t, ok, "what an instance says of one service holds for no other")
	})
}
