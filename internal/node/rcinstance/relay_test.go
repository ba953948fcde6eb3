package rcinstance

import (
	"fmt"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/peer/rcrpc"
	"github.com/radishcrank/radishcrank/internal/record/rcrollout"
	"github.com/radishcrank/radishcrank/internal/state/rcfleet"
	"github.com/radishcrank/radishcrank/internal/state/rckvstore"
	"github.com/radishcrank/radishcrank/internal/state/rcorigin"
	"github.com/radishcrank/radishcrank/platform"
)

// newPeerGroups returns the peer groups of n instances in the given number of zones.
// Each instance knows all others.
func newPeerGroups(n, zones int) (all []*peerGroup) {
	var members []member
	for i := range n {
		members = append(members, member{Name: fmt.Sprintf("i%02d", i), Zone: fmt.Sprint("z", i%zones), CPU: float64(i % 3)})
	}
	for _, m := range members {
		p := &peerGroup{
			instance: &Instance{settings: platform.Settings{Instance: m.Name, Zone: m.Zone}, fleet: rcfleet.New(), kvWatcher: rckvstore.New(rckvstore.Config{})},
			members:  map[string]*peer{}, loads: map[radishcrank.InstanceID]loadReport{}, self: &peer{member: m}, wake: make(chan struct{}, 1),
		}
		p.origins = &streamOrigins{registry: rcorigin.New(), fleet: p.instance.fleet, peers: p}
		for _, o := range members {
			if o.Name != m.Name {
				p.members[o.Name] = &peer{member: o}
			}
		}
		all = append(all, p)
	}
	return all
}

// TestMisdirectedReachesAll guards against an upstream that is gone and that each instance has
// to find out about by itself.
func TestMisdirectedReachesAll(t *testing.T) {
	for _, n := range []int{3, 24} {
		all := newPeerGroups(n, 3)
		r := rcfleet.Misdirected{Upstream: "u", Incarnation: 1}
		for _, p := range all {
			p.instance.fleet.Put(rcfleet.Entry{Upstream: radishcrank.Upstream{ID: "u", Service: "s", Incarnation: 1}})
		}
		all[1].instance.fleet.MarkMisdirected(r)
		all[1].announceMisdirected(r)
		deliverUpdates(t, all)
		for _, p := range all {
			s, _ := p.instance.fleet.Get("u")
			require.True(t, s.Suspect, "%d instances, %s", n, p.self.Name)
		}
	}
}

// deliverUpdates runs rounds in which every instance sends its updates, until there are
// none, and returns the number of messages.
func deliverUpdates(t *testing.T, all []*peerGroup) (messages int) {
	t.Helper()
	byName := map[string]*peerGroup{}
	for _, p := range all {
		byName[p.self.Name] = p
	}
	for round := 0; ; round++ {
		require.Less(t, round, 10, "updates are forwarded in a cycle")
		sent := 0
		for _, p := range all {
			p.mu.Lock()
			out := p.updatesLocked()
			p.mu.Unlock()
			for to, n := range out {
				if n.empty() {
					continue
				}
				sent++
				_, err := byName[to.Name].handleUpdate(t.Context(), rcrpc.Identity{Instance: radishcrank.InstanceID(p.self.Name), Zone: radishcrank.AvailabilityZone(p.self.Zone)}, *n)
				require.NoError(t, err)
			}
		}
		if sent == 0 {
			return messages
		}
		messages += sent
	}
}

// TestUpdatesReachAllInstances guards against instances that do not receive an update,
// and against a number of messages that grows quadratically with the fleet.
func TestUpdatesReachAllInstances(t *testing.T) {
	for _, n := range []int{2, 6, 12, 13, 58, 300} {
		all := newPeerGroups(n, 3)
		for _, p := range all {
			p.instance.fleet.Replace([]rcfleet.Entry{{}})
		}
		all[n/2].announceEngine(rcrollout.EngineUpdate{LoadingFor: time.Minute})
		messages := deliverUpdates(t, all)
		for _, p := range all {
			if p == all[n/2] {
				continue // The controller applies its own updates.
			}
			s, ok := p.instance.fleet.Get("")
			require.True(t, ok)
			require.True(t, s.Loading(time.Now()), "%d instances: %s did not receive the update", n, p.self.Name)
		}
		require.LessOrEqual(t, messages, n+3*3, "%d instances", n)
	}
}

// TestRelayIsReplaced guards against a zone that receives no updates after its relay
// died, and against two relays in a zone that all instances can reach.
func TestRelayIsReplaced(t *testing.T) {
	all := newPeerGroups(30, 3)
	relays := 0
	for _, p := range all {
		if p.isRelay() {
			relays++
		}
	}
	require.Equal(t, 3, relays)
	p := all[0]
	first := p.relayForLocked(p.self.Zone)
	if first == nil {
		p = all[3]
		first = p.relayForLocked(p.self.Zone)
	}
	first.failingSince, first.failedAt = time.Now(), time.Now()
	second := p.relayForLocked(p.self.Zone)
	require.NotEqual(t, first, second)
	first.failingSince, first.failedAt = time.Now().Add(-relayRetryDelay), time.Now().Add(-relayRetryDelay)
	require.Equal(t, first, p.relayForLocked(p.self.Zone))
}

