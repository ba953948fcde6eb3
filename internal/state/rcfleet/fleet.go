// Package rcfleet is what an instance believes of the upstreams: who is listed,
// which weights each serves, how its own exchanges fare there, and which
// cached parts it is likely to hold. It decides nothing; routing reads it.
package rcfleet

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/radishcrank/radishcrank"
)

const (
	// firstSuspicion is how long an upstream is left alone after its first fault.
	// It doubles with each further fault, so that a restarted upstream is found
	// soon and a dead one is asked rarely.
	firstSuspicion = 250 * time.Millisecond
	maxSuspicion   = 4 * time.Second
	// returnGrace is how long removals from the list are doubted after the list
	// was out of reach: entries that lapsed meanwhile come back within two seconds.
	returnGrace = 2 * time.Second
	// faultDecay weights the newest outcome in the moving average of failures.
	faultDecay = 0.15
	// loadReportLife bounds the age of a load report that still counts.
	loadReportLife = 2 * time.Second
	// othersLife bounds the age of what other instances told of their load: they
	// tell it several times a second while there is any.
	othersLife = time.Second
)

// Entry is an upstream as the platform lists it.
type Entry struct {
	radishcrank.Upstream
	Slots      int
	WarmupTime time.Duration // How long it remains slow after its start.
	Weights    map[radishcrank.ModelID]radishcrank.WeightsVersion
}

// State is a copy of what is believed of one upstream.
type State struct {
	Entry
	Hash         uint64    // Of the id, for ranks that all instances agree on.
	Listed       bool      // False in the grace after a doubtful removal.
	Running      int       // Exchanges of this instance that are under way there.
	Prefilling   int       // Prompt tokens of those that have no first event yet.
	PeerLoad     Load      // What other instances have under way there, as far as they told lately.
	Suspect      bool      // Left alone after a fault.
	Probing      bool      // The suspicion has ended, but nothing has succeeded since.
	FailureRate  float64   // Moving average of failed exchanges.
	LoadingUntil time.Time // End of the weights load that is expected or under way.
	Reported     radishcrank.QueueReport
	ReportedAt   time.Time
	WarmupUntil  time.Time
}

// Load is what instances have under way at an upstream.
type Load struct {
	Running    int
	Prefilling int // Prompt tokens of exchanges that have no first event yet.
}

// Loading reports whether the upstream loads weights or is about to.
func (s *State) Loading(now time.Time) bool { return now.Before(s.LoadingUntil) }

type member struct {
	State
	faults       int
	suspectUntil time.Time
	removedAt    time.Time
	othersAt     time.Time // When Others was told.
}

// Fleet holds the members. It is safe for concurrent use.
type Fleet struct {
	mu        sync.Mutex
	members   map[radishcrank.UpstreamID]*member
	services  map[string][]*member
	known     bool // A first complete list has arrived.
	awaySince time.Time
	backAt    time.Time
	changed   chan struct{} // Closed and replaced when an upstream may have become usable.
	holders   *holders
}

// New returns an empty Fleet.
func New() *Fleet {
	return &Fleet{
		members:  map[radishcrank.UpstreamID]*member{},
		services: map[string][]*member{},
		changed:  make(chan struct{}),
		holders:  newHolders(),
	}
}

// Changed returns a channel that is closed when an upstream may have become usable.
func (f *Fleet) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

func (f *Fleet) signalLocked() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// Synced reports whether a first complete list has arrived.
func (f *Fleet) Synced() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.known
}

// Put takes in a listed entry.
func (f *Fleet) Put(e Entry) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.putLocked(e)
	f.signalLocked()
}

func (f *Fleet) putLocked(e Entry) {
	m, ok := f.members[e.ID]
	if ok && m.Incarnation != e.Incarnation {
		f.holders.forget(e.ID)
		f.dropLocked(m)
		ok = false
	}
	if !ok {
		m = &member{State: State{Hash: xxhash.Sum64String(string(e.ID))}}
		f.members[e.ID] = m
		f.services[e.Service] = append(f.services[e.Service], m)
	}
	weights := m.Weights
	m.Entry = e
	m.Weights = newestWeights(weights, e.Weights)
	m.Listed, m.removedAt = true, time.Time{}
	m.WarmupUntil = time.Now().Add(e.WarmupTime)
}

// newestWeights merges two views of one incarnation, whose weights never get older.
func newestWeights(a, b map[radishcrank.ModelID]radishcrank.WeightsVersion) map[radishcrank.ModelID]radishcrank.WeightsVersion {
	merged := map[radishcrank.ModelID]radishcrank.WeightsVersion{}
	for model, w := range a {
		merged[model] = w
	}
	for model, w := range b {
		if old, ok := merged[model]; !ok || old.Less(w) {
			merged[model] = w
		}
	}
	return merged
}

