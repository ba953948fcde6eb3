// Package rcpoison finds a request that crashes each engine that runs it. Every
// content in flight at a crash becomes suspect, a suspect of two crashes runs
// alone, and a content that also crashes an engine alone is refused.
package rcpoison

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/state/rcboard"
)

// VerdictStore keeps verdicts beyond the life of an instance.
type VerdictStore interface {
	// Load returns all stored verdicts.
	Load(ctx context.Context) ([]Record, error)
	// Store writes a verdict. It may be called again with the same one.
	Store(ctx context.Context, r Record) error
}

// Config holds the parts that a Tracker works with.
type Config struct {
	Board        *rcboard.Board
	Instance     radishcrank.InstanceID
	VerdictStore VerdictStore // Nil keeps verdicts in memory and with peers only.
	// StoreDelay is the age at which a verdict is stored, 15 s if it is 0. A record of
	// another instance may withdraw it until that has had the time to arrive.
	StoreDelay time.Duration
}

const (
	// suspicionLife is the time for which crashes are remembered. Resubmissions
	// by a caller's retry loop come much sooner.
	suspicionLife = time.Hour
	// maxRecords bounds the records of one instance; verdicts are dropped last.
	maxRecords = 4096
	// storeInterval is the time between rounds of writing and reading verdicts.
	storeInterval = 5 * time.Second
	// storeDelay is Config.StoreDelay where records take seconds to arrive.
	storeDelay = 15 * time.Second
)

// Tracker finds contents that crash engines. It implements rcrelay.Guard and is
// safe for concurrent use.
type Tracker struct {
	cfg Config

	mu        sync.Mutex
	records   map[Key]*Record
	upstreams map[radishcrank.UpstreamID]*occupancy
	pending   map[Key]time.Time // Verdicts to be stored, with the time they were made.
	changed   chan struct{}     // Closed when a reservation ends.
	unnamed   uint64            // Crashes of upstreams whose incarnation is unknown.
}

// occupancy is what runs on one upstream.
type occupancy struct {
	runs     map[*flight]bool
	reserved *flight // Only this one may run.
	idle     chan struct{}
}

// flight is one run of a content on an upstream.
type flight struct {
	key     Key
	up      radishcrank.Upstream
	counted bool // A crash that another flight reported included this one.
}

// New returns a Tracker.
func New(cfg Config) *Tracker {
	cfg.StoreDelay = cmp.Or(cfg.StoreDelay, storeDelay)
	return &Tracker{
		cfg:       cfg,
		records:   make(map[Key]*Record),
		upstreams: make(map[radishcrank.UpstreamID]*occupancy),
		pending:   make(map[Key]time.Time),
		changed:   make(chan struct{}),
	}
}

// Check returns a *Refusal if the content is known to crash engines. It has not
// run this time, and a retry would be refused, too.
func (t *Tracker) Check(req radishcrank.Request) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.records[KeyOf(req)]
	if !ok || !r.Verdict {
		return nil
	}
	return &radishcrank.Refusal{
		Status:  http.StatusUnprocessableEntity,
		Code:    "request_crashes_engines",
		Message: "this request is refused because engines crashed each time they ran it",
		Outcome: radishcrank.OutcomeNotRun,
	}
}

// Suspicion returns in how many crashes the content was in flight.
func (t *Tracker) Suspicion(req radishcrank.Request) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.suspicionLocked(KeyOf(req))
}

func (t *Tracker) suspicionLocked(key Key) int {
	r, ok := t.records[key]
	if !ok {
		return 0
	}
	return len(r.Crashes)
}

// Avoid returns the upstreams that are reserved for a suspect and a channel that
// is closed when a reservation ends. For suspects of two crashes it also returns
// upstreams that other instances use for theirs and, if any upstream is idle
// here, those that are not.
func (t *Tracker) Avoid(req radishcrank.Request) (must, rather []radishcrank.UpstreamID, changed <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, id := range slices.Sorted(maps.Keys(t.upstreams)) {
		if t.upstreams[id].reserved != nil {
			must = append(must, id)
		}
	}
	if len(t.records) > 0 && t.suspicionLocked(KeyOf(req)) >= IsolationThreshold {
		rather = t.unfitLocked()
	}
	return must, rather, t.changed
}

