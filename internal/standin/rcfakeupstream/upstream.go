// Package rcfakeupstream is a stand-in for the upstreams of the users' platform:
// plain services and engines that check whom a request was meant for, sign
// their answers and carry out orders for weights.
package rcfakeupstream

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Fault is what happens to a request.
type Fault int

// Faults.
const (
	None     Fault = iota
	Refuse         // Refused, with proof that it did not run.
	Reset          // It runs, and the connection breaks without an answer.
	Fail           // It runs, and the upstream answers with a failure.
	Truncate       // It runs, and the answer breaks off in the middle.
)

// RunCounter counts runs by request id, over all upstreams of a test.
type RunCounter struct {
	mu   sync.Mutex
	runs map[string]int
}

// NewRunCounter returns an empty Ledger.
func NewRunCounter() *RunCounter { return &RunCounter{runs: map[string]int{}} }

func (l *RunCounter) run(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[id]++
}

// Runs returns how often a request ran.
func (l *RunCounter) Runs(id string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[id]
}

// Config describes an upstream.
type Config struct {
	ID         string
	Runs       *RunCounter
	Fault      func() Fault  // Asked for each request; nil is None.
	Model      string        // Empty for plain services.
	Delay      time.Duration // Time of a plain answer, or between two events.
	EventCount int           // Events of a stream.
	LoadTime   time.Duration // Time that weights take to load.
	Weights    int64         // Weights at the start; 0 is 1.
	OnLoaded   func()        // Called after a load; nil calls nobody.
	OnOrder    func()        // Called when an order is accepted; nil calls nobody.
	// OnRequest is called when a request begins, with the weights in force; nil calls nobody.
	OnRequest func(id string, weights int64)
	// RejectOrders makes orders fail, as while the engine carries out another one.
	RejectOrders bool
}

// Upstream is one running upstream.
type Upstream struct {
	cfg    Config
	server *http.Server
	Addr   string

	mu       sync.Mutex
	weights  int64
	sequence int64
	busy     bool
	occupied bool
	lastRun  time.Time
}

// Start listens on a loopback port.
func Start(cfg Config) (*Upstream, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	u := &Upstream{cfg: cfg, Addr: l.Addr().String(), weights: max(1, cfg.Weights), occupied: cfg.RejectOrders}
	u.server = &http.Server{Handler: u}
	go u.server.Serve(l) // Ends with Close only.
	return u, nil
}

// Close ends the upstream as a crash does.
func (u *Upstream) Close() { u.server.Close() }

// SetRejectOrders changes whether orders fail.
func (u *Upstream) SetRejectOrders(occupied bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.occupied = occupied
}

// Weights returns the weights in force.
func (u *Upstream) Weights() int64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.weights
}

// LastRun returns when the last request began to run.
func (u *Upstream) LastRun() time.Time {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.lastRun
}

// ServeHTTP implements http.Handler.
func (u *Upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h.Set("Radishcrank-Instance-Id", u.cfg.ID)
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
	u.mu.Lock()
	busy, weights := u.busy, u.weights
	u.mu.Unlock()
	if want := r.Header.Get("Radishcrank-Expect-Version"); want != "" && want != strconv.FormatInt(weights, 10) {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	fault := None
	if u.cfg.Fault != nil {
		fault = u.cfg.Fault()
	}
	if busy || fault == Refuse {
		h.Set("Radishcrank-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	u.cfg.Runs.run(id)
	u.mu.Lock()
	u.lastRun = time.Now()
	u.mu.Unlock()
	if u.cfg.OnRequest != nil {
		u.cfg.OnRequest(id, weights)
	}
	h.Set("Radishcrank-Response-Seal", "seal-"+u.cfg.ID)
	switch {
	case fault == Reset:
		panic(http.ErrAbortHandler)
	case fault == Fail:
		w.WriteHeader(http.StatusInternalServerError)
	case u.cfg.Model == "":
		time.Sleep(u.cfg.Delay)
		fmt.Fprintf(w, "done %s", id)
		if fault == Truncate {
			panic(http.ErrAbortHandler)
		}
	default:
		h.Set("Radishcrank-Weight-Versions", strconv.FormatInt(weights, 10))
		u.stream(w, r, fault)
	}
}

// stream writes the events after the last one that the caller has.
func (u *Upstream) stream(w http.ResponseWriter, r *http.Request, fault Fault) {
	w.Header().Set("Content-Type", "text/event-stream")
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id")) // 0 without the header.
	flush := http.NewResponseController(w)
	for i := last + 1; i <= u.cfg.EventCount; i++ {
		if fault == Truncate && i == (last+u.cfg.EventCount)/2 {
			fmt.Fprintf(w, "id: %d\nda", i)
			flush.Flush()
			panic(http.ErrAbortHandler)
		}
		fmt.Fprintf(w, "id: %d\ndata: token %d\n\n", i, i)
		if flush.Flush() != nil || r.Context().Err() != nil {
			return
		}
		time.Sleep(u.cfg.Delay)
	}
}

func (u *Upstream) report(w http.ResponseWriter) {
	u.mu.Lock()
	defer u.mu.Unlock()
	json.NewEncoder(w).Encode(map[string]any{
		"Models": []any{map[string]any{"Name": u.cfg.Model, "Version": u.weights}}, "Busy": u.busy, "Sequence": u.sequence,
	})
}

func (u *Upstream) order(w http.ResponseWriter, r *http.Request) {
	var order struct {
		Version  int64
		Expected *int64
	}
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	switch {
	case u.occupied || u.busy || order.Expected != nil && *order.Expected != u.sequence:
		w.WriteHeader(http.StatusConflict)
	case order.Version == u.weights:
		w.WriteHeader(http.StatusOK)
	default:
		u.busy = true
		u.sequence++
		if u.cfg.OnOrder != nil {
			u.cfg.OnOrder()
		}
		time.AfterFunc(u.cfg.LoadTime, func() {
			u.mu.Lock()
			u.busy, u.weights = false, order.Version
			u.mu.Unlock()
			if u.cfg.OnLoaded != nil {
				u.cfg.OnLoaded()
			}
		})
		w.WriteHeader(http.StatusAccepted)
	}
}
