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
	model     = radishcrank.ModelID("m")
	leaseTime = 10 * time.Second
	loadTime  = 3 * time.Second
	maxLoads  = 2 // Of the design page, not of the code.
)

// fleet is engines, a table and two instances that compete for the lease.
type fleet struct {
	mu       sync.Mutex
	engines  map[radishcrank.UpstreamID]*engine
	document *rcconfig.Document
	problem  string
	most     int // Loads at a time.
	pauseAt  radishcrank.InstanceID
	pause    time.Duration // Of the next order that pauseAt sends, after its last check.
	late     []radishcrank.Order
}

// engine is a model engine with requests in flight on its weights.
type engine struct {
	checksFence bool
	fence       uint64
	weights     radishcrank.WeightsVersion
	loading     bool
	draining    bool
	running     int // Requests on the present weights.
}

func newFleet(engines int) *fleet {
	f := &fleet{engines: make(map[radishcrank.UpstreamID]*engine)}
	for n := range engines {
		f.engines[radishcrank.UpstreamID(fmt.Sprintf("e%d", n))] = &engine{checksFence: n%2 == 0, weights: "w1", running: n}
	}
	f.desire(1, "w1")
	return f
}

func (f *fleet) desire(revision uint64, weights radishcrank.WeightsVersion) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.document = &rcconfig.Document{Revision: revision, Models: []rcconfig.Model{{ID: model, Weights: weights}}}
}

// instance starts one instance: its view of the engines, its lease and its controller.
func (f *fleet) instance(ctx context.Context, id radishcrank.InstanceID, table radishcrank.TableService) {
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
		Board: board, Table: table, Dialer: dialer{f, id}, Drainer: f, LeaseDuration: leaseTime,
		LoadsPerSecond: 20, // So that only the slots keep loads apart.
		Document: func() *rcconfig.Document {
			f.mu.Lock()
			defer f.mu.Unlock()
			return f.document
		},
	})
	lease := rclease.New(rclease.Config{
		Table: table, Name: "orders", Instance: id, Duration: leaseTime,
		Lead: func(ctx context.Context, term *rclease.Term) error { return controller.Lead(ctx, term, term.Fence) },
	})
	go lease.Run(ctx)
}

// Drain implements Drainer: requests in flight end one a second.
func (f *fleet) Drain(ctx context.Context, id radishcrank.UpstreamID, _ radishcrank.ModelID) (func(), error) {
	f.mu.Lock()
	e := f.engines[id]
	e.draining = true
	left := e.running
	f.mu.Unlock()
	resume := func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		e.draining = false
	}
	for ; left > 0; left-- {
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
	return client{dialer: d, up: up.ID}
}

type client struct {
	radishcrank.Engine
	dialer
	up radishcrank.UpstreamID
}

// Order implements radishcrank.Engine as the engines do.
func (c client) Order(_ context.Context, order radishcrank.Order) error {
	f := c.f
	f.mu.Lock()
	pause := time.Duration(0)
	if f.pauseAt == c.id {
		pause, f.pause = f.pause, 0
	}
	f.mu.Unlock()
	time.Sleep(pause) // The holder is paused after its last look at the lease.
	f.mu.Lock()
	e := f.engines[c.up]
	if e.checksFence && order.Fence < e.fence {
		f.mu.Unlock()
		return radishcrank.ErrStaleFence
	}
	e.fence = max(e.fence, order.Fence)
	if pause > 0 {
		f.late = append(f.late, order)
	} else {
		f.check(c.up, e)
	}
	e.loading = true
	f.mu.Unlock()
	time.Sleep(loadTime)
	f.mu.Lock()
	defer f.mu.Unlock()
	e.loading, e.weights = false, order.Weights
	return nil
}

