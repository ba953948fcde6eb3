package rcrollout

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/state/rcfleet"
	"github.com/radishcrank/radishcrank/internal/state/rcweights"
)

const model = "m"

func newHistory(versions ...radishcrank.WeightsVersion) (h rcweights.History) {
	h.Model = model
	for _, v := range versions {
		h, _ = h.Add(v, time.Now())
	}
	return h
}

func entries(n int) (list []rcfleet.Entry) {
	for i := range n {
		list = append(list, rcfleet.Entry{
			Upstream: radishcrank.Upstream{ID: radishcrank.UpstreamID(fmt.Sprint("e", i)), Service: "s", Incarnation: 1},
			Weights:  map[radishcrank.ModelID]radishcrank.WeightsVersion{model: "1"},
		})
	}
	return list
}

// TestPlanLeavesEnginesInService guards against plans that take the last engine of a
// model out of service, and against concurrent loads that slow each other down.
func TestPlanLeavesEnginesInService(t *testing.T) {
	now := time.Now()
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(1, 70).Draw(rt, "engines")
		var states []rcfleet.State
		loading := 0
		for _, e := range entries(n) {
			s := rcfleet.State{Entry: e, Listed: true, Running: rapid.IntRange(0, 9).Draw(rt, "running")}
			if rapid.Bool().Draw(rt, "loading") {
				s.LoadingUntil = now.Add(time.Second)
				loading++
			}
			states = append(states, s)
		}
		next := Plan(newHistory("1", "2"), states, now)
		if len(next) == 0 {
			return
		}
		require.LessOrEqual(rt, loading+len(next), max((n+5)/6, n/5))
		if n > 1 {
			require.Less(rt, loading+len(next), n)
		}
		for i := 1; i < len(next); i++ {
			require.LessOrEqual(rt, next[i-1].Running, next[i].Running)
		}
	})
}

// TestPlanConcurrentLoads guards against a rollout that halves its concurrent loads when
// a few engines are lost. With fewer than twelve engines it loaded one at a time, 0.9 s
// each (VERSION on boxflow-riga).
func TestPlanConcurrentLoads(t *testing.T) {
	for n, want := range map[int]int{2: 1, 6: 1, 9: 2, 12: 2, 18: 3, 45: 9, 60: 12, 90: 18} {
		var states []rcfleet.State
		for _, e := range entries(n) {
			states = append(states, rcfleet.State{Entry: e, Listed: true})
		}
		require.Len(t, Plan(newHistory("1", "2"), states, time.Now()), want, "%d engines", n)
	}
}

// TestPlanSkips guards against orders to engines that are up to date or cannot load.
func TestPlanSkips(t *testing.T) {
	now := time.Now()
	var states []rcfleet.State
	for _, e := range entries(4) {
		states = append(states, rcfleet.State{Entry: e, Listed: true})
	}
	states[0].Leaving = true
	states[1].Suspect = true
	states[2].Listed = false
	states[3].Weights = map[radishcrank.ModelID]radishcrank.WeightsVersion{model: "2"}
	require.Empty(t, Plan(newHistory("1", "2"), states, now))
}

// TestPlanSparesPausingEngines guards against orders to an engine that has asked for a
// pause while others can load.
func TestPlanSparesPausingEngines(t *testing.T) {
	now := time.Now()
	var states []rcfleet.State
	for _, e := range entries(7) {
		states = append(states, rcfleet.State{Entry: e, Listed: true, Running: 9})
	}
	states[0].Running, states[0].PausedUntil = 0, now.Add(time.Second)
	for _, next := range Plan(newHistory("1", "2"), states, now) {
		require.NotEqual(t, states[0].ID, next.ID)
	}
	states = states[:1]
	require.Len(t, Plan(newHistory("1", "2"), states, now), 1, "the last one cannot wait")
}

// TestReportsDuringPause guards against a load that asks an engine for reports every 80 ms
// although it has asked for a pause.
func TestReportsDuringPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engines := &fakeEngines{loadTime: 5 * time.Second, pauses: func(f *rcfleet.Fleet) { f.Pause("e1", 1, 20*time.Second) }}
		history := newHistory("1", "2")
		fleet := rollOut(t, 3, engines, func() rcweights.History { return history }, newTerm(), 30*time.Second)
		calls := engines.calls["e1"]
		for i := 5; i < len(calls); i++ {
			require.Greater(t, calls[i].Sub(calls[i-5]), 4*time.Second, "6 calls in 4 s")
		}
		for _, s := range fleet.All() {
			require.Equal(t, radishcrank.WeightsVersion("2"), s.Weights[model])
		}
	})
}

// fakeEngine executes orders as the platform's engines do.
type fakeEngine struct {
	weights  radishcrank.WeightsVersion
	sequence int64
	busy     bool
	loads    int
}

