// Package rcfleet holds what an instance knows about the upstreams: which are
// listed, which weights each of them serves, the outcomes of the instance's own
// exchanges, and the prompt parts that each probably has cached. It makes no
// decisions; routing reads it.
package rcfleet

import (
	"slices"
	"sync"
	"time"

	"github.com/radishcrank/radishcrank"
)

const (
	// initialSuspicion is how long an upstream gets no new work after its first
	// failure. The time doubles with each further failure, so that a restarted
	// upstream is found soon and a dead one is rarely tried.
	initialSuspicion = 250 * time.Millisecond
	maxSuspicion     = 4 * time.Second
	// removalGrace is how long removals from the list are ignored after the
	// list was unreachable: upstreams whose entries expired in the meantime are
	// listed again within two seconds.
	removalGrace = 2 * time.Second
	// softwareRetention is how long the software versions of upstreams that are gone are
	// remembered. It exceeds the time limits of streams.
	softwareRetention = time.Minute
	// departureRetention is how long an upstream that is gone is remembered. A copy
	// from which the store comes back is some seconds old.
	departureRetention = time.Minute
	// failureRateWeight is the weight of the newest outcome in the moving
	// average of failures.
	failureRateWeight = 0.15
	// queueReportTTL is the maximum age of a queue report.
	queueReportTTL = 2 * time.Second
	// peerLoadTTL is the maximum age of the load that peers report. They report
	// it several times a second while there is any.
	peerLoadTTL = time.Second
)

// Entry is an upstream as listed by the platform.
type Entry struct {
	radishcrank.Upstream
	Slots      int
	StartedAt  time.Time     // By the clock of its machine; zero if unknown.
	WarmupTime time.Duration // How long it remains slow after its start.
	Weights    map[radishcrank.ModelID]radishcrank.WeightsVersion
}

// State is a snapshot of what is known about one upstream.
type State struct {
	Entry
	Hash         uint64    // Hash of the ID, for rankings on which all instances agree.
	Listed       bool      // False during the grace period after a removal that may be wrong.
	Running      int       // Exchanges of this instance in progress.
	Prefilling   int       // Prompt tokens of exchanges of this instance without a first event yet.
	Late         Late      // The part of Running and Prefilling that the upstream begins last.
	Held         int       // Prompt tokens that exchanges of this instance add to its memory.
	PeerLoad     Load      // Load from other instances as last reported, or its mean if Speed is known.
	Speed        float64   // Speed factor as reported in the last seconds, 1 is usual; 0 if it is unknown.
	CacheTokens  int       // KV cache capacity; 0 if it is unknown.
	Brittle      int       // Requests that it can turn away in a second before it falls over; 0 if no upstream of its service says so.
	Full         bool      // No new work because it is brittle and has this instance's share of its slots in use; set by rcforward.
	Throttled    bool      // No new work because this instance has used its share of the rate limit; set by rcforward.
	PausedUntil  time.Time // No new work because the upstream has asked this instance for a pause.
	Suspect      bool      // No new work because of a recent failure.
	SuspectUntil time.Time // End of that; meaningless if not Suspect.
	Probing      bool      // The suspicion has ended, but no exchange has succeeded since.
	FailureRate  float64   // Moving average of failed exchanges.
	LoadingUntil time.Time // End of the weights load that is expected or in progress.
	Reported     radishcrank.QueueReport
	ReportedAt   time.Time
	WarmupUntil  time.Time
}

// Load is the work in progress at an upstream.
type Load struct {
	Running    int
	Prefilling int // Prompt tokens of exchanges without a first event yet.
	Late       Late
	Held       int // Prompt tokens added to its memory; 0 if it does not report its speed.
	Speed      SpeedSamples
}

// Late is the part of a load that upstreams begin after all other work, because it is past
// its latency target: exchanges without a first event yet, and their prompt tokens.
type Late struct {
	Running    int
	Prefilling int
}

// Ahead returns what an upstream does before an exchange, by all instances' loads and its
// own report: running requests, prompt tokens to read and waiting requests. deferred means
// that the exchange is late, so that others that are late come before it.
func (s *State) Ahead(deferred bool) (running, prefilling, waiting int) {
	running, prefilling, waiting = s.Running+s.PeerLoad.Running, s.Prefilling+s.PeerLoad.Prefilling, s.Reported.Waiting
	if !deferred {
		late := s.Late.add(s.PeerLoad.Late)
		running, prefilling, waiting = max(0, running-late.Running), max(0, prefilling-late.Prefilling), max(0, waiting-late.Running)
	}
	return running, prefilling, waiting
}

// Paused reports whether the upstream wants no requests from this instance.
func (s *State) Paused(now time.Time) bool { return now.Before(s.PausedUntil) }

// Loading reports whether the upstream loads weights or is about to.
func (s *State) Loading(now time.Time) bool { return now.Before(s.LoadingUntil) }

