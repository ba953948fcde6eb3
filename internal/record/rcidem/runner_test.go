package rcidem

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/standin/rcfaketable"
	"github.com/radishcrank/radishcrank/internal/state/rcboard"
)

// fakeClient simulates a service whose upstreams share one set of executed calls.
type fakeClient struct {
	mu          sync.Mutex
	runs        map[string]int
	attempted   []radishcrank.UpstreamID
	refuses     map[radishcrank.UpstreamID]bool
	delay       time.Duration
	body        []byte
	lookupFinds bool // Lookup finds calls that ran.
	status      int  // Of the responses to calls.
}

func (c *fakeClient) Call(_ context.Context, up radishcrank.Upstream, call radishcrank.ServiceCall) (radishcrank.ServiceResponse, error) {
	time.Sleep(c.delay)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.attempted = append(c.attempted, up.ID)
	if c.refuses[up.ID] {
		return radishcrank.ServiceResponse{}, radishcrank.ErrNotSent
	}
	c.runs[call.IdempotencyKey]++
	return radishcrank.ServiceResponse{Status: c.status, ContentType: "text/plain", Body: c.body}, nil
}

func (c *fakeClient) Lookup(_ context.Context, _ radishcrank.Upstream, call radishcrank.ServiceCall) (radishcrank.ServiceResponse, bool, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return radishcrank.ServiceResponse{Status: http.StatusCreated, Body: c.body}, c.lookupFinds && c.runs[call.IdempotencyKey] > 0, nil
}

func newFake() (*rcfaketable.Table, *fakeClient) {
	return rcfaketable.New(), &fakeClient{runs: make(map[string]int), refuses: make(map[radishcrank.UpstreamID]bool), body: []byte("booked"), lookupFinds: true, status: http.StatusCreated}
}

func newRunner(id radishcrank.InstanceID, table radishcrank.TableService, client *fakeClient) *Runner {
	board := rcboard.New()
	for _, zone := range []radishcrank.AvailabilityZone{"a", "b"} {
		for n := range 2 {
			up := radishcrank.UpstreamID(fmt.Sprintf("%s%d", zone, n))
			board.Upstreams.Put(up, radishcrank.Upstream{ID: up, Role: radishcrank.RoleService, Service: "booking", Zone: zone})
		}
	}
	return New(Config{
		Instance: id, Incarnation: 1, Zone: "b", Board: board, Table: table, Client: client,
		IsDead: func(id radishcrank.InstanceID, _ radishcrank.Incarnation) bool { return id == "gone" },
	})
}

func call(key, body string) radishcrank.ServiceCall {
	return radishcrank.ServiceCall{Account: "acc", Service: "booking", Method: http.MethodPost, Path: "/releases", Body: []byte(body), IdempotencyKey: key}
}

func drain(t *testing.T, runners ...*Runner) {
	for _, r := range runners {
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		require.Empty(t, r.Drain(ctx))
		cancel()
	}
}

func outcomeOf(err error) radishcrank.Outcome { return radishcrank.AsRefusal(err).Outcome }

// Guards against a repeat on another instance that runs the call again, gets a
// different response, or accepts a different body with the same key.
func TestRepeatOnOtherInstance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table, client := newFake()
		one, two := newRunner("one", table, client), newRunner("two", table, client)
		client.delay = 3 * time.Second
		var wg sync.WaitGroup
		for _, r := range []*Runner{one, two, one} {
			wg.Go(func() {
				response, err := r.Run(t.Context(), call("k", "x"))
				require.NoError(t, err)
				require.Equal(t, radishcrank.ServiceResponse{Status: http.StatusCreated, ContentType: "text/plain", Body: client.body}, response)
			})
		}
		wg.Wait()
		_, err := two.Run(t.Context(), call("k", "y"))
		require.Equal(t, http.StatusUnprocessableEntity, radishcrank.AsRefusal(err).Status)
		require.Equal(t, map[string]int{"k": 1}, client.runs)
		require.Equal(t, radishcrank.AvailabilityZone("b"), radishcrank.AvailabilityZone(client.attempted[0][:1]), "must try its own zone first")
		drain(t, one, two)
	})
}

