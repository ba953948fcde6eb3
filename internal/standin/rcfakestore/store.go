// Package rcfakestore is a stand-in for the users' platform's store: rows with
// conditional transactions and a feed of changes, and the outages that the
// platform's pages name.
package rcfakestore

import (
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Row is a row on the wire.
type Row struct {
	Table     string
	Part      string `json:"part"`
	Key       string
	Value     []byte `json:",omitempty"`
	Ver       uint64
	Tombstone bool `json:",omitempty"`
}

type answer struct {
	Rows    []Row
	HasMore bool
	Ver     uint64
	NowMs   int64
}

// Fault is how the store misbehaves.
type Fault int

// Faults of the store.
const (
	None               Fault = iota
	Unavailable              // Every call gets 503.
	Unresponsive             // No call gets an answer.
	LoseWriteResponses       // Writes are done, and their answers are lost.
	Slow                     // Answers are slowBy late, and so is the time in them.
)

// slowBy is well below the time after which callers give a call up.
const slowBy = 300 * time.Millisecond

// Store holds rows. It implements http.Handler.
type Store struct {
	// Rewrite replaces the value of each row that callers write; nil keeps all.
	// It must be set before the first call.
	Rewrite func(table, key string, value []byte) []byte

	mu      sync.Mutex
	ver     uint64
	rows    map[string]Row
	history []Row
	lost    uint64 // Newest version whose history is gone.
	changed chan struct{}
	fault   Fault
	calls   int
	started time.Time
}

// New returns an empty Store.
func New() *Store {
	return &Store{rows: map[string]Row{}, changed: make(chan struct{}), started: time.Now()}
}

// Now returns the store's clock.
func (s *Store) Now() time.Time { return time.UnixMilli(time.Since(s.started).Milliseconds()) }

// SetFault makes the store misbehave, or with None serve again.
func (s *Store) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
	s.wakeLocked()
}

// Calls returns the number of calls so far.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// RowCount returns the number of rows of a table.
func (s *Store) RowCount(table string) (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.rows {
		if r.Table == table {
			n++
		}
	}
	return n
}

func (s *Store) wakeLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func name(r Row) string { return r.Table + "\x00" + r.Part + "\x00" + r.Key }

// Put writes a row as the operator or an upstream does.
func (s *Store) Put(table, key string, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err) // Only values that the test made itself come here.
	}
	s.PutBytes(table, key, text)
}

// PutBytes writes a row of any bytes.
func (s *Store) PutBytes(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.setLocked(Row{Table: table, Key: key, Value: value, Ver: s.ver})
	s.wakeLocked()
}

// Value returns the value of a row, or nil if there is none.
func (s *Store) Value(table, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rows[name(Row{Table: table, Key: key})].Value
}

// Delete removes a row.
func (s *Store) Delete(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.setLocked(Row{Table: table, Key: key, Ver: s.ver, Tombstone: true})
	s.wakeLocked()
}

// DiscardHistory drops the history of changes.
func (s *Store) DiscardHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lost, s.history = s.ver, nil
	s.wakeLocked()
}

func (s *Store) setLocked(r Row) {
	if r.Tombstone {
		delete(s.rows, name(r))
	} else {
		s.rows[name(r)] = r
	}
	s.history = append(s.history, r)
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.calls++
	fault := s.fault
	s.mu.Unlock()
	switch {
	case fault == Unavailable:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case fault == Unresponsive:
		// Only after the body is the end of the caller's connection noticed.
		io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	case fault == Slow:
		late := httptest.NewRecorder()
		s.route(late, r, fault)
		time.Sleep(slowBy)
		maps.Copy(w.Header(), late.Header())
		w.WriteHeader(late.Code)
		w.Write(late.Body.Bytes()) // A caller that is gone needs no answer.
	default:
		s.route(w, r, fault)
	}
}

func (s *Store) route(w http.ResponseWriter, r *http.Request, fault Fault) {
	switch r.URL.Path {
	case "/radishcrank/rows-get":
		s.get(w, r)
	case "/radishcrank/rows-feed":
		s.feed(w, r)
	case "/radishcrank/rows-tx":
		s.commit(w, r, fault)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	a := answer{Ver: s.ver}
	for _, row := range s.rows {
		if row.Table == q.Get("Table") && row.Part == q.Get("part") && row.Key >= q.Get("From") && (q.Get("To") == "" || row.Key < q.Get("To")) {
			a.Rows = append(a.Rows, row)
		}
	}
	slices.SortFunc(a.Rows, func(x, y Row) int { return strings.Compare(x.Key, y.Key) })
	if limit, err := strconv.Atoi(q.Get("Limit")); err == nil && len(a.Rows) > limit {
		a.Rows, a.HasMore = a.Rows[:limit], true
	}
	s.reply(w, http.StatusOK, a)
}

func (s *Store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("WaitMs"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		a, changed, gone, fault := answer{Ver: s.ver}, s.changed, after < s.lost, s.fault
		for _, row := range s.history {
			if row.Table == q.Get("Table") && row.Ver > after {
				a.Rows = append(a.Rows, row)
			}
		}
		s.mu.Unlock()
		switch {
		case fault == Unresponsive:
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		case fault == Unavailable:
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case gone:
			w.WriteHeader(http.StatusGone)
			return
		case len(a.Rows) > 0:
			s.reply(w, http.StatusOK, a)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			s.reply(w, http.StatusOK, a)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) commit(w http.ResponseWriter, r *http.Request, fault Fault) {
	var tx struct {
		Expected, Puts, Delete []Row
	}
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range tx.Expected {
		if s.rows[name(e)].Ver != e.Ver {
			s.reply(w, http.StatusPreconditionFailed, answer{Rows: []Row{s.rows[name(e)]}, Ver: s.ver})
			return
		}
	}
	s.ver++
	for _, p := range tx.Puts {
		p.Ver = s.ver
		if s.Rewrite != nil {
			p.Value = s.Rewrite(p.Table, p.Key, p.Value)
		}
		s.setLocked(p)
	}
	for _, d := range tx.Delete {
		d.Ver, d.Tombstone = s.ver, true
		s.setLocked(d)
	}
	s.wakeLocked()
	if fault == LoseWriteResponses {
		panic(http.ErrAbortHandler)
	}
	s.reply(w, http.StatusOK, answer{Ver: s.ver})
}

func (s *Store) reply(w http.ResponseWriter, status int, a answer) {
	a.NowMs = s.Now().UnixMilli()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(a) // A caller that is gone needs no answer.
}
