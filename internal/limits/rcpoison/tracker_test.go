package rcpoison

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/serving/rcrelay"
	"github.com/radishcrank/radishcrank/internal/state/rcboard"
	"github.com/radishcrank/radishcrank/internal/testing/rcbubble"
	_ "github.com/radishcrank/radishcrank/internal/testing/rcseed"
)

const poison = "poison"

// fleet is a set of engines that crash, with all their runs, when they run the
// request with the prompt poison.
type fleet struct {
	mu         sync.Mutex
	random     *rand.Rand
	engines    []*engine
	crashes    int
	poisonRuns int // Number of runs of the poison request.
}

type engine struct {
	radishcrank.Engine
	f           *fleet
	incarnation radishcrank.Incarnation
	crashed     chan struct{}
	running     int
}

func newFleet(n int, seed uint64) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(seed, 0))}
	for range n {
		f.engines = append(f.engines, &engine{f: f, incarnation: 1, crashed: make(chan struct{})})
	}
	return f
}

func (f *fleet) Choose(_ context.Context, _ radishcrank.Request, exclude []radishcrank.UpstreamID) (radishcrank.Placement, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, i := range f.random.Perm(len(f.engines)) {
		id := radishcrank.UpstreamID(fmt.Sprint(i))
		if !slices.Contains(exclude, id) {
			return radishcrank.Placement{Weights: "w", Upstream: radishcrank.Upstream{ID: id, Incarnation: f.engines[i].incarnation}}, nil
		}
	}
	return radishcrank.Placement{}, &radishcrank.Refusal{Status: 503, Code: "no_engine", Outcome: radishcrank.OutcomeNotRun}
}

func (f *fleet) Observe(radishcrank.Request, radishcrank.Placement, radishcrank.Observation) {}

func (f *fleet) Engine(up radishcrank.Upstream) radishcrank.Engine {
	return f.engines[up.ID[0]-'0']
}

func (e *engine) Generate(ctx context.Context, req radishcrank.GenerateRequest) (radishcrank.TokenStream, error) {
	e.f.mu.Lock()
	defer e.f.mu.Unlock()
	if req.Prompt == poison {
		e.f.poisonRuns++
	}
	e.running++
	return &stream{ctx: ctx, e: e, crashed: e.crashed, next: req.ResumeFrom, poison: req.Prompt == poison}, nil
}

type stream struct {
	ctx     context.Context
	e       *engine
	crashed chan struct{}
	next    int
	poison  bool
}

func (s *stream) Recv() (radishcrank.Token, error) {
	select {
	case <-time.After(50 * time.Millisecond):
	case <-s.ctx.Done():
		return radishcrank.Token{}, s.ctx.Err()
	case <-s.crashed:
		return radishcrank.Token{}, radishcrank.ErrTruncated
	}
	if s.poison {
		s.e.f.mu.Lock()
		defer s.e.f.mu.Unlock()
		s.e.f.crashes++
		s.e.incarnation++
		close(s.e.crashed)
		s.e.crashed = make(chan struct{})
		return radishcrank.Token{}, radishcrank.ErrTruncated
	}
	if s.next == 4 {
		return radishcrank.Token{}, io.EOF
	}
	s.next++
	return radishcrank.Token{Index: s.next - 1}, nil
}

func (s *stream) Finish() radishcrank.Finish { return radishcrank.Finish{Reason: "stop"} }
func (s *stream) Close() error               { return nil }

type sink struct{}

func (sink) Token(radishcrank.Token) error   { return nil }
func (sink) Finish(radishcrank.Finish) error { return nil }

// memoryStore is an in-memory VerdictStore that fails while down is set.
type memoryStore struct {
	mu   sync.Mutex
	rows map[Key]Record
	down bool
}

func (m *memoryStore) Load(context.Context) ([]Record, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.down {
		return nil, radishcrank.ErrUnavailable
	}
	var out []Record
	for _, r := range m.rows {
		out = append(out, r)
	}
	return out, nil
}

func (m *memoryStore) Expire() {}

func (m *memoryStore) Store(_ context.Context, r Record) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.down {
		return radishcrank.ErrUnavailable
	}
	m.rows[r.Key] = r
	return nil
}

