package rcwatch

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/routing/rcdecision"
	"github.com/radishcrank/radishcrank/internal/routing/rcindex"
	"github.com/radishcrank/radishcrank/internal/standin/rcfakelist"
	"github.com/radishcrank/radishcrank/internal/state/rcboard"
	_ "github.com/radishcrank/radishcrank/internal/testing/rcseed"
)

// fakeEngine is an in-memory engine, so that tests can run in virtual time.
type fakeEngine struct {
	mu       sync.Mutex
	report   radishcrank.LoadReport
	down     bool
	silent   bool // Load blocks until the context ends.
	events   []radishcrank.CacheEvent
	reports  int
	reads    []uint64 // Arguments of the calls to Events.
	bytes    int
	exported []radishcrank.BlockHash
	imported []radishcrank.BlockHash
}

func (e *fakeEngine) Generate(context.Context, radishcrank.GenerateRequest) (radishcrank.TokenStream, error) {
	return nil, radishcrank.ErrNotSent
}

func (e *fakeEngine) Load(ctx context.Context) (radishcrank.LoadReport, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.reports++
	e.bytes += reportBytes
	if e.silent {
		e.mu.Unlock()
		<-ctx.Done()
		e.mu.Lock()
		return radishcrank.LoadReport{}, ctx.Err()
	}
	if e.down {
		return radishcrank.LoadReport{}, errors.New("down")
	}
	report := e.report
	report.ReportedAt = time.Now()
	return report, nil
}

func (e *fakeEngine) Events(_ context.Context, from uint64) (radishcrank.CacheEventBatch, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.reads = append(e.reads, from)
	batch := radishcrank.CacheEventBatch{Incarnation: e.report.Incarnation, First: 1}
	if len(e.events) > 0 {
		batch.First = e.events[0].Seq
	}
	e.bytes += batchBytes
	for _, event := range e.events {
		if event.Seq >= from {
			batch.Events = append(batch.Events, event)
			e.bytes += eventBytes + blockBytes*len(event.Blocks)
		}
	}
	return batch, nil
}

func (e *fakeEngine) Export(_ context.Context, blocks []radishcrank.BlockHash) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.exported = append(e.exported, blocks...)
	return nil
}

func (e *fakeEngine) Import(_ context.Context, blocks []radishcrank.BlockHash) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.imported = append(e.imported, blocks...)
	return nil
}

func (e *fakeEngine) Order(context.Context, radishcrank.Order) error { return nil }

func (e *fakeEngine) set(f func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	f()
}

// fakeFleet is an EngineDialer for fake engines.
type fakeFleet struct {
	engines map[radishcrank.UpstreamID]*fakeEngine
	listing radishcrank.Listing
}

func (f *fakeFleet) Engine(up radishcrank.Upstream) radishcrank.Engine { return f.engines[up.ID] }

func newFleet(n int, zone func(i int) radishcrank.AvailabilityZone) *fakeFleet {
	f := &fakeFleet{engines: make(map[radishcrank.UpstreamID]*fakeEngine)}
	for i := range n {
		id := radishcrank.UpstreamID(fmt.Sprintf("e%04d", i))
		f.engines[id] = &fakeEngine{report: radishcrank.LoadReport{
			Incarnation: 1,
			Weights:     map[radishcrank.ModelID]radishcrank.WeightsVersion{"m": "w"},
			CacheBlocks: 1000,
			MaxBatch:    8,
		}}
		f.listing.Upstreams = append(f.listing.Upstreams, radishcrank.Upstream{
			ID: id, Role: radishcrank.RoleEngine, Zone: zone(i), Models: []radishcrank.ModelID{"m"},
		})
	}
	return f
}

func oneZone(int) radishcrank.AvailabilityZone { return "z1" }

// testWatcher is a running Watcher with its dependencies.
type testWatcher struct {
	fleet *fakeFleet
	list  *rcfakelist.List
	board *rcboard.Board
	index *rcindex.Index
	cfg   Config
	stop  func()
}

