// Package rcfakeupstream implements fakes of the platform's upstreams: plain
// services and engines that verify that they are the target of a request, seal their
// responses and execute orders to load weights.
package rcfakeupstream

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Fault is a fault that an upstream injects into a request.
type Fault int

// Faults of a request.
const (
	None     Fault = iota
	Refuse         // The request is refused and marked as not executed.
	Reset          // The request runs, and the connection breaks without a response.
	Fail           // The request runs, and the response has status 500.
	Truncate       // The request runs, and the response is truncated.
)

// RunCounter counts the runs of each request across all upstreams of a test.
type RunCounter struct {
	mu   sync.Mutex
	runs map[string]int
}

// NewRunCounter returns a RunCounter without runs.
func NewRunCounter() *RunCounter { return &RunCounter{runs: map[string]int{}} }

func (c *RunCounter) increment(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs[id]++
}

// Runs returns how often the request with this ID ran.
func (c *RunCounter) Runs(id string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.runs[id]
}

// Config holds the parameters of an upstream. Callbacks may be nil.
type Config struct {
	ID              string
	Runs            *RunCounter
	Fault           func() Fault  // Returns the fault of a request; nil means None.
	Model           string        // Empty for plain services.
	Delay           time.Duration // Duration of a plain response, or time between two events of a stream.
	EventCount      int           // Number of events in a complete stream.
	LoadTime        time.Duration // Duration of a load of weights.
	Weights         int64         // Weights at the start; 0 means 1.
	Born            int64         // Start time in Unix milliseconds, which reports state.
	SoftwareVersion string        // Added to the data of events; empty for none.
	OnLoaded        func()        // Called after a load of weights.
	OnOrder         func(o Order) // Called when an order is accepted.
	// OnSender is called with the address from which a request comes, before all others.
	OnSender func(id, remoteAddr string)
	// OnArrival is called when a request arrives that is meant for this upstream.
	OnArrival func(id string)
	// Wait returns how long a request waits before it begins to run, as in the queue
	// of an engine. It is dropped if its connection is closed before. Nil means 0.
	Wait func() time.Duration
	// OnRequest is called when a request begins to run, with the current weights.
	OnRequest func(id string, weights int64)
	// Delivery returns how the response to a request that runs without a fault is
	// delivered. Nil means Delivery{}.
	Delivery func(id string) Delivery
	// Crashes reports whether a request crashes the upstream when it begins to run. Nil
	// means that none does.
	Crashes func(r *http.Request) bool
	// OnCrash is called when the upstream crashes. It has to break all connections.
	OnCrash func()
	// Admit returns whether a request is admitted and, if not, the pause that the response
	// asks for, if any. It may block. Nil admits all requests.
	Admit func(id string) (pause time.Duration, ok bool)
	// Machine describes the upstream's machine. Nil means one without limits, on which the
	// upstream reports no load.
	Machine *Machine
	// OnRun is called when a request begins to run, as OnRequest, with the request.
	OnRun func(r *http.Request)
	// Shape returns the shape of a response to which no Delivery applies. Nil means Shape{}.
	Shape func(id string) Shape
	// ReadPause returns the pause after each piece of a request's body. Nil means that the
	// body is not read by itself.
	ReadPause func(id string) time.Duration
	// UnreadTimeout is after how long an event or plain response that remains unread is
	// aborted. 0 means never.
	UnreadTimeout time.Duration
	// RejectOrders rejects orders as if the engine were executing another one.
	RejectOrders bool
}

// Order is an accepted order to load weights.
type Order struct {
	Version  int64
	Expected *int64 // Number of orders accepted so far; nil if that does not matter.
	Holder   string
	Fence    uint64
}

// Upstream is a running upstream. It implements http.Handler.
type Upstream struct {
	cfg    Config
	server *http.Server
	Addr   string

	mu           sync.Mutex
	weights      int64
	sequence     int64
	loading      bool
	rejectOrders bool
	software     string
	born         int64
	rateLimit    string // Requests per second from all instances; empty for no limit.
	lastRun      time.Time
	leaving      bool
	brittle      int
	held         *holdings
}

