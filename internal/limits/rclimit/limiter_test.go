package rclimit

import (
	"context"
	"fmt"
	"math"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/state/rcboard"
	"github.com/radishcrank/radishcrank/internal/state/rcconfig"
	"github.com/radishcrank/radishcrank/internal/testing/rcbubble"
	_ "github.com/radishcrank/radishcrank/internal/testing/rcseed"
)

const hold = 100 * time.Millisecond

func newLimiter(capacity int, s rcconfig.Settings) *Limiter {
	s.BytesPerToken = 4
	return New(Config{
		Board:    rcboard.New(),
		Instance: "i0",
		Capacity: func() int { return capacity },
		Settings: func(radishcrank.ClientAccountID) rcconfig.Settings { return s },
	})
}

func request(account string, cost int, deadline time.Duration) radishcrank.Request {
	req := radishcrank.Request{Account: radishcrank.ClientAccountID(account), MaxTokens: cost}
	if deadline > 0 {
		req.Deadline = time.Now().Add(deadline)
	}
	return req
}

// run admits a request and releases it after hold. It returns the time until
// admission or refusal.
func run(l *Limiter, req radishcrank.Request, hold time.Duration) (time.Duration, error) {
	start := time.Now()
	release, err := l.Admit(context.Background(), req)
	if err != nil {
		return time.Since(start), err
	}
	wait := time.Since(start)
	time.Sleep(hold)
	release(radishcrank.Usage{})
	return wait, nil
}

// Guards against unfair shares: while two accounts have waiting requests, their
// served costs differ by no more than one request of each.
func TestFairQueue(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		costs := [2][]int{
			rapid.SliceOfN(rapid.IntRange(1, 1000), 1, 60).Draw(rt, "costsA"),
			rapid.SliceOfN(rapid.IntRange(1, 1000), 1, 60).Draw(rt, "costsB"),
		}
		weights := [2]float64{rapid.SampledFrom([]float64{1, 2, 4}).Draw(rt, "weight"), 1}
		rcbubble.Run(t, func() {
			l := newLimiter(1, rcconfig.Settings{})
			l.cfg.Weight = func(id radishcrank.ClientAccountID) float64 {
				if id == "0" {
					return weights[0]
				}
				return 0
			}
			block, err := l.Admit(context.Background(), request("c", 1, 0))
			require.NoError(rt, err)
			order := make(chan int, 200) // Account index and cost of each request, in order of admission.
			for i := range costs {
				for _, cost := range costs[i] {
					go func() {
						release, err := l.Admit(context.Background(), request(fmt.Sprint(i), cost, 0))
						if err == nil {
							order <- i*10000 + cost
							time.Sleep(hold)
							release(radishcrank.Usage{})
						}
					}()
				}
			}
			synctest.Wait()
			block(radishcrank.Usage{})
			time.Sleep(200 * hold)
			synctest.Wait()
			close(order)
			var served [2]float64 // Cost divided by the account's weight.
			var left [2]int
			left[0], left[1] = len(costs[0]), len(costs[1])
			require.Len(rt, order, left[0]+left[1])
			for code := range order {
				i, cost := code/10000, code%10000
				if left[0] > 0 && left[1] > 0 {
					served[i] += float64(cost) / weights[i]
					require.LessOrEqual(rt, math.Abs(served[0]-served[1]), 2000.0)
				}
				left[i]--
			}
		})
	})
}

// Guards against long waits of a small account because of a large one.
func TestLargeAccountDoesNotDelaySmall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLimiter(2, rcconfig.Settings{})
		for range 300 {
			go run(l, request("large", 1000, 0), hold)
		}
		synctest.Wait()
		for range 10 {
			wait, err := run(l, request("small", 100, 0), hold)
			require.NoError(t, err)
			require.LessOrEqual(t, wait, 2*hold)
		}
		time.Sleep(time.Minute)
		synctest.Wait()
		require.Zero(t, l.running)
	})
}