type fakeEngines struct {
	mu      sync.Mutex
	engines map[radishcrank.UpstreamID]*fakeEngine
	// loseAnswer selects engines that accept orders without answering, and unreachable
	// those that no call reaches.
	loseAnswer    func(id radishcrank.UpstreamID) bool
	unreachable   func(id radishcrank.UpstreamID) bool
	limited       func(up radishcrank.Upstream) bool // Engines that limit the rate of their requests.
	loadTime      time.Duration                      // 0 selects 670 ms.
	pauses        func(f *rcfleet.Fleet)             // Called before the rollout; may be nil.
	calls         map[radishcrank.UpstreamID][]time.Time
	maxBusy       int
	unconditional int // Number of orders without an expected sequence.
}

func (f *fakeEngines) Load(_ context.Context, up radishcrank.Upstream, o Order) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.recordCallLocked(up.ID)
	e := f.engines[up.ID]
	if o.ExpectedSequence == nil {
		f.unconditional++
	} else if *o.ExpectedSequence != e.sequence {
		return ErrBusy
	}
	if e.busy {
		return ErrBusy
	}
	e.sequence++
	e.busy = true
	e.loads++
	busy := 0
	for _, other := range f.engines {
		if other.busy {
			busy++
		}
	}
	f.maxBusy = max(f.maxBusy, busy)
	time.AfterFunc(cmp.Or(f.loadTime, 670*time.Millisecond), func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		e.weights, e.busy = o.Weights, false
	})
	if f.loseAnswer != nil && f.loseAnswer(up.ID) {
		return errors.New("no answer")
	}
	return nil
}

func (f *fakeEngines) Report(_ context.Context, up radishcrank.Upstream) (Report, error) {
	if f.unreachable != nil && f.unreachable(up.ID) {
		time.Sleep(300 * time.Millisecond) // The timeout of a connection attempt.
		return Report{}, radishcrank.ErrNotSent
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.recordCallLocked(up.ID)
	e := f.engines[up.ID]
	return Report{Busy: e.busy, Sequence: e.sequence, Weights: map[radishcrank.ModelID]radishcrank.WeightsVersion{model: e.weights}}, nil
}

func (f *fakeEngines) recordCallLocked(id radishcrank.UpstreamID) {
	if f.calls == nil {
		f.calls = map[radishcrank.UpstreamID][]time.Time{}
	}
	f.calls[id] = append(f.calls[id], time.Now())
}

type term struct{ valid atomic.Bool }

func (t *term) Valid() bool { return t.valid.Load() }

func newTerm() *term {
	t := &term{}
	t.valid.Store(true)
	return t
}

func rollOut(t *testing.T, n int, engines *fakeEngines, history func() rcweights.History, tm *term, d time.Duration) *rcfleet.Fleet {
	t.Helper()
	engines.engines = map[radishcrank.UpstreamID]*fakeEngine{}
	fleet := rcfleet.New()
	fleet.Replace(entries(n))
	for _, e := range entries(n) {
		engines.engines[e.ID] = &fakeEngine{weights: "1"}
	}
	if engines.pauses != nil {
		engines.pauses(fleet)
	}
	c := New(Config{
		Fleet: fleet, Engines: engines, Mode: ContinueRequests,
		DesiredWeights: func() []rcweights.History { return []rcweights.History{history()} },
		ServicesOf:     func(radishcrank.ModelID) []string { return []string{"s"} },
		Announce:       func(EngineUpdate) {}, RateLimited: engines.limited, Log: zerolog.Nop(),
	})
	ctx, cancel := context.WithTimeout(t.Context(), d)
	defer cancel()
	c.Lead(ctx, tm, 7)
	return fleet
}

// TestRolloutReachesAllEngines guards against engines that keep older weights for longer
// than the 10 s that the platform allows, including when answers to orders are lost, and
// against engines that load the same weights twice.
func TestRolloutReachesAllEngines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engines := &fakeEngines{loseAnswer: func(id radishcrank.UpstreamID) bool { return id == "e3" || id == "e7" }}
		history := newHistory("1", "2")
		fleet := rollOut(t, 12, engines, func() rcweights.History { return history }, newTerm(), 8*time.Second)
		for id, e := range engines.engines {
			require.Equal(t, radishcrank.WeightsVersion("2"), e.weights, "engine %s", id)
			require.Equal(t, 1, e.loads, "engine %s", id)
		}
		for _, s := range fleet.All() {
			require.Equal(t, radishcrank.WeightsVersion("2"), s.Weights[model])
			require.False(t, s.Loading(time.Now()))
		}
		require.LessOrEqual(t, engines.maxBusy, 2)
		require.Zero(t, engines.unconditional)
	})
}

// TestReportsExceedRateLimit guards against reports during a load that an engine gets
// beyond the rate limit that it announces.
func TestReportsExceedRateLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engines := &fakeEngines{limited: func(up radishcrank.Upstream) bool { return up.ID == "e1" }, loadTime: 5 * time.Second}
		history := newHistory("1", "2")
		fleet := rollOut(t, 3, engines, func() rcweights.History { return history }, newTerm(), 30*time.Second)
		calls := engines.calls["e1"]
		for i := 5; i < len(calls); i++ {
			require.Greater(t, calls[i].Sub(calls[i-5]), 4*time.Second, "6 calls in 4 s")
		}
		for _, s := range fleet.All() {
			require.Equal(t, radishcrank.WeightsVersion("2"), s.Weights[model])
		}
	})
}

