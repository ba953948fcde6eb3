package rcfleet

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/radishcrank/radishcrank"
)

// Put adds or updates a listed entry.
func (f *Fleet) Put(e Entry) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.putLocked(e)
	f.signalLocked()
}

func (f *Fleet) putLocked(e Entry) {
	m, ok := f.members[e.ID]
	restarted := ok && m.Incarnation != e.Incarnation
	if restarted {
		f.cachedParts.forget(KeyOf(e.ID))
		f.dropLocked(m)
		ok = false
	}
	if !ok {
		m = &member{State: State{Hash: xxhash.Sum64String(string(e.ID))}}
		if restarted {
			m.speed.peersAfter = time.Now().Add(speedIntervals*speedInterval + peerLoadTTL)
		}
		f.members[e.ID] = m
		f.services[e.Service] = append(f.services[e.Service], m)
	}
	weights := m.Weights
	m.Entry = e
	m.listedLeaving = e.Leaving
	f.applyAnnouncementsLocked(m)
	m.Weights = newestWeights(weights, e.Weights)
	m.Listed, m.removedAt, m.unconfirmedUntil = true, time.Time{}, time.Time{}
	m.WarmupUntil = time.Now().Add(e.WarmupTime)
}

// newestWeights merges two views of the same incarnation, whose weights only
// get newer.
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

// PutRestored adds or updates an entry that may be older than what is known, because
// the list has been restored from a copy.
func (f *Fleet) PutRestored(e Entry) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e.Leaving = e.Leaving || f.knownLeavingLocked(e)
	f.putLocked(e)
	f.signalLocked()
}

// knownLeavingLocked reports whether the upstream of an entry has announced that it
// leaves. An incarnation never takes that back.
func (f *Fleet) knownLeavingLocked(e Entry) bool {
	if m, ok := f.members[e.ID]; ok {
		return m.Leaving && m.Incarnation == e.Incarnation
	}
	d, ok := f.departed[e.ID]
	return ok && d.leaving && d.incarnation == e.Incarnation
}

// Replace applies a complete list.
func (f *Fleet) Replace(entries []Entry) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.replaceLocked(entries)
}

// Restore applies a complete list that the platform has restored from a copy which is
// some seconds old. What is known is newer than the copy: upstreams that were leaving
// still are, and an earlier incarnation is ignored. An entry of an upstream that was
// gone gets no work for confirmTime, within which the platform removes it again or the
// upstream writes it anew. An upstream that is missing may have registered after the
// copy was made, and stays for a while.
func (f *Fleet) Restore(entries []Entry, confirmTime time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	f.reachableSince = now
	var current []Entry
	for _, e := range entries {
		if m, ok := f.members[e.ID]; ok && e.Incarnation < m.Incarnation {
			e = m.Entry
		}
		e.Leaving = e.Leaving || f.knownLeavingLocked(e)
		current = append(current, e)
	}
	var unconfirmed []radishcrank.UpstreamID
	for _, e := range current {
		_, known := f.members[e.ID]
		if d, ok := f.departed[e.ID]; ok && !known && e.Incarnation <= d.incarnation {
			unconfirmed = append(unconfirmed, e.ID)
		}
	}
	f.replaceLocked(current)
	for _, id := range unconfirmed {
		f.members[id].unconfirmedUntil = now.Add(confirmTime)
	}
}

func (f *Fleet) replaceLocked(entries []Entry) {
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
	if f.syncedAt.IsZero() {
		f.syncedAt = time.Now()
	}
	f.signalLocked()
}

// Remove removes an upstream that is no longer listed.
func (f *Fleet) Remove(id radishcrank.UpstreamID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if m, ok := f.members[id]; ok {
		f.removeLocked(m)
	}
}

// removeLocked drops a member, unless the list is or was recently unreachable.
// In that case an upstream that was not leaving stays usable until it has had
// the time to be listed again.
func (f *Fleet) removeLocked(m *member) {
	now := time.Now()
	if !f.doubtsRemovalsLocked(now) || m.Leaving {
		f.dropLocked(m)
		return
	}
	if m.Listed {
		m.Listed, m.removedAt = false, now
	}
}

func (f *Fleet) dropLocked(m *member) {
	delete(f.members, m.ID)
	f.rememberSoftwareLocked(m)
	f.services[m.Service] = slices.DeleteFunc(f.services[m.Service], func(o *member) bool { return o == m })
	f.cachedParts.forget(KeyOf(m.ID))
	now := time.Now()
	for id, d := range f.departed {
		if now.Sub(d.at) > departureRetention {
			delete(f.departed, id)
		}
	}
	f.departed[m.ID] = departure{incarnation: m.Incarnation, leaving: m.Leaving, at: now}
	for _, a := range f.announcements[m.ID] {
		if a.incarnation == m.Incarnation {
			a.heardAt = now
		}
	}
}
