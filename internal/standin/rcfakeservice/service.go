// Package rcfakeservice is a small stand-in of a booking service. It counts how
// often each booking ran, so that tests find doubled ones.
package rcfakeservice

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/upstream/rcservice"
)

// Ledger is the bookings of one service, shared by its upstreams.
type Ledger struct {
	mu      sync.Mutex
	next    int
	answers map[string]Booking
	runs    map[string]int
}

// Booking is the answer to a booking call.
type Booking struct {
	Number  int
	Request string
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{answers: make(map[string]Booking), runs: make(map[string]int)}
}

// Runs returns how often the call with an idempotency key ran.
func (l *Ledger) Runs(key string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[key]
}

// book runs a booking. It does not deduplicate: at most once is the router's job.
func (l *Ledger) book(key, request string) Booking {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.next++
	b := Booking{Number: l.next, Request: request}
	l.answers[key] = b
	l.runs[key]++
	return b
}

func (l *Ledger) lookup(key string) (b Booking, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b, ok = l.answers[key]
	return b, ok
}

// Handler returns the service's HTTP API: POST on any path books, GET /stock
// counts, and the lookup path answers whether a key ran.
func (l *Ledger) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /", func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		writeJSON(w, l.book(r.Header.Get(radishcrank.HeaderIdempotencyKey), string(body)))
	})
	mux.HandleFunc("GET "+rcservice.LookupPath, func(w http.ResponseWriter, r *http.Request) {
		b, ok := l.lookup(r.Header.Get(radishcrank.HeaderIdempotencyKey))
		if !ok {
			http.NotFound(w, r)
			return
		}
		writeJSON(w, b)
	})
	mux.HandleFunc("GET /stock", func(w http.ResponseWriter, _ *http.Request) {
		l.mu.Lock()
		defer l.mu.Unlock()
		writeJSON(w, struct{ Bookings int }{l.next})
	})
	return mux
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(v)
}