// Guards against a caller that waits past its deadline for a call that runs on
// another instance, and against a refusal with a wrong outcome or without a
// Retry-After hint.
func TestWaitEndsWithCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table, client := newFake()
		one, two := newRunner("one", table, client), newRunner("two", table, client)
		client.delay = 20 * time.Second
		go one.Run(context.Background(), call("k", "x"))
		synctest.Wait()
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		defer cancel()
		start := time.Now()
		_, err := two.Run(ctx, call("k", "x"))
		refusal := radishcrank.AsRefusal(err)
		require.Equal(t, 2*time.Second, time.Since(start))
		require.Equal(t, radishcrank.OutcomeMayHaveRun, refusal.Outcome)
		require.Positive(t, refusal.RetryAfter)
		drain(t, one, two)
	})
}

// Guards against a response that is delayed or lost while the table service is
// unavailable, and against new calls that run without a record.
func TestTableOutageDuringCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table, client := newFake()
		one, two := newRunner("one", table, client), newRunner("two", table, client)
		client.delay = time.Second
		done := make(chan error)
		go func() {
			_, err := one.Run(context.Background(), call("k", "x"))
			done <- err
		}()
		synctest.Wait()
		table.SetFaults(rcfaketable.Faults{Down: true})
		start := time.Now()
		require.NoError(t, <-done)
		require.Equal(t, time.Second, time.Since(start))
		_, err := one.Run(t.Context(), call("other", "x"))
		require.Equal(t, radishcrank.OutcomeNotRun, outcomeOf(err))
		require.Zero(t, client.runs["other"])
		response, err := one.Run(t.Context(), call("k", "x"))
		require.NoError(t, err)
		require.Equal(t, client.body, response.Body)

		time.Sleep(time.Hour)
		table.SetFaults(rcfaketable.Faults{})
		time.Sleep(2 * settleRetryMax)
		client.lookupFinds = false
		response, err = two.Run(t.Context(), call("k", "x"))
		require.NoError(t, err)
		require.Equal(t, client.body, response.Body)
		drain(t, one, two)
	})
}

// Guards against a row that exceeds MaxRowBytes, and against a repeat that gets a
// truncated response.
func TestLargeAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table, client := newFake()
		r := newRunner("one", table, client)
		for _, size := range []int{MaxStoredResponseBytes, MaxStoredResponseBytes + 1} {
			client.body = bytes.Repeat([]byte("x"), size)
			client.lookupFinds = true
			key := strings.Repeat("k", maxKeyBytes-1) + fmt.Sprint(size%10)
			for range 2 {
				response, err := r.Run(t.Context(), call(key, "x"))
				require.NoError(t, err)
				require.Len(t, response.Body, size)
				time.Sleep(time.Second)
			}
		}
		client.lookupFinds = false
		_, err := r.Run(t.Context(), call(strings.Repeat("k", maxKeyBytes-1)+fmt.Sprint((MaxStoredResponseBytes+1)%10), "x"))
		require.Equal(t, radishcrank.OutcomeRan, outcomeOf(err))
		rows, err := table.Scan(t.Context(), rowPrefix, "", 10)
		require.NoError(t, err)
		for _, row := range rows {
			require.LessOrEqual(t, len(row.Value), MaxRowBytes)
		}
		drain(t, r)
	})
}

// Guards against a repeat that gets the status 000 that an earlier version recorded.
func TestRecordedStatusIsNoStatus(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table, client := newFake()
		one, two := newRunner("one", table, client), newRunner("two", table, client)
		client.status = 0
		_, err := one.Run(t.Context(), call("k", "x"))
		require.NoError(t, err)
		time.Sleep(time.Second)
		response, err := two.Run(t.Context(), call("k", "x"))
		require.NoError(t, err)
		require.Equal(t, http.StatusCreated, response.Status)
		client.lookupFinds = false
		_, err = two.Run(t.Context(), call("k", "x"))
		require.Equal(t, radishcrank.OutcomeRan, outcomeOf(err))
		require.Equal(t, 1, client.runs["k"])
		drain(t, one, two)
	})
}

