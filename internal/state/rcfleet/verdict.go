package rcfleet

import (
	"math/rand/v2"
	"time"

	"github.com/radishcrank/radishcrank"
)

const (
	// findingLife bounds the age of what instances tell each other of an upstream
	// that does not answer. It covers the way over two relays, and a restarted or
	// thawed instance has nothing to tell that is so young.
	findingLife = 1500 * time.Millisecond
	// claimPace bounds how often an instance tells of the same upstream.
	claimPace = 300 * time.Millisecond
	// stallAfter is the pause between two calls of Findings from which this process
	// counts as stalled: an exchange that it waited for meanwhile proves nothing.
	stallAfter = 600 * time.Millisecond
	// minClaimants is the number of instances on whose word an upstream is left
	// alone. One may have trouble of its own, or be the only one that is not served.
	minClaimants = 2
	// firstVerdict is how long an upstream is left alone on the word of others. It
	// doubles up to maxVerdict while nothing is heard from it, and each instance
	// adds up to as much again, so that few of them try it first.
	firstVerdict = time.Second
	maxVerdict   = 4 * time.Second
	// contestedLife is how long others' word on an upstream does not count once an
	// instance that is served there has contradicted it.
	contestedLife = 10 * time.Second
)

// Claim says that the connection of an exchange failed without anything from the
// upstream, while another upstream of its availability zone was heard.
type Claim struct {
	Upstream    radishcrank.UpstreamID
	Incarnation radishcrank.Incarnation
	By          radishcrank.InstanceID
	Begun, At   time.Time // Of the exchange.
}

// Verdict says that an upstream is to be left alone: several instances have
// lost exchanges there, of which the first began at Begun.
type Verdict struct {
	Upstream    radishcrank.UpstreamID
	Incarnation radishcrank.Incarnation
	Begun, At   time.Time
}

// Refutation says when an upstream that was told not to answer was heard.
type Refutation struct {
	Upstream    radishcrank.UpstreamID
	Incarnation radishcrank.Incarnation
	At          time.Time
}

// Findings are what an instance has found out about upstreams that do not answer.
type Findings struct {
	Claims      []Claim
	Verdicts    []Verdict
	Refutations []Refutation
}

// word is what other instances told of an upstream.
type word struct {
	claims      map[radishcrank.InstanceID]Claim
	verdicts    int       // In a row, with nothing heard since.
	begun       time.Time // Of the last verdict, as are the next two.
	judgedAt    time.Time
	until       time.Time
	contestedTo time.Time
	claimedAt   time.Time // When this instance told its last claim.
	refutedAt   time.Time // When this instance told its last refutation.
}

// Findings returns what this instance has found out since the last call. It must
// be called several times a second, since a longer pause shows a stalled process.
func (f *Fleet) Findings() Findings {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	out := f.findings
	f.findings = Findings{}
	if now.Sub(f.findingsAt) > stallAfter {
		f.awakeSince = now
		out.Claims = nil
	}
	f.findingsAt = now
	return out
}

// Claim takes in what an instance tells of an upstream.
func (f *Fleet) Claim(c Claim) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if m := f.subjectLocked(c.Upstream, c.Incarnation, c.Begun, c.At); m != nil {
		f.claimLocked(m, c)
	}
}

// Judge takes in a verdict and reports whether it is followed.
func (f *Fleet) Judge(v Verdict) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.subjectLocked(v.Upstream, v.Incarnation, v.Begun, v.At)
	return m != nil && f.judgeLocked(m, v)
}

// Refute takes in that an upstream was heard and reports whether that
// contradicts what others told of it.
func (f *Fleet) Refute(r Refutation) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	m, ok := f.members[r.Upstream]
	if !ok || m.Incarnation != r.Incarnation || !fresh(r.At, now) {
		return false
	}
	return f.clearLocked(m, r.At, now)
}

func fresh(at, now time.Time) bool { return now.Sub(at).Abs() <= findingLife }

// subjectLocked returns the upstream of a finding that may count. It contradicts
// findings on an upstream that this instance has heard since.
func (f *Fleet) subjectLocked(id radishcrank.UpstreamID, born radishcrank.Incarnation, begun, at time.Time) *member {
	now := time.Now()
	m, ok := f.members[id]
	if !ok || m.Incarnation != born || !fresh(at, now) || now.Before(m.word.contestedTo) {
		return nil
	}
	if !m.heardAt.Before(begun) {
		f.refuteLocked(m, now)
		return nil
	}
	return m
}