// member is an upstream with the data from which its State is derived.
type member struct {
	State
	failures     int
	failingSince time.Time // When the first of them was; meaningless without failures.
	suspectUntil time.Time
	misdirected  bool // Its last failure was that it is not what is listed.
	// unconfirmedUntil ends the time in which the entry may be that of an upstream
	// that is gone.
	unconfirmedUntil time.Time
	listedLeaving    bool // Its entry says that it leaves.
	removedAt        time.Time
	peerLoadAt       time.Time // When PeerLoad was set.
	peerMean         peerMean  // Of PeerLoad.
	speed            speedTracker
}

// departure is what remains known of an upstream that is gone.
type departure struct {
	incarnation radishcrank.Incarnation
	leaving     bool // It was leaving.
	at          time.Time
}

// Fleet tracks all upstreams. It is safe for concurrent use.
type Fleet struct {
	mu                     sync.Mutex
	members                map[radishcrank.UpstreamID]*member
	services               map[string][]*member
	departed               map[radishcrank.UpstreamID]departure
	announcements          map[radishcrank.UpstreamID][]*announcement
	announcementsExpiredAt time.Time
	brittle                map[string]brittleness                               // Services whose upstreams are brittle.
	peerCapacitiesAt       time.Time                                            // When a load report last had speeds or memory.
	cacheTokens            map[string]int                                       // KV cache capacities of engines by service.
	goneSoftware           map[string]map[radishcrank.SoftwareVersion]time.Time // When upstreams of a service were last listed with a version, by service.
	syncedAt               time.Time                                            // When a first complete list had arrived; zero before.
	unreachableSince       time.Time
	reachableSince         time.Time     // End of the last outage in which entries may have expired.
	minOutage              time.Duration // Shortest outage of the list in which entries of live upstreams may expire.
	changed                chan struct{} // Closed and replaced when an upstream may have become usable.
	cachedParts            *cachedParts
}

// New returns an empty Fleet.
func New() *Fleet {
	return &Fleet{
		members:       map[radishcrank.UpstreamID]*member{},
		services:      map[string][]*member{},
		departed:      map[radishcrank.UpstreamID]departure{},
		announcements: map[radishcrank.UpstreamID][]*announcement{},
		brittle:       map[string]brittleness{},
		goneSoftware:  map[string]map[radishcrank.SoftwareVersion]time.Time{},
		changed:       make(chan struct{}),
		cachedParts:   newCachedParts(),
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

// Available returns the number of upstreams of a service that take new requests.
func (f *Fleet) Available(service string) (n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	for _, m := range f.services[service] {
		if !m.Leaving && !now.Before(m.suspectUntil) {
			n++
		}
	}
	return n
}

// Synced reports whether a first complete list has arrived.
func (f *Fleet) Synced() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.syncedAt.IsZero()
}

// SoftwareVersions returns the versions of the software of a service's upstreams that
// were listed within the time, up to a minute. complete is false if the list has not
// been known for that long.
func (f *Fleet) SoftwareVersions(service string, within time.Duration) (versions []radishcrank.SoftwareVersion, complete bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range f.services[service] {
		versions = append(versions, m.Software)
	}
	now := time.Now()
	for version, at := range f.goneSoftware[service] {
		if now.Sub(at) < within {
			versions = append(versions, version)
		}
	}
	slices.Sort(versions)
	return slices.Compact(versions), !f.syncedAt.IsZero() && now.Sub(f.syncedAt) >= within && within <= softwareRetention
}

// rememberSoftwareLocked remembers the software version of an upstream that is gone.
func (f *Fleet) rememberSoftwareLocked(m *member) {
	now, versions := time.Now(), f.goneSoftware[m.Service]
	if versions == nil {
		versions = map[radishcrank.SoftwareVersion]time.Time{}
		f.goneSoftware[m.Service] = versions
	}
	for version, at := range versions {
		if now.Sub(at) > softwareRetention {
			delete(versions, version)
		}
	}
	versions[m.Software] = now
}

// SetMinOutage sets how long the list must have been unreachable for removals to be
// doubted afterwards. After a shorter time, as when only a connection of this instance was
// reset, no entry of a live upstream can have expired.
func (f *Fleet) SetMinOutage(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.minOutage = d
}

// SetReachable records whether the list can be read.
func (f *Fleet) SetReachable(ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	switch {
	case !ok && f.unreachableSince.IsZero():
		f.unreachableSince = now
	case ok && !f.unreachableSince.IsZero():
		if now.Sub(f.unreachableSince) >= f.minOutage {
			f.reachableSince = now
		}
		f.unreachableSince = time.Time{}
	}
}

// Reachable reports whether the list could be read at the last attempt.
func (f *Fleet) Reachable() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.unreachableSince.IsZero()
}

