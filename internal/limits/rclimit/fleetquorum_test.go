package rclimit

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// partitioned runs a fleet of which a third is partitioned off after 4 s, and returns which
// fraction of its demand each side was admitted from 13 s to 21 s. age changes what is sent.
func partitioned(n int, majority, minority float64, age func(r *UsageReport)) (admitted [2]float64) {
	const rate = 900_000
	s := newFleetSim(n, 3, FleetRate{rate, rate})
	s.change = age
	offered := [2]float64{}
	for step := range simSeconds(21) {
		s.step()
		if step == simSeconds(4) {
			s.fail("a third", 1)
		}
		for _, node := range s.nodes {
			side, before, asked := node.zone%2, s.admitted, s.offered
			demand := []float64{majority * 3 / 2, minority * 3}[side] * rate / float64(n)
			s.ask(node, demand, []float64{870})
			if step > simSeconds(13) {
				admitted[side] += s.admitted - before
				offered[side] += s.offered - asked
			}
		}
	}
	return [2]float64{admitted[0] / offered[0], admitted[1] / offered[1]}
}

// TestMajorityUsesTheRest guards against a majority that is held to its equal share of two
// thirds of the limit, and a minority that is admitted less than its usual demand.
func TestMajorityUsesTheRest(t *testing.T) {
	for _, n := range []int{3, 12, 88} {
		admitted := partitioned(n, 0.76, 0.56/3, nil)
		t.Logf("%d instances: %.3f of the majority's demand, %.3f of the minority's", n, admitted[0], admitted[1])
		require.Greater(t, admitted[0], 0.98, "%d instances", n)
		require.Greater(t, admitted[1], 0.95, "%d instances", n)

		admitted = partitioned(n, 1.5, 0.8, nil)
		require.InDelta(t, 0.8, 1.5*admitted[0], 0.06, "%d instances", n)
		require.InDelta(t, 0.2, 0.8*admitted[1], 0.03, "%d instances", n)
	}
}

// TestMajorityWithOlderPrograms guards against a majority that uses the share of instances whose
// program does not know that it is in a minority, and against programs that disagree for good.
func TestMajorityWithOlderPrograms(t *testing.T) {
	for _, n := range []int{12, 88} {
		admitted := partitioned(n, 1.5, 0.8, func(r *UsageReport) {
			if r.From == "i1" {
				r.Set, r.View = 0, 0
			}
		})
		require.Less(t, 1.5*admitted[0], 0.70, "%d instances", n)
	}
	now := time.Unix(1_800_000_000, 0)
	q := quorum{}
	q.heard(abstains, now)
	q.update(9, true, 3, 3, now.Add(relayMemory))
	require.False(t, q.blocked)
}

// TestQuorumShares guards against shares whose sum exceeds the limit while the sides detect a
// partition at different times.
func TestQuorumShares(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	for late := time.Duration(0); late <= time.Second; late += 100 * time.Millisecond {
		var one, other, split quorum
		for at := time.Duration(0); at < 12*time.Second; at += 50 * time.Millisecond {
			now := start.Add(at)
			one.update(5, true, 60, 100, now)
			if at < late {
				continue
			}
			other.update(6, true, 40, 100, now)
			split.update(7, false, 60, 100, now) // Its members do not agree.
			first, second, third := 1-0.4*one.silentScale, 1-0.6*other.silentScale, 1-0.4*split.silentScale
			require.InDelta(t, minorityFraction*0.4, second, 1e-9)
			require.LessOrEqual(t, first+second, 1+1e-9)
			require.LessOrEqual(t, third, 0.6+1e-9)
			if first > 0.6+1e-9 {
				require.InDelta(t, minorityFraction*0.6, third, 1e-9, "a majority grew before one that disagrees had shrunk")
			}
		}
		require.InDelta(t, 1-minorityFraction*0.4, 1-0.4*one.silentScale, 1e-9)
	}
}

// TestReportKeepsViews guards against views that the encoding loses or adds to entries.
func TestReportKeepsViews(t *testing.T) {
	for _, r := range []UsageReport{
		{Zone: "z", From: "i", Number: 3, Set: 1<<instanceSetBits - 1, View: 77, Entries: []UsageEntry{{5, 900, 3, 4}, {1 << 31, 899, 7, 7}}},
		{Zone: "z", From: "i", Number: 3, View: abstains},
		{Zone: "z", From: "i", Number: 3, Entries: []UsageEntry{{5, 900, 3, 4}}},
	} {
		text, err := r.MarshalText()
		require.NoError(t, err)
		var read UsageReport
		require.NoError(t, read.UnmarshalText(text))
		require.Equal(t, r, read)
	}
}