// Start starts an upstream on a free loopback port.
func Start(cfg Config) (*Upstream, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	u := &Upstream{cfg: cfg, Addr: l.Addr().String(), weights: max(1, cfg.Weights), software: cfg.SoftwareVersion, born: cfg.Born, rejectOrders: cfg.RejectOrders, held: newHoldings()}
	u.server = &http.Server{Handler: u}
	go u.server.Serve(l) // Returns only after Close.
	return u, nil
}

// Close stops the upstream abruptly, like a crash: open connections break.
func (u *Upstream) Close() { u.server.Close() }

// SetRejectOrders sets whether the upstream rejects all orders.
func (u *Upstream) SetRejectOrders(reject bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.rejectOrders = reject
}

// Restart makes the upstream a new incarnation with other software. The caller breaks its
// connections. It keeps its weights, and orders of before are unknown to it.
func (u *Upstream) Restart(software string, born int64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.software, u.born, u.sequence, u.held = software, born, 0, newHoldings()
}

// SetRateLimit sets the number of requests per second that the upstream announces to
// accept from all instances together. Empty ends the limit. It is not enforced.
func (u *Upstream) SetRateLimit(perSecond string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.rateLimit = perSecond
}

func (u *Upstream) announceRateLimit(h http.Header) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.rateLimit != "" {
		h.Set("Server-Limit", u.rateLimit)
	}
}

// Weights returns the version of the loaded weights.
func (u *Upstream) Weights() int64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.weights
}

// LastRun returns the time at which the last request began to run.
func (u *Upstream) LastRun() time.Time {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.lastRun
}