// doubtsRemovalsLocked reports whether upstreams may be missing in the list because they
// could not reach it.
func (f *Fleet) doubtsRemovalsLocked(now time.Time) bool {
	return !f.unreachableSince.IsZero() || now.Sub(f.reachableSince) < removalGrace
}

// Expire drops members whose grace period has ended.
func (f *Fleet) Expire() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.doubtsRemovalsLocked(time.Now()) {
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
		if m.Listed || f.doubtsRemovalsLocked(now) {
			buf = append(buf, f.stateLocked(m, now))
		}
	}
	return buf
}

// Upstreams returns all upstreams that are not leaving.
func (f *Fleet) Upstreams() (ups []radishcrank.Upstream) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range f.members {
		if !m.Leaving {
			ups = append(ups, m.Upstream)
		}
	}
	return ups
}

// All returns the states of all upstreams.
func (f *Fleet) All() []State {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	states := make([]State, 0, len(f.members))
	for _, m := range f.members {
		states = append(states, f.stateLocked(m, now))
	}
	return states
}

// Get returns the state of one upstream.
func (f *Fleet) Get(id radishcrank.UpstreamID) (State, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	m, ok := f.members[id]
	if !ok || !m.Listed && !f.doubtsRemovalsLocked(now) {
		return State{}, false
	}
	return f.stateLocked(m, now), true
}

// stateLocked returns the state of an upstream without reports that have expired.
func (f *Fleet) stateLocked(m *member, now time.Time) State {
	s := m.State
	s.Brittle = f.brittle[m.Service].refusals
	s.SuspectUntil = m.suspectUntil
	if m.unconfirmedUntil.After(m.suspectUntil) {
		s.SuspectUntil = m.unconfirmedUntil
	}
	s.Suspect = now.Before(s.SuspectUntil)
	s.Probing = m.failures > 0 && !s.Suspect
	peersHeard := now.Sub(m.peerLoadAt) <= peerLoadTTL
	if !peersHeard {
		s.PeerLoad = Load{}
	}
	if s.Speed = m.speed.update(s.PeerLoad.Speed, now); s.Speed > 0 && peersHeard {
		m.peerMean.apply(&s.PeerLoad)
	}
	s.CacheTokens = f.cacheTokens[m.Service]
	if now.Sub(s.ReportedAt) > queueReportTTL {
		s.Reported = radishcrank.QueueReport{}
	}
	return s
}

// SetWeights records the weights that an upstream was observed to serve.
// Weights older than the known ones are delayed information and are ignored.
func (f *Fleet) SetWeights(id radishcrank.UpstreamID, model radishcrank.ModelID, w radishcrank.WeightsVersion) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m, ok := f.members[id]
	if !ok || w == "" || !m.Weights[model].Less(w) {
		return
	}
	m.Weights = newestWeights(m.Weights, map[radishcrank.ModelID]radishcrank.WeightsVersion{model: w})
	m.LoadingUntil = time.Time{}
	m.recordWeights()
	f.signalLocked()
}

// SetLoading records that an upstream loads weights until about the given time,
// or, for the zero time, that it no longer does.
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

// brittleness is what the upstreams of a service say of how brittle they are.
type brittleness struct {
	refusals int
	heardAt  time.Time
}

// SetBrittle records whether an upstream of a service says that it is brittle, as in State,
// in reply to a request. It holds for all upstreams of the service, until the reply to a later
// request says otherwise. It reports whether that has begun or ended.
func (f *Fleet) SetBrittle(service string, n int, sentAt time.Time) (changed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	b, known := f.brittle[service]
	switch {
	case n > 0:
		f.brittle[service] = brittleness{n, time.Now()}
		return !known
	case known && sentAt.After(b.heardAt):
		delete(f.brittle, service)
		return true
	}
	return false
}

// Brittle returns the number of requests that each upstream of a service can turn away in a
// second before it falls over; 0 if they do not say that they are brittle.
func (f *Fleet) Brittle(service string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.brittle[service].refusals
}

// SetQueueReport records the queue report that an upstream sent with an answer.
func (f *Fleet) SetQueueReport(id radishcrank.UpstreamID, q radishcrank.QueueReport) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if m, ok := f.members[id]; ok {
		m.Reported, m.ReportedAt = q, time.Now()
	}
}

// MarkSuspect stops new work to an upstream for a while, as after a failure.
func (f *Fleet) MarkSuspect(id radishcrank.UpstreamID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if m, ok := f.members[id]; ok {
		m.recordFailure(time.Now())
	}
}

// recordFailure starts or extends the suspicion of the upstream.
func (m *member) recordFailure(now time.Time) {
	if now.Before(m.suspectUntil) {
		return // Exchanges that fail together count as one failure.
	}
	if m.failures == 0 {
		m.failingSince = now
	}
	m.failures++
	m.misdirected = false
	m.suspectUntil = now.Add(min(initialSuspicion<<min(m.failures-1, 8), maxSuspicion))
}
