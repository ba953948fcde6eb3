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

// newTestRegistry returns one instance's member registry on a fake store, and the set
// of names that it knows.
func newTestRegistry(t *testing.T, storeAddr netip.AddrPort, self member) (*memberRegistry, map[string]bool) {
	table := &platform.Table{Store: platform.NewStore(platform.StoreConfig{Addr: storeAddr}), Name: membersTable}
	known := map[string]bool{}
	return newMemberRegistry(memberRegistry{
		table: table, source: table, self: self,
		onPut:    func(m member) { known[m.Name] = true },
		onRemove: func(name string) { delete(known, name) },
		onReset:  func() {}, log: zerolog.Nop(),
	}), known
}

func testMember(name string, port uint16, born int64) member {
	return member{Name: name, Zone: "z0", Peer: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), port), Born: born}
}

func startStore(t *testing.T) (*rcfakestore.Store, netip.AddrPort) {
	fake := rcfakestore.New()
	server := httptest.NewServer(fake)
	t.Cleanup(server.Close)
	return fake, netip.MustParseAddrPort(server.Listener.Addr().String())
}

// readAll reads and applies the whole table, as follow does when it starts.
func readAll(t *testing.T, m *memberRegistry) {
	a, err := m.source.Read(t.Context(), membersTable)
	require.NoError(t, err)
	m.applyReset(a.Rows, rcfeed.Provenance{})
}

// TestRowsOfDeadInstancesAreRemoved guards against a table that grows with each
// replaced instance, and against the removal of an instance that was restarted.
func TestRowsOfDeadInstancesAreRemoved(t *testing.T) {
	_, store := startStore(t)
	mine, known := newTestRegistry(t, store, testMember("a", 1, 1))
	dead, _ := newTestRegistry(t, store, testMember("gone", 2, 1))
	restarted, _ := newTestRegistry(t, store, testMember("restarted", 3, 1))
	for _, m := range []*memberRegistry{mine, dead, restarted} {
		require.NoError(t, m.register(t.Context()))
	}
	readAll(t, mine)
	require.Equal(t, map[string]bool{"gone": true, "restarted": true}, known)

	again, _ := newTestRegistry(t, store, testMember("restarted", 4, 2))
	require.NoError(t, again.register(t.Context()))
	mine.removeRow(t.Context(), dead.self)
	mine.removeRow(t.Context(), restarted.self)
	readAll(t, mine)
	require.Equal(t, map[string]bool{"restarted": true}, known)
}

// TestRemovedInstanceRegistersAgain guards against a running instance that the others
// no longer know after its row was removed while none of them reached it.
func TestRemovedInstanceRegistersAgain(t *testing.T) {
	_, store := startStore(t)
	mine, known := newTestRegistry(t, store, testMember("a", 1, 1))
	cutOff, _ := newTestRegistry(t, store, testMember("cut", 2, 1))
	for _, m := range []*memberRegistry{mine, cutOff} {
		require.NoError(t, m.register(t.Context()))
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- cutOff.follow(ctx) }()
	mine.removeRow(t.Context(), cutOff.self)
	select {
	case <-cutOff.ownRowRemoved:
	case <-time.After(20 * time.Second):
		t.Fatal("the instance did not notice that its row was removed")
	}
	cancel()
	require.True(t, errors.Is(<-done, context.Canceled))
	require.NoError(t, cutOff.register(t.Context()))
	readAll(t, mine)
	require.True(t, known["cut"])
}

// TestRowAtOwnAddressIsReplaced guards against calls to a dead instance that reach the
// instance which got its address, and count as calls to both.
func TestRowAtOwnAddressIsReplaced(t *testing.T) {
	_, store := startStore(t)
	old, _ := newTestRegistry(t, store, testMember("old", 7, 1))
	mine, known := newTestRegistry(t, store, testMember("new", 7, 2))
	for _, m := range []*memberRegistry{old, mine} {
		require.NoError(t, m.register(t.Context()))
	}
	readAll(t, mine)
	require.Empty(t, known)
	replaced, ok := mine.takeReplaced()
	require.True(t, ok)
	mine.removeRow(t.Context(), replaced)
	other, known := newTestRegistry(t, store, testMember("c", 8, 1))
	readAll(t, other)
	require.Equal(t, map[string]bool{"new": true}, known)
}

// TestResetForgetsRemovedRows guards against instances that are counted forever because
// they were removed while the change history was lost.
func TestResetForgetsRemovedRows(t *testing.T) {
	m, known := newTestRegistry(t, netip.AddrPort{}, testMember("a", 1, 1))
	row := func(name string, port uint16) rcfeed.Row {
		value, err := json.Marshal(testMember(name, port, 1))
		require.NoError(t, err)
		return rcfeed.Row{Key: memberPrefix + name, Value: value}
	}
	m.applyReset([]rcfeed.Row{row("b", 2), row("c", 3)}, rcfeed.Provenance{})
	m.applyReset([]rcfeed.Row{row("c", 3)}, rcfeed.Provenance{})
	require.Equal(t, map[string]bool{"c": true}, known)
}

// TestPresumedDead guards against removals by an instance that is cut off or was
// frozen, and against the removal of instances that were cut off for an hour.
func TestPresumedDead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPeerGroups(3, 1)[0]
		lost, other := p.members["i01"], p.members["i02"]
		failed := errors.New("no answer")
		call := func(d time.Duration, reachesOther bool) {
			for end := time.Now().Add(d); time.Now().Before(end); {
				time.Sleep(3 * time.Second)
				lost.recordCall(failed, time.Now())
				if reachesOther {
					other.recordCall(nil, time.Now())
				}
			}
		}
		dead := func() bool {
			_, ok := p.deadMemberLocked(time.Now())
			return ok
		}
		call(65*time.Minute, true)
		require.False(t, dead(), "after it was cut off for an hour")
		call(30*time.Minute, true)
		require.True(t, dead())
		call(time.Minute, false)
		require.False(t, dead(), "by an instance that reaches no other one")
		lost.recordCall(nil, time.Now())
		other.recordCall(nil, time.Now())
		require.False(t, dead(), "after it was reached")

		call(time.Minute, true)
		time.Sleep(2 * removalAge) // Frozen.
		call(time.Minute, true)
		require.False(t, dead(), "by an instance that was frozen")
	})
}

// TestDeadInstancesDoNotHideRelay guards against a zone whose relay is never found
// because dead instances rank higher. With seven or more of them, the first was retried
// before the last one had failed.
func TestDeadInstancesDoNotHideRelay(t *testing.T) {
	for _, dead := range []int{0, 3, 7, 15} {
		synctest.Test(t, func(t *testing.T) {
			p := newPeerGroups(30, 3)[0]
			for n := range dead {
				name := fmt.Sprint("gone", n)
				p.members[name] = &peer{member: member{Name: name, Zone: "z1", CPU: 4}}
			}
			start := time.Now()
			for p.relayForLocked("z1").CPU == 4 {
				require.Less(t, time.Since(start), 30*time.Second, "%d dead instances", dead)
				relay := p.relayForLocked("z1")
				time.Sleep(updateTimeout)
				relay.recordCall(errors.New("no answer"), time.Now())
			}
		})
	}
}
