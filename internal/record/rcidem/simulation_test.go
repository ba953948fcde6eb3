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

// errOutcomeUnknown is an upstream failure after which it is unknown whether the call
// ran.
var errOutcomeUnknown = errors.New("connection broke")

// operation is one call of the table service or the upstream that is pending in the
// scheduler. The calling goroutine is blocked until the scheduler has executed it.
type operation struct {
	instance int
	name     string
	variants []func() // The first one is without a fault.
	done     chan struct{}
}

// upstreamCall is one send of a call to the upstream.
type upstreamCall struct {
	instance int
	key      string
	at       int // Scheduler step of the send.
	runs     int
}

type request struct {
	key                  string
	instance, start, end int
	cancel               context.CancelFunc
	answered             bool
	instanceCrashed      bool // The request's instance crashed before the response.
	err                  error
}

func (q *request) notRun() bool {
	return q.answered && !q.instanceCrashed && q.err != nil && radishcrank.AsRefusal(q.err).Outcome == radishcrank.OutcomeNotRun
}

// budget limits the number of events of each kind in a schedule.
type budget struct {
	faults, crashes, suspicions, cancels, retries, pauses int
}

// simulation runs two instances, one table, one upstream and callers of up to two
// keys under a scheduler that determines the order and the outcome of every step.
type simulation struct {
	mu            sync.Mutex
	table         *rcfaketable.Table
	runners       []*Runner
	suspected     []bool // Instances that are suspected dead, correctly or not.
	crashed       []bool
	pending       []*operation
	delayed       []func() // Writes and calls that have not arrived yet.
	upstreamCalls []*upstreamCall
	requests      []*request
	step          int
	remaining     budget
	choose        func(n int) int
	violation     string
}

func newSimulation(remaining budget, choose func(n int) int) *simulation {
	s := &simulation{table: rcfaketable.New(), remaining: remaining, choose: choose, suspected: make([]bool, 2), crashed: make([]bool, 2)}
	for i := range 2 {
		board := rcboard.New()
		board.Upstreams.Put("u", radishcrank.Upstream{ID: "u", Role: radishcrank.RoleService, Service: "booking"})
		client := &simClient{sim: s, instance: i}
		s.runners = append(s.runners, New(Config{
			Instance: radishcrank.InstanceID(fmt.Sprint(i)), Incarnation: 1, Board: board, Table: client, Client: client,
			IsDead: func(id radishcrank.InstanceID, _ radishcrank.Incarnation) bool {
				s.mu.Lock()
				defer s.mu.Unlock()
				return s.suspected[id[0]-'0']
			},
		}))
	}
	return s
}

// simClient is one instance's connection to the table and the upstream.
type simClient struct {
	sim      *simulation
	instance int
}

// await registers an operation and waits until the scheduler has executed one of its
// variants. It returns false if the instance had already crashed.
func (cl *simClient) await(name string, variants ...func()) bool {
	cl.sim.mu.Lock()
	if cl.sim.crashed[cl.instance] {
		cl.sim.mu.Unlock()
		return false
	}
	o := &operation{instance: cl.instance, name: name, variants: variants, done: make(chan struct{})}
	cl.sim.pending = append(cl.sim.pending, o)
	cl.sim.mu.Unlock()
	<-o.done
	return true
}

func (cl *simClient) Commit(_ context.Context, tx radishcrank.Transaction) (err error) {
	apply := func() error { return cl.sim.table.Commit(context.Background(), tx) }
	unknown := func(f func()) func() {
		return func() { f(); err = radishcrank.ErrUnknownOutcome }
	}
	if !cl.await("Commit "+tx.Checks[0].Key,
		func() { err = apply() },
		unknown(func() { _ = apply() }),
		unknown(func() { cl.sim.delayed = append(cl.sim.delayed, func() { _ = apply() }) }),
		unknown(func() {}),
		func() { err = radishcrank.ErrUnavailable },
	) {
		err = radishcrank.ErrUnavailable
	}
	return err
}

func (cl *simClient) Get(_ context.Context, keys ...string) (rows []radishcrank.Row, err error) {
	if !cl.await("Get "+keys[0],
		func() { rows, err = cl.sim.table.Get(context.Background(), keys...) },
		func() { err = radishcrank.ErrUnavailable },
	) {
		err = radishcrank.ErrUnavailable
	}
	return rows, err
}

func (cl *simClient) Scan(_ context.Context, prefix, after string, limit int) ([]radishcrank.Row, error) {
	return cl.sim.table.Scan(context.Background(), prefix, after, limit)
}

