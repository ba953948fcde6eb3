package rcbudget

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const service = "desk"

func allow(ratio, slack float64) func() Allowance {
	return func() Allowance { return Allowance{Ratio: ratio, Slack: slack} }
}

// TestFleetStaysWithinAllowance guards against repeats of all instances together
// that exceed the fleet's allowance in some span of the window's length.
func TestFleetStaysWithinAllowance(t *testing.T) {
	const ratio, slack, window = 0.2, 52.0, 10 * time.Second
	rapid.Check(t, func(rt *rapid.T) {
		instances := rapid.IntRange(1, 8).Draw(rt, "instances")
		load := rapid.SliceOfN(rapid.IntRange(0, 30), 60, 60).Draw(rt, "load")
		synctest.Test(t, func(*testing.T) {
			var budgets []*Budget
			for range instances {
				budgets = append(budgets, New(Config{Allowance: allow(ratio, slack), Window: window, Instances: func() int { return instances }}))
			}
			type second struct{ requests, repeats int }
			var history []second
			for _, n := range load {
				var s second
				for range n {
					for _, b := range budgets {
						b.RecordRequest(service)
						s.requests++
						for range 3 { // Every request would be repeated three times.
							if b.AllowRetry(service) {
								s.repeats++
							}
						}
					}
				}
				history = append(history, s)
				time.Sleep(time.Second)
			}
			for i := range history {
				requests, repeats := 0, 0
				for _, s := range history[max(0, i-9) : i+1] {
					requests += s.requests
					repeats += s.repeats
				}
				if float64(repeats) > ratio*float64(requests)+slack {
					rt.Fatalf("second %d: %d repeats for %d requests", i, repeats, requests)
				}
			}
		})
	})
}

// TestBudgetReturns guards against repeats that stay denied once the window has passed.
func TestBudgetReturns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New(Config{Allowance: allow(0, 10), Window: 10 * time.Second})
		require.False(t, b.AllowRetry(service), "an earlier process may have spent the constant")
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

// TestRestartsStayWithinAllowance guards against instances that are killed, one
// of them again and again or all at once, and that then spend the constant of a
// window once more, or a larger part of it while they do not know the others yet.
func TestRestartsStayWithinAllowance(t *testing.T) {
	const ratio, slack, window, instances, fewer = 0.2, 52.0, 10 * time.Second, 8, 6
	for name, c := range map[string]struct{ killed, times int }{"one": {1, 3}, "all": {instances, 1}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				requests, repeats := 0, 0
				var budgets []*Budget
				start := func(known int) *Budget {
					return New(Config{Allowance: allow(ratio, slack), Window: window, Instances: func() int { return known }})
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
									repeats++
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
						budgets[i] = start(fewer)
					}
					spend()
				}
				require.LessOrEqual(t, float64(repeats), ratio*float64(requests)+slack)
			})
		})
	}
}
