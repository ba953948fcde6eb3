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

// Faults are the failure switches of a Ledger's handler. Each counts down by
// one with each booking that it hits; the first that is not zero hits.
type Faults struct {
	Refuse            int // So many next bookings are refused, marked as not run.
	CrashBefore       int // So many next bookings break the connection without taking effect.
	CrashAfter        int // So many next bookings take effect, then break the connection.
	TruncateResponses int // So many next bookings take effect, and half of the answer arrives.
	WithholdResponses int // So many next bookings take effect, and no answer comes until the caller is gone.
	NoLookup          bool
}

// Service is the bookings of one service, shared by its upstreams.
type Service struct {
	mu      sync.Mutex
	next    int
	answers map[string]Booking
	runs    map[string]int
	faults  Faults
}

// Booking is the answer to a booking call.
type Booking struct {
	Number  int
	Request string
}

// New returns an empty ledger.
func New() *Service {
	return &Service{answers: make(map[string]Booking), runs: make(map[string]int)}
}

// SetFaults replaces the failure switches.
func (l *Service) SetFaults(f Faults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
}

// Runs returns how often the call with an idempotency key ran. The key is
// scoped: ACCOUNT/KEY.
func (l *Service) Runs(key string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[key]
}

// Duplicates returns the keys of bookings that ran more than once.
func (l *Service) Duplicates() (keys []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for key, n := range l.runs {
		if n > 1 {
			keys = append(keys, key)
		}
	}
	return keys
}

// Total returns how many bookings ran.
func (l *Service) Total() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.next
}

// book runs a booking. It does not deduplicate: at most once is the router's job.
func (l *Service) book(key, request string) Booking {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.next++
	b := Booking{Number: l.next, Request: request}
	l.answers[key] = b
	l.runs[key]++
	return b
}

func (l *Service) lookup(key string) (b Booking, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b, ok = l.answers[key]
	return b, ok && !l.faults.NoLookup
}

// takeFault returns the fault that hits the next booking.
func (l *Service) takeFault() (f Faults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range []struct{ from, to *int }{
		{&l.faults.Refuse, &f.Refuse},
		{&l.faults.CrashBefore, &f.CrashBefore},
		{&l.faults.CrashAfter, &f.CrashAfter},
		{&l.faults.TruncateResponses, &f.TruncateResponses},
		{&l.faults.WithholdResponses, &f.WithholdResponses},
	} {
		if *s.from > 0 {
			*s.from--
			*s.to = 1
			return f
		}
	}
	return f
}

// Handler returns the service's HTTP API: POST on any path books, GET /stock
// counts, and the lookup path answers whether a key ran.
func (l *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /", l.serveBooking)
	mux.HandleFunc("GET "+rcservice.LookupPath, l.serveLookup)
	mux.HandleFunc("GET /stock", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, struct{ Bookings int }{l.Total()})
	})
	return mux
}

func (l *Service) serveBooking(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	fault := l.takeFault()
	switch {
	case fault.Refuse > 0:
		w.Header().Set(radishcrank.HeaderOutcome, string(radishcrank.OutcomeNotRun))
		http.Error(w, "refused", http.StatusServiceUnavailable)
		return
	case fault.CrashBefore > 0:
		panic(http.ErrAbortHandler)
	}
	b := l.book(r.Header.Get(radishcrank.HeaderIdempotencyKey), string(body))
	switch {
	case fault.CrashAfter > 0:
		panic(http.ErrAbortHandler)
	case fault.TruncateResponses > 0:
		w.Header().Set("Content-Length", "1024")
		io.WriteString(w, "{")
		http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	case fault.WithholdResponses > 0:
		<-r.Context().Done()
		return
	}
	writeJSON(w, b)
}

func (l *Service) serveLookup(w http.ResponseWriter, r *http.Request) {
	key := r.Header.Get(radishcrank.HeaderIdempotencyKey)
	b, ok := l.lookup(key)
	if !ok {
		http.NotFound(w, r)
		return
	}
	w.Header().Set(radishcrank.HeaderIdempotencyKey, key)
	writeJSON(w, b)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(v)
}
