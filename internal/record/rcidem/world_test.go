package rcidem

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing/synctest"
	"time"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/standin/rcfaketable"
	"github.com/radishcrank/radishcrank/internal/state/rcboard"
)

// errOpen is an upstream failure that leaves open whether the call ran.
var errOpen = errors.New("connection broke")

// op is one call of the table service or the upstream that waits for the
// scheduler. The calling goroutine is paused at it for as long as it waits.
type op struct {
	instance int
	name     string
	variants []func() // The first is the one without a fault.
	done     chan struct{}
}

// effect is one send of the call to the upstream.
type effect struct {
	instance int
	key      string
	at       int // Scheduler step.
	happened int
}

// request is one request of a caller.
type request struct {
	key                  string
	instance, start, end int
	cancel               context.CancelFunc
	answered             bool
	lost                 bool // Its instance crashed.
	err                  error
}

func (q *request) notRun() bool {
	return q.answered && !q.lost && q.err != nil && radishcrank.AsRefusal(q.err).Outcome == radishcrank.OutcomeNotRun
}

// budget bounds what a schedule may contain.
type budget struct {
	faults, crashes, suspicions, cancels, retries, pauses int
}

// world is two instances, one table, one upstream and callers of up to two keys,
// under a scheduler that decides the order and the outcome of every step.
type world struct {
	mu       sync.Mutex
	table    *rcfaketable.Table
	runners  []*Runner
	dead     []bool // Suspected dead, rightly or not.
	crashed  []bool
	pending  []*op
	late     []func() // Writes and calls still in the network.
	effects  []*effect
	requests []*request
	step     int
	left     budget
	choose   func(n int) int
	problem  string
}

func newWorld(left budget, choose func(n int) int) *world {
	w := &world{table: rcfaketable.New(), left: left, choose: choose, dead: make([]bool, 2), crashed: make([]bool, 2)}
	for i := range 2 {
		board := rcboard.New()
		board.Upstreams.Put("u", radishcrank.Upstream{ID: "u", Role: radishcrank.RoleService, Service: "booking"})
		port := &port{w: w, instance: i}
		w.runners = append(w.runners, New(Config{
			Instance: radishcrank.InstanceID(fmt.Sprint(i)), Incarnation: 1, Board: board, Table: port, Client: port,
			IsDead: func(id radishcrank.InstanceID, _ radishcrank.Incarnation) bool {
				w.mu.Lock()
				defer w.mu.Unlock()
				return w.dead[id[0]-'0']
			},
		}))
	}
	return w
}

// port is one instance's access to the table and the upstream.
type port struct {
	w        *world
	instance int
}

// yield registers an op and waits until the scheduler has carried out a variant.
// It returns false if the instance has crashed.
func (p *port) yield(name string, variants ...func()) bool {
	p.w.mu.Lock()
	if p.w.crashed[p.instance] {
		p.w.mu.Unlock()
		return false
	}
	o := &op{instance: p.instance, name: name, variants: variants, done: make(chan struct{})}
	p.w.pending = append(p.w.pending, o)
	p.w.mu.Unlock()
	<-o.done
	return true
}

func (p *port) Commit(_ context.Context, tx radishcrank.Transaction) (err error) {
	apply := func() error { return p.w.table.Commit(context.Background(), tx) }
	unknown := func(f func()) func() {
		return func() { f(); err = radishcrank.ErrUnknownOutcome }
	}
	if !p.yield("Commit "+tx.Checks[0].Key,
		func() { err = apply() },
		unknown(func() { _ = apply() }),
		unknown(func() { p.w.late = append(p.w.late, func() { _ = apply() }) }),
		unknown(func() {}),
		func() { err = radishcrank.ErrUnavailable },
	) {
		err = radishcrank.ErrUnavailable
	}
	return err
}

func (p *port) Get(_ context.Context, keys ...string) (rows []radishcrank.Row, err error) {
	if !p.yield("Get "+keys[0],
		func() { rows, err = p.w.table.Get(context.Background(), keys...) },
		func() { err = radishcrank.ErrUnavailable },
	) {
		err = radishcrank.ErrUnavailable
	}
	return rows, err
}

func (p *port) Scan(_ context.Context, prefix, after string, limit int) ([]radishcrank.Row, error) {
	return p.w.table.Scan(context.Background(), prefix, after, limit)
}