// Replace takes in a complete list.
func (f *Fleet) Replace(entries []Entry) {
	f.mu.Lock()
	defer f.mu.Unlock()
	listed := map[radishcrank.UpstreamID]bool{}
	for _, e := range entries {
		listed[e.ID] = true
		f.putLocked(e)
	}
	for id, m := range f.members {
		if !listed[id] {
			f.removeLocked(m)
		}
	}
	f.known = true
	f.signalLocked()
}

// Remove takes out an entry that is no longer listed.
func (f *Fleet) Remove(id radishcrank.UpstreamID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if m, ok := f.members[id]; ok {
		f.removeLocked(m)
	}
}

// removeLocked drops a member, unless the list was out of reach a moment ago:
// then an upstream that was not leaving stays usable until it had the time to
// be listed again.
func (f *Fleet) removeLocked(m *member) {
	now := time.Now()
	doubtful := !f.awaySince.IsZero() || now.Sub(f.backAt) < returnGrace
	if !doubtful || m.Leaving {
		f.dropLocked(m)
		return
	}
	if m.Listed {
		m.Listed, m.removedAt = false, now
	}
}

func (f *Fleet) dropLocked(m *member) {
	delete(f.members, m.ID)
	f.services[m.Service] = slices.DeleteFunc(f.services[m.Service], func(o *member) bool { return o == m })
	f.holders.forget(m.ID)
}

// SetReachable tells whether the list can be read.
func (f *Fleet) SetReachable(ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case !ok && f.awaySince.IsZero():
		f.awaySince = time.Now()
	case ok && !f.awaySince.IsZero():
		f.awaySince, f.backAt = time.Time{}, time.Now()
	}
}

// Expire drops members whose grace has ended.
func (f *Fleet) Expire() {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	if !f.awaySince.IsZero() || now.Sub(f.backAt) < returnGrace {
		return
	}
	for _, m := range f.members {
		if !m.Listed {
			f.dropLocked(m)
		}
	}
}

// AppendStates appends the states of a service's upstreams to buf.
func (f *Fleet) AppendStates(service string, buf []State) []State {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	for _, m := range f.services[service] {
		buf = append(buf, m.stateAt(now))
	}
	return buf
}

// All returns the states of all upstreams.
func (f *Fleet) All() []State {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	states := make([]State, 0, len(f.members))
	for _, m := range f.members {
		states = append(states, m.stateAt(now))
	}
	return states
}

// Get returns the state of one upstream.
func (f *Fleet) Get(id radishcrank.UpstreamID) (State, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m, ok := f.members[id]
	if !ok {
		return State{}, false
	}
	return m.stateAt(time.Now()), true
}

func (m *member) stateAt(now time.Time) State {
	s := m.State
	s.Suspect = now.Before(m.suspectUntil)
	s.Probing = m.faults > 0 && !s.Suspect
	if now.Sub(m.othersAt) > othersLife {
		s.PeerLoad = Load{}
	}
	if now.Sub(s.ReportedAt) > loadReportLife {
		s.Reported = radishcrank.QueueReport{}
	}
	return s
}

// SetWeights records the weights that an upstream was seen to serve. Older ones
// than those known are late news and change nothing.
func (f *Fleet) SetWeights(id radishcrank.UpstreamID, model radishcrank.ModelID, w radishcrank.WeightsVersion) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m, ok := f.members[id]
	if !ok || w == "" || !m.Weights[model].Less(w) {
		return
	}
	m.Weights = newestWeights(m.Weights, map[radishcrank.ModelID]radishcrank.WeightsVersion{model: w})
	m.LoadingUntil = time.Time{}
	f.signalLocked()
}

// SetLoading says that an upstream loads weights until about a moment, or, with
// the zero time, that it no longer does.
func (f *Fleet) SetLoading(id radishcrank.UpstreamID, until time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m, ok := f.members[id]
	if !ok || m.LoadingUntil.Equal(until) {
		return
	}
	m.LoadingUntil = until
	f.signalLocked()
}

// SetQueueReport takes in the load that an upstream told with an answer.
func (f *Fleet) SetQueueReport(id radishcrank.UpstreamID, q radishcrank.QueueReport) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if m, ok := f.members[id]; ok {
		m.Reported, m.ReportedAt = q, time.Now()
	}
}

// MarkSuspect makes routing leave an upstream alone for a moment, as after a fault.
func (f *Fleet) MarkSuspect(id radishcrank.UpstreamID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if m, ok := f.members[id]; ok {
		m.fault(time.Now())
	}
}

func (m *member) fault(now time.Time) {
	if now.Before(m.suspectUntil) {
		return // Exchanges that fail together are one fault.
	}
	m.faults++
	m.suspectUntil = now.Add(min(firstSuspicion<<min(m.faults-1, 8), maxSuspicion))
}