// Guards against a caller that never gets a response because the instance that ran
// the call is dead, and against rows that are never deleted.
func TestDeadHolderAndExpiry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table, client := newFake()
		gone, r := newRunner("gone", table, client), newRunner("one", table, client)
		r.cfg.SettleInterval = time.Minute // Fewer rounds during the three days below.
		client.delay = time.Hour
		go gone.Run(context.Background(), call("ran", "x"))
		go gone.Run(context.Background(), call("unsent", "x"))
		synctest.Wait()
		client.mu.Lock()
		client.runs["ran"]++
		client.mu.Unlock()
		ctx, cancel := context.WithCancel(t.Context())
		go r.RunSettlement(ctx)
		time.Sleep(5 * time.Minute)
		open, err := table.Scan(t.Context(), openCallPrefix, "", 10)
		require.NoError(t, err)
		require.Empty(t, open)
		client.lookupFinds = false
		response, err := r.Run(t.Context(), call("ran", "x"))
		require.NoError(t, err)
		require.Equal(t, client.body, response.Body)
		_, err = r.Run(t.Context(), call("unsent", "x"))
		require.Equal(t, radishcrank.OutcomeMayHaveRun, outcomeOf(err))

		gone.stop()
		time.Sleep(defaultRetention + time.Hour)
		rows, err := table.Scan(t.Context(), rowPrefix, "", 10)
		require.NoError(t, err)
		require.Empty(t, rows)
		cancel()
		drain(t, r)
	})
}

// Guards against calls that fail because one upstream refuses connections although
// another one accepts them, and against NotRun rows that block a later attempt.
func TestRefusedConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table, client := newFake()
		one, two := newRunner("one", table, client), newRunner("two", table, client)
		client.refuses["b0"], client.refuses["b1"], client.refuses["a0"] = true, true, true
		_, err := one.Run(t.Context(), call("k", "x"))
		require.NoError(t, err)
		client.refuses["a1"] = true
		_, err = one.Run(t.Context(), call("other", "x"))
		require.Equal(t, radishcrank.OutcomeNotRun, outcomeOf(err))
		client.refuses["a1"] = false
		_, err = two.Run(t.Context(), call("other", "x"))
		require.NoError(t, err)
		lookup := call("", "")
		lookup.Method = http.MethodGet
		_, err = two.Run(t.Context(), lookup)
		require.NoError(t, err)
		drain(t, one, two)
	})
}

// Guards against changes that fail, or are applied twice, because another change of
// the same group conflicts, and against more transactions than grouping should need.
func TestBatchSplitsOnConflict(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		conflicts := rapid.SliceOfN(rapid.Bool(), 1, 150).Draw(rt, "Conflicts")
		synctest.Test(t, func(t *testing.T) {
			table := rcfaketable.New()
			table.SetFaults(rcfaketable.Faults{Delay: time.Millisecond})
			b := &batcher{ctx: t.Context(), table: table, timeout: time.Second}
			var wg sync.WaitGroup
			for i, conflict := range conflicts {
				check := radishcrank.Check{Key: fmt.Sprint(i)}
				if conflict {
					check.Version = 7
				}
				wg.Go(func() {
					err := b.commit(check, radishcrank.Write{Key: check.Key, Value: []byte("v")})
					require.Equal(t, conflict, errors.Is(err, radishcrank.ErrConflict))
				})
			}
			wg.Wait()
			failed := 0
			for i, conflict := range conflicts {
				if conflict {
					failed++
				}
				rows, err := table.Get(t.Context(), fmt.Sprint(i))
				require.NoError(t, err)
				require.Equal(t, !conflict, rows[0].Version == 1)
			}
			// Each conflict causes at most two commits per level of bisection.
			const levels = 7
			require.LessOrEqual(t, table.Counts().Commits, maxCommitsInFlight+len(conflicts)/maxGroupChanges+1+2*levels*failed)
		})
	})
}
