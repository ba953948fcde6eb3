package rcmember

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/peer/rcfakepeer"
	"github.com/radishcrank/radishcrank/internal/peer/rcrpc"
	"github.com/radishcrank/radishcrank/internal/state/rcboard"
	_ "github.com/radishcrank/radishcrank/internal/testing/rcseed"
)

const (
	// detectionTimeout is how long a dead instance may be considered alive after the
	// list has dropped it.
	detectionTimeout = 25 * time.Second
	// listInterval is the interval at which rcwatch reads listings.
	listInterval = time.Second
	// testIncarnation is a typical incarnation: a Unix time in nanoseconds.
	testIncarnation = 1764793000123456789
)

func instance(zone, i int) radishcrank.Instance {
	addr := netip.AddrFrom4([4]byte{10, byte(zone), byte(i / 200), byte(i%200 + 1)})
	return radishcrank.Instance{
		ID:          radishcrank.InstanceID(fmt.Sprintf("eu-north-%d-router-%d", zone, i)),
		Zone:        radishcrank.AvailabilityZone(fmt.Sprintf("eu-north-%d", zone)),
		Peer:        netip.AddrPortFrom(addr, 7000),
		Operators:   netip.AddrPortFrom(addr, 7001),
		Incarnation: testIncarnation,
	}
}

func testInstances(zones, perZone int) (list []radishcrank.Instance) {
	for z := range zones {
		for i := range perZone {
			list = append(list, instance(z, i))
		}
	}
	return list
}

// newTracker returns a Tracker that listens on a network.
func newTracker(network *rcfakepeer.Network, self radishcrank.Instance, bootstrap ...netip.AddrPort) *Tracker {
	handlers := rcrpc.NewHandlers()
	host := network.NewHost(rcrpc.Identity{Instance: self.ID, Zone: self.Zone}, self.Peer, handlers)
	t := New(Config{Self: self, Board: rcboard.New(), Caller: host, Handlers: handlers, Bootstrap: bootstrap, Log: zerolog.Nop()})
	host.Listen()
	return t
}

// run runs Trackers until the returned function is called.
func run(trackers ...*Tracker) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for _, t := range trackers {
		wg.Go(func() { t.Run(ctx) })
	}
	return func() {
		cancel()
		wg.Wait()
	}
}

// exclude returns a list without an instance.
func exclude(list []radishcrank.Instance, id radishcrank.InstanceID) (kept []radishcrank.Instance) {
	for _, i := range list {
		if i.ID != id {
			kept = append(kept, i)
		}
	}
	return kept
}

// mergeRepeatedly merges the same listing every listInterval for span.
func mergeRepeatedly(t *Tracker, list []radishcrank.Instance, span time.Duration) {
	for begin := time.Now(); time.Since(begin) < span; time.Sleep(listInterval) {
		t.Merge(list)
	}
}

// phase is a time span in which the listing does not change or cannot be read.
type phase struct {
	down    bool
	missing []int
	span    time.Duration
}

func drawPhases(t *rapid.T, size int) (phases []phase) {
	for range rapid.IntRange(1, 12).Draw(t, "phases") {
		phases = append(phases, phase{
			down:    rapid.Bool().Draw(t, "down"),
			missing: rapid.SliceOfDistinct(rapid.IntRange(1, size-1), rapid.ID).Draw(t, "missing"),
			span:    time.Duration(rapid.IntRange(1, 60).Draw(t, "seconds")) * time.Second,
		})
	}
	return phases
}

// Guards against dead instances that are not detected, and listed instances that are
// considered dead. Also guards against deaths declared while the list is unreadable
// or briefly lacks an entry, and against a board that differs from IsDead.
func TestProperty(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		size := rapid.SampledFrom([]int{2, 3, 6, 9, 16}).Draw(rt, "size")
		phases := drawPhases(rt, size)
		fault := ""
		synctest.Test(t, func(*testing.T) { fault = runPhases(size, phases) })
		if fault != "" {
			rt.Fatalf("%d %+v: %s", size, phases, fault)
		}
	})
}

func runPhases(size int, phases []phase) string {
	list := testInstances(1, size)
	tracker := newTracker(rcfakepeer.New(), list[0])
	tracker.Merge(list)
	lastListed := make(map[radishcrank.InstanceID]time.Time) // Time of the last listing with the instance.
	lacked := make(map[radishcrank.InstanceID][]time.Time)   // Times of later listings without it.
	for _, i := range list {
		lastListed[i.ID] = time.Now()
	}
	for _, p := range phases {
		listing := list
		for _, i := range p.missing {
			listing = exclude(listing, list[i].ID)
		}
		for begin := time.Now(); time.Since(begin) < p.span; time.Sleep(listInterval) {
			if p.down {
				continue
			}
			tracker.Merge(listing)
			for _, i := range list {
				lacked[i.ID] = append(lacked[i.ID], time.Now())
			}
			for _, i := range listing {
				lastListed[i.ID], lacked[i.ID] = time.Now(), nil
			}
			if fault := checkDeaths(tracker, list[1:], lacked); fault != "" {
				return fault
			}
		}
	}
	return ""
}