// Guards against a request that crashes one engine after the other, against other
// requests that fail or are refused because of it, and against crash counts that
// restart when the request is resubmitted through another instance.
func TestCrashingContentIsRefused(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		engines, seed := rapid.IntRange(8, 9).Draw(rt, "engines"), rapid.Uint64().Draw(rt, "seed")
		innocents := rapid.SliceOfN(rapid.IntRange(0, 400), 0, 40).Draw(rt, "innocents") // Arrival times in milliseconds.
		attempts := rapid.IntRange(1, 4).Draw(rt, "attempts")
		rcbubble.Run(t, func() {
			f := newFleet(engines, seed)
			board := rcboard.New()
			board.Instances.Put("i0", radishcrank.Instance{})
			board.Instances.Put("i1", radishcrank.Instance{})
			for i := range engines {
				board.Upstreams.Put(radishcrank.UpstreamID(fmt.Sprint(i)), radishcrank.Upstream{Role: radishcrank.RoleEngine})
			}
			trackers := []*Tracker{New(Config{Board: board, Instance: "i0"}), New(Config{Board: board, Instance: "i1"})}
			relay := func(i, attempts int) *rcrelay.Relay {
				return rcrelay.New(rcrelay.Config{Board: rcboard.New(), Chooser: f, Dialer: f, MaxAttempts: attempts, CrashTracker: trackers[i]})
			}
			innocentRelay := relay(0, 4)
			failures := make(chan error, len(innocents))
			var wg sync.WaitGroup
			for n, arrival := range innocents {
				wg.Go(func() {
					time.Sleep(time.Duration(arrival) * time.Millisecond)
					req := radishcrank.Request{ID: radishcrank.RequestID(fmt.Sprint(n)), Account: "a", Prompt: fmt.Sprint("innocent", n%5)}
					failures <- innocentRelay.Generate(context.Background(), req, sink{})
				})
			}
			bad := radishcrank.Request{ID: "bad", Account: "a", Prompt: poison}
			var refusal *radishcrank.Refusal
			for i := 0; ; i++ {
				err := relay(i%2, attempts).Generate(context.Background(), bad, sink{})
				trackers[0].Merge(trackers[1].Export())
				trackers[1].Merge(trackers[0].Export())
				require.True(rt, errors.As(err, &refusal))
				if refusal.Outcome == radishcrank.OutcomeNotRun && refusal.Code == "request_crashes_engines" {
					break
				}
				require.Less(rt, i, VerdictThreshold+1)
			}
			wg.Wait()
			close(failures)
			for err := range failures {
				require.NoError(rt, err)
			}
			require.Equal(rt, VerdictThreshold, f.crashes)
			require.Equal(rt, VerdictThreshold, f.poisonRuns)
			require.Zero(rt, refusal.RetryAfter)
			for n := range innocents {
				require.NoError(rt, trackers[1].Check(radishcrank.Request{Account: "a", Prompt: fmt.Sprint("innocent", n%5)}))
			}
			require.Empty(rt, trackers[0].upstreams)
		})
	})
}

// Guards against other runs on an upstream that is reserved for a suspect.
func TestIsolation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tr := New(Config{Board: rcboard.New(), Instance: "i0"})
		suspect, other := radishcrank.Request{Prompt: "s"}, radishcrank.Request{Prompt: "o"}
		for i := range IsolationThreshold {
			end, err := tr.StartRun(t.Context(), suspect, radishcrank.Upstream{ID: "u", Incarnation: radishcrank.Incarnation(i + 1)})
			require.NoError(t, err)
			end(true, false)
		}
		up := radishcrank.Upstream{ID: "u", Incarnation: 9}
		leave, err := tr.StartRun(t.Context(), other, up)
		require.NoError(t, err)
		entered := make(chan func(crashed, finished bool), 1)
		go func() {
			end, _ := tr.StartRun(t.Context(), suspect, up)
			entered <- end
		}()
		synctest.Wait()
		require.Empty(t, entered, "the suspect must wait until the upstream is idle")
		_, err = tr.StartRun(t.Context(), other, up)
		require.ErrorIs(t, err, radishcrank.ErrUpstreamBusy)
		excluded, _, changed := tr.ExcludedUpstreams(other)
		require.Equal(t, []radishcrank.UpstreamID{"u"}, excluded)
		leave(false, true)
		end := <-entered
		_, err = tr.StartRun(t.Context(), other, up)
		require.ErrorIs(t, err, radishcrank.ErrUpstreamBusy)
		end(false, true)
		<-changed
		require.Zero(t, tr.CrashCount(suspect), "a complete run must void the crashes")
		_, err = tr.StartRun(t.Context(), other, up)
		require.NoError(t, err)
	})
}

