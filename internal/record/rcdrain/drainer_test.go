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

// unused stands for the methods that a drain does not call.
type unused = radishcrank.Engine

// engine records orders and reports a load that the test sets.
type engine struct {
	unused
	mu      sync.Mutex
	running int
	role    string
	orders  []radishcrank.Order
}

func (e *engine) Engine(radishcrank.Upstream) radishcrank.Engine { return e }

func (e *engine) Load(context.Context) (radishcrank.LoadReport, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return radishcrank.LoadReport{Running: e.running, Role: e.role}, nil
}

func (e *engine) Order(_ context.Context, o radishcrank.Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.role = o.Role
	e.orders = append(e.orders, o)
	return nil
}

func (e *engine) set(running int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running = running
}

// seen returns the role and the orders so far.
func (e *engine) seen() (role string, orders []radishcrank.Order) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.role, e.orders
}

func newDrainer(e *engine, valid func() bool) *Drainer {
	board := rcboard.New()
	board.Upstreams.Put("e1", radishcrank.Upstream{ID: "e1", Role: radishcrank.RoleEngine, Load: radishcrank.LoadReport{Role: e.role}})
	return New(Config{Board: board, Dialer: e, Fence: 7, TermValid: valid, RecoverAfter: 15 * time.Second, Log: zerolog.Nop()})
}

// Guards against weights that change under a running stream: the drain must last
// until the engine is idle, and the engine must be in use again afterwards.
func TestDrainWaitsForRunningRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &engine{running: 1}
		d := newDrainer(e, func() bool { return true })
		done := make(chan func())
		go func() {
			resume, err := d.Drain(t.Context(), "e1", "m")
			require.NoError(t, err)
			done <- resume
		}()
		time.Sleep(time.Minute)
		synctest.Wait()
		role, _ := e.seen()
		require.Equal(t, radishcrank.RoleStandby, role)
		select {
		case <-done:
			t.Fatal("drained while a request runs")
		default:
		}
		e.set(0)
		resume := <-done
		resume()
		resume()
		role, orders := e.seen()
		require.Equal(t, radishcrank.RoleServing, role)
		require.Len(t, orders, 2)
		require.EqualValues(t, 7, orders[0].Fence)
	})
}

// Guards against an engine that stays out of use because the holder that drained
// it is gone, and against one that is put back while its own drain runs.
func TestRecoverStandby(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &engine{role: radishcrank.RoleStandby, running: 1}
		d := newDrainer(e, func() bool { return true })
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go d.Run(ctx)
		time.Sleep(14 * time.Second)
		synctest.Wait()
		_, orders := e.seen()
		require.Empty(t, orders, "the older holder may still act")
		time.Sleep(4 * time.Second)
		synctest.Wait()
		role, _ := e.seen()
		require.Equal(t, radishcrank.RoleServing, role)

		go d.Drain(ctx, "e1", "m")
		synctest.Wait()
		_, before := e.seen()
		time.Sleep(10 * time.Second)
		synctest.Wait()
		role, orders = e.seen()
		require.Len(t, orders, len(before))
		require.Equal(t, radishcrank.RoleStandby, role)
	})
}

// Guards against orders after the end of a term.
func TestNoOrderAfterTerm(t *testing.T) {
	e := &engine{}
	_, err := newDrainer(e, func() bool { return false }).Drain(t.Context(), "e1", "m")
	require.ErrorIs(t, err, radishcrank.ErrStaleFence)
	require.Empty(t, e.orders)
}