// TestOriginsReachTheirHolders guards against an origin of a stream that is lost with the
// instance that began it, and against messages to all instances of a large fleet.
func TestOriginsReachTheirHolders(t *testing.T) {
	for _, n := range []int{2, 12, 13, 58} {
		all := newPeerGroups(n, 3)
		first := all[n/2]
		first.origins.Record(rcorigin.Record{Attempt: "a", Origin: rcorigin.Origin{Service: "s", Software: "v1"}})
		deliverUpdates(t, all)
		holders := 0
		for _, p := range all {
			if p == first {
				continue
			}
			if _, known := p.origins.registry.Get("a"); known {
				holders++
			}
			for _, h := range p.originHolders() {
				_, known := all[nameIndex(t, h.Name)].origins.registry.Get("a")
				require.True(t, known, "%d instances: %s asks %s, which does not know", n, p.self.Name, h.Name)
			}
		}
		if n <= maxDirectPeers {
			require.Equal(t, n-1, holders)
		} else {
			require.LessOrEqual(t, holders, 3)
		}
	}
}

func nameIndex(t *testing.T, name string) (i int) {
	_, err := fmt.Sscanf(name, "i%d", &i)
	require.NoError(t, err)
	return i
}

// TestOriginIsLostWithRelay guards against origins of streams that are lost because the
// relay that was to get them has just died.
func TestOriginIsLostWithRelay(t *testing.T) {
	all := newPeerGroups(30, 3)
	first := all[len(all)-1] // The least eligible as relay.
	relay := first.relayForLocked(first.self.Zone)
	first.origins.Record(rcorigin.Record{Attempt: "a", Origin: rcorigin.Origin{Service: "s", Software: "v1"}})
	for to, update := range first.updatesLocked() {
		require.Equal(t, relay, to)
		first.recordSend(to, update, io.ErrUnexpectedEOF)
	}
	next := first.updatesLocked()
	require.Len(t, next, 1)
	for to, update := range next {
		require.NotEqual(t, relay, to)
		require.Len(t, update.Streams, 1)
	}
}

// TestIdleInstancesAreSilent guards against hundreds of instances that send their relays,
// and these their zones, the same report several times a second, and against loads that
// are forgotten because no report tells of them.
func TestIdleInstancesAreSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		all := newPeerGroups(60, 3)
		for _, p := range all {
			p.instance.fleet.Replace([]rcfleet.Entry{{}})
		}
		busy := all[7]
		exchange := busy.instance.fleet.Begin("", 1600)
		messages := 0
		const ticks = 50
		for n := range ticks {
			time.Sleep(relayUpdateInterval)
			for _, p := range all {
				p.mu.Lock()
				p.queued.Running = p.instance.fleet.LocalLoads()
				p.mu.Unlock()
			}
			messages += deliverUpdates(t, all)
			for _, p := range all {
				s, ok := p.instance.fleet.Get("")
				require.True(t, ok)
				if p != busy && n > 3 {
					require.Equal(t, 1, s.PeerLoad.Running, "%s", p.self.Name)
				}
			}
		}
		perSecond := float64(messages) / float64(len(all)) / (ticks * relayUpdateInterval.Seconds())
		require.Less(t, perSecond, 6.0)
		exchange.End(rcfleet.Succeeded)
	})
}

// TestSpeedReachesAllInstances guards against a speed that only the instance knows that sends
// requests to an upstream, that the reports without speeds between two with them make
// forgotten, or that outlives the reports.
func TestSpeedReachesAllInstances(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, instances := range []int{5, 60} {
			all := newPeerGroups(instances, 3)
			for _, p := range all {
				p.instance.fleet.Replace([]rcfleet.Entry{{}})
			}
			exchange := all[4].instance.fleet.Begin("", 1600)
			for n := range 140 {
				if n < 50 {
					all[4].instance.fleet.ObserveSlowness("", 0, 200)
				}
				time.Sleep(relayUpdateInterval)
				for _, p := range all {
					p.queued.Running = p.instance.fleet.LocalLoads()
				}
				deliverUpdates(t, all)
				for _, p := range all {
					s, _ := p.instance.fleet.Get("")
					switch {
					case n > 20 && n < 50:
						require.InDelta(t, 0.52, s.Speed, 0.02, "%s at %d", p.self.Name, n)
					case n == 139: // 2 s of samples, 1 s of the last report and speedRetention later.
						require.Zero(t, s.Speed, p.self.Name)
					}
				}
			}
			exchange.End(rcfleet.Succeeded)
		}
	})
}