// Guards against a crash that counts once for each request that it interrupted.
func TestCrashCountsOnce(t *testing.T) {
	tr := New(Config{Board: rcboard.New(), Instance: "i0"})
	up := radishcrank.Upstream{ID: "u"} // The incarnation is unknown.
	var ends []func(crashed, finished bool)
	for i := range 5 {
		end, err := tr.StartRun(t.Context(), radishcrank.Request{Prompt: fmt.Sprint(i)}, up)
		require.NoError(t, err)
		ends = append(ends, end)
	}
	for _, end := range ends {
		end(true, false)
	}
	for i := range 5 {
		require.Equal(t, 1, tr.CrashCount(radishcrank.Request{Prompt: fmt.Sprint(i)}))
	}
}

// Guards against a verdict on a content that many callers send concurrently: it is
// in flight during several crashes but has never crashed an engine in isolation.
func TestSharedCrashesCauseNoVerdict(t *testing.T) {
	tr := New(Config{Board: rcboard.New(), Instance: "i0"})
	hot := radishcrank.Request{Prompt: "hot"}
	var ends []func(crashed, finished bool)
	for i := range 2 * VerdictThreshold {
		end, err := tr.StartRun(t.Context(), hot, radishcrank.Upstream{ID: radishcrank.UpstreamID(fmt.Sprint(i / 2)), Incarnation: 1})
		require.NoError(t, err)
		ends = append(ends, end)
	}
	for _, end := range ends {
		end(true, false)
	}
	require.Equal(t, VerdictThreshold, tr.CrashCount(hot))
	require.NoError(t, tr.Check(hot))
}

// Guards against a verdict on a harmless content if two instances isolate their
// suspects on the same upstream and the other suspect crashes it, and against a
// missing verdict on the content that causes the crashes.
func TestConcurrentIsolationIsInconclusive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &memoryStore{rows: make(map[Key]Record)}
		a := New(Config{Board: rcboard.New(), Instance: "i0", VerdictStore: m})
		b := New(Config{Board: rcboard.New(), Instance: "i1"})
		go a.Run(t.Context())
		innocent, culprit := radishcrank.Request{Prompt: "innocent"}, radishcrank.Request{Prompt: "culprit"}
		exchange := func() {
			a.Merge(b.Export())
			b.Merge(a.Export())
		}
		run := func(tr *Tracker, req radishcrank.Request, incarnation int, crashed bool) {
			end, err := tr.StartRun(t.Context(), req, radishcrank.Upstream{ID: "u", Incarnation: radishcrank.Incarnation(incarnation)})
			require.NoError(t, err)
			end(crashed, !crashed)
		}
		for incarnation := range VerdictThreshold {
			run(a, innocent, incarnation+1, true)
			run(b, culprit, incarnation+1, true)
		}
		require.Error(t, a.Check(innocent))
		exchange()
		require.NoError(t, a.Check(innocent))
		require.NoError(t, b.Check(culprit))
		run(a, innocent, 9, false)
		run(b, culprit, 10, true)
		exchange()
		require.NoError(t, b.Check(innocent))
		require.Zero(t, b.CrashCount(innocent))
		require.Error(t, a.Check(culprit))
		time.Sleep(time.Minute)
		synctest.Wait()
		require.Len(t, m.rows, 1, "the withdrawn verdict must not be stored")
		require.Contains(t, m.rows, KeyOf(culprit))
	})
}