// Guards against requests that wait until their deadline without being admitted:
// at any load, a request is admitted or refused in time, and refusals have the
// outcome NotRun.
func TestEarlyRefusal(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		capacity, n := rapid.IntRange(1, 4).Draw(rt, "capacity"), rapid.IntRange(1, 60).Draw(rt, "requests")
		deadline := time.Duration(rapid.IntRange(100, 3000).Draw(rt, "deadline")) * time.Millisecond
		slow := rapid.IntRange(1, 30).Draw(rt, "slow")
		rcbubble.Run(t, func() {
			l := newLimiter(capacity, rcconfig.Settings{QueueLength: 40})
			type result struct {
				wait time.Duration
				err  error
			}
			results := make(chan result, n)
			for i := range n {
				go func() {
					wait, err := run(l, request(fmt.Sprint(i%3), 10, deadline), hold*time.Duration(slow))
					results <- result{wait, err}
				}()
			}
			for range n {
				r := <-results
				require.LessOrEqual(rt, r.wait, deadline+reviewInterval)
				if r.err != nil {
					refusal := radishcrank.AsRefusal(r.err)
					require.Equal(rt, radishcrank.OutcomeNotRun, refusal.Outcome)
					require.GreaterOrEqual(rt, refusal.RetryAfter, time.Second)
				}
			}
			require.Zero(rt, l.waiting)
			require.Zero(rt, l.running)
			wait, err := run(l, request("x", 10, deadline), 0)
			require.NoError(rt, err, "an idle limiter must admit")
			require.Zero(rt, wait)
		})
	})
}

// Guards against requests of cancelled callers that stay in the queue or use
// capacity.
func TestCancelledCallerLeavesQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLimiter(1, rcconfig.Settings{})
		release, err := l.Admit(t.Context(), request("a", 1, 0))
		require.NoError(t, err)
		ctx, cancel := context.WithCancel(t.Context())
		gone := make(chan error)
		go func() {
			_, err := l.Admit(ctx, request("a", 1, 0))
			gone <- err
		}()
		synctest.Wait()
		row, _ := l.cfg.Board.Accounts.Get("a")
		require.Equal(t, 1, row.Queued)
		cancel()
		require.ErrorIs(t, <-gone, context.Canceled)
		row, _ = l.cfg.Board.Accounts.Get("a")
		require.Equal(t, 0, row.Queued)
		release(radishcrank.Usage{})
		require.Zero(t, l.running)
	})
}

// Guards against accounts that exceed their limits, and against limits that are not
// used up under sufficient load.
func TestAccountLimits(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := rcconfig.Settings{
			TokensPerSecond: float64(rapid.IntRange(100, 5000).Draw(rt, "tokens")),
			Concurrency:     rapid.IntRange(1, 10).Draw(rt, "concurrency"),
		}
		cost := rapid.IntRange(1, 2000).Draw(rt, "cost")
		rcbubble.Run(t, func() {
			l := newLimiter(0, s)
			start := time.Now()
			used, most := 0, 0
			for range 50 {
				go func() {
					for time.Since(start) < 10*time.Second {
						release, err := l.Admit(context.Background(), request("a", cost, 0))
						require.NoError(rt, err)
						if time.Since(start) < 10*time.Second {
							l.mu.Lock()
							used += cost
							most = max(most, l.running)
							l.mu.Unlock()
						}
						time.Sleep(hold)
						release(radishcrank.Usage{})
					}
				}()
			}
			time.Sleep(time.Hour)
			synctest.Wait()
			require.LessOrEqual(rt, most, s.Concurrency)
			require.LessOrEqual(rt, float64(used), s.TokensPerSecond*11+float64(cost))
			atLeast := min(s.TokensPerSecond*9, float64(s.Concurrency*cost)*80) - float64(cost)
			require.GreaterOrEqual(rt, float64(used), atLeast)
		})
	})
}

