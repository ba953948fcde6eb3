package rcquota

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/radishcrank/radishcrank"
)

var upstream = radishcrank.Upstream{ID: "u1", Incarnation: 7}

// newFleet returns the quotas of n instances that know each other. Observations reach
// the others at once.
func newFleet(n int, known func(i, other int) bool) (fleet []*Quota) {
	name := func(i int) radishcrank.InstanceID { return radishcrank.InstanceID(fmt.Sprint("edge-", i)) }
	start := time.Now()
	for i := range n {
		var others []radishcrank.InstanceID
		for o := range n {
			if o != i && known(i, o) {
				others = append(others, name(o))
			}
		}
		fleet = append(fleet, New(Config{
			Instance: name(i),
			Now:      func() time.Time { return time.UnixMilli(0).Add(time.Since(start)) },
			Others:   func() ([]radishcrank.InstanceID, bool) { return others, true },
			Announce: func(o Observation) {
				for k, q := range fleet {
					if k != i {
						q.Merge(o)
					}
				}
			},
		}))
	}
	return fleet
}

func all(int, int) bool { return true }

// sendEagerly lets each instance send as often as it may for a time, and returns the
// times of the requests.
func sendEagerly(fleet []*Quota, length time.Duration) (sent []time.Time) {
	for start := time.Now(); time.Since(start) < length; time.Sleep(25 * time.Millisecond) {
		for _, q := range fleet {
			for q.Take(upstream) {
				sent = append(sent, time.Now())
			}
		}
	}
	return sent
}

// mostIn returns the largest number of requests in any window.
func mostIn(window time.Duration, sent []time.Time) (most int) {
	first := 0
	for i, at := range sent {
		for at.Sub(sent[first]) >= window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

const judgedWindow = 4 * time.Second

// allowed returns how many requests the platform's LIMIT rule allows in judgedWindow.
func allowed(rate float64) float64 { return 1.5*rate*judgedWindow.Seconds() + 5 }

// TestFleetExceedsRateLimit guards against instances that each keep to a limit and
// exceed it together, in fleets of any size.
func TestFleetExceedsRateLimit(t *testing.T) {
	for _, n := range []int{1, 6, 60, 370} {
		for _, rate := range []float64{0, 0.3, 1, 3.1, 40, 1000} {
			t.Run(fmt.Sprint(n, " instances, ", rate), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					fleet := newFleet(n, all)
					fleet[0].Observe(upstream, &rate, time.Now())
					sent := sendEagerly(fleet, 10*time.Second)
					require.LessOrEqual(t, float64(mostIn(judgedWindow, sent)), allowed(rate))
					require.GreaterOrEqual(t, float64(len(sent)), rate*10*0.9-1, "the limit is not used")
				})
			})
		}
	}
}

// TestChangedLimitAddsPermits guards against permits that add up while a limit changes
// often, or is announced differently to the instances.
func TestChangedLimitAddsPermits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(6, all)
		var sent []time.Time
		for i := range 100 {
			rate := []float64{1, 1.1, 0.9}[i%3]
			fleet[i%6].Observe(upstream, &rate, time.Now())
			sent = append(sent, sendEagerly(fleet, 100*time.Millisecond)...)
		}
		require.LessOrEqual(t, float64(mostIn(judgedWindow, sent)), allowed(0.9))
	})
}

// TestUnknownMembersAddPermits guards against an instance that has not heard of all
// others and takes their share besides.
func TestUnknownMembersAddPermits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const rate = 3.1
		limit := rate
		// The last one of 60 has just started: 10 do not know it, and it has read no rows.
		fleet := newFleet(60, func(i, other int) bool { return i > 10 || other < 59 })
		fleet[59].cfg.Others = func() ([]radishcrank.InstanceID, bool) { return nil, false }
		fleet[0].Observe(upstream, &limit, time.Now())
		require.LessOrEqual(t, float64(mostIn(judgedWindow, sendEagerly(fleet, 10*time.Second))), allowed(rate))
		require.False(t, fleet[59].Take(upstream), "it would take the share of all")
	})
}

// TestLimitIsAnnouncedOnce guards against a message for each answer, and against
// instances that hear of a limit only from their own requests.
func TestLimitIsAnnouncedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet, announced := newFleet(2, all), 0
		fleet[0].cfg.Announce = func(Observation) { announced++ }
		for range 10 {
			rate := 2.0
			fleet[0].Observe(upstream, &rate, time.Now())
			time.Sleep(10 * time.Millisecond)
		}
		require.Equal(t, 1, announced)
		time.Sleep(announceInterval)
		rate := 2.0
		fleet[0].Observe(upstream, &rate, time.Now())
		require.Equal(t, 2, announced, "an instance that has just started does not hear of the limit")
	})
}

// TestDelayedAnswerEndsLimit guards against a limit that is dropped because of an
// answer to a request from before it was announced, or that stays after it has ended,
// or when the upstream has restarted.
func TestDelayedAnswerEndsLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(2, all)
		rate := 1.0
		early := time.Now()
		time.Sleep(time.Second)
		fleet[0].Observe(upstream, &rate, early)
		limited := func(q *Quota, up radishcrank.Upstream) bool {
			interval, _ := q.Throttled(up)
			return interval > 0
		}
		fleet[1].Observe(upstream, nil, early)
		require.True(t, limited(fleet[0], upstream))
		require.True(t, limited(fleet[1], upstream))
		old := fleet[0].limits[upstream.ID].Observation
		time.Sleep(time.Millisecond)
		fleet[1].Observe(upstream, nil, time.Now())
		require.False(t, limited(fleet[0], upstream))
		fleet[0].Merge(old)
		require.False(t, limited(fleet[0], upstream), "an older message brings the limit back")

		fleet[0].Observe(upstream, &rate, time.Now())
		next := upstream
		next.Incarnation++
		require.True(t, limited(fleet[1], upstream))
		require.False(t, limited(fleet[1], next))
		fleet[1].Observe(next, &rate, time.Now())
		fleet[0].Merge(old)
		require.True(t, limited(fleet[0], next))
	})
}