// Guards against merge results that depend on the order or number of merges.
func TestMergeIsCommutative(t *testing.T) {
	record := rapid.Custom(func(t *rapid.T) Record {
		r := Record{Key: "k", Updated: time.Now()}
		for range rapid.IntRange(0, 4).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "clear") {
				r.voidAll()
			}
			r.addCrashes(Crash{ID: rapid.SampledFrom([]string{"a", "b", "c", "d", "e"}).Draw(t, "id"), Alone: rapid.Bool().Draw(t, "alone")})
		}
		return r
	})
	rapid.Check(t, func(t *rapid.T) {
		records := rapid.SliceOfN(record, 1, 4).Draw(t, "records")
		shuffled := append(rapid.Permutation(records).Draw(t, "order"), records...)
		a, b := New(Config{Board: rcboard.New()}), New(Config{Board: rcboard.New()})
		a.Merge(records)
		b.Merge(shuffled)
		want, got := a.records["k"], b.records["k"]
		require.Equal(t, want.Voided, got.Voided)
		require.Equal(t, want.Verdict, got.Verdict)
		require.Equal(t, len(want.Crashes), len(got.Crashes))
	})
}

// Guards against a verdict that is lost because the store was unavailable, and
// against a restarted instance that does not load stored verdicts.
func TestVerdictsAreStored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &memoryStore{rows: make(map[Key]Record), down: true}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		tr := New(Config{Board: rcboard.New(), VerdictStore: m})
		go tr.Run(ctx)
		req := radishcrank.Request{Prompt: "p"}
		for i := range VerdictThreshold {
			end, err := tr.StartRun(ctx, req, radishcrank.Upstream{ID: "u", Incarnation: radishcrank.Incarnation(i + 1)})
			require.NoError(t, err)
			end(true, false)
		}
		time.Sleep(time.Minute)
		m.mu.Lock()
		m.down = false
		m.mu.Unlock()
		time.Sleep(time.Minute)
		restarted := New(Config{Board: rcboard.New(), VerdictStore: m})
		go restarted.Run(ctx)
		synctest.Wait()
		require.Error(t, restarted.Check(req))
	})
}

// TestVerdictIsStoredInTime guards against a verdict that is stored later than
// Config.StoreDelay demands and is lost if all instances are killed before that.
func TestVerdictIsStoredInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const delay = 1500 * time.Millisecond
		m := &memoryStore{rows: make(map[Key]Record)}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		tr := New(Config{Board: rcboard.New(), VerdictStore: m, StoreDelay: delay})
		go tr.Run(ctx)
		for i := range VerdictThreshold {
			end, err := tr.StartRun(ctx, radishcrank.Request{Prompt: "p"}, radishcrank.Upstream{ID: "u", Incarnation: radishcrank.Incarnation(i + 1)})
			require.NoError(t, err)
			end(true, false)
		}
		time.Sleep(2 * delay)
		m.mu.Lock()
		defer m.mu.Unlock()
		require.Len(t, m.rows, 1)
	})
}

// TestVerdictIsStoredAgainAfterLoss guards against crashing content that reaches
// upstreams again through a restarted instance, because the store came back from a copy
// without its verdict.
func TestVerdictIsStoredAgainAfterLoss(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &memoryStore{rows: make(map[Key]Record)}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		tr := New(Config{Board: rcboard.New(), VerdictStore: m})
		go tr.Run(ctx)
		req := radishcrank.Request{Prompt: "p"}
		for i := range VerdictThreshold {
			end, err := tr.StartRun(ctx, req, radishcrank.Upstream{ID: "u", Incarnation: radishcrank.Incarnation(i + 1)})
			require.NoError(t, err)
			end(true, false)
		}
		time.Sleep(time.Minute)
		m.mu.Lock()
		require.Len(t, m.rows, 1)
		clear(m.rows)
		m.mu.Unlock()
		tr.StoreAgain()
		time.Sleep(storeInterval)
		synctest.Wait() // The round that begins now has ended.
		restarted := New(Config{Board: rcboard.New(), VerdictStore: m})
		go restarted.Run(ctx)
		synctest.Wait()
		require.Error(t, restarted.Check(req))
	})
}
