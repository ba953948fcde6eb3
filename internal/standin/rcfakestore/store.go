// Package rcfakestore implements a fake of the platform's row store, with
// conditional transactions, a change feed and injection of the outages and
// restores that the platform documents.
package rcfakestore

import (
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"net/http/httptest"
	"path"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Row is a row as encoded in requests and responses.
type Row struct {
	Table     string
	Part      string `json:"part"`
	Key       string
	Value     []byte `json:",omitempty"`
	Ver       uint64
	Tombstone bool `json:",omitempty"`
}

type response struct {
	Rows    []Row
	HasMore bool
	Ver     uint64
	NowMs   int64
}

// Fault is a fault that the store injects.
type Fault int

// Faults of the store.
const (
	None               Fault = iota
	Unavailable              // Each call fails with status 503.
	Unresponsive             // No call gets a response.
	LoseWriteResponses       // Writes take effect, but their responses are lost.
	Slow                     // Responses arrive slowDelay late, so that the time in them is outdated.
)

// slowDelay is well below the timeout of the store's clients.
const slowDelay = 300 * time.Millisecond

// Store is an in-memory row store. It implements http.Handler.
type Store struct {
	// Rewrite, if not nil, replaces the value of each row that is written through
	// the HTTP API. It must be set before the first call.
	Rewrite func(table, key string, value []byte) []byte

	restoring sync.Mutex // Held during a restore.

	mu           sync.Mutex
	ver          uint64
	rows         map[string]Row
	history      []Row
	discardedVer uint64 // Newest version at the last DiscardHistory.
	changed      chan struct{}
	fault        Fault
	calls        int
	callsBy      map[string]int // By method and table, such as "rows-feed op".
	started      time.Time
	era          uint64
	away         Fault // Between the loss of the store and its return from a copy.
	copies       copyLog
	unwritten    map[string]Row // Writes of operators and upstreams that a restore has lost, until they are repeated.
}

// eraHeader is in all responses.
const eraHeader = "Store-Era"

// New returns an empty Store.
func New() *Store {
	return &Store{
		rows: map[string]Row{}, changed: make(chan struct{}), started: time.Now(), era: 1,
		copies: copyLog{base: map[string]Row{}}, unwritten: map[string]Row{}, callsBy: map[string]int{},
	}
}

// Now returns the current time of the store's clock, which starts at the Unix epoch.
func (s *Store) Now() time.Time { return time.UnixMilli(time.Since(s.started).Milliseconds()) }

// SetAge sets how long ago the store's clock was at the Unix epoch. It must be called before
// the first call.
func (s *Store) SetAge(age time.Duration) { s.started = time.Now().Add(-age) }

// SetFault sets the injected fault; None disables it.
func (s *Store) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
	s.notifyLocked()
}

// Calls returns the number of HTTP requests received so far.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// CallsBy returns the number of HTTP requests received so far, by method and table, such as
// "rows-feed op". Writes that did not reach the table are not counted.
func (s *Store) CallsBy() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.callsBy)
}

// countLocked counts a call by its method and table.
func (s *Store) countLocked(r *http.Request, table string) {
	s.callsBy[path.Base(r.URL.Path)+" "+table]++
}

// RowCount returns the number of rows in a table.
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

// faultLocked returns the fault that applies to a call.
func (s *Store) faultLocked() Fault {
	if s.away != None {
		return s.away
	}
	return s.fault
}

func (s *Store) notifyLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func rowKey(r Row) string { return r.Table + "\x00" + r.Part + "\x00" + r.Key }

// Put writes a row with a JSON value, as an operator or an upstream does.
func (s *Store) Put(table, key string, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err) // Values come from tests only, so this is a fault of the test.
	}
	s.PutBytes(table, key, text)
}

// PutBytes writes a row with an arbitrary value.
func (s *Store) PutBytes(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writeLocked(Row{Table: table, Key: key, Value: value}, true)
	s.notifyLocked()
}

// Value returns the value of a row, or nil if the row does not exist.
func (s *Store) Value(table, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rows[rowKey(Row{Table: table, Key: key})].Value
}

