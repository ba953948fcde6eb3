package rcfleet

import (
	"time"

	"github.com/radishcrank/radishcrank"
)

// misdirectedSuspicion is how long an upstream gets no new work at first after it has said that
// it is another instance or serves other weights. The list and announcements of loads show
// which within some seconds.
const misdirectedSuspicion = time.Second

// Misdirected says that what is listed under the name of an upstream is not what serves at its
// address: an instance that is gone, or other weights.
//
// It addresses crashes of many upstreams that are back under new names before the list drops
// the old ones: each of dozens of instances sent requests to each of them until then, and
// requests that met three in a row were rejected.
type Misdirected struct {
	Upstream    radishcrank.UpstreamID
	Incarnation radishcrank.Incarnation
	Model       radishcrank.ModelID        `json:",omitempty"` // Empty for plain upstreams.
	Weights     radishcrank.WeightsVersion `json:",omitempty"` // Those that were expected.
}

// MarkMisdirected stops new work to an upstream for a while, unless its entry or weights are
// known to have changed since. It reports whether that is new.
func (f *Fleet) MarkMisdirected(r Misdirected) (changed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	m, ok := f.members[r.Upstream]
	if !ok || m.Incarnation != r.Incarnation || now.Before(m.suspectUntil) || r.Model != "" && m.Weights[r.Model] != r.Weights {
		return false
	}
	m.recordFailure(now)
	m.suspectUntil = later(m.suspectUntil, now.Add(misdirectedSuspicion))
	m.misdirected = true
	return true
}

// recordWeights ends the suspicion of an upstream that had other weights than expected.
func (m *member) recordWeights() {
	if m.misdirected {
		m.recordSuccess()
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