func startWatcher(t *testing.T, fleet *fakeFleet, change func(cfg *Config)) *testWatcher {
	w := &testWatcher{fleet: fleet, list: rcfakelist.New(fleet.listing), board: rcboard.New(), index: rcindex.New(rcindex.Config{})}
	w.cfg = Config{Board: w.board, Lister: w.list, Dialer: fleet, Instance: "i1", Zone: "z1", Index: w.index}
	if change != nil {
		change(&w.cfg)
	}
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	wg.Go(func() { New(w.cfg).Run(ctx) })
	w.stop = func() { cancel(); wg.Wait() }
	time.Sleep(2 * time.Second)
	return w
}

func (w *testWatcher) setLeaving(i int) {
	listing := radishcrank.Listing{Upstreams: append([]radishcrank.Upstream(nil), w.fleet.listing.Upstreams...)}
	listing.Upstreams[i].Leaving = true
	w.list.Set(listing)
}

// Guards against slow engines that delay the processing of a leaving engine: it
// must get no new requests 2 s after it is listed as leaving.
func TestLeavingEngineGetsNoRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := startWatcher(t, newFleet(4, oneZone), nil)
		defer w.stop()
		chooser := rcdecision.New(rcdecision.Config{Board: w.board, BlockBytes: func() int { return 8 }, Index: w.index})
		for _, id := range []radishcrank.UpstreamID{"e0001", "e0002"} {
			w.fleet.engines[id].set(func() { w.fleet.engines[id].silent = true })
		}
		for _, delay := range []time.Duration{0, 300, 700} {
			time.Sleep(delay * time.Millisecond)
			w.setLeaving(0)
			time.Sleep(2 * time.Second)
			for i := range 50 {
				req := radishcrank.Request{ID: radishcrank.RequestID(fmt.Sprint(i)), Model: "m", Prompt: fmt.Sprint("prompt ", i)}
				p, err := chooser.Choose(t.Context(), req, nil)
				require.NoError(t, err)
				require.NotEqual(t, radishcrank.UpstreamID("e0000"), p.Upstream.ID)
				chooser.Observe(req, p, radishcrank.Observation{Kind: radishcrank.ObservedDone})
			}
			w.list.Set(w.fleet.listing)
			time.Sleep(2 * time.Second)
		}
	})
}

// Guards against an outage or fault of the platform's list that removes engines
// from the board, and against engines that stay after they really are gone.
func TestListOutageKeepsUpstreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := startWatcher(t, newFleet(8, oneZone), nil)
		defer w.stop()
		w.list.SetDown(true)
		time.Sleep(time.Minute)
		require.Equal(t, 8, w.board.Upstreams.Len())
		w.list.SetDown(false)
		w.list.Set(radishcrank.Listing{})
		time.Sleep(10 * time.Second)
		require.Equal(t, 8, w.board.Upstreams.Len())
		w.list.Set(radishcrank.Listing{Upstreams: w.fleet.listing.Upstreams[:7]})
		time.Sleep(2 * time.Second)
		require.Equal(t, 7, w.board.Upstreams.Len())
		w.list.Set(radishcrank.Listing{Upstreams: w.fleet.listing.Upstreams[:1]})
		time.Sleep(shrinkGracePeriod + 2*time.Second)
		require.Equal(t, 1, w.board.Upstreams.Len())
	})
}