// checkDeaths checks IsDead and the board against the listings that lacked each
// instance.
func checkDeaths(t *Tracker, others []radishcrank.Instance, lacked map[radishcrank.InstanceID][]time.Time) string {
	for _, i := range others {
		dead := t.IsDead(i.ID, i.Incarnation)
		_, onBoard := t.cfg.Board.Instances.Get(i.ID)
		listings := lacked[i.ID]
		switch {
		case dead == onBoard:
			return fmt.Sprintf("%s: IsDead is %t, on the board is %t", i.ID, dead, onBoard)
		case dead && len(listings) == 0:
			return fmt.Sprintf("%s is listed but considered dead", i.ID)
		case dead && time.Since(listings[0]) < deadAfter:
			return fmt.Sprintf("%s is considered dead %v after the first listing without it", i.ID, time.Since(listings[0]))
		case !dead && consecutiveSpan(listings) >= implausibleListTimeout+detectionTimeout:
			return fmt.Sprintf("%s has not been detected as dead for %v", i.ID, consecutiveSpan(listings))
		}
	}
	return ""
}

// consecutiveSpan returns the duration of the last run of listings without gaps above
// listInterval.
func consecutiveSpan(listings []time.Time) time.Duration {
	if len(listings) == 0 {
		return 0
	}
	last := len(listings) - 1
	first := last
	for first > 0 && listings[first].Sub(listings[first-1]) <= listInterval {
		first--
	}
	return listings[last].Sub(listings[first])
}

// Guards against a killed instance that is detected late or never. The small fleets
// have zones of one or two instances, in which deaths used to remain undetected; the
// large one has the design size.
func TestKilledInstanceIsDetected(t *testing.T) {
	for _, size := range []struct{ zones, perZone int }{{3, 2}, {4, 1}, {11, 34}} {
		synctest.Test(t, func(t *testing.T) {
			list := testInstances(size.zones, size.perZone)
			tracker := newTracker(rcfakepeer.New(), list[0])
			killed := list[1]
			mergeRepeatedly(tracker, list, 10*time.Second)
			require.Equal(t, len(list), tracker.cfg.Board.Instances.Len())
			require.False(t, tracker.IsDead(killed.ID, testIncarnation))
			mergeRepeatedly(tracker, exclude(list, killed.ID), detectionTimeout)
			require.True(t, tracker.IsDead(killed.ID, testIncarnation))
			require.Equal(t, len(list)-1, tracker.cfg.Board.Instances.Len())
		})
	}
}

// Guards against an instance that declares others dead while it cannot read the list,
// at the first listing after that, or because of a short run of empty listings.
func TestListOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		list := testInstances(3, 2)
		tracker := newTracker(rcfakepeer.New(), list[0])
		defer run(tracker)()
		tracker.Merge(list)
		time.Sleep(time.Hour)
		require.Equal(t, len(list), tracker.cfg.Board.Instances.Len())
		tracker.Merge(exclude(list, list[1].ID))
		require.False(t, tracker.IsDead(list[1].ID, testIncarnation), "only one listing lacks the instance")
		// Empty listings for 20 s, as by a fault of the platform.
		mergeRepeatedly(tracker, nil, 20*time.Second)
		require.Equal(t, len(list), tracker.cfg.Board.Instances.Len())
		mergeRepeatedly(tracker, list, 10*time.Second)
		for _, v := range tracker.Members() {
			require.Equal(t, StatusListed, v.Status)
		}
	})
}

// Guards against a process that is considered alive after its instance was restarted:
// its open calls would never be settled. The list may contain no incarnations, or
// lag behind the restart.
func TestRestartIsDetected(t *testing.T) {
	for _, listedIncarnation := range []radishcrank.Incarnation{0, testIncarnation} {
		synctest.Test(t, func(t *testing.T) {
			network := rcfakepeer.New()
			a, b := instance(0, 0), instance(0, 1)
			next := b
			next.Incarnation++
			trackers := []*Tracker{newTracker(network, a), newTracker(network, next)}
			defer run(trackers...)()
			b.Incarnation = listedIncarnation
			listed := []radishcrank.Instance{a, b}
			mergeRepeatedly(trackers[0], listed, 10*time.Second)
			synctest.Wait() // The check of this second has ended; IsDead asks for a query in the next one.
			require.False(t, trackers[0].IsDead(b.ID, next.Incarnation))
			require.False(t, trackers[0].IsDead(b.ID, testIncarnation), "the instance has not been queried yet")
			mergeRepeatedly(trackers[0], listed, 2*queryInterval)
			require.True(t, trackers[0].IsDead(b.ID, testIncarnation))
			require.False(t, trackers[0].IsDead(b.ID, next.Incarnation))
			row, ok := trackers[0].cfg.Board.Instances.Get(b.ID)
			require.True(t, ok)
			require.Equal(t, next.Incarnation, row.Incarnation, "the list must not revert the incarnation")
		})
	}
}

