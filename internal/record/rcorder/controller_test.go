package rcorder

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/time/rate"
	"pgregory.net/rapid"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/record/rclease"
	"github.com/radishcrank/radishcrank/internal/standin/rcfaketable"
	"github.com/radishcrank/radishcrank/internal/state/rcboard"
	"github.com/radishcrank/radishcrank/internal/state/rcconfig"
	"github.com/radishcrank/radishcrank/internal/state/rcwait"
	_ "github.com/radishcrank/radishcrank/internal/testing/rcseed"
)

const (
	model              = radishcrank.ModelID("m")
	testLeaseDuration  = 10 * time.Second
	testLoadDuration   = 3 * time.Second
	maxConcurrentLoads = 2 // The documented limit, stated independently of loadSlots.
)

// fleet simulates engines that are shared by the instances that compete for the
// lease, and records violated guarantees.
type fleet struct {
	mu             sync.Mutex
	engines        map[radishcrank.UpstreamID]*fakeEngine
	document       *rcconfig.Document
	violation      string
	peakLoads      int // Maximum of concurrent loads seen.
	pausedInstance radishcrank.InstanceID
	orderPause     time.Duration // Delay of the next order of pausedInstance, after its last check of the lease.
	delayedOrders  []radishcrank.Order
}

// fakeEngine is an engine with requests in flight on its current weights.
type fakeEngine struct {
	checksFence bool
	fence       uint64
	weights     radishcrank.WeightsVersion
	loading     bool
	draining    bool
	running     int // Requests in flight on the current weights.
}

func newFleet(engines int) *fleet {
	f := &fleet{engines: make(map[radishcrank.UpstreamID]*fakeEngine)}
	for n := range engines {
		f.engines[radishcrank.UpstreamID(fmt.Sprintf("e%d", n))] = &fakeEngine{checksFence: n%2 == 0, weights: "w1", running: n}
	}
	f.setDesiredWeights(1, "w1")
	return f
}

func (f *fleet) setDesiredWeights(revision uint64, weights radishcrank.WeightsVersion) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.document = &rcconfig.Document{Revision: revision, Models: []rcconfig.Model{{ID: model, Weights: weights}}}
}

// startInstance starts one instance with its own board, lease and controller.
func (f *fleet) startInstance(ctx context.Context, id radishcrank.InstanceID, table radishcrank.TableService) {
	board := rcboard.New()
	go func() {
		for ctx.Err() == nil {
			f.mu.Lock()
			for id, e := range f.engines {
				board.Upstreams.Put(id, radishcrank.Upstream{
					ID: id, Role: radishcrank.RoleEngine, ChecksFence: e.checksFence, Models: []radishcrank.ModelID{model}, Incarnation: 1,
					Load: radishcrank.LoadReport{Weights: map[radishcrank.ModelID]radishcrank.WeightsVersion{model: e.weights}, ReportedAt: time.Now()},
				})
			}
			f.mu.Unlock()
			time.Sleep(250 * time.Millisecond)
		}
	}()
	controller := New(Config{
		Board: board, Table: table, Dialer: dialer{f, id}, Drainer: f, LeaseDuration: testLeaseDuration,
		LoadsPerSecond: 20, // High enough that only the slots limit concurrent loads.
		Document: func() *rcconfig.Document {
			f.mu.Lock()
			defer f.mu.Unlock()
			return f.document
		},
	})
	lease := rclease.New(rclease.Config{
		Table: table, Name: "orders", Instance: id, Duration: testLeaseDuration,
		Lead: func(ctx context.Context, term *rclease.Term) error { return controller.Lead(ctx, term, term.Fence) },
	})
	go lease.Run(ctx)
}

// Drain implements Drainer. One request in flight finishes per second.
func (f *fleet) Drain(ctx context.Context, id radishcrank.UpstreamID, _ radishcrank.ModelID) (func(), error) {
	f.mu.Lock()
	e := f.engines[id]
	e.draining = true
	remaining := e.running
	f.mu.Unlock()
	resume := func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		e.draining = false
	}
	for ; remaining > 0; remaining-- {
		if !rcwait.Sleep(ctx, time.Second) {
			return resume, ctx.Err()
		}
		f.mu.Lock()
		e.running--
		f.mu.Unlock()
	}
	return resume, nil
}

type dialer struct {
	f  *fleet
	id radishcrank.InstanceID
}

func (d dialer) Engine(up radishcrank.Upstream) radishcrank.Engine {
	return engineClient{dialer: d, up: up.ID}
}

type engineClient struct {
	radishcrank.Engine
	dialer
	up radishcrank.UpstreamID
}