// Guards against failed reports that are not counted or not reset by the next
// report, and against a late report of an old incarnation that overwrites the row.
func TestMissedReportsAreCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := startWatcher(t, newFleet(2, oneZone), nil)
		defer w.stop()
		e := w.fleet.engines["e0000"]
		e.set(func() { e.down = true })
		time.Sleep(2 * time.Second)
		row, _ := w.board.Upstreams.Get("e0000")
		require.GreaterOrEqual(t, row.MissedReports, 4)
		require.Greater(t, time.Since(row.Load.ReportedAt), time.Second)
		e.set(func() { e.down, e.report.Incarnation = false, 2 })
		time.Sleep(time.Second)
		row, _ = w.board.Upstreams.Get("e0000")
		require.Zero(t, row.MissedReports)
		require.Equal(t, radishcrank.Incarnation(2), row.Incarnation)
		e.set(func() { e.report.Incarnation = 1 })
		time.Sleep(time.Second)
		row, _ = w.board.Upstreams.Get("e0000")
		require.Equal(t, radishcrank.Incarnation(2), row.Incarnation)
	})
}

func block(i byte) radishcrank.BlockHash { return radishcrank.BlockHash{i, 15: i} }

// Guards against events that do not reach the index, and against a gap after
// which the events that the engine retains are not read again.
func TestEventsFeedIndex(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := startWatcher(t, newFleet(1, oneZone), nil)
		defer w.stop()
		e := w.fleet.engines["e0000"]
		scope := radishcrank.CacheScope{Account: "a", Model: "m", Weights: "w"}
		holders := func(i byte) []rcindex.Holder {
			return w.index.Lookup(scope, []radishcrank.BlockHash{block(i)}, nil)
		}
		store := func(seq uint64, i byte) {
			e.set(func() {
				event := radishcrank.CacheEvent{Seq: seq, Kind: radishcrank.CacheStored, Blocks: []radishcrank.BlockHash{block(i)}}
				e.events = append(e.events, event)
			})
			time.Sleep(time.Second)
		}
		store(1, 1)
		require.Len(t, holders(1), 1)
		e.set(func() { e.reads = nil })
		store(4, 4) // Events 2 and 3 are missing.
		require.InDelta(t, 1, holders(4)[0].Confidence, 0.01)
		e.set(func() {
			require.Contains(t, e.reads, uint64(1), "no resync after a gap")
			e.reads = nil
		})
		time.Sleep(time.Second)
		e.set(func() { require.NotContains(t, e.reads, uint64(1), "resync without a new gap") })
		e.set(func() { e.report.Incarnation, e.events = 2, nil })
		time.Sleep(time.Second)
		require.Empty(t, holders(4))
	})
}

// Guards against the loss of the hot prefixes of a leaving engine, and against
// more than one instance migrating them.
func TestLeavingEngineMigratesHotPrefixes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		scope := radishcrank.CacheScope{Account: "a", Model: "m", Weights: "w"}
		chain := []radishcrank.BlockHash{block(1), block(2)}
		exports := 0
		for _, instance := range []radishcrank.InstanceID{"i1", "i2", "i3"} {
			fleet := newFleet(3, oneZone)
			w := startWatcher(t, fleet, func(cfg *Config) {
				cfg.Instance = instance
				cfg.PlanMoves = func(leaving radishcrank.UpstreamID, _ int) []rcdecision.PrefixMigration {
					to, _ := cfg.Board.Upstreams.Get("e0002")
					return []rcdecision.PrefixMigration{{Destination: to, Scope: scope, Chain: chain[:1]}, {Destination: to, Scope: scope, Chain: chain}}
				}
				for _, id := range []radishcrank.InstanceID{"i1", "i2", "i3"} {
					cfg.Board.Instances.Put(id, radishcrank.Instance{ID: id, Zone: "z1"})
				}
			})
			w.setLeaving(0)
			time.Sleep(3 * time.Second)
			w.stop()
			if len(fleet.engines["e0000"].exported) > 0 {
				exports++
				require.Equal(t, chain, fleet.engines["e0000"].exported)
				require.Equal(t, chain, fleet.engines["e0002"].imported)
				require.Equal(t, 2, w.index.Lookup(scope, chain, nil)[0].Blocks)
			}
		}
		require.Equal(t, 1, exports)
	})
}