func (p *port) Call(_ context.Context, _ radishcrank.Upstream, call radishcrank.ServiceCall) (answer radishcrank.ServiceResponse, err error) {
	p.w.mu.Lock()
	e := &effect{instance: p.instance, key: call.IdempotencyKey, at: p.w.step}
	p.w.effects = append(p.w.effects, e)
	p.w.mu.Unlock()
	open := func(f func()) func() { return func() { f(); err = errOpen } }
	if !p.yield("Call",
		func() { e.happened++; answer = radishcrank.ServiceResponse{Status: 200, Body: []byte("booked")} },
		open(func() { e.happened++ }),
		open(func() {}),
		open(func() { p.w.late = append(p.w.late, func() { e.happened++ }) }),
		func() { err = fmt.Errorf("refused: %w", radishcrank.ErrNotSent) },
		func() { err = fmt.Errorf("busy: %w", radishcrank.ErrUpstreamBusy) },
	) {
		err = errOpen
	}
	return answer, err
}

func (p *port) Lookup(_ context.Context, _ radishcrank.Upstream, call radishcrank.ServiceCall) (answer radishcrank.ServiceResponse, found bool, err error) {
	if !p.yield("Lookup",
		func() {
			answer, found = radishcrank.ServiceResponse{Status: 200, Body: []byte("booked")}, p.w.ran(call.IdempotencyKey) > 0
		},
		func() { err = errOpen },
	) {
		err = errOpen
	}
	return answer, found, err
}

func (w *world) ran(key string) (n int) {
	for _, e := range w.effects {
		if e.key == key {
			n += e.happened
		}
	}
	return n
}

// send starts a caller's request at an instance.
func (w *world) send(instance int, key string) *request {
	ctx, cancel := context.WithCancel(context.Background())
	q := &request{key: key, instance: instance, start: w.step, cancel: cancel}
	w.requests = append(w.requests, q)
	go func() {
		answer, err := w.runners[instance].Run(ctx, call(key, "b"))
		w.mu.Lock()
		defer w.mu.Unlock()
		q.answered, q.err, q.end = true, err, w.step
		if err == nil && (string(answer.Body) != "booked" || w.ran(key) != 1) {
			w.problem = fmt.Sprintf("answer %q accepted after %d runs", answer.Body, w.ran(key))
		}
	}()
	return q
}

type action func()

// actions lists what may happen next, in an order that replays alike.
func (w *world) actions() (list []action) {
	slices.SortStableFunc(w.pending, func(a, b *op) int {
		return cmp.Or(cmp.Compare(a.instance, b.instance), strings.Compare(a.name, b.name))
	})
	for _, o := range w.pending {
		for v, carryOut := range o.variants {
			if v > 0 && w.left.faults == 0 {
				break
			}
			list = append(list, func() {
				w.left.faults -= min(v, 1)
				w.pending = slices.DeleteFunc(w.pending, func(p *op) bool { return p == o })
				carryOut()
				close(o.done)
			})
		}
	}
	if len(w.pending) == 0 || w.left.pauses > 0 {
		list = append(list, func() { w.left.pauses = max(0, w.left.pauses-1); w.unlocked(func() { time.Sleep(2 * time.Second) }) })
	}
	for n, deliver := range w.late {
		list = append(list, func() { w.late = slices.Delete(w.late, n, n+1); deliver() })
	}
	for i := range w.runners {
		if w.left.crashes > 0 && !w.crashed[i] {
			list = append(list, func() { w.left.crashes--; w.crash(i) })
		}
		if w.left.suspicions > 0 && !w.dead[i] {
			list = append(list, func() { w.left.suspicions--; w.dead[i] = true })
		}
		if w.left.retries > 0 && !w.crashed[i] && w.quiet("k0") {
			list = append(list, func() { w.left.retries--; w.send(i, "k0") })
		}
	}
	for _, q := range w.requests {
		if w.left.cancels > 0 && !q.answered {
			list = append(list, func() { w.left.cancels--; q.cancel() })
		}
	}
	return list
}

// quiet reports whether the caller has its answer, so that it may try again.
func (w *world) quiet(key string) bool {
	return !slices.ContainsFunc(w.requests, func(q *request) bool { return q.key == key && !q.answered })
}

func (w *world) unlocked(f func()) {
	w.mu.Unlock()
	defer w.mu.Lock()
	f()
}

// crash ends an instance: what it was about to do never happens, and its
// callers learn nothing.
func (w *world) crash(i int) {
	w.crashed[i], w.dead[i] = true, true
	for _, q := range w.requests {
		q.lost = q.lost || q.instance == i && !q.answered
		if q.instance == i {
			q.cancel()
		}
	}
	for _, o := range w.pending {
		if o.instance == i {
			// The first failing variant without an effect.
			o.variants[len(o.variants)-1]()
			close(o.done)
		}
	}
	w.pending = slices.DeleteFunc(w.pending, func(o *op) bool { return o.instance == i })
	w.runners[i].stop()
}

// advance takes one step.
func (w *world) advance() {
	synctest.Wait()
	w.mu.Lock()
	w.step++
	list := w.actions()
	list[w.choose(len(list))]()
	w.mu.Unlock()
	synctest.Wait()
}
