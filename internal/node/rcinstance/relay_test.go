package rcinstance

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/peer/rcrpc"
	"github.com/radishcrank/radishcrank/internal/record/rcrollout"
	"github.com/radishcrank/radishcrank/internal/state/rcfleet"
	"github.com/radishcrank/radishcrank/platform"
)

// fleetOf returns the peers of n instances in zones, each of which knows all others.
func fleetOf(n, zones int) (all []*peers) {
	var members []member
	for i := range n {
		members = append(members, member{Name: fmt.Sprintf("i%02d", i), Zone: fmt.Sprint("z", i%zones), CPU: float64(i % 3)})
	}
	for _, m := range members {
		p := &peers{
			i:       &Instance{settings: platform.Settings{Instance: m.Name, Zone: m.Zone}, fleet: rcfleet.New()},
			members: map[string]*peer{}, loads: map[radishcrank.InstanceID]toldLoads{}, self: &peer{member: m}, wake: make(chan struct{}, 1),
		}
		for _, o := range members {
			if o.Name != m.Name {
				p.members[o.Name] = &peer{member: o}
			}
		}
		all = append(all, p)
	}
	return all
}

// deliver plays rounds in which every instance tells its news, until nothing is
// told any more, and returns the number of messages.
func deliver(t *testing.T, all []*peers) (messages int) {
	t.Helper()
	byName := map[string]*peers{}
	for _, p := range all {
		byName[p.self.Name] = p
	}
	for round := 0; ; round++ {
		require.Less(t, round, 10, "news goes round in circles")
		told := 0
		for _, p := range all {
			p.mu.Lock()
			out := p.roundLocked()
			p.mu.Unlock()
			for to, n := range out {
				if n.empty() {
					continue
				}
				told++
				_, err := byName[to.Name].take(t.Context(), rcrpc.Identity{Zone: radishcrank.AvailabilityZone(p.self.Zone)}, *n)
				require.NoError(t, err)
			}
		}
		if told == 0 {
			return messages
		}
		messages += told
	}
}

// TestNewsReachesAllInstances guards against instances that never hear of a load,
// and against messages that grow with the square of the fleet.
func TestNewsReachesAllInstances(t *testing.T) {
	for _, n := range []int{2, 6, 12, 13, 58, 300} {
		all := fleetOf(n, 3)
		for _, p := range all {
			p.i.fleet.Replace([]rcfleet.Entry{{}})
		}
		all[n/2].announce(rcrollout.EngineUpdate{LoadingFor: time.Minute})
		messages := deliver(t, all)
		for _, p := range all {
			if p == all[n/2] {
				continue // The controller applies its news itself.
			}
			s, ok := p.i.fleet.Get("")
			require.True(t, ok)
			require.True(t, s.Loading(time.Now()), "%d instances: %s has not heard", n, p.self.Name)
		}
		require.LessOrEqual(t, messages, n+3*3, "%d instances", n)
	}
}

// TestRelayIsReplaced guards against a zone without news after its relay died,
// and against two relays of a zone that all instances can reach.
func TestRelayIsReplaced(t *testing.T) {
	all := fleetOf(30, 3)
	relays := 0
	for _, p := range all {
		if p.relaying() {
			relays++
		}
	}
	require.Equal(t, 3, relays)
	p := all[0]
	first := p.relayOfLocked(p.self.Zone)
	if first == nil {
		p = all[3]
		first = p.relayOfLocked(p.self.Zone)
	}
	first.failingSince, first.failedAt = time.Now(), time.Now()
	second := p.relayOfLocked(p.self.Zone)
	require.NotEqual(t, first, second)
	first.failingSince, first.failedAt = time.Now().Add(-relayRetry), time.Now().Add(-relayRetry)
	require.Equal(t, first, p.relayOfLocked(p.self.Zone))
}