// Delete removes a row.
func (s *Store) Delete(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writeLocked(Row{Table: table, Key: key, Tombstone: true}, true)
	s.notifyLocked()
}

// DiscardHistory discards the history of changes, so that feeds from an older
// version fail with status 410.
func (s *Store) DiscardHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.discardedVer, s.history = s.ver, nil
	s.notifyLocked()
}

// writeLocked writes a row in a transaction of its own.
func (s *Store) writeLocked(r Row, external bool) {
	s.ver++
	r.Ver = s.ver
	s.setLocked(r, external)
}

func (s *Store) setLocked(r Row, external bool) {
	applyTo(s.rows, r)
	s.history = append(s.history, r)
	s.copies.add(write{row: r, at: time.Now(), external: external})
	if external {
		delete(s.unwritten, rowKey(r))
	}
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.calls++
	if table := r.URL.Query().Get("Table"); table != "" {
		s.countLocked(r, table)
	}
	fault := s.faultLocked()
	s.setEraLocked(w)
	s.mu.Unlock()
	switch {
	case fault == Unavailable:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case fault == Unresponsive:
		// The server detects that the client disconnected only after the body has
		// been read.
		io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	case fault == Slow:
		buffered := httptest.NewRecorder()
		s.route(buffered, r, fault)
		time.Sleep(slowDelay)
		maps.Copy(w.Header(), buffered.Header())
		w.WriteHeader(buffered.Code)
		w.Write(buffered.Body.Bytes()) // An error means that the client disconnected.
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
	if s.away != None {
		panic(http.ErrAbortHandler)
	}
	s.setEraLocked(w)
	a := response{Ver: s.ver}
	for _, row := range s.rows {
		if row.Table == q.Get("Table") && row.Part == q.Get("part") && row.Key >= q.Get("From") && (q.Get("To") == "" || row.Key < q.Get("To")) {
			a.Rows = append(a.Rows, row)
		}
	}
	slices.SortFunc(a.Rows, func(x, y Row) int { return strings.Compare(x.Key, y.Key) })
	if limit, err := strconv.Atoi(q.Get("Limit")); err == nil && len(a.Rows) > limit {
		a.Rows, a.HasMore = a.Rows[:limit], true
	}
	s.respond(w, http.StatusOK, a)
}

func (s *Store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("WaitMs"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		a, changed, fault := response{Ver: s.ver}, s.changed, s.faultLocked()
		s.setEraLocked(w)
		gone := after < s.discardedVer || after > s.ver
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
			s.respond(w, http.StatusOK, a)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			s.respond(w, http.StatusOK, a)
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
	if s.away != None {
		panic(http.ErrAbortHandler)
	}
	s.setEraLocked(w)
	if rows := slices.Concat(tx.Puts, tx.Delete, tx.Expected); len(rows) > 0 {
		s.countLocked(r, rows[0].Table)
	}
	for _, e := range tx.Expected {
		if s.rows[rowKey(e)].Ver != e.Ver {
			s.respond(w, http.StatusPreconditionFailed, response{Rows: []Row{s.rows[rowKey(e)]}, Ver: s.ver})
			return
		}
	}
	s.ver++
	for _, p := range tx.Puts {
		p.Ver = s.ver
		if s.Rewrite != nil {
			p.Value = s.Rewrite(p.Table, p.Key, p.Value)
		}
		s.setLocked(p, false)
	}
	for _, d := range tx.Delete {
		d.Ver, d.Tombstone = s.ver, true
		s.setLocked(d, false)
	}
	s.notifyLocked()
	if fault == LoseWriteResponses {
		panic(http.ErrAbortHandler)
	}
	s.respond(w, http.StatusOK, response{Ver: s.ver})
}

// setEraLocked sets the era of a response, which must be that of its content.
func (s *Store) setEraLocked(w http.ResponseWriter) {
	w.Header().Set(eraHeader, strconv.FormatUint(s.era, 10))
}

func (s *Store) respond(w http.ResponseWriter, status int, a response) {
	a.NowMs = s.Now().UnixMilli()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(a) // An error means that the client disconnected.
}