// ServeHTTP implements http.Handler.
func (u *Upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h.Set("Radishcrank-Instance-Id", u.cfg.ID)
	u.announceRateLimit(h)
	u.announceLeaving(h)
	u.announceBrittle(h)
	u.announceLoad(h)
	if expected := r.Header.Get("Radishcrank-Expect-Instance"); expected != "" && expected != u.cfg.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/radishcrank/report":
		u.report(w)
		return
	case "/radishcrank/order":
		u.order(w, r)
		return
	}
	id := r.Header.Get("Radishcrank-Attempt-Id")
	h.Set("Radishcrank-Attempt-Id", id)
	if u.cfg.OnSender != nil {
		u.cfg.OnSender(id, r.RemoteAddr)
	}
	if u.cfg.OnArrival != nil {
		u.cfg.OnArrival(id)
	}
	if !u.expectsWeights(r) {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if !u.admit(h, id) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if u.cfg.ReadPause != nil {
		if readSlowly(r, u.cfg.ReadPause(id)) != nil {
			panic(http.ErrAbortHandler)
		}
	}
	expired := false
	if u.cfg.Wait != nil {
		var closed bool
		waited := u.wait()
		expired, closed = awaitTurn(r, u.cfg.Wait())
		if waited(); closed {
			return
		}
	}
	freeSlot, hasSlot := u.takeSlot()
	if hasSlot {
		defer freeSlot()
	}
	fault := None
	if u.cfg.Fault != nil {
		fault = u.cfg.Fault()
	}
	u.mu.Lock()
	loading, weights := u.loading, u.weights
	u.mu.Unlock()
	if expired || !hasSlot || loading || fault == Refuse || !u.expectsWeights(r) {
		h.Set("Radishcrank-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	u.cfg.Runs.increment(id)
	u.mu.Lock()
	u.lastRun = time.Now()
	u.mu.Unlock()
	if u.cfg.OnRequest != nil {
		u.cfg.OnRequest(id, weights)
	}
	if u.cfg.OnRun != nil {
		u.cfg.OnRun(r)
	}
	if u.cfg.Crashes != nil && u.cfg.Crashes(r) {
		u.cfg.OnCrash()
		panic(http.ErrAbortHandler)
	}
	defer u.prefill(r, id)()
	u.announceLoad(h)
	h.Set("Radishcrank-Response-Seal", "seal-"+u.cfg.ID)
	if u.cfg.Model != "" {
		h.Set("Radishcrank-Weight-Versions", strconv.FormatInt(weights, 10))
	}
	if u.cfg.Delivery != nil && fault == None {
		if d := u.cfg.Delivery(id); d != (Delivery{}) {
			u.deliver(w, r, d)
			return
		}
	}
	shape := Shape{}
	if u.cfg.Shape != nil {
		shape = u.cfg.Shape(id)
	}
	shape.Delay = cmp.Or(shape.Delay, u.cfg.Delay)
	switch {
	case fault == Reset:
		panic(http.ErrAbortHandler)
	case fault == Fail:
		w.WriteHeader(http.StatusInternalServerError)
	case u.cfg.Model == "":
		time.Sleep(u.pace(shape.Delay))
		u.extendWrite(http.NewResponseController(w))
		fmt.Fprintf(w, "done %s%s", id, shape.padding())
		if fault == Truncate {
			panic(http.ErrAbortHandler)
		}
	default:
		u.stream(w, r, fault, shape)
	}
}

// expectsWeights reports whether a request expects the current weights or any.
func (u *Upstream) expectsWeights(r *http.Request) bool {
	want := r.Header.Get("Radishcrank-Expect-Version")
	return want == "" || want == strconv.FormatInt(u.Weights(), 10)
}

// awaitTurn waits until a request may run, its time limit has expired or its
// connection was closed.
func awaitTurn(r *http.Request, wait time.Duration) (expired, closed bool) {
	// The server notices a closed connection only after the body has been read.
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return false, true
	}
	if ms, err := strconv.Atoi(r.Header.Get("Radishcrank-Deadline-Ms")); err == nil {
		limit := time.Duration(ms) * time.Millisecond
		wait, expired = min(wait, limit), wait > limit
	}
	select {
	case <-time.After(wait):
		return expired, false
	case <-r.Context().Done():
		return false, true
	}
}

// lastEventID returns the last event that the client of a stream has, or 0.
func lastEventID(r *http.Request) int {
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id")) // 0 if the header is missing.
	return last
}

// softwareMark returns what the upstream adds to the data of its events.
func (u *Upstream) softwareMark() string {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.software == "" {
		return ""
	}
	return " by " + u.software
}

func event(n int, text string) string {
	return fmt.Sprintf("id: %d\ndata: token %d%s\n\n", n, n, text)
}

// stream writes the events after the one in the Last-Event-Id header.
func (u *Upstream) stream(w http.ResponseWriter, r *http.Request, fault Fault, shape Shape) {
	w.Header().Set("Content-Type", "text/event-stream")
	last, text := lastEventID(r), shape.padding()+u.softwareMark()
	controller := http.NewResponseController(w)
	for i := last + 1; i <= u.cfg.EventCount; i++ {
		if fault == Truncate && i == (last+u.cfg.EventCount)/2 {
			fmt.Fprintf(w, "id: %d\nda", i)
			controller.Flush()
			panic(http.ErrAbortHandler)
		}
		u.extendWrite(controller)
		io.WriteString(w, event(i, text)) // A failed write shows when it is flushed.
		if controller.Flush() != nil || r.Context().Err() != nil {
			return
		}
		time.Sleep(u.pace(shape.Delay))
	}
}

func (u *Upstream) report(w http.ResponseWriter) {
	u.mu.Lock()
	defer u.mu.Unlock()
	json.NewEncoder(w).Encode(map[string]any{
		"Models": []any{map[string]any{"Name": u.cfg.Model, "Version": u.weights}}, "Busy": u.loading, "Sequence": u.sequence,
		"born": u.born,
	})
}

func (u *Upstream) order(w http.ResponseWriter, r *http.Request) {
	var order Order
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	switch {
	case u.rejectOrders || u.loading || order.Expected != nil && *order.Expected != u.sequence:
		w.WriteHeader(http.StatusConflict)
	case order.Version == u.weights:
		w.WriteHeader(http.StatusOK)
	default:
		u.loading = true
		u.sequence++
		if u.cfg.OnOrder != nil {
			u.cfg.OnOrder(order)
		}
		time.AfterFunc(u.cfg.LoadTime, func() {
			u.mu.Lock()
			u.loading, u.weights = false, order.Version
			u.mu.Unlock()
			if u.cfg.OnLoaded != nil {
				u.cfg.OnLoaded()
			}
		})
		w.WriteHeader(http.StatusAccepted)
	}
}
