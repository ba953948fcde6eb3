package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// server is a model server or a plain server of the platform.
type server struct {
	d             *deployment
	id, service   string
	model         string // Empty for a plain server.
	slots         int
	events        int           // Events of a whole stream.
	eventInterval time.Duration // Between two events.
	work          time.Duration // Of a plain answer.
	// onBegin is called with the parts of a prompt when its answer is about to begin, and
	// reports whether the server has crashed. It may be nil.
	onBegin func(parts string) (crashed bool)

	mu          sync.Mutex
	addr        string
	software    string // Version of the software.
	born        int64
	http        *http.Server
	down        bool
	sequence    int
	registered  bool // The entry of this lifetime has been accepted by the store.
	silentUntil time.Time
	running     int
	waiting     int
}

// start starts a lifetime of the server with a version of its software, at the address that
// it had.
func (s *server) start(software string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	addr := s.addr
	if addr == "" {
		addr = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	s.addr, s.software, s.born, s.down, s.registered = l.Addr().String(), software, time.Now().UnixMilli(), false, false
	s.running, s.waiting = 0, 0
	s.http = &http.Server{Handler: s}
	s.d.rec.add("server %s: started with software %s", s.id, software)
	go s.http.Serve(l) // Returns only after crash.
	go s.heartbeat(s.http)
	return nil
}

// crash ends the lifetime of the server: its connections break. The store removes its entry
// after three heartbeat intervals of silence.
func (s *server) crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = true
	s.http.Close()
	s.d.rec.add("server %s: crashed", s.id)
	born := s.born
	time.AfterFunc(3*heartbeatInterval, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.down && s.born == born && s.d.storeIsUp() {
			s.d.store.Delete("servers", s.id)
			s.d.rec.add("server %s: entry removed", s.id)
		}
	})
}

// fallSilent makes the server send nothing for a while. It goes on afterwards.
func (s *server) fallSilent(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silentUntil = time.Now().Add(d)
	s.d.rec.add("server %s: falls silent for %v", s.id, d)
}

func (s *server) awaitVoice() {
	s.mu.Lock()
	wait := time.Until(s.silentUntil)
	s.mu.Unlock()
	time.Sleep(wait)
}

// heartbeat writes the server's entry into the store while this lifetime lasts. While the
// store is down, it tries again soon, so that the entry is there when the store is back.
func (s *server) heartbeat(lifetime *http.Server) {
	for {
		s.mu.Lock()
		if s.http != lifetime || s.down {
			s.mu.Unlock()
			return
		}
		row := s.entryLocked()
		if s.d.storeIsUp() {
			s.d.store.Put("servers", s.id, row)
			if !s.registered {
				s.registered = true
				s.d.rec.add("server %s: entry written, software %s", s.id, s.software)
			}
		}
		wait := heartbeatInterval
		if !s.registered {
			wait = 100 * time.Millisecond
		}
		s.mu.Unlock()
		time.Sleep(wait)
	}
}

const heartbeatInterval = 1200 * time.Millisecond

// maxWaiting is how many requests wait at a server whose slots are taken.
const maxWaiting = 192

// prefillTime is how long a server reads a prompt before its answer begins.
const prefillTime = 30 * time.Millisecond

func (s *server) entryLocked() map[string]any {
	s.sequence++
	row := map[string]any{
		"Service": s.service, "Address": s.addr, "Zone": "riga-a", "Version": s.software, "Slots": s.slots, "State": "ready",
		"ColdRemainingMs": 0, "Stage": "unified", "Models": []any{}, "Sequence": s.sequence, "born": s.born,
	}
	if s.model != "" {
		row["Models"] = []any{map[string]any{"Name": s.model, "Version": 1, "Adapters": []any{}}}
	}
	return row
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.awaitVoice()
	h := w.Header()
	h.Set("Radishcrank-Instance-Id", s.id)
	if want := r.Header.Get("Radishcrank-Expect-Instance"); want != "" && want != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/radishcrank/report" {
		s.report(w)
		return
	}
	id := r.Header.Get("Radishcrank-Attempt-Id")
	h.Set("Radishcrank-Attempt-Id", id)
	if want := r.Header.Get("Radishcrank-Expect-Version"); want != "" && want != "1" {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	n, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		return // The sender has left.
	}
	lifetime, admitted := s.admit(r)
	if !admitted {
		h.Set("Radishcrank-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.mu.Lock()
	software := s.software
	load := fmt.Sprintf("%d,%d,%d", s.running, s.waiting, s.slots)
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.http == lifetime {
			s.running--
		}
	}()
	h.Set("Radishcrank-Server-Load", load)
	h.Set("Radishcrank-Response-Seal", "seal."+s.id+"."+id)
	s.d.rec.add("server %s: runs %s, software %s, tenant %q, body %d bytes, Last-Event-Id %q", s.id, id, software, r.Header.Get("Radishcrank-Tenant"), n, r.Header.Get("Last-Event-Id"))
	if s.model == "" {
		select {
		case <-time.After(s.work):
		case <-r.Context().Done():
			return
		}
		fmt.Fprintf(w, "done %s", id) // A failed write means that the sender has left.
		return
	}
	h.Set("Radishcrank-Weight-Versions", "1")
	if s.onBegin != nil {
		time.Sleep(prefillTime)
		if s.onBegin(r.Header.Get("Radishcrank-Prefix-Hash")) {
			panic(http.ErrAbortHandler)
		}
	}
	s.stream(w, r, software)
}

// admit waits for a slot. It reports false if the queue is full, if the sender has left, or if
// this lifetime of the server has ended.
func (s *server) admit(r *http.Request) (lifetime *http.Server, admitted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	lifetime = s.http
	if s.running >= s.slots && s.waiting >= maxWaiting {
		return lifetime, false
	}
	s.waiting++
	for s.running >= s.slots {
		s.mu.Unlock()
		time.Sleep(5 * time.Millisecond)
		left := r.Context().Err() != nil
		s.mu.Lock()
		if s.http != lifetime {
			return lifetime, false
		}
		if left {
			s.waiting--
			return lifetime, false
		}
	}
	s.waiting--
	s.running++
	return lifetime, true
}

// stream writes the events after the one that the sender has.
func (s *server) stream(w http.ResponseWriter, r *http.Request, software string) {
	w.Header().Set("Content-Type", "text/event-stream")
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id")) // 0 if there is none.
	controller := http.NewResponseController(w)
	for n := last + 1; n <= s.events; n++ {
		s.awaitVoice()
		fmt.Fprintf(w, "id: %d\ndata: token %d by %s\n\n", n, n, software) // A failed write shows when it is flushed.
		if controller.Flush() != nil || r.Context().Err() != nil {
			s.d.rec.add("server %s: %s was left by its sender before event %d of %d", s.id, r.Header.Get("Radishcrank-Attempt-Id"), n+1, s.events)
			return
		}
		select {
		case <-time.After(s.eventInterval):
		case <-r.Context().Done():
		}
	}
}

func (s *server) report(w http.ResponseWriter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.model == "" {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	fmt.Fprintf(w, `{"Stage":"unified","Models":[{"Name":%q,"Version":1,"Adapters":[]}],"Busy":false,"Sequence":0,"Waiting":0,"Running":%d,"KvUsed":0,"KvTotal":100000,"Handles":0,"State":"ready","Runs":[],"Next":0,"born":%d}`,
		s.model, s.running, s.born)
}
