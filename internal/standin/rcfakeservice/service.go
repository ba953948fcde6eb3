// Package rcfakeservice implements a fake booking service for tests and the demo. It
// counts how often each booking ran, so that tests can detect duplicates.
package rcfakeservice

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/upstream/rcservice"
)

// Faults selects the faults that the handler of a Service injects. Each number is
// that of upcoming bookings with the fault. A booking gets the first fault, in the
// order of the fields, whose number is above zero, and decrements it.
type Faults struct {
	Refuse            int  // The booking is refused and marked as not run.
	CrashBefore       int  // The connection breaks before the booking takes effect.
	CrashAfter        int  // The booking takes effect, then the connection breaks.
	TruncateResponses int  // The booking takes effect, and the response is truncated.
	BreakOffUnframed  int  // The booking takes effect, and the response, which has no framing, ends inside its body.
	WithholdResponses int  // The booking takes effect, and no response is sent before the client disconnects.
	InvalidStatus     int  // The booking takes effect, and the response has status 000.
	MalformedField    int  // The booking takes effect, and the name of a field of the response holds a blank.
	ResetUpload       int  // A response without framing is sent before the booking is read, then the connection is reset.
	NoLookup          bool // Lookups do not find any booking.
}

// Service is a fake booking service whose upstreams share its bookings.
type Service struct {
	mu       sync.Mutex
	total    int
	bookings map[string]Booking
	runs     map[string]int
	faults   Faults
}

// Booking is the response to a booking call.
type Booking struct {
	Number  int
	Request string
}

// New returns a service without bookings.
func New() *Service {
	return &Service{bookings: make(map[string]Booking), runs: make(map[string]int)}
}

// SetFaults replaces the injected faults.
func (s *Service) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Runs returns how often the booking with an idempotency key ran. The key includes
// the client account, as ACCOUNT/KEY.
func (s *Service) Runs(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[key]
}

// Duplicates returns the keys of bookings that ran more than once.
func (s *Service) Duplicates() (keys []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, n := range s.runs {
		if n > 1 {
			keys = append(keys, key)
		}
	}
	return keys
}

// Total returns the number of bookings that ran, duplicates included.
func (s *Service) Total() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.total
}

// book runs a booking. It does not deduplicate by key, because the router must
// ensure that a booking runs at most once.
func (s *Service) book(key, request string) Booking {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.total++
	b := Booking{Number: s.total, Request: request}
	s.bookings[key] = b
	s.runs[key]++
	return b
}

func (s *Service) lookup(key string) (b Booking, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b, ok = s.bookings[key]
	return b, ok && !s.faults.NoLookup
}

// nextFault returns the fault of the next booking and decrements its number.
func (s *Service) nextFault() (f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, counter := range []struct{ from, to *int }{
		{&s.faults.Refuse, &f.Refuse},
		{&s.faults.CrashBefore, &f.CrashBefore},
		{&s.faults.CrashAfter, &f.CrashAfter},
		{&s.faults.TruncateResponses, &f.TruncateResponses},
		{&s.faults.BreakOffUnframed, &f.BreakOffUnframed},
		{&s.faults.WithholdResponses, &f.WithholdResponses},
		{&s.faults.InvalidStatus, &f.InvalidStatus},
		{&s.faults.MalformedField, &f.MalformedField},
		{&s.faults.ResetUpload, &f.ResetUpload},
	} {
		if *counter.from > 0 {
			*counter.from--
			*counter.to = 1
			return f
		}
	}
	return f
}

// Handler returns the service's HTTP API. POST on any path runs a booking, GET
// /stock returns the number of bookings, and the lookup path returns the booking of
// an idempotency key if it ran.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /", s.serveBooking)
	mux.HandleFunc("GET "+rcservice.LookupPath, s.serveLookup)
	mux.HandleFunc("GET /stock", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, struct{ Bookings int }{s.Total()})
	})
	return mux
}

func (s *Service) serveBooking(w http.ResponseWriter, r *http.Request) {
	fault := s.nextFault()
	if fault.ResetUpload > 0 {
		writeRaw(w, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n{}", uploadPause)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	switch {
	case fault.Refuse > 0:
		w.Header().Set(radishcrank.HeaderOutcome, string(radishcrank.OutcomeNotRun))
		http.Error(w, "refused", http.StatusServiceUnavailable)
		return
	case fault.CrashBefore > 0:
		panic(http.ErrAbortHandler)
	}
	b := s.book(r.Header.Get(radishcrank.HeaderIdempotencyKey), string(body))
	switch {
	case fault.CrashAfter > 0:
		panic(http.ErrAbortHandler)
	case fault.TruncateResponses > 0:
		w.Header().Set("Content-Length", "1024")
		io.WriteString(w, "{")
		http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	case fault.BreakOffUnframed > 0:
		writeRaw(w, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n{\"Number\":", 0)
		return
	case fault.InvalidStatus > 0:
		writeRaw(w, "HTTP/1.1 000 Trouble\r\nContent-Length: 2\r\n\r\n{}", 0)
		return
	case fault.MalformedField > 0:
		writeRaw(w, "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\n{} and more", 0)
		return
	case fault.WithholdResponses > 0:
		<-r.Context().Done()
		return
	}
	writeJSON(w, b)
}

// uploadPause is long enough for the other side to fill the buffers of the connection.
const uploadPause = 20 * time.Millisecond

// writeRaw writes a response by hand and closes the connection after a pause. That resets it if the
// request has not been read.
func writeRaw(w http.ResponseWriter, response string, pause time.Duration) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err) // Cannot fail for HTTP/1.1.
	}
	defer conn.Close()
	io.WriteString(conn, response)
	time.Sleep(pause)
}

func (s *Service) serveLookup(w http.ResponseWriter, r *http.Request) {
	key := r.Header.Get(radishcrank.HeaderIdempotencyKey)
	b, ok := s.lookup(key)
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