func (cl *simClient) Call(_ context.Context, _ radishcrank.Upstream, call radishcrank.ServiceCall) (response radishcrank.ServiceResponse, err error) {
	cl.sim.mu.Lock()
	c := &upstreamCall{instance: cl.instance, key: call.IdempotencyKey, at: cl.sim.step}
	cl.sim.upstreamCalls = append(cl.sim.upstreamCalls, c)
	cl.sim.mu.Unlock()
	unknown := func(f func()) func() { return func() { f(); err = errOutcomeUnknown } }
	if !cl.await("Call",
		func() { c.runs++; response = radishcrank.ServiceResponse{Status: 200, Body: []byte("booked")} },
		unknown(func() { c.runs++ }),
		unknown(func() {}),
		unknown(func() { cl.sim.delayed = append(cl.sim.delayed, func() { c.runs++ }) }),
		func() { err = fmt.Errorf("refused: %w", radishcrank.ErrNotSent) },
		func() { err = fmt.Errorf("busy: %w", radishcrank.ErrUpstreamBusy) },
	) {
		err = errOutcomeUnknown
	}
	return response, err
}

func (cl *simClient) Lookup(_ context.Context, _ radishcrank.Upstream, call radishcrank.ServiceCall) (response radishcrank.ServiceResponse, found bool, err error) {
	if !cl.await("Lookup",
		func() {
			response, found = radishcrank.ServiceResponse{Status: 200, Body: []byte("booked")}, cl.sim.runCount(call.IdempotencyKey) > 0
		},
		func() { err = errOutcomeUnknown },
	) {
		err = errOutcomeUnknown
	}
	return response, found, err
}

func (s *simulation) runCount(key string) (n int) {
	for _, c := range s.upstreamCalls {
		if c.key == key {
			n += c.runs
		}
	}
	return n
}

// startRequest starts a request of a caller at an instance.
func (s *simulation) startRequest(instance int, key string) *request {
	ctx, cancel := context.WithCancel(context.Background())
	q := &request{key: key, instance: instance, start: s.step, cancel: cancel}
	s.requests = append(s.requests, q)
	go func() {
		response, err := s.runners[instance].Run(ctx, call(key, "b"))
		s.mu.Lock()
		defer s.mu.Unlock()
		q.answered, q.err, q.end = true, err, s.step
		if err == nil && (string(response.Body) != "booked" || s.runCount(key) != 1) {
			s.violation = fmt.Sprintf("response %q accepted after %d runs", response.Body, s.runCount(key))
		}
	}()
	return q
}

type action func()

// possibleActions returns the actions that may happen next, in a deterministic order.
func (s *simulation) possibleActions() (list []action) {
	slices.SortStableFunc(s.pending, func(a, b *operation) int {
		return cmp.Or(cmp.Compare(a.instance, b.instance), strings.Compare(a.name, b.name))
	})
	for _, o := range s.pending {
		for v, apply := range o.variants {
			if v > 0 && s.remaining.faults == 0 {
				break
			}
			list = append(list, func() {
				s.remaining.faults -= min(v, 1)
				s.pending = slices.DeleteFunc(s.pending, func(p *operation) bool { return p == o })
				apply()
				close(o.done)
			})
		}
	}
	if len(s.pending) == 0 || s.remaining.pauses > 0 {
		list = append(list, func() {
			s.remaining.pauses = max(0, s.remaining.pauses-1)
			s.unlocked(func() { time.Sleep(2 * time.Second) })
		})
	}
	for n, deliver := range s.delayed {
		list = append(list, func() { s.delayed = slices.Delete(s.delayed, n, n+1); deliver() })
	}
	for i := range s.runners {
		if s.remaining.crashes > 0 && !s.crashed[i] {
			list = append(list, func() { s.remaining.crashes--; s.crash(i) })
		}
		if s.remaining.suspicions > 0 && !s.suspected[i] {
			list = append(list, func() { s.remaining.suspicions--; s.suspected[i] = true })
		}
		if s.remaining.retries > 0 && !s.crashed[i] && s.callersIdle("k0") {
			list = append(list, func() { s.remaining.retries--; s.startRequest(i, "k0") })
		}
	}
	for _, q := range s.requests {
		if s.remaining.cancels > 0 && !q.answered {
			list = append(list, func() { s.remaining.cancels--; q.cancel() })
		}
	}
	return list
}

// callersIdle reports whether all requests of a key have ended, so that a caller may
// send another one.
func (s *simulation) callersIdle(key string) bool {
	return !slices.ContainsFunc(s.requests, func(q *request) bool { return q.key == key && !q.answered })
}

func (s *simulation) unlocked(f func()) {
	s.mu.Unlock()
	defer s.mu.Lock()
	f()
}

// crash ends an instance. Its pending operations fail without an effect, and its
// callers get no response.
func (s *simulation) crash(i int) {
	s.crashed[i], s.suspected[i] = true, true
	for _, q := range s.requests {
		q.instanceCrashed = q.instanceCrashed || q.instance == i && !q.answered
		if q.instance == i {
			q.cancel()
		}
	}
	for _, o := range s.pending {
		if o.instance == i {
			// The last variant fails without an effect.
			o.variants[len(o.variants)-1]()
			close(o.done)
		}
	}
	s.pending = slices.DeleteFunc(s.pending, func(o *operation) bool { return o.instance == i })
	s.runners[i].stop()
}

// advance executes one step.
func (s *simulation) advance() {
	synctest.Wait()
	s.mu.Lock()
	s.step++
	list := s.possibleActions()
	list[s.choose(len(list))]()
	s.mu.Unlock()
	synctest.Wait()
}
