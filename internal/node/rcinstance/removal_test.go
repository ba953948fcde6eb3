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
	"github.com/radishcrank/radishcrank/internal/state/rcera"
	"github.com/radishcrank/radishcrank/internal/state/rcfeed"
	"github.com/radishcrank/radishcrank/platform"
)

// newTestRegistry returns one instance's member registry on a fake store, and the set
// of names that it knows.
func newTestRegistry(t *testing.T, storeAddr netip.AddrPort, self member) (*memberRegistry, map[string]bool) {
	eras := &rcera.Tracker{}
	table := &platform.Table{Store: platform.NewStore(platform.StoreConfig{Addr: storeAddr, Eras: eras}), Name: membersTable}
	known := map[string]bool{}
	return newMemberRegistry(&memberRegistry{
		table: table, source: table, self: self,
		onPut:    func(m member) { known[m.Name] = true },
		onRemove: func(name string) { delete(known, name) },
		onReset:  func() {}, eras: eras, log: zerolog.Nop(),
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

// TestInstancesKnowEachOtherAfterRestore guards against instances that forget each other,
// or believe an earlier address, because the store came back from a copy without their
// rows: each would take the whole fleet's retry budget.
func TestInstancesKnowEachOtherAfterRestore(t *testing.T) {
	fake, store := startStore(t)
	earlier, _ := newTestRegistry(t, store, testMember("moved", 3, 1))
	require.NoError(t, earlier.register(t.Context()))
	time.Sleep(20 * time.Millisecond)
	copiedAt := time.Now()
	time.Sleep(20 * time.Millisecond)
	mine, known := newTestRegistry(t, store, testMember("a", 1, 1))
	other, _ := newTestRegistry(t, store, testMember("b", 2, 1))
	moved, _ := newTestRegistry(t, store, testMember("moved", 4, 2))
	for _, m := range []*memberRegistry{mine, other, moved} {
		require.NoError(t, m.register(t.Context()))
	}
	readAll(t, mine)
	require.Equal(t, map[string]bool{"b": true, "moved": true}, known)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- other.follow(ctx) }()
	require.Eventually(t, func() bool { return fake.Calls() >= 6 }, time.Second, time.Millisecond)

	fake.Restore(time.Since(copiedAt), 50*time.Millisecond, rcfakestore.None)
	a, err := mine.source.Read(t.Context(), membersTable)
	require.NoError(t, err)
	require.Len(t, a.Rows, 1)
	mine.applyReset(a.Rows, rcfeed.Provenance{Restored: true})
	require.Equal(t, map[string]bool{"b": true, "moved": true}, known)
	require.EqualValues(t, 4, mine.known["moved"].Peer.Port())
	<-mine.ownRowRemoved
	<-mine.keyInDoubt
	other.eras.Observe(a.Era) // As an answer to any other call shows it.
	select {
	case <-other.ownRowRemoved:
	case <-time.After(10 * time.Second):
		t.Fatal("the instance did not notice that its row was lost")
	}
	cancel()
	require.ErrorIs(t, <-done, context.Canceled)

	mine.applyRow(rcfeed.Row{Key: memberPrefix + "b", Value: []byte(`{"Name":"b","Peer":"127.0.0.1:2","Born":1}`)}, rcfeed.Provenance{})
	mine.dropMissing(time.Now().Add(reregistrationTime))
	require.Equal(t, map[string]bool{"b": true, "moved": true}, known, "both are listed again")
	mine.applyReset(nil, rcfeed.Provenance{Restored: true})
	mine.dropMissing(time.Now().Add(reregistrationTime))
	require.Empty(t, known, "instances that do not come back are dropped")
}

// TestSharedKeySurvivesRestore guards against instances that refuse each other for ever,
// because the store came back without their key and one that starts makes another.
func TestSharedKeySurvivesRestore(t *testing.T) {
	fake, store := startStore(t)
	copiedAt := time.Now()
	time.Sleep(20 * time.Millisecond)
	running, _ := newTestRegistry(t, store, testMember("a", 1, 1))
	key, err := running.sharedSecret(t.Context(), nil)
	require.NoError(t, err)

	fake.Restore(time.Since(copiedAt), 10*time.Millisecond, rcfakestore.None)
	stored, err := running.sharedSecret(t.Context(), key)
	require.NoError(t, err)
	require.Equal(t, key, stored)
	started, _ := newTestRegistry(t, store, testMember("b", 2, 1))
	stored, err = started.sharedSecret(t.Context(), nil)
	require.NoError(t, err)
	require.Equal(t, key, stored)

	fake.Restore(time.Since(copiedAt), 10*time.Millisecond, rcfakestore.None)
	started, _ = newTestRegistry(t, store, testMember("c", 3, 1))
	other, err := started.sharedSecret(t.Context(), nil)
	require.NoError(t, err)
	require.NotEqual(t, key, other)
	stored, err = running.sharedSecret(t.Context(), key)
	require.NoError(t, err)
	require.Equal(t, other, stored, "the key that is stored now is used beside the former one")
}

// TestSharedKeyIsLostBeforeFirstRead guards against a key that is never stored again,
// because the store came back without it after an instance had read it and before that
// instance read the members.
func TestSharedKeyIsLostBeforeFirstRead(t *testing.T) {
	fake, store := startStore(t)
	copiedAt := time.Now()
	time.Sleep(20 * time.Millisecond)
	registry, _ := newTestRegistry(t, store, testMember("a", 1, 1))
	_, err := registry.sharedSecret(t.Context(), nil)
	require.NoError(t, err)
	require.NoError(t, registry.register(t.Context()))
	fake.Restore(time.Since(copiedAt), 10*time.Millisecond, rcfakestore.None)
	go registry.follow(t.Context()) // Returns only when the context is done.
	select {
	case <-registry.keyInDoubt:
	case <-time.After(5 * time.Second):
		require.Fail(t, "the key is not written again")
	}
}