// check notes what a load that begins now violates.
func (f *fleet) check(id radishcrank.UpstreamID, e *engine) {
	loads, serving := 1, 0
	for other, o := range f.engines {
		if other != id && o.loading {
			loads++
		}
		if other != id && !o.loading && !o.draining {
			serving++
		}
	}
	f.most = max(f.most, loads)
	if loads > maxLoads || serving == 0 || e.running > 0 {
		f.problem = fmt.Sprintf("%s began to load: %d loads, %d others serve, %d requests on the old weights", id, loads, serving, e.running)
	}
}

// settled reports whether all engines have the desired weights and are in use.
func (f *fleet) settled() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range f.engines {
		if e.weights != f.document.Models[0].Weights || e.loading || e.draining {
			return false
		}
	}
	return f.problem == ""
}

// Guards against more than two loads at a time, a model without an engine, a
// stream cut by a load, and a fleet that never gets the desired weights, under
// racing configuration changes, lost table answers and outages.
func TestRollingUpdate(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		engines := rapid.IntRange(2, 7).Draw(rt, "Engines")
		second := time.Duration(rapid.IntRange(0, 30).Draw(rt, "SecondChange")) * time.Second
		faultAt := time.Duration(rapid.IntRange(0, 30).Draw(rt, "FaultAt")) * time.Second
		faults := rcfaketable.Faults{
			LoseAnswers: rapid.IntRange(0, 5).Draw(rt, "LoseAnswers"),
			DropCommits: rapid.IntRange(0, 5).Draw(rt, "DropCommits"),
			Down:        rapid.Bool().Draw(rt, "Down"),
		}
		var f *fleet
		settled := false
		synctest.Test(t, func(t *testing.T) {
			table := rcfaketable.New()
			f = newFleet(engines)
			ctx, cancel := context.WithCancel(t.Context())
			f.instance(ctx, "a", table)
			f.instance(ctx, "b", table)
			f.desire(2, "w2")
			time.AfterFunc(second, func() { f.desire(3, "w3") })
			time.AfterFunc(faultAt, func() { table.SetFaults(faults) })
			time.AfterFunc(faultAt+5*time.Second, func() { table.SetFaults(rcfaketable.Faults{}) })
			time.Sleep(5 * time.Minute)
			settled = f.settled()
			cancel()
			time.Sleep(time.Minute)
		})
		if !settled {
			rt.Fatalf("not settled: %s", f.problem)
		}
	})
}

// Guards against a paused holder whose order arrives when another has taken
// over: an engine that checks fences refuses it, one that does not is ordered
// anew. Without the wait of a new holder both would order at the same time.
func TestPausedHolder(t *testing.T) {
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 0))
			table := rcfaketable.New()
			f := newFleet(4)
			ctx, cancel := context.WithCancel(t.Context())
			firstCtx, stopFirst := context.WithCancel(ctx)
			f.instance(firstCtx, "a", table)
			time.Sleep(leaseTime + defaultOrderTimeout + time.Second)
			f.mu.Lock()
			f.pauseAt, f.pause = "a", 90*time.Second
			f.mu.Unlock()
			f.desire(2, "w2")
			f.instance(ctx, "b", table)
			time.Sleep(time.Duration(2000+random.IntN(8000)) * time.Millisecond)
			stopFirst()
			f.desire(3, "w3")
			time.Sleep(4 * time.Minute)
			require.True(t, f.settled(), f.problem)
			for _, order := range f.late {
				require.Equal(t, radishcrank.WeightsVersion("w2"), order.Weights)
			}
			cancel()
			time.Sleep(2 * time.Minute)
		})
	}
}