// Order implements radishcrank.Engine. Like an engine, it rejects older fencing
// numbers if it checks them, and returns when the load has finished.
func (c engineClient) Order(_ context.Context, order radishcrank.Order) error {
	f := c.f
	f.mu.Lock()
	pause := time.Duration(0)
	if f.pausedInstance == c.id {
		pause, f.orderPause = f.orderPause, 0
	}
	f.mu.Unlock()
	time.Sleep(pause) // Simulates a holder that is paused after its last check of the lease.
	f.mu.Lock()
	e := f.engines[c.up]
	if e.checksFence && order.Fence < e.fence {
		f.mu.Unlock()
		return radishcrank.ErrStaleFence
	}
	e.fence = max(e.fence, order.Fence)
	if pause > 0 {
		f.delayedOrders = append(f.delayedOrders, order)
	} else {
		f.checkLoad(c.up, e)
	}
	e.loading = true
	f.mu.Unlock()
	time.Sleep(testLoadDuration)
	f.mu.Lock()
	defer f.mu.Unlock()
	e.loading, e.weights = false, order.Weights
	return nil
}

// checkLoad records the guarantee that a load that begins now violates, if any.
func (f *fleet) checkLoad(id radishcrank.UpstreamID, e *fakeEngine) {
	loads, serving := 1, 0
	for other, o := range f.engines {
		if other != id && o.loading {
			loads++
		}
		if other != id && !o.loading && !o.draining {
			serving++
		}
	}
	f.peakLoads = max(f.peakLoads, loads)
	if loads > maxConcurrentLoads || serving == 0 || e.running > 0 {
		f.violation = fmt.Sprintf("load on %s violates a guarantee: %d concurrent loads, %d other engines serving, %d requests on the old weights", id, loads, serving, e.running)
	}
}

// converged reports whether all engines have the desired weights and are in
// service, and no guarantee was violated.
func (f *fleet) converged() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range f.engines {
		if e.weights != f.document.Models[0].Weights || e.loading || e.draining {
			return false
		}
	}
	return f.violation == ""
}

// Guards against more than two concurrent loads, a model without an engine in
// service, a load that begins while requests are in flight, and a fleet that never
// converges to the desired weights, under concurrent configuration changes, lost
// responses of the table service and outages of it.
func TestRollingUpdate(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		engines := rapid.IntRange(2, 7).Draw(rt, "Engines")
		secondChange := time.Duration(rapid.IntRange(0, 30).Draw(rt, "SecondChange")) * time.Second
		faultAt := time.Duration(rapid.IntRange(0, 30).Draw(rt, "FaultAt")) * time.Second
		faults := rcfaketable.Faults{
			LoseResponses: rapid.IntRange(0, 5).Draw(rt, "LoseAnswers"),
			DropCommits:   rapid.IntRange(0, 5).Draw(rt, "DropCommits"),
			Down:          rapid.Bool().Draw(rt, "Down"),
		}
		var f *fleet
		converged := false
		synctest.Test(t, func(t *testing.T) {
			table := rcfaketable.New()
			f = newFleet(engines)
			ctx, cancel := context.WithCancel(t.Context())
			f.startInstance(ctx, "a", table)
			f.startInstance(ctx, "b", table)
			f.setDesiredWeights(2, "w2")
			time.AfterFunc(secondChange, func() { f.setDesiredWeights(3, "w3") })
			time.AfterFunc(faultAt, func() { table.SetFaults(faults) })
			time.AfterFunc(faultAt+5*time.Second, func() { table.SetFaults(rcfaketable.Faults{}) })
			time.Sleep(5 * time.Minute)
			converged = f.converged()
			cancel()
			time.Sleep(time.Minute)
		})
		if !converged {
			rt.Fatalf("fleet did not converge: %s", f.violation)
		}
	})
}

// Guards against orders of a paused lease holder that arrive after another has
// taken over. An engine that checks fencing numbers rejects such an order; one that
// does not check them gets a new order afterwards. Without the initial wait of a
// new holder both holders would send orders concurrently.
func TestPausedHolder(t *testing.T) {
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 0))
			table := rcfaketable.New()
			f := newFleet(4)
			ctx, cancel := context.WithCancel(t.Context())
			firstCtx, stopFirst := context.WithCancel(ctx)
			f.startInstance(firstCtx, "a", table)
			time.Sleep(testLeaseDuration + defaultOrderTimeout + time.Second)
			f.mu.Lock()
			f.pausedInstance, f.orderPause = "a", 90*time.Second
			f.mu.Unlock()
			f.setDesiredWeights(2, "w2")
			f.startInstance(ctx, "b", table)
			time.Sleep(time.Duration(2000+random.IntN(8000)) * time.Millisecond)
			stopFirst()
			f.setDesiredWeights(3, "w3")
			time.Sleep(4 * time.Minute)
			require.True(t, f.converged(), f.violation)
			for _, order := range f.delayedOrders {
				require.Equal(t, radishcrank.WeightsVersion("w2"), order.Weights)
			}
			cancel()
			time.Sleep(2 * time.Minute)
		})
	}
}

