// Package rcpoison detects requests that crash every engine that runs them. All
// contents in flight on an engine when it crashes become suspects. A suspect with
// IsolationThreshold crashes runs in isolation. A content with VerdictThreshold
// crashes, one of them in isolation, is refused.
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
	"github.com/rs/zerolog"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/state/rcboard"
)

// VerdictStore stores verdicts persistently.
type VerdictStore interface {
	// Load returns all stored verdicts.
	Load(ctx context.Context) ([]Record, error)
	// Expire makes the next Load read all verdicts again.
	Expire()
	// Store writes a verdict. It may be called several times with the same verdict.
	Store(ctx context.Context, r Record) error
}

// Config configures a Tracker.
type Config struct {
	Board        *rcboard.Board
	Instance     radishcrank.InstanceID
	VerdictStore VerdictStore // Nil keeps verdicts only in memory and on peers.
	// StoreDelay is the age at which a verdict is stored. The default is 15 s. A
	// stored verdict is final, so the delay must leave enough time for records of
	// other instances to arrive, which can withdraw the verdict.
	StoreDelay time.Duration
	// OwnsTrial reports whether this instance is the one that lets requests through to try
	// the conviction with a key. Nil means that it is.
	OwnsTrial func(key string) bool
	Log       zerolog.Logger
}

const (
	// suspectTTL is how long a record without a verdict stays valid after its last
	// update. Retry loops of callers resubmit much sooner.
	suspectTTL = time.Hour
	// maxRecords is the maximum number of records of an instance. Records with a
	// verdict are evicted last.
	maxRecords = 4096
	// crashTime is how long after a crash of an upstream verdicts are read in each round. An
	// instance that is cut off from the others learns of new ones in no other way.
	crashTime = 10 * time.Second
	// storeInterval is the maximum time between rounds of reading and writing verdicts.
	storeInterval = 5 * time.Second
	// defaultStoreDelay is the default of Config.StoreDelay. It suits fleets in which
	// records take several seconds to reach all instances.
	defaultStoreDelay = 15 * time.Second
)

// Tracker detects contents that crash engines. It implements rcrelay.CrashTracker
// and is safe for concurrent use.
type Tracker struct {
	cfg Config

	mu        sync.Mutex
	records   map[Key]*Record
	upstreams map[radishcrank.UpstreamID]*occupancy
	pending   map[Key]time.Time // Verdicts to be stored and when they were reached.
	changed   chan struct{}     // Closed when a reservation ends.
	crashedAt time.Time         // When this instance last saw a crash.
	losses    int               // Calls of StoreAgain.
	storeNow  chan struct{}     // Wakes Run to store what is pending.
	// convictedParts holds the convicted sets of prompt parts by their first part.
	convictedParts map[Key][][]Key
	trials         map[Key]trial // By the key of the record.
	crashCount     uint64        // Number of crashes seen; makes IDs of crashes without an incarnation unique.
}

// occupancy holds the runs of this instance on one upstream.
type occupancy struct {
	runs     map[*run]bool
	reserved *run          // The run for which the upstream is reserved; nil if it is not.
	idle     chan struct{} // Closed when no run is left; nil if nothing waits for that.
}

// run is one run of a content on an upstream.
type run struct {
	req     radishcrank.Request
	key     Key
	up      radishcrank.Upstream
	counted bool // The crash was already counted when another run reported it.
}

// New returns a Tracker.
func New(cfg Config) *Tracker {
	cfg.StoreDelay = cmp.Or(cfg.StoreDelay, defaultStoreDelay)
	if cfg.OwnsTrial == nil {
		cfg.OwnsTrial = func(string) bool { return true }
	}
	return &Tracker{
		cfg:       cfg,
		records:   make(map[Key]*Record),
		upstreams: make(map[radishcrank.UpstreamID]*occupancy),
		pending:   make(map[Key]time.Time),
		changed:   make(chan struct{}),
		storeNow:  make(chan struct{}, 1),

		convictedParts: make(map[Key][][]Key),
		trials:         make(map[Key]trial),
	}
}

// Check returns a *radishcrank.Refusal if the content is known to crash engines.
// The refusal states that the request has not run. It has no RetryAfter, because
// retries would be refused too.
func (t *Tracker) Check(req radishcrank.Request) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r, ok := t.records[KeyOf(req)]; !ok || !r.Verdict {
		if held := t.heldLocked(req); len(held) == 0 || t.mayTryLocked(req, held) {
			return nil
		}
	}
	return &radishcrank.Refusal{
		Status:  http.StatusUnprocessableEntity,
		Code:    "request_crashes_engines",
		Message: "this request is refused because engines crashed each time they ran it",
		Outcome: radishcrank.OutcomeNotRun,
	}
}

// CrashCount returns the number of crashes during which the content was in flight.
func (t *Tracker) CrashCount(req radishcrank.Request) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.crashesLocked(KeyOf(req))
}

