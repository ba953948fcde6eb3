package rcinstance

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/state/rcfleet"
)

// withUpstreams gives a fleet of instances four upstreams of one zone and the
// store's clock.
func withUpstreams(all []*peers) {
	for _, p := range all {
		p.i.clock.Observe(time.Now())
		var entries []rcfleet.Entry
		for u := range 4 {
			entries = append(entries, rcfleet.Entry{Upstream: radishcrank.Upstream{
				ID: radishcrank.UpstreamID(fmt.Sprint("u", u)), Service: "s", Zone: "z1", Incarnation: 1,
			}})
		}
		p.i.fleet.Replace(entries)
		p.collectFindings()
	}
}

// loseExchange plays an exchange to u0 without an answer, while u1 answers.
func loseExchange(p *peers) {
	time.Sleep(2 * time.Millisecond) // The clocks of messages count whole milliseconds.
	run := p.i.fleet.Begin("u0", 0)
	time.Sleep(2 * time.Millisecond)
	p.i.fleet.Begin("u1", 0).End(rcfleet.Succeeded)
	run.End(rcfleet.Broken)
	p.next.Findings = p.next.Findings.join(p.collectFindings())
}

// settle exchanges findings until there are none left, as tell does in its rounds.
func settle(t *testing.T, all []*peers) (messages int) {
	for {
		sent := deliver(t, all)
		messages += sent
		found := false
		for _, p := range all {
			p.next.Findings = p.next.Findings.join(p.collectFindings())
			found = found || !p.next.Findings.empty()
		}
		if sent == 0 && !found {
			return messages
		}
	}
}

func leftAlone(all []*peers) (n int) {
	for _, p := range all {
		if s, _ := p.i.fleet.Get("u0"); s.Suspect {
			n++
		}
	}
	return n
}

// TestInstancesTellOfSilentUpstreams guards against instances that each lose an
// exchange to find out what two others have found (Riga grown scale-1), and
// against messages that grow with the square of the fleet.
func TestInstancesTellOfSilentUpstreams(t *testing.T) {
	for _, n := range []int{3, 6, 12, 13, 58, 300} {
		synctest.Test(t, func(t *testing.T) {
			all := fleetOf(n, 3)
			withUpstreams(all)
			loseExchange(all[n-1])
			require.LessOrEqual(t, settle(t, all), n+9, "%d instances", n)
			require.Equal(t, 1, leftAlone(all), "one instance's word is not enough")
			loseExchange(all[n-3])
			settle(t, all)
			require.Equal(t, n, leftAlone(all), "%d instances", n)

			time.Sleep(2 * time.Millisecond)
			all[n/2].i.fleet.Begin("u0", 0).End(rcfleet.Succeeded)
			require.LessOrEqual(t, settle(t, all), 3*n+9, "%d instances", n)
			require.LessOrEqual(t, leftAlone(all), 2, "%d instances: those that met its silence themselves", n)
		})
	}
}

// TestServedZoneContradictsOnce guards against a message for each instance that is
// served by an upstream which others can't reach.
func TestServedZoneContradictsOnce(t *testing.T) {
	synctest.Test(t, testServedZone)
}

func testServedZone(t *testing.T) {
	all := fleetOf(58, 3)
	withUpstreams(all)
	runs := make([]*rcfleet.Run, len(all))
	for i, p := range all {
		runs[i] = p.i.fleet.Begin("u0", 0)
	}
	loseExchange(all[4])
	loseExchange(all[8])
	time.Sleep(2 * time.Millisecond)
	for i := 20; i < len(all); i++ {
		runs[i].Heard()
	}
	settle(t, all)
	require.LessOrEqual(t, leftAlone(all), 2, "those that met its silence themselves")
	for _, p := range all {
		require.LessOrEqual(t, len(p.next.Findings.Refutations), 1)
	}
	var joined findings
	for range 100 {
		joined = joined.join(findings{Refutations: []refutation{{Upstream: "u0", Born: 1, At: 5}}})
	}
	require.Len(t, joined.Refutations, 1)
}

// TestFindingsNeedTheStoresClock guards against ages that are counted from the
// start of time, by an instance that has not heard from the store yet.
func TestFindingsNeedTheStoresClock(t *testing.T) {
	all := fleetOf(3, 1)
	withUpstreams(all)
	p := fleetOf(1, 1)[0]
	told := findings{Verdicts: []verdict{{Upstream: "u0", Born: 1}}, Claims: []claim{{Upstream: "u0", Born: 1, By: "a"}}}
	require.Empty(t, p.takeFindings(told, true))
	loseExchange(p)
	require.Empty(t, p.next.Findings)
}