// TestUnreachableEnginesDoNotStallRollout guards against a rollout that tries the same
// engines again and again because they are listed, run nothing and cannot be reached.
func TestUnreachableEnginesDoNotStallRollout(t *testing.T) {
	for n, unreachable := range map[int]map[radishcrank.UpstreamID]bool{
		4:  {"e0": true},
		12: {"e0": true, "e1": true, "e2": true},
	} {
		synctest.Test(t, func(t *testing.T) {
			engines := &fakeEngines{unreachable: func(id radishcrank.UpstreamID) bool { return unreachable[id] }}
			history := newHistory("1", "2")
			rollOut(t, n, engines, func() rcweights.History { return history }, newTerm(), 8*time.Second)
			for id, e := range engines.engines {
				if !unreachable[id] {
					require.Equal(t, radishcrank.WeightsVersion("2"), e.weights, "engine %s of %d", id, n)
				}
			}
		})
	}
}

// unresponsiveEngines do not execute orders: each one stays unanswered and does not
// appear in reports.
type unresponsiveEngines struct{}

func (unresponsiveEngines) Load(context.Context, radishcrank.Upstream, Order) error {
	time.Sleep(400 * time.Millisecond)
	return errors.New("no answer")
}

func (unresponsiveEngines) Report(context.Context, radishcrank.Upstream) (Report, error) {
	return Report{Weights: map[radishcrank.ModelID]radishcrank.WeightsVersion{model: "1"}}, nil
}

// TestUnansweredOrderDelaysNextOrder guards against a second order to an engine whose
// first order is still unanswered, since the engine may execute both.
func TestUnansweredOrderDelaysNextOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engines, history := unresponsiveEngines{}, newHistory("1", "2")
		fleet := rcfleet.New()
		fleet.Replace(entries(1))
		var orderedAt []time.Time
		c := New(Config{
			Fleet: fleet, Engines: engines, Mode: ContinueRequests,
			DesiredWeights: func() []rcweights.History { return []rcweights.History{history} },
			ServicesOf:     func(radishcrank.ModelID) []string { return []string{"s"} },
			Announce: func(update EngineUpdate) {
				if update.LoadingFor > 0 {
					orderedAt = append(orderedAt, time.Now())
				}
			},
			Log: zerolog.Nop(),
		})
		ctx, cancel := context.WithTimeout(t.Context(), 6*time.Second)
		defer cancel()
		c.Lead(ctx, newTerm(), 7)
		require.Greater(t, len(orderedAt), 2)
		for i := 1; i < len(orderedAt); i++ {
			require.GreaterOrEqual(t, orderedAt[i].Sub(orderedAt[i-1]), 400*time.Millisecond+unansweredOrderTimeout)
		}
	})
}

// TestReplacedWeightsAreNotLoaded guards against loads of weights that were replaced
// before the engine was ordered to load.
func TestReplacedWeightsAreNotLoaded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engines := &fakeEngines{}
		start := time.Now()
		first := newHistory("1", "2")
		second, _ := first.Add("3", start.Add(time.Second))
		rollOut(t, 12, engines, func() rcweights.History {
			if time.Since(start) < time.Second {
				return first
			}
			return second
		}, newTerm(), 10*time.Second)
		loads := 0
		for _, e := range engines.engines {
			require.Equal(t, radishcrank.WeightsVersion("3"), e.weights)
			loads += e.loads
		}
		require.Less(t, loads, 20, "12 engines, some of which had started to load version 2")
	})
}

// TestNoOrderAfterLeaseExpiry guards against an instance that was frozen and then sends
// orders concurrently with its successor.
func TestNoOrderAfterLeaseExpiry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engines := &fakeEngines{}
		tm := newTerm()
		history := newHistory("1", "2")
		time.AfterFunc(20*time.Millisecond, func() { tm.valid.Store(false) }) // Between the report and the order.
		rollOut(t, 12, engines, func() rcweights.History { return history }, tm, 3*time.Second)
		for id, e := range engines.engines {
			require.Zero(t, e.loads, "engine %s", id)
		}
	})
}

// TestUpdateOfEarlierIncarnationIsIgnored guards against updates about an earlier
// incarnation of an upstream, which would give it weights that it lost on restart.
func TestUpdateOfEarlierIncarnationIsIgnored(t *testing.T) {
	fleet := rcfleet.New()
	fleet.Replace(entries(1))
	Apply(fleet, EngineUpdate{Upstream: "e0", Incarnation: 9, Model: model, Weights: "5", LoadingFor: time.Second})
	s, ok := fleet.Get("e0")
	require.True(t, ok)
	require.Equal(t, radishcrank.WeightsVersion("1"), s.Weights[model])
	require.False(t, s.Loading(time.Now()))
}