func (f *Fleet) claimLocked(m *member, c Claim) {
	now := time.Now()
	if m.word.claims == nil {
		m.word.claims = map[radishcrank.InstanceID]Claim{}
	}
	m.word.claims[c.By] = c
	begun := c.Begun
	for by, o := range m.word.claims {
		if !fresh(o.At, now) {
			delete(m.word.claims, by)
		} else if o.Begun.Before(begun) {
			begun = o.Begun
		}
	}
	need := minClaimants
	if m.word.verdicts > 0 {
		need = 1 // It has not been heard since it was left alone.
	}
	if now.Before(m.word.until) || len(m.word.claims) < need {
		return
	}
	v := Verdict{Upstream: m.ID, Incarnation: m.Incarnation, Begun: begun, At: now}
	if f.judgeLocked(m, v) {
		f.findings.Verdicts = append(f.findings.Verdicts, v)
	}
}

// judgeLocked follows a verdict, unless that would leave alone more than half of
// the upstreams that can stand in: then a fault of the network is more likely.
func (f *Fleet) judgeLocked(m *member, v Verdict) bool {
	now := time.Now()
	if now.Before(m.word.until) {
		return false
	}
	all, alone := 0, 1
	for _, o := range f.services[m.Service] {
		if !sharesModel(m, o) {
			continue
		}
		all++
		if o != m && now.Before(o.word.until) {
			alone++
		}
	}
	if 2*alone > all {
		return false
	}
	life := min(firstVerdict<<min(m.word.verdicts, 8), maxVerdict)
	m.word.verdicts++
	m.word.begun, m.word.judgedAt, m.word.until = v.Begun, now, now.Add(life+rand.N(life))
	clear(m.word.claims)
	return true
}

// sharesModel reports whether two upstreams of a service can stand in for each other.
func sharesModel(a, b *member) bool {
	if len(a.Weights) == 0 {
		return true
	}
	for model := range a.Weights {
		if _, ok := b.Weights[model]; ok {
			return true
		}
	}
	return false
}

// hearLocked records that something has arrived from an upstream.
func (f *Fleet) hearLocked(m *member) {
	now := time.Now()
	m.heardAt = now
	if m.word.verdicts > 0 {
		f.refuteLocked(m, now)
	}
}

func (f *Fleet) refuteLocked(m *member, now time.Time) {
	f.clearLocked(m, m.heardAt, now)
	if now.Sub(m.word.refutedAt) >= claimPace {
		m.word.refutedAt = now
		f.findings.Refutations = append(f.findings.Refutations, Refutation{Upstream: m.ID, Incarnation: m.Incarnation, At: m.heardAt})
	}
}

// clearLocked drops what was told of an upstream that was heard at a moment. A
// verdict on exchanges that all began later stands.
func (f *Fleet) clearLocked(m *member, heard, now time.Time) (changed bool) {
	for by, c := range m.word.claims {
		if !heard.Before(c.Begun) {
			delete(m.word.claims, by)
			changed = true
		}
	}
	if m.word.verdicts > 0 && !heard.Before(m.word.begun) {
		// Nothing is heard from a silent upstream until it is tried again.
		if heard.Sub(m.word.judgedAt) < firstVerdict/2 {
			m.word.contestedTo = now.Add(contestedLife)
		}
		m.word.verdicts, m.word.until = 0, time.Time{}
		changed = true
		f.signalLocked()
	}
	return changed
}

// unreachedLocked takes in that the connection of an exchange failed without
// anything from the upstream. It is told if another upstream of that zone was
// heard meanwhile: an instance that is cut off hears none.
func (f *Fleet) unreachedLocked(m *member, begun time.Time) {
	now := time.Now()
	if begun.Before(f.awakeSince) || !m.heardAt.Before(begun) || now.Sub(m.word.claimedAt) < claimPace || !f.zoneHeardLocked(m, begun) {
		return
	}
	m.word.claimedAt = now
	c := Claim{Upstream: m.ID, Incarnation: m.Incarnation, Begun: begun, At: now}
	f.findings.Claims = append(f.findings.Claims, c)
	if !now.Before(m.word.contestedTo) {
		f.claimLocked(m, c)
	}
}

func (f *Fleet) zoneHeardLocked(m *member, since time.Time) bool {
	for _, o := range f.members {
		if o != m && o.Zone == m.Zone && o.heardAt.After(since) {
			return true
		}
	}
	return false
}