// unfitLocked returns the upstreams on which a suspect should not run alone.
func (t *Tracker) unfitLocked() []radishcrank.UpstreamID {
	instances := t.cfg.Board.Instances.Snapshot()
	var foreign, busy, idle []radishcrank.UpstreamID
	for id, up := range t.cfg.Board.Upstreams.Snapshot() {
		_, used := t.upstreams[id]
		switch {
		case up.Role == radishcrank.RoleService:
		case !t.owns(instances, id):
			foreign = append(foreign, id)
		case used:
			busy = append(busy, id)
		default:
			idle = append(idle, id)
		}
	}
	if len(idle) > 0 {
		return append(foreign, busy...)
	}
	return foreign
}

// owns reports whether this instance is the one that isolates on an upstream:
// the first in the rendezvous order of the live instances. A crash makes
// suspects on several instances at the same moment. If two of them ran their
// suspects on one upstream, the innocent one would share the other's crash.
func (t *Tracker) owns(instances map[radishcrank.InstanceID]radishcrank.Instance, id radishcrank.UpstreamID) bool {
	own := rank(t.cfg.Instance, id)
	for other := range instances {
		if other != t.cfg.Instance && rank(other, id) > own {
			return false
		}
	}
	return true
}

func rank(instance radishcrank.InstanceID, id radishcrank.UpstreamID) uint64 {
	return xxhash.Sum64String(string(instance) + "/" + string(id))
}

// Enter registers a run on an upstream. A suspect of two crashes reserves the
// upstream and waits until nothing else of this instance runs there. The error
// wraps ErrUpstreamBusy if the upstream is reserved for another run, and is the
// context's if that ends first. end must be called once: crashed if the
// upstream crashed, finished if the answer was complete.
func (t *Tracker) Enter(ctx context.Context, req radishcrank.Request, up radishcrank.Upstream) (end func(crashed, finished bool), err error) {
	key := KeyOf(req)
	t.mu.Lock()
	o := t.upstreams[up.ID]
	if o == nil {
		o = &occupancy{runs: make(map[*flight]bool)}
		t.upstreams[up.ID] = o
	}
	if o.reserved != nil {
		t.mu.Unlock()
		return nil, fmt.Errorf("%w: upstream %s runs a suspect alone", radishcrank.ErrUpstreamBusy, up.ID)
	}
	f := &flight{key: key, up: up}
	alone := t.suspicionLocked(key) >= IsolationThreshold
	if alone {
		o.reserved = f
	}
	if !alone || len(o.runs) == 0 {
		o.runs[f] = true
		t.mu.Unlock()
		return func(crashed, finished bool) { t.leave(f, crashed, finished) }, nil
	}
	o.idle = make(chan struct{})
	idle := o.idle
	t.mu.Unlock()
	select {
	case <-idle:
	case <-ctx.Done():
		t.leave(f, false, false)
		return nil, context.Cause(ctx)
	}
	t.mu.Lock()
	o.runs[f] = true
	t.mu.Unlock()
	return func(crashed, finished bool) { t.leave(f, crashed, finished) }, nil
}

// leave ends a run and draws the conclusions.
func (t *Tracker) leave(f *flight, crashed, finished bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	o := t.upstreams[f.up.ID]
	if crashed && !f.counted {
		t.crashLocked(o, f)
	}
	if finished {
		t.clearLocked(f.key)
	}
	delete(o.runs, f)
	if o.reserved == f {
		o.reserved = nil
		close(t.changed)
		t.changed = make(chan struct{})
	}
	if len(o.runs) == 0 && o.idle != nil {
		close(o.idle)
		o.idle = nil
	}
	if len(o.runs) == 0 && o.reserved == nil {
		delete(t.upstreams, f.up.ID)
	}
}

