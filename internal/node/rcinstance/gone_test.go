package rcinstance

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http/httptest"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/radishcrank/radishcrank/internal/standin/rcfakestore"
	"github.com/radishcrank/radishcrank/internal/state/rcfeed"
	"github.com/radishcrank/radishcrank/platform"
)

// rosterOf returns the members' table of one instance on a stand-in store, and
// the names that it knows.
func rosterOf(t *testing.T, storeAddr netip.AddrPort, self member) (*members, map[string]bool) {
	table := &platform.Table{Store: platform.NewStore(platform.StoreConfig{Addr: storeAddr}), Name: membersTable}
	known := map[string]bool{}
	return newMembers(members{
		table: table, source: table, self: self,
		put:  func(m member) { known[m.Name] = true },
		drop: func(name string) { delete(known, name) },
		read: func() {}, log: zerolog.Nop(),
	}), known
}

func instanceAt(name string, port uint16, born int64) member {
	return member{Name: name, Zone: "z0", Peer: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), port), Born: born}
}

func startStore(t *testing.T) (*rcfakestore.Store, netip.AddrPort) {
	fake := rcfakestore.New()
	server := httptest.NewServer(fake)
	t.Cleanup(server.Close)
	return fake, netip.MustParseAddrPort(server.Listener.Addr().String())
}

// readAll takes in the whole table, as follow does at its start.
func readAll(t *testing.T, m *members) {
	a, err := m.source.Read(t.Context(), membersTable)
	require.NoError(t, err)
	m.reset(a.Rows, rcfeed.Provenance{})
}

// TestRowsOfGoneInstancesAreRemoved guards against a table that grows with each
// replaced instance, and against the removal of one that has started again.
func TestRowsOfGoneInstancesAreRemoved(t *testing.T) {
	_, store := startStore(t)
	mine, known := rosterOf(t, store, instanceAt("a", 1, 1))
	gone, _ := rosterOf(t, store, instanceAt("gone", 2, 1))
	restarted, _ := rosterOf(t, store, instanceAt("restarted", 3, 1))
	for _, m := range []*members{mine, gone, restarted} {
		require.NoError(t, m.register(t.Context()))
	}
	readAll(t, mine)
	require.Equal(t, map[string]bool{"gone": true, "restarted": true}, known)

	again, _ := rosterOf(t, store, instanceAt("restarted", 4, 2))
	require.NoError(t, again.register(t.Context()))
	mine.remove(t.Context(), gone.self)
	mine.remove(t.Context(), restarted.self)
	readAll(t, mine)
	require.Equal(t, map[string]bool{"restarted": true}, known)
}

// TestRemovedInstanceComesBack guards against an instance that lives, whose row
// was removed while nobody reached it, and that nobody knows from then on.
func TestRemovedInstanceComesBack(t *testing.T) {
	_, store := startStore(t)
	mine, known := rosterOf(t, store, instanceAt("a", 1, 1))
	cut, _ := rosterOf(t, store, instanceAt("cut", 2, 1))
	for _, m := range []*members{mine, cut} {
		require.NoError(t, m.register(t.Context()))
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- cut.follow(ctx) }()
	mine.remove(t.Context(), cut.self)
	select {
	case <-cut.removed:
	case <-time.After(20 * time.Second):
		t.Fatal("the instance does not see that its row is gone")
	}
	cancel()
	require.True(t, errors.Is(<-done, context.Canceled))
	require.NoError(t, cut.register(t.Context()))
	readAll(t, mine)
	require.True(t, known["cut"])
}

// TestRowAtOwnAddressIsReplaced guards against calls to a gone instance that reach
// the one which got its address, and count as calls to both.
func TestRowAtOwnAddressIsReplaced(t *testing.T) {
	_, store := startStore(t)
	old, _ := rosterOf(t, store, instanceAt("old", 7, 1))
	mine, known := rosterOf(t, store, instanceAt("new", 7, 2))
	for _, m := range []*members{old, mine} {
		require.NoError(t, m.register(t.Context()))
	}
	readAll(t, mine)
	require.Empty(t, known)
	gone, ok := mine.takeReplaced()
	require.True(t, ok)
	mine.remove(t.Context(), gone)
	other, known := rosterOf(t, store, instanceAt("c", 8, 1))
	readAll(t, other)
	require.Equal(t, map[string]bool{"new": true}, known)
}

// TestResetForgetsRemovedRows guards against instances that were removed while the
// history of changes was lost, and are counted for ever.
func TestResetForgetsRemovedRows(t *testing.T) {
	m, known := rosterOf(t, netip.AddrPort{}, instanceAt("a", 1, 1))
	row := func(name string, port uint16) rcfeed.Row {
		value, err := json.Marshal(instanceAt(name, port, 1))
		require.NoError(t, err)
		return rcfeed.Row{Key: memberPrefix + name, Value: value}
	}
	m.reset([]rcfeed.Row{row("b", 2), row("c", 3)}, rcfeed.Provenance{})
	m.reset([]rcfeed.Row{row("c", 3)}, rcfeed.Provenance{})
	require.Equal(t, map[string]bool{"c": true}, known)
}

// TestOnlyLongLostInstancesAreGone guards against removals by an instance that is
// cut off or was frozen, and of instances that a cut of an hour hides.
func TestOnlyLongLostInstancesAreGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := fleetOf(3, 1)[0]
		lost, other := p.members["i01"], p.members["i02"]
		failed := errors.New("no answer")
		call := func(d time.Duration, reachesOther bool) {
			for end := time.Now().Add(d); time.Now().Before(end); {
				time.Sleep(3 * time.Second)
				lost.reached(failed, time.Now())
				if reachesOther {
					other.reached(nil, time.Now())
				}
			}
		}
		gone := func() bool {
			_, ok := p.goneLocked(time.Now())
			return ok
		}
		call(65*time.Minute, true)
		require.False(t, gone(), "after a cut of an hour")
		call(30*time.Minute, true)
		require.True(t, gone())
		call(time.Minute, false)
		require.False(t, gone(), "by an instance that reaches none")
		lost.reached(nil, time.Now())
		other.reached(nil, time.Now())
		require.False(t, gone(), "after it was reached")

		call(time.Minute, true)
		time.Sleep(2 * goneAfter) // Frozen.
		call(time.Minute, true)
		require.False(t, gone(), "by an instance that was frozen")
	})
}

// TestGoneInstancesDoNotHideTheRelay guards against a zone whose relay is never
// found behind stronger instances that are gone, of which the first was tried again
// before the last had failed: from seven of them on.
func TestGoneInstancesDoNotHideTheRelay(t *testing.T) {
	for _, gone := range []int{0, 3, 7, 15} {
		synctest.Test(t, func(t *testing.T) {
			p := fleetOf(30, 3)[0]
			for n := range gone {
				name := fmt.Sprint("gone", n)
				p.members[name] = &peer{member: member{Name: name, Zone: "z1", CPU: 4}}
			}
			begun := time.Now()
			for p.relayOfLocked("z1").CPU == 4 {
				require.Less(t, time.Since(begun), 30*time.Second, "%d are gone", gone)
				relay := p.relayOfLocked("z1")
				time.Sleep(newsTimeout)
				relay.reached(errors.New("no answer"), time.Now())
			}
		})
	}
}