// Guards against an intent or slot that an earlier lease holder writes after a
// newer one has started, and against a holder that starts with a lower fencing
// number than the stored one.
func TestFenceStopsOlderHolder(t *testing.T) {
	table := rcfaketable.New()
	older, err := openOrderStore(t.Context(), table, 3)
	require.NoError(t, err)
	require.NoError(t, older.put(t.Context(), 0, slot{Upstream: "e0"}, intent{Upstream: "e0", Open: true}))
	newer, err := openOrderStore(t.Context(), table, 4)
	require.NoError(t, err)
	require.Equal(t, radishcrank.UpstreamID("e0"), newer.slots[0].Upstream)
	require.ErrorIs(t, older.put(t.Context(), 1, slot{Upstream: "e1"}, intent{Upstream: "e1", Open: true}), radishcrank.ErrConflict)
	require.ErrorIs(t, older.checkFence(t.Context()), errSuperseded)
	require.NoError(t, newer.put(t.Context(), 1, slot{Upstream: "e1"}, intent{Upstream: "e1", Open: true}))
	_, err = openOrderStore(t.Context(), table, 3)
	require.ErrorIs(t, err, errSuperseded)
}

// Guards against freeing a slot a second time when the response to the first
// release was lost and another engine's load already occupies the slot.
func TestLostResponseOfSlotRelease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := rcfaketable.New()
		store, err := openOrderStore(t.Context(), table, 1)
		require.NoError(t, err)
		board := rcboard.New()
		for _, id := range []radishcrank.UpstreamID{"e1", "e2", "e3", "e9"} {
			board.Upstreams.Put(id, radishcrank.Upstream{ID: id, Role: radishcrank.RoleEngine, Models: []radishcrank.ModelID{model}, Load: radishcrank.LoadReport{
				Weights: map[radishcrank.ModelID]radishcrank.WeightsVersion{model: "w1"}, ReportedAt: time.Now(),
			}})
		}
		f := newFleet(10)
		f.setDesiredWeights(2, "w2")
		f.pausedInstance, f.orderPause = "a", time.Minute
		cfg := New(Config{Board: board, Dialer: dialer{f, "a"}, LeaseDuration: testLeaseDuration, Document: func() *rcconfig.Document { return f.document }}).cfg
		newTask := func(id radishcrank.UpstreamID, p phase, slot int) *task {
			return &task{up: id, model: model, weights: "w2", revision: 2, phase: p, slot: slot, started: time.Now(), cancel: func() {}, resume: func() {}}
		}
		l := &leader{
			cfg: cfg, term: &rclease.Term{}, store: store, termStart: time.Now(), limiter: rate.NewLimiter(rate.Inf, 1), cancel: func() {},
			tasks:   map[radishcrank.UpstreamID]*task{"e1": newTask("e1", phaseWaiting, 0), "e3": newTask("e3", phaseLoading, 1), "e9": newTask("e9", phaseLoading, 0)},
			retryAt: make(map[radishcrank.UpstreamID]time.Time), observations: make(map[radishcrank.UpstreamID]reportObservation), results: make(chan result, 8),
		}
		require.NoError(t, store.put(t.Context(), 0, slot{Upstream: "e9"}, intent{Upstream: "e9", Open: true}))
		require.NoError(t, store.put(t.Context(), 1, slot{Upstream: "e3"}, intent{Upstream: "e3", Open: true}))
		l.tasks["e9"].notStarted = true
		table.SetFaults(rcfaketable.Faults{LoseResponses: 1})
		for range 4 {
			require.NoError(t, l.reconcile(t.Context()))
		}
		require.Equal(t, radishcrank.UpstreamID("e1"), store.slots[0].Upstream)
		l.shutdown()
	})
}

// Guards against an update of a model's only engine, and against orders from a
// lease holder that does not have the latest configuration.
func TestOrderIsWithheld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := rcfaketable.New()
		f := newFleet(1)
		ctx, cancel := context.WithCancel(t.Context())
		f.startInstance(ctx, "a", table)
		f.setDesiredWeights(2, "w2")
		time.Sleep(time.Minute)
		require.Equal(t, radishcrank.WeightsVersion("w1"), f.engines["e0"].weights)
		f.mu.Lock()
		f.engines["e1"] = &fakeEngine{checksFence: true, weights: "w2"}
		f.mu.Unlock()
		time.Sleep(time.Minute)
		require.True(t, f.converged(), f.violation)
		f.setDesiredWeights(1, "w1")
		time.Sleep(time.Minute)
		require.Equal(t, radishcrank.WeightsVersion("w2"), f.engines["e0"].weights)
		cancel()
		time.Sleep(time.Minute)
	})
}