// crashLocked adds a crash to all contents in flight on the incarnation that
// crashed. The other runs will report the same crash; they are marked so that it
// counts once. A run that began on the next incarnation before the crash of the
// last one was reported is not part of it.
func (t *Tracker) crashLocked(o *occupancy, f *flight) {
	now := time.Now()
	t.unnamed++
	crash := Crash{ID: t.crashIDLocked(f.up, now), At: now, Alone: o.reserved == f && len(o.runs) == 1}
	for other := range o.runs {
		if other.up.Incarnation == f.up.Incarnation {
			other.counted = true
			t.suspectLocked(other.key, crash)
		}
	}
}

// crashIDLocked names a crash. Without a known incarnation the name is this
// instance's own, so two instances count the crash twice.
func (t *Tracker) crashIDLocked(up radishcrank.Upstream, now time.Time) string {
	if up.Incarnation != 0 {
		return fmt.Sprintf("%s@%d", up.ID, up.Incarnation)
	}
	return fmt.Sprintf("%s@%s/%d/%d", up.ID, t.cfg.Instance, now.UnixNano(), t.unnamed)
}

func (t *Tracker) suspectLocked(key Key, crash Crash) {
	r := t.recordLocked(key)
	r.add(crash)
	r.Updated = crash.At
	t.separateLocked(r)
	t.showLocked(r)
}

// separateLocked takes back crashes that two contents are blamed for alone. Two
// instances then isolated their suspects on one upstream at the same time, and
// nobody knows which of them crashed it. Both run alone once more; the innocent
// one reaches its end.
func (t *Tracker) separateLocked(r *Record) {
	for _, c := range slices.Clone(r.Crashes) {
		if !c.Alone {
			continue
		}
		for _, other := range t.records {
			if other != r && slices.ContainsFunc(other.Crashes, func(o Crash) bool { return o.Alone && o.ID == c.ID }) {
				r.void(c.ID)
				other.void(c.ID)
				r.Updated, other.Updated = time.Now(), time.Now()
				t.showLocked(other)
			}
		}
	}
}

// clearLocked frees a content from suspicion after a run that reached its end.
func (t *Tracker) clearLocked(key Key) {
	r, ok := t.records[key]
	if !ok || r.Verdict {
		return
	}
	r.clear()
	r.Updated = time.Now()
	t.showLocked(r)
}

func (t *Tracker) recordLocked(key Key) *Record {
	r, ok := t.records[key]
	if !ok {
		t.makeRoomLocked()
		r = &Record{Key: key}
		t.records[key] = r
	}
	return r
}

// makeRoomLocked drops records whose life is over and, if there are still too
// many, the oldest one without a verdict.
func (t *Tracker) makeRoomLocked() {
	if len(t.records) < maxRecords {
		return
	}
	var oldest *Record
	for key, r := range t.records {
		if !r.Verdict && time.Since(r.Updated) > suspicionLife {
			t.dropLocked(key)
			continue
		}
		if oldest == nil || (oldest.Verdict && !r.Verdict) || (oldest.Verdict == r.Verdict && r.Updated.Before(oldest.Updated)) {
			oldest = r
		}
	}
	if len(t.records) >= maxRecords && oldest != nil {
		t.dropLocked(oldest.Key)
	}
}

func (t *Tracker) dropLocked(key Key) {
	delete(t.records, key)
	delete(t.pending, key)
	t.cfg.Board.Suspects.Delete(string(key))
}

// showLocked writes the row of a record and queues a new verdict for storing.
func (t *Tracker) showLocked(r *Record) {
	old, _ := t.cfg.Board.Suspects.Get(string(r.Key))
	row := rcboard.Suspect{Crashes: len(r.Crashes), Verdict: r.Verdict}
	for _, c := range r.Crashes {
		if c.At.After(row.LastCrash) {
			row.LastCrash = c.At
		}
	}
	if row.Crashes == 0 && !row.Verdict {
		delete(t.pending, r.Key)
		t.cfg.Board.Suspects.Delete(string(r.Key))
		return
	}
	t.cfg.Board.Suspects.Put(string(r.Key), row)
	switch {
	case !r.Verdict:
		delete(t.pending, r.Key)
	case !old.Verdict:
		t.pending[r.Key] = time.Now()
	}
}
