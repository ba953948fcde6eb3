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
	// findWithin is how long a dead instance may count as alive once the list has
	// dropped it.
	findWithin = 25 * time.Second
	// listPause is between two listings, as rcwatch reads them.
	listPause = time.Second
	// startOfTime is a typical incarnation: nanoseconds since 1970.
	startOfTime = 1764793000123456789
)

func instance(zone, i int) radishcrank.Instance {
	addr := netip.AddrFrom4([4]byte{10, byte(zone), byte(i / 200), byte(i%200 + 1)})
	return radishcrank.Instance{
		ID:          radishcrank.InstanceID(fmt.Sprintf("eu-north-%d-router-%d", zone, i)),
		Zone:        radishcrank.AvailabilityZone(fmt.Sprintf("eu-north-%d", zone)),
		Peer:        netip.AddrPortFrom(addr, 7000),
		Operators:   netip.AddrPortFrom(addr, 7001),
		Incarnation: startOfTime,
	}
}

func fleetOf(zones, perZone int) (list []radishcrank.Instance) {
	for z := range zones {
		for i := range perZone {
			list = append(list, instance(z, i))
		}
	}
	return list
}

// newTracker returns a tracker on a network.
func newTracker(network *rcfakepeer.Network, self radishcrank.Instance, bootstrap ...netip.AddrPort) *Tracker {
	handlers := rcrpc.NewHandlers()
	host := network.NewHost(rcrpc.Identity{Instance: self.ID, Zone: self.Zone}, self.Peer, handlers)
	t := New(Config{Self: self, Board: rcboard.New(), Caller: host, Handlers: handlers, Bootstrap: bootstrap, Log: zerolog.Nop()})
	host.Listen()
	return t
}

// run runs trackers until the returned function is called.
func run(trackers ...*Tracker) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	for _, t := range trackers {
		running.Go(func() { t.Run(ctx) })
	}
	return func() {
		cancel()
		running.Wait()
	}
}

// without returns a list that lacks an instance.
func without(list []radishcrank.Instance, id radishcrank.InstanceID) (kept []radishcrank.Instance) {
	for _, i := range list {
		if i.ID != id {
			kept = append(kept, i)
		}
	}
	return kept
}

// read merges a listing each second for a time.
func read(t *Tracker, list []radishcrank.Instance, span time.Duration) {
	for begin := time.Now(); time.Since(begin) < span; time.Sleep(listPause) {
		t.Merge(list)
	}
}

// phase is a time in which the list says the same, or cannot be read.
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

// Guards against dead instances that are never found, listed ones that are held
// dead, deaths declared while the list cannot be read or lacks an entry for a
// moment, and a board that differs from what is held alive.
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
	list := fleetOf(1, size)
	tracker := newTracker(rcfakepeer.New(), list[0])
	tracker.Merge(list)
	named := make(map[radishcrank.InstanceID]time.Time)    // Last listing that had it.
	lacked := make(map[radishcrank.InstanceID][]time.Time) // Listings since then without it.
	for _, i := range list {
		named[i.ID] = time.Now()
	}
	for _, p := range phases {
		listing := list
		for _, i := range p.missing {
			listing = without(listing, list[i].ID)
		}
		for begin := time.Now(); time.Since(begin) < p.span; time.Sleep(listPause) {
			if p.down {
				continue
			}
			tracker.Merge(listing)
			for _, i := range list {
				lacked[i.ID] = append(lacked[i.ID], time.Now())
			}
			for _, i := range listing {
				named[i.ID], lacked[i.ID] = time.Now(), nil
			}
			if fault := judge(tracker, list[1:], lacked); fault != "" {
				return fault
			}
		}
	}
	return ""
}

