package rcbudget

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const service = "desk"

func fixedAllowance(ratio, slack float64) func() Allowance {
	return func() Allowance { return Allowance{Ratio: ratio, Slack: slack} }
}

// TestFleetStaysWithinAllowance guards against retries of all instances that
// together exceed the fleet's allowance in any span of the window's length.
func TestFleetStaysWithinAllowance(t *testing.T) {
	const ratio, slack, window = 0.2, 52.0, 10 * time.Second
	rapid.Check(t, func(rt *rapid.T) {
		instances := rapid.IntRange(1, 8).Draw(rt, "instances")
		load := rapid.SliceOfN(rapid.IntRange(0, 30), 60, 60).Draw(rt, "load")
		synctest.Test(t, func(*testing.T) {
			var budgets []*Budget
			for range instances {
				budgets = append(budgets, New(Config{Allowance: fixedAllowance(ratio, slack), Window: window, Instances: func() int { return instances }}))
			}
			type second struct{ requests, retries int }
			var history []second
			for _, n := range load {
				var s second
				for range n {
					for _, b := range budgets {
						b.RecordRequest(service)
						s.requests++
						for range 3 { // Try three retries of every request.
							if b.AllowRetry(service) {
								s.retries++
							}
						}
					}
				}
				history = append(history, s)
				time.Sleep(time.Second)
			}
			for i := range history {
				requests, retries := 0, 0
				for _, s := range history[max(0, i-9) : i+1] {
					requests += s.requests
					retries += s.retries
				}
				if float64(retries) > ratio*float64(requests)+slack {
					rt.Fatalf("second %d: %d retries for %d requests", i, retries, requests)
				}
			}
		})
	})
}

// TestBudgetRecovers guards against retries that are still denied after the window
// has passed.
func TestBudgetRecovers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New(Config{Allowance: fixedAllowance(0, 10), Window: 10 * time.Second})
		require.False(t, b.AllowRetry(service), "a previous process may have spent the constant")
		time.Sleep(10 * time.Second)
		taken := 0
		for b.AllowRetry(service) {
			taken++
		}
		require.Equal(t, 8, taken) // 85% of 10.
		time.Sleep(11 * time.Second)
		require.True(t, b.AllowRetry(service))
	})
}

// TestRestartsStayWithinAllowance guards against restarted instances that spend
// the constant part of the allowance a second time within a window, or too large a
// part of it while they do not know all other instances yet. One instance is
// killed repeatedly, or all are killed at once.
func TestRestartsStayWithinAllowance(t *testing.T) {
	const ratio, slack, window, instances, knownAfterRestart = 0.2, 52.0, 10 * time.Second, 8, 6
	for name, c := range map[string]struct{ killed, times int }{"one": {1, 3}, "all": {instances, 1}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				requests, retries := 0, 0
				var budgets []*Budget
				start := func(known int) *Budget {
					return New(Config{Allowance: fixedAllowance(ratio, slack), Window: window, Instances: func() int { return known }})
				}
				for range instances {
					budgets = append(budgets, start(instances))
				}
				spend := func() {
					for _, b := range budgets {
						for range 5 {
							b.RecordRequest(service)
							requests++
							for range 4 {
								if b.AllowRetry(service) {
									retries++
								}
							}
						}
					}
				}
				time.Sleep(2 * window)
				spend()
				for range c.times {
					time.Sleep(time.Second)
					for i := range c.killed {
						budgets[i] = start(knownAfterRestart)
					}
					spend()
				}
				require.LessOrEqual(t, float64(retries), ratio*float64(requests)+slack)
			})
		})
	}
}
