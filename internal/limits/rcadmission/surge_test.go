package rcadmission

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestDisturbancesAreShared replays what makes a shortage for some of the callers. It guards
// against an account, class or size that is starved, and against decisions that serve fewer
// in time than today. The hot part and the zone that is gone leave fewer engines, the other
// disturbances come with a burst.
func TestDisturbancesAreShared(t *testing.T) {
	for name, load := range map[string]replayLoad{
		"account":   {burst: 1, surge: 7},
		"moved":     {burst: 1.7, moved: true},
		"zone gone": {burst: 1, zoneGone: true},
		"hot key":   {burst: 1.7, hotKey: true},
		"impatient": {burst: 1.7, impatient: true},
	} {
		for _, load.instances = range []int{3, 12, 88} {
			today, now := load.run(policy{}), load.run(complete)
			t.Logf("%s, %d instances: today %v; now %v", name, load.instances, today, now)
			require.Greater(t, now.inTime(), today.inTime(), name)
			now.requireFair(t)
		}
	}
}

// TestSurgePaysFirst guards against an account with seven times its usual demand that makes
// all others late.
func TestSurgePaysFirst(t *testing.T) {
	others := func(r replayResult) tally {
		all, a := r.classes["all"], r.classes["account 0"]
		return tally{sent: all.sent - a.sent, inTime: all.inTime - a.inTime, late: all.late - a.late, refused: all.refused - a.refused, gone: all.gone - a.gone}
	}
	for _, instances := range []int{3, 12} {
		load := replayLoad{instances: instances, burst: 1, surge: 7}
		alike := complete
		alike.payFirst = false
		without, with := load.run(alike), load.run(complete)
		t.Logf("%d instances, others: %+v, %+v; account: %+v, %+v", instances, others(without), others(with), without.classes["account 0"], with.classes["account 0"])
		require.Greater(t, others(with).inTime, others(without).inTime)
		with.requireFair(t)
	}
}