// judge compares what is held of each instance with the listings that lacked it.
func judge(t *Tracker, others []radishcrank.Instance, lacked map[radishcrank.InstanceID][]time.Time) string {
	for _, i := range others {
		dead := t.IsDead(i.ID, i.Incarnation)
		_, onBoard := t.cfg.Board.Instances.Get(i.ID)
		listings := lacked[i.ID]
		switch {
		case dead == onBoard:
			return fmt.Sprintf("%s: dead %t, on the board %t", i.ID, dead, onBoard)
		case dead && len(listings) == 0:
			return fmt.Sprintf("%s is listed and held dead", i.ID)
		case dead && time.Since(listings[0]) < deadAfter:
			return fmt.Sprintf("%s is held dead %v after the first listing without it", i.ID, time.Since(listings[0]))
		case !dead && unbroken(listings) >= doubtFor+findWithin:
			return fmt.Sprintf("%s has not been found dead for %v", i.ID, unbroken(listings))
		}
	}
	return ""
}

// unbroken returns for how long a listing came each second up to now.
func unbroken(listings []time.Time) time.Duration {
	if len(listings) == 0 {
		return 0
	}
	last := len(listings) - 1
	first := last
	for first > 0 && listings[first].Sub(listings[first-1]) <= listPause {
		first--
	}
	return listings[last].Sub(listings[first])
}

// Guards against a killed instance that is found late or never,
// in zones of the sizes of today, where nobody dared to declare a death, and at
// the size to design for.
func TestKilledInstanceIsFound(t *testing.T) {
	for _, size := range []struct{ zones, perZone int }{{3, 2}, {4, 1}, {11, 34}} {
		synctest.Test(t, func(t *testing.T) {
			list := fleetOf(size.zones, size.perZone)
			tracker := newTracker(rcfakepeer.New(), list[0])
			victim := list[1]
			read(tracker, list, 10*time.Second)
			require.Equal(t, len(list), tracker.cfg.Board.Instances.Len())
			require.False(t, tracker.IsDead(victim.ID, startOfTime))
			read(tracker, without(list, victim.ID), findWithin)
			require.True(t, tracker.IsDead(victim.ID, startOfTime))
			require.Equal(t, len(list)-1, tracker.cfg.Board.Instances.Len())
		})
	}
}

// Guards against an availability zone that is cut off from the platform and
// gives up instances, or one that does so as soon as the list can be read again.
func TestCutOffKillsNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		list := fleetOf(3, 2)
		tracker := newTracker(rcfakepeer.New(), list[0])
		defer run(tracker)()
		tracker.Merge(list)
		time.Sleep(time.Hour)
		require.Equal(t, len(list), tracker.cfg.Board.Instances.Len())
		tracker.Merge(without(list, list[1].ID))
		require.False(t, tracker.IsDead(list[1].ID, startOfTime), "one listing after an hour")
		// A fault of the platform empties the list for a while.
		read(tracker, nil, 20*time.Second)
		require.Equal(t, len(list), tracker.cfg.Board.Instances.Len())
		read(tracker, list, 10*time.Second)
		for _, v := range tracker.Members() {
			require.Equal(t, StatusListed, v.Status)
		}
	})
}

// Guards against a process that counts as alive although its instance has been
// restarted: its open calls would never be settled. The list need not tell
// incarnations, and may lag behind the restart.
func TestRestartIsNoticed(t *testing.T) {
	for _, told := range []radishcrank.Incarnation{0, startOfTime} {
		synctest.Test(t, func(t *testing.T) {
			network := rcfakepeer.New()
			a, b := instance(0, 0), instance(0, 1)
			next := b
			next.Incarnation++
			trackers := []*Tracker{newTracker(network, a), newTracker(network, next)}
			defer run(trackers...)()
			b.Incarnation = told
			listed := []radishcrank.Instance{a, b}
			read(trackers[0], listed, 10*time.Second)
			require.False(t, trackers[0].IsDead(b.ID, next.Incarnation))
			require.False(t, trackers[0].IsDead(b.ID, startOfTime), "not known yet")
			read(trackers[0], listed, 2*inquireInterval)
			require.True(t, trackers[0].IsDead(b.ID, startOfTime))
			require.False(t, trackers[0].IsDead(b.ID, next.Incarnation))
			row, ok := trackers[0].cfg.Board.Instances.Get(b.ID)
			require.True(t, ok)
			require.Equal(t, next.Incarnation, row.Incarnation, "the list reverts nothing")
		})
	}
}

