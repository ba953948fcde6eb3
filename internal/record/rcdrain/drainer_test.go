package rcdrain

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/state/rcboard"
)

// unimplementedEngine provides the methods that a drain does not call. They panic,
// as the embedded interface is nil.
type unimplementedEngine = radishcrank.Engine

// fakeEngine records the orders it gets and reports the load that the test sets.
type fakeEngine struct {
	unimplementedEngine
	mu      sync.Mutex
	running int
	role    string
	orders  []radishcrank.Order
}

func (e *fakeEngine) Engine(radishcrank.Upstream) radishcrank.Engine { return e }

func (e *fakeEngine) Load(context.Context) (radishcrank.LoadReport, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return radishcrank.LoadReport{Running: e.running, Role: e.role}, nil
}

func (e *fakeEngine) Order(_ context.Context, o radishcrank.Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.role = o.Role
	e.orders = append(e.orders, o)
	return nil
}

func (e *fakeEngine) setRunning(running int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running = running
}

// state returns the current role and all orders received so far.
func (e *fakeEngine) state() (role string, orders []radishcrank.Order) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.role, e.orders
}

func newDrainer(e *fakeEngine, valid func() bool) *Drainer {
	board := rcboard.New()
	board.Upstreams.Put("e1", radishcrank.Upstream{ID: "e1", Role: radishcrank.RoleEngine, Load: radishcrank.LoadReport{Role: e.role}})
	return New(Config{Board: board, Dialer: e, Fence: 7, TermValid: valid, RecoverAfter: 15 * time.Second, Log: zerolog.Nop()})
}

// Guards against a change of weights during a running stream: Drain must block
// until the engine is idle, and resume must return the engine to service.
func TestDrainWaitsForRunningRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &fakeEngine{running: 1}
		d := newDrainer(e, func() bool { return true })
		done := make(chan func())
		go func() {
			resume, err := d.Drain(t.Context(), "e1", "m")
			require.NoError(t, err)
			done <- resume
		}()
		time.Sleep(time.Minute)
		synctest.Wait()
		role, _ := e.state()
		require.Equal(t, radishcrank.RoleStandby, role)
		select {
		case <-done:
			t.Fatal("Drain returned while a request was running")
		default:
		}
		e.setRunning(0)
		resume := <-done
		resume()
		resume()
		role, orders := e.state()
		require.Equal(t, radishcrank.RoleServing, role)
		require.Len(t, orders, 2)
		require.EqualValues(t, 7, orders[0].Fence)
	})
}

// Guards against an engine that stays in standby because the lease holder that
// drained it is gone, and against returning an engine to service while a drain of
// the current term is active on it.
func TestRecoverStandby(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &fakeEngine{role: radishcrank.RoleStandby, running: 1}
		d := newDrainer(e, func() bool { return true })
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go d.Run(ctx)
		time.Sleep(14 * time.Second)
		synctest.Wait()
		_, orders := e.state()
		require.Empty(t, orders, "the earlier holder's lease may still be valid")
		time.Sleep(4 * time.Second)
		synctest.Wait()
		role, _ := e.state()
		require.Equal(t, radishcrank.RoleServing, role)

		go d.Drain(ctx, "e1", "m")
		synctest.Wait()
		_, before := e.state()
		time.Sleep(10 * time.Second)
		synctest.Wait()
		role, orders = e.state()
		require.Len(t, orders, len(before))
		require.Equal(t, radishcrank.RoleStandby, role)
	})
}

// Guards against orders that are sent after the term has ended.
func TestNoOrderAfterTerm(t *testing.T) {
	e := &fakeEngine{}
	_, err := newDrainer(e, func() bool { return false }).Drain(t.Context(), "e1", "m")
	require.ErrorIs(t, err, radishcrank.ErrStaleFence)
	require.Empty(t, e.orders)
}