// Guards against admission of new work of a leaving account, and against refusal of
// its continued work.
func TestLeavingAccount(t *testing.T) {
	l := New(Config{Board: rcboard.New(), Leaving: func(radishcrank.ClientAccountID) bool { return true }})
	_, err := l.Admit(t.Context(), request("a", 1, 0))
	require.Equal(t, radishcrank.OutcomeNotRun, radishcrank.AsRefusal(err).Outcome)
	accepted := request("a", 1, 0)
	accepted.ResumeFrom = 3
	_, err = l.Admit(t.Context(), accepted)
	require.NoError(t, err)
}

// Guards against too much overshoot: under any network partition of the last
// complete view, the shares of all instances add up to at most OvershootFactor times
// the limit, and to no more than the limit if all instances receive each
// other's demands.
func TestOvershootBound(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(1, 12).Draw(rt, "instances")
		groups := rapid.SliceOfN(rapid.IntRange(0, 4), n, n).Draw(rt, "groups")
		demands := rapid.SliceOfN(rapid.Float64Range(0, 1e5), n, n).Draw(rt, "demands")
		factor := rapid.SampledFrom([]float64{1, 1.5, 2, 3}).Draw(rt, "factor")
		s := rcconfig.Settings{TokensPerSecond: 1000, Concurrency: rapid.IntRange(1, 50).Draw(rt, "concurrency")}
		rcbubble.Run(t, func() {
			limiters := make([]*Limiter, n)
			for i := range limiters {
				limiters[i] = newLimiter(0, s)
				limiters[i].cfg.Instance = radishcrank.InstanceID(fmt.Sprint("i", i))
				limiters[i].cfg.Instances = func() int { return n }
				limiters[i].cfg.OvershootFactor = factor
				limiters[i].accountLocked("a", s).addDemand(demands[i], time.Now())
			}
			connected := true
			for i, from := range limiters {
				sent := from.LocalDemands()
				for j, to := range limiters {
					if groups[i] == groups[j] {
						to.SetPeerDemands(from.cfg.Instance, sent)
					} else {
						connected = false
					}
				}
			}
			rate, running := 0.0, 0
			for _, l := range limiters {
				a := l.accounts["a"]
				rate += l.rateShareLocked(a, s.TokensPerSecond, time.Now())
				running += l.concurrencyShareLocked(a, time.Now())
			}
			bound := factor
			if connected {
				bound = 1
			}
			require.LessOrEqual(rt, rate, bound*s.TokensPerSecond*(1+1e-6))
			require.LessOrEqual(rt, float64(running), bound*float64(s.Concurrency))
			if connected && n > 1 {
				require.InEpsilon(rt, s.TokensPerSecond, rate, 1e-3)
				require.Equal(rt, s.Concurrency, running)
			}
			time.Sleep(2 * peerWindow)
			isolated := limiters[0].rateShareLocked(limiters[0].accounts["a"], s.TokensPerSecond, time.Now())
			require.InEpsilon(rt, s.TokensPerSecond/float64(n), isolated, 1e-6, "share of an instance that receives no demands from peers")
		})
	})
}

// BenchmarkAdmit measures an admission at the target size: 3,000 accounts and
// demands from 369 peers.
func BenchmarkAdmit(b *testing.B) {
	l := newLimiter(100, rcconfig.Settings{TokensPerSecond: 1e9})
	for i := range 3000 {
		l.accountLocked(radishcrank.ClientAccountID(fmt.Sprint(i)), rcconfig.Settings{TokensPerSecond: 1e9})
	}
	for i := range 369 {
		l.SetPeerDemands(radishcrank.InstanceID(fmt.Sprint("peer", i)), Demands{"7": 1})
	}
	b.ReportAllocs()
	for b.Loop() {
		release, err := l.Admit(context.Background(), request("7", 10, time.Second))
		if err != nil {
			b.Fatal(err)
		}
		release(radishcrank.Usage{})
	}
}