// Guards against an intent or slot that an older holder writes after a newer
// one has begun, and against a holder that begins with an older fencing number.
func TestFenceStopsOlderHolder(t *testing.T) {
	table := rcfaketable.New()
	older, err := open(t.Context(), table, 3)
	require.NoError(t, err)
	require.NoError(t, older.put(t.Context(), 0, slot{Upstream: "e0"}, intent{Upstream: "e0", Open: true}))
	newer, err := open(t.Context(), table, 4)
	require.NoError(t, err)
	require.Equal(t, radishcrank.UpstreamID("e0"), newer.slots[0].Upstream)
	require.ErrorIs(t, older.put(t.Context(), 1, slot{Upstream: "e1"}, intent{Upstream: "e1", Open: true}), radishcrank.ErrConflict)
	require.ErrorIs(t, older.checkFence(t.Context()), errSuperseded)
	require.NoError(t, newer.put(t.Context(), 1, slot{Upstream: "e1"}, intent{Upstream: "e1", Open: true}))
	_, err = open(t.Context(), table, 3)
	require.ErrorIs(t, err, errSuperseded)
}

// Guards against a slot that is freed a second time after the answer of its
// first release was lost, when another engine's load occupies it already.
func TestLostAnswerOfRelease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := rcfaketable.New()
		rows, err := open(t.Context(), table, 1)
		require.NoError(t, err)
		board := rcboard.New()
		for _, id := range []radishcrank.UpstreamID{"e1", "e2", "e3", "e9"} {
			board.Upstreams.Put(id, radishcrank.Upstream{ID: id, Role: radishcrank.RoleEngine, Models: []radishcrank.ModelID{model}, Load: radishcrank.LoadReport{
				Weights: map[radishcrank.ModelID]radishcrank.WeightsVersion{model: "w1"}, ReportedAt: time.Now(),
			}})
		}
		f := newFleet(10)
		f.desire(2, "w2")
		f.pauseAt, f.pause = "a", time.Minute
		cfg := New(Config{Board: board, Dialer: dialer{f, "a"}, LeaseDuration: leaseTime, Document: func() *rcconfig.Document { return f.document }}).cfg
		newTask := func(id radishcrank.UpstreamID, p phase, slot int) *task {
			return &task{up: id, model: model, weights: "w2", revision: 2, phase: p, slot: slot, started: time.Now(), cancel: func() {}, resume: func() {}}
		}
		l := &leader{
			cfg: cfg, term: &rclease.Term{}, rows: rows, began: time.Now(), limiter: rate.NewLimiter(rate.Inf, 1), cancel: func() {},
			tasks:   map[radishcrank.UpstreamID]*task{"e1": newTask("e1", phaseWaiting, 0), "e3": newTask("e3", phaseLoading, 1), "e9": newTask("e9", phaseLoading, 0)},
			delayed: make(map[radishcrank.UpstreamID]time.Time), seen: make(map[radishcrank.UpstreamID]sighting), results: make(chan result, 8),
		}
		require.NoError(t, rows.put(t.Context(), 0, slot{Upstream: "e9"}, intent{Upstream: "e9", Open: true}))
		require.NoError(t, rows.put(t.Context(), 1, slot{Upstream: "e3"}, intent{Upstream: "e3", Open: true}))
		l.tasks["e9"].refused = true
		table.SetFaults(rcfaketable.Faults{LoseAnswers: 1})
		for range 4 {
			require.NoError(t, l.step(t.Context()))
		}
		require.Equal(t, radishcrank.UpstreamID("e1"), rows.slots[0].Upstream)
		l.abandon()
	})
}

// Guards against the update of a model's only engine, and against orders from a
// holder that does not have the newest configuration.
func TestNoOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := rcfaketable.New()
		f := newFleet(1)
		ctx, cancel := context.WithCancel(t.Context())
		f.instance(ctx, "a", table)
		f.desire(2, "w2")
		time.Sleep(time.Minute)
		require.Equal(t, radishcrank.WeightsVersion("w1"), f.engines["e0"].weights)
		f.mu.Lock()
		f.engines["e1"] = &engine{checksFence: true, weights: "w2"}
		f.mu.Unlock()
		time.Sleep(time.Minute)
		require.True(t, f.settled(), f.problem)
		f.desire(1, "w1")
		time.Sleep(time.Minute)
		require.Equal(t, radishcrank.WeightsVersion("w2"), f.engines["e0"].weights)
		cancel()
		time.Sleep(time.Minute)
	})
}