// Guards against an instance that keeps its old address when the list has a new one
// but no incarnation.
func TestMovedInstance(t *testing.T) {
	list := testInstances(1, 2)
	tracker := newTracker(rcfakepeer.New(), list[0])
	for i := range list {
		list[i].Incarnation = 0
	}
	tracker.Merge(list)
	list[1].Peer = instance(0, 9).Peer
	tracker.Merge(list)
	row, ok := tracker.cfg.Board.Instances.Get(list[1].ID)
	require.True(t, ok)
	require.Equal(t, list[1].Peer, row.Peer)
}

// Guards against an instance that starts while the list is unreachable and sees only
// itself: it would use the whole of each limit.
func TestStartWithoutList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := rcfakepeer.New()
		list := testInstances(3, 2)
		known := newTracker(network, list[1])
		known.Merge(list)
		started := newTracker(network, list[0], list[0].Peer, list[1].Peer, list[2].Peer)
		defer run(known, started)()
		time.Sleep(3 * time.Second)
		require.Equal(t, len(list), started.cfg.Board.Instances.Len())
	})
}

// Guards against an answer with all members that exceeds the message size.
func TestMembersAnswerSize(t *testing.T) {
	tracker := newTracker(rcfakepeer.New(), instance(0, 0))
	tracker.Merge(testInstances(11, 34))
	answer, err := tracker.answerMembers(t.Context(), rcrpc.Identity{}, membersRequest{All: true})
	require.NoError(t, err)
	require.Len(t, answer.Instances, maxMembers)
	frame, err := rcrpc.Encode(answer)
	require.NoError(t, err)
	require.Less(t, len(frame), rcrpc.MaxMessageBytes)
}

// Guards against a process of an unknown instance that is considered dead
// immediately, without a list, or never.
func TestUnknownProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		list := testInstances(1, 2)
		tracker := newTracker(rcfakepeer.New(), list[0])
		require.False(t, tracker.IsDead("long gone", 1))
		time.Sleep(2 * unknownDeadAfter)
		require.False(t, tracker.IsDead("long gone", 1), "no list has been read")
		mergeRepeatedly(tracker, list, 10*time.Second)
		require.True(t, tracker.IsDead("long gone", 1))
		require.False(t, tracker.IsDead("other", 1))
		require.False(t, tracker.IsDead(list[0].ID, testIncarnation))
		require.True(t, tracker.IsDead(list[0].ID, testIncarnation-1))
	})
}

// Guards against instances that disagree on the first ones of a zone, against a
// missing or leaving one that is not replaced, and against polls of peers that cannot
// have the data.
func TestFirstAndSourcePeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const readers = 2
		list := testInstances(2, 4)
		network := rcfakepeer.New()
		var zone []*Tracker
		for _, self := range list[:4] {
			zone = append(zone, newTracker(network, self))
		}
		first := func() (all []radishcrank.InstanceID) {
			for _, tracker := range zone {
				if tracker.IsAmongFirst(readers) {
					all = append(all, tracker.cfg.Self.ID)
				}
			}
			return all
		}
		merge := func(list []radishcrank.Instance) {
			for _, tracker := range zone {
				tracker.Merge(list)
			}
		}
		merge(list)
		before := first()
		require.Len(t, before, readers)
		for _, tracker := range zone {
			sources := tracker.SourcePeers(readers)
			require.NotContains(t, sources, tracker.cfg.Self.Peer)
			if !tracker.IsAmongFirst(readers) {
				require.Len(t, sources, 1)
				require.Contains(t, []netip.AddrPort{tracker.members[before[0]].instance.Peer, tracker.members[before[1]].instance.Peer}, sources[0])
				continue
			}
			require.Len(t, sources, 2)
			require.Contains(t, addressesOf(list[:4]), sources[0])
			require.Contains(t, addressesOf(list[4:]), sources[1])
		}
		// The next instance takes over as soon as one of the first is not listed.
		merge(exclude(list, before[0]))
		require.Len(t, first(), readers+1, "the instance missing from the list stays active")
		// A leaving instance is no longer among the first.
		for _, tracker := range zone {
			if tracker.cfg.Self.ID == before[1] {
				tracker.Leave()
				require.False(t, tracker.IsAmongFirst(readers))
			}
		}
		alone := newTracker(network, instance(5, 0), list[0].Peer)
		require.Equal(t, []netip.AddrPort{list[0].Peer}, alone.SourcePeers(readers))
		require.Empty(t, newTracker(network, instance(6, 0)).SourcePeers(readers))
	})
}

func addressesOf(list []radishcrank.Instance) (addrs []netip.AddrPort) {
	for _, i := range list {
		addrs = append(addrs, i.Peer)
	}
	return addrs
}