func (t *Tracker) crashesLocked(key Key) int {
	r, ok := t.records[key]
	if !ok {
		return 0
	}
	return len(r.Crashes)
}

// ExcludedUpstreams returns in excluded the upstreams that are reserved for a
// suspect, and a channel that is closed when a reservation ends. If req itself must
// run in isolation, discouraged lists the upstreams on which other instances isolate
// their suspects and, if one of the remaining upstreams is idle on this instance,
// also those in use.
func (t *Tracker) ExcludedUpstreams(req radishcrank.Request) (excluded, discouraged []radishcrank.UpstreamID, changed <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, id := range slices.Sorted(maps.Keys(t.upstreams)) {
		if t.upstreams[id].reserved != nil {
			excluded = append(excluded, id)
		}
	}
	if len(t.records) > 0 && t.crashesLocked(KeyOf(req)) >= IsolationThreshold {
		discouraged = t.unsuitableLocked()
	}
	return excluded, discouraged, t.changed
}

// unsuitableLocked returns the upstreams on which this instance should not isolate a
// suspect.
func (t *Tracker) unsuitableLocked() []radishcrank.UpstreamID {
	instances := t.cfg.Board.Instances.Snapshot()
	var foreign, busy, idle []radishcrank.UpstreamID
	for id, up := range t.cfg.Board.Upstreams.Snapshot() {
		_, used := t.upstreams[id]
		switch {
		case up.Role == radishcrank.RoleService:
		case !t.isolatesOn(instances, id):
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

// isolatesOn reports whether this instance isolates its suspects on an upstream. It
// does if it has the highest rendezvous hash of the live instances. One crash
// creates suspects on several instances at the same time. If two instances
// isolated their suspects on the same upstream, a harmless content would be blamed
// for the crash that the other one causes.
func (t *Tracker) isolatesOn(instances map[radishcrank.InstanceID]radishcrank.Instance, id radishcrank.UpstreamID) bool {
	own := rendezvousHash(t.cfg.Instance, id)
	for other := range instances {
		if other != t.cfg.Instance && rendezvousHash(other, id) > own {
			return false
		}
	}
	return true
}

// rendezvousHash returns the rendezvous hash of an instance for an upstream.
func rendezvousHash(instance radishcrank.InstanceID, id radishcrank.UpstreamID) uint64 {
	return xxhash.Sum64String(string(instance) + "/" + string(id))
}

// StartRun registers a run on an upstream. A suspect with IsolationThreshold crashes
// reserves the upstream and waits until this instance has no other runs on it. The
// error wraps radishcrank.ErrUpstreamBusy if the upstream is reserved for another
// run, and is the cause of ctx if ctx ends first. end must be called exactly once:
// crashed tells whether the upstream crashed, finished whether the answer was
// complete.
func (t *Tracker) StartRun(ctx context.Context, req radishcrank.Request, up radishcrank.Upstream) (end func(crashed, finished bool), err error) {
	key := KeyOf(req)
	t.mu.Lock()
	o := t.upstreams[up.ID]
	if o == nil {
		o = &occupancy{runs: make(map[*run]bool)}
		t.upstreams[up.ID] = o
	}
	if o.reserved != nil {
		t.mu.Unlock()
		return nil, fmt.Errorf("%w: upstream %s is reserved for a suspect request", radishcrank.ErrUpstreamBusy, up.ID)
	}
	cur := &run{req: req, key: key, up: up}
	alone := t.crashesLocked(key) >= IsolationThreshold
	if alone {
		o.reserved = cur
	}
	if !alone || len(o.runs) == 0 {
		o.runs[cur] = true
		t.mu.Unlock()
		return func(crashed, finished bool) { t.endRun(cur, crashed, finished) }, nil
	}
	o.idle = make(chan struct{})
	idle := o.idle
	t.mu.Unlock()
	select {
	case <-idle:
	case <-ctx.Done():
		t.endRun(cur, false, false)
		return nil, context.Cause(ctx)
	}
	t.mu.Lock()
	o.runs[cur] = true
	t.mu.Unlock()
	return func(crashed, finished bool) { t.endRun(cur, crashed, finished) }, nil
}

// endRun ends a run, updates the records of the affected contents and releases the
// run's reservation.
func (t *Tracker) endRun(cur *run, crashed, finished bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	o := t.upstreams[cur.up.ID]
	if crashed && !cur.counted {
		t.recordCrashLocked(o, cur)
	}
	if finished {
		t.voidCrashesLocked(cur.key)
	}
	t.endTrialLocked(cur.req, crashed, finished)
	delete(o.runs, cur)
	if o.reserved == cur {
		o.reserved = nil
		close(t.changed)
		t.changed = make(chan struct{})
	}
	if len(o.runs) == 0 && o.idle != nil {
		close(o.idle)
		o.idle = nil
	}
	if len(o.runs) == 0 && o.reserved == nil {
		delete(t.upstreams, cur.up.ID)
	}
}

// recordCrashLocked records a crash for all contents in flight on the incarnation
// that crashed. The other runs report the same crash later; they are marked so that
// it counts only once. Runs that started on the next incarnation before the crash
// was reported are not affected.
func (t *Tracker) recordCrashLocked(o *occupancy, cur *run) {
	now := time.Now()
	t.crashedAt = now
	t.crashCount++
	crash := Crash{ID: t.crashIDLocked(cur.up, now), At: now, Alone: o.reserved == cur && len(o.runs) == 1}
	for other := range o.runs {
		if other.up.Incarnation == cur.up.Incarnation {
			other.counted = true
			t.addCrashLocked(other.key, crash)
		}
	}
}

// crashIDLocked returns the ID of a crash. If the incarnation is unknown, the ID is
// specific to this instance, so a crash that two instances see counts twice.
func (t *Tracker) crashIDLocked(up radishcrank.Upstream, now time.Time) string {
	if up.Incarnation != 0 {
		return fmt.Sprintf("%s@%d", up.ID, up.Incarnation)
	}
	return fmt.Sprintf("%s@%s/%d/%d", up.ID, t.cfg.Instance, now.UnixNano(), t.crashCount)
}

// addCrashLocked records a crash for a content.
func (t *Tracker) addCrashLocked(key Key, crash Crash) {
	r := t.recordLocked(key)
	r.addCrashes(crash)
	r.Updated = crash.At
	t.voidAmbiguousLocked(r)
	t.updateRowLocked(r)
}

// voidAmbiguousLocked voids crashes that two records both hold as isolated. This
// happens if two instances isolated their suspects on the same upstream at the same
// time; which of the two caused the crash is unknown. Both run in isolation again,
// and a harmless content then completes.
func (t *Tracker) voidAmbiguousLocked(r *Record) {
	if len(partsOf(r.Key)) > 0 {
		return // Its crashes stand for a conviction.
	}
	for _, c := range slices.Clone(r.Crashes) {
		if !c.Alone {
			continue
		}
		for _, other := range t.records {
			if other != r && slices.ContainsFunc(other.Crashes, func(o Crash) bool { return o.Alone && o.ID == c.ID }) {
				r.void(c.ID)
				other.void(c.ID)
				r.Updated, other.Updated = time.Now(), time.Now()
				t.updateRowLocked(other)
			}
		}
	}
}

// voidCrashesLocked voids the crashes of a content after a complete run.
func (t *Tracker) voidCrashesLocked(key Key) {
	r, ok := t.records[key]
	if !ok || r.Verdict {
		return
	}
	r.voidAll()
	r.Updated = time.Now()
	t.updateRowLocked(r)
}

// recordLocked returns the record of a content and creates it if necessary.
func (t *Tracker) recordLocked(key Key) *Record {
	r, ok := t.records[key]
	if !ok {
		t.evictLocked()
		r = &Record{Key: key}
		t.records[key] = r
	}
	return r
}

// evictLocked evicts expired records if the maximum is reached. If that is not
// enough, it also evicts the least recently updated record, preferring those
// without a verdict.
func (t *Tracker) evictLocked() {
	if len(t.records) < maxRecords {
		return
	}
	var oldest *Record
	for key, r := range t.records {
		if !r.Verdict && time.Since(r.Updated) > suspectTTL {
			t.removeLocked(key)
			continue
		}
		if oldest == nil || (oldest.Verdict && !r.Verdict) || (oldest.Verdict == r.Verdict && r.Updated.Before(oldest.Updated)) {
			oldest = r
		}
	}
	if len(t.records) >= maxRecords && oldest != nil {
		t.removeLocked(oldest.Key)
	}
}

func (t *Tracker) removeLocked(key Key) {
	t.indexPartsLocked(key, false)
	delete(t.records, key)
	delete(t.pending, key)
	delete(t.trials, key)
	t.cfg.Board.Suspects.Delete(string(key))
}

// updateRowLocked updates the record's row in the Suspects table and queues a new
// verdict for storing.
func (t *Tracker) updateRowLocked(r *Record) {
	t.indexPartsLocked(r.Key, r.Verdict)
	old, _ := t.cfg.Board.Suspects.Get(string(r.Key))
	row := rcboard.Suspect{Crashes: len(r.Crashes), Verdict: r.Verdict}
	for _, c := range r.Crashes {
		if c.At.After(row.LastCrash) {
			row.LastCrash = c.At
		}
	}
	if row.Crashes == 0 && !row.Verdict {
		if len(partsOf(r.Key)) == 0 { // Otherwise a conviction was lifted, which is stored.
			delete(t.pending, r.Key)
		}
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