// Guards against an instance that stays at the address of the process before it.
func TestMovedInstance(t *testing.T) {
	list := fleetOf(1, 2)
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

// Guards against an instance that starts while the list is out of reach and
// counts itself alone, which would let it use the whole of each limit.
func TestStartWithoutList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := rcfakepeer.New()
		list := fleetOf(3, 2)
		known := newTracker(network, list[1])
		known.Merge(list)
		started := newTracker(network, list[0], list[0].Peer, list[1].Peer, list[2].Peer)
		defer run(known, started)()
		time.Sleep(3 * time.Second)
		require.Equal(t, len(list), started.cfg.Board.Instances.Len())
	})
}

// Guards against answers with all members that do not fit a message.
func TestMembersFitAMessage(t *testing.T) {
	tracker := newTracker(rcfakepeer.New(), instance(0, 0))
	tracker.Merge(fleetOf(11, 34))
	answer, err := tracker.answerMembers(t.Context(), rcrpc.Identity{}, membersRequest{All: true})
	require.NoError(t, err)
	require.Len(t, answer.Instances, maxMembers)
	frame, err := rcrpc.Encode(answer)
	require.NoError(t, err)
	require.Less(t, len(frame), rcrpc.MaxMessageBytes)
}

// Guards against a process of which nobody has heard that is never held dead, or
// at once.
func TestUnknownProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		list := fleetOf(1, 2)
		tracker := newTracker(rcfakepeer.New(), list[0])
		require.False(t, tracker.IsDead("long gone", 1))
		time.Sleep(2 * unknownDeadAfter)
		require.False(t, tracker.IsDead("long gone", 1), "no list was read")
		read(tracker, list, 10*time.Second)
		require.True(t, tracker.IsDead("long gone", 1))
		require.False(t, tracker.IsDead("other", 1))
		require.False(t, tracker.IsDead(list[0].ID, startOfTime))
		require.True(t, tracker.IsDead(list[0].ID, startOfTime-1))
	})
}

// Guards against duties of a zone that nobody takes over, or that instances see
// with different holders, and against questions to peers that cannot answer.
func TestFirstAndSource(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const duties = 2
		list := fleetOf(2, 4)
		network := rcfakepeer.New()
		var zone []*Tracker
		for _, self := range list[:4] {
			zone = append(zone, newTracker(network, self))
		}
		holders := func() (all []radishcrank.InstanceID) {
			for _, k := range zone {
				if k.IsAmongFirst(duties) {
					all = append(all, k.cfg.Self.ID)
				}
			}
			return all
		}
		merge := func(list []radishcrank.Instance) {
			for _, k := range zone {
				k.Merge(list)
			}
		}
		merge(list)
		before := holders()
		require.Len(t, before, duties)
		for _, k := range zone {
			sources := k.SourcePeers(duties)
			require.NotContains(t, sources, k.cfg.Self.Peer)
			if !k.IsAmongFirst(duties) {
				require.Len(t, sources, 1)
				require.Contains(t, []netip.AddrPort{k.members[before[0]].instance.Peer, k.members[before[1]].instance.Peer}, sources[0])
				continue
			}
			require.Len(t, sources, 2)
			require.Contains(t, addressesOf(list[:4]), sources[0])
			require.Contains(t, addressesOf(list[4:]), sources[1])
		}
		// The next one takes over as soon as the list lacks a holder.
		merge(without(list, before[0]))
		require.Len(t, holders(), duties+1, "the one that the list lacks goes on")
		// An instance that stops leaves its duties to others once they are told.
		for _, k := range zone {
			if k.cfg.Self.ID == before[1] {
				k.Leave()
				require.False(t, k.IsAmongFirst(duties))
			}
		}
		alone := newTracker(network, instance(5, 0), list[0].Peer)
		require.Equal(t, []netip.AddrPort{list[0].Peer}, alone.SourcePeers(duties))
		require.Empty(t, newTracker(network, instance(6, 0)).SourcePeers(duties))
	})
}

func addressesOf(list []radishcrank.Instance) (addrs []netip.AddrPort) {
	for _, i := range list {
		addrs = append(addrs, i.Peer)
	}
	return addrs
}
