package rcmember

import (
	"net/netip"
	"time"

	"github.com/radishcrank/radishcrank"
)

// round starts one round of heartbeats: it judges the others and returns whom
// to send heartbeats to.
func (t *Tracker) round(now time.Time) []target {
	t.mu.Lock()
	defer t.mu.Unlock()
	if gap := now.Sub(t.lastTick); !t.lastTick.IsZero() && gap > pauseGap {
		t.forgive(gap, now)
	}
	t.lastTick = now
	t.counter++
	t.judge(now)
	t.forget(now)
	return t.targets(now)
}

// forgive discounts the time in which this process stood still, because it
// could not hear anybody then.
func (t *Tracker) forgive(gap time.Duration, now time.Time) {
	for _, m := range t.members {
		if m.risen = m.risen.Add(gap); m.risen.After(now) {
			m.risen = now
		}
	}
}

// judge declares members dead that were silent for too long.
func (t *Tracker) judge(now time.Time) {
	healthy := t.connected(now)
	for _, m := range t.members {
		if m.dead || now.Sub(m.risen) < deadAfter {
			continue
		}
		own := m.instance.Zone == t.cfg.Self.Zone
		switch {
		case m.unlisted:
			// The platform agrees that it is gone.
			t.kill(m, now)
		case own && healthy:
			t.kill(m, now)
			t.tell(m, RumorDead, now)
		}
	}
}

// connected reports whether this instance hears from most of its availability
// zone. If it does not, it rather is cut off itself than everybody else dead. A
// small zone can't tell the two apart, so there each other zone that was ever
// heard directly counts as one more peer.
func (t *Tracker) connected(now time.Time) bool {
	zone := tally{all: 1, heard: 1}
	others := make(map[radishcrank.AvailabilityZone]bool)
	for _, m := range t.members {
		switch {
		case m.dead:
		case m.instance.Zone == t.cfg.Self.Zone:
			zone.count(m.heard && now.Sub(m.risen) < suspectAfter)
		case !m.direct.IsZero():
			others[m.instance.Zone] = others[m.instance.Zone] || now.Sub(m.direct) < deadAfter
		}
	}
	if zone.all < smallZone {
		for _, heard := range others {
			zone.count(heard)
		}
	}
	return 2*zone.heard > zone.all
}

type tally struct{ all, heard int }

func (t *tally) count(heard bool) {
	t.all++
	if heard {
		t.heard++
	}
}

// forget drops what is old.
func (t *Tracker) forget(now time.Time) {
	for _, m := range t.members {
		if m.dead && !m.listed && now.Sub(m.deadSince) > forgetAfter {
			t.remove(m)
		}
	}
	kept := t.news[:0]
	for _, n := range t.news {
		if now.Sub(n.since) < newsDuration {
			kept = append(kept, n)
		}
	}
	t.news = kept
}

// addresses returns the addresses of members that are not held dead, once a
// minute and only if somebody wants them.
func (t *Tracker) addresses(now time.Time) map[netip.AddrPort]bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.cfg.Keep == nil || now.Sub(t.lastKeep) < keepInterval {
		return nil
	}
	t.lastKeep = now
	addresses := make(map[netip.AddrPort]bool, len(t.members)+len(t.cfg.Bootstrap))
	for _, addr := range t.cfg.Bootstrap {
		addresses[addr] = true
	}
	for _, m := range t.members {
		if !m.dead {
			addresses[m.instance.Peer] = true
		}
	}
	return addresses
}

// IsDead reports whether a process is known to be dead: its instance was
// declared dead or runs with a higher incarnation. An instance that was never
// heard of is dead if the platform's list was read and has not named it for 5
// minutes from the first question on; without a list it is not known to be dead.
//
// The answer is an observation: a process that stood still or was cut off can
// come back after it was held dead.
func (t *Tracker) IsDead(id radishcrank.InstanceID, incarnation radishcrank.Incarnation) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if id == t.cfg.Self.ID {
		return incarnation < t.cfg.Self.Incarnation
	}
	if m := t.members[id]; m != nil {
		return m.instance.Incarnation > incarnation || m.dead && m.instance.Incarnation == incarnation
	}
	return t.isUnknownDead(id, time.Now())
}

func (t *Tracker) isUnknownDead(id radishcrank.InstanceID, now time.Time) bool {
	// The bound is far above the instances that can leave records behind in an hour.
	const mostAsked = 10000
	since, ok := t.asked[id]
	if !ok {
		if len(t.asked) < mostAsked {
			t.asked[id] = now
		}
		return false
	}
	return t.listedAt.Sub(since) >= unknownDeadAfter
}

// Status is how an instance sees another one.
type Status string

// Statuses of instances.
const (
	StatusAlive   Status = "Alive"
	StatusSuspect Status = "Suspect"
	StatusDead    Status = "Dead"
	StatusListed  Status = "Listed" // Of another zone; known from the platform's list alone.
)

// View is what an instance knows of another one.
type View struct {
	Instance radishcrank.Instance
	Status   Status
	Silent   time.Duration // Since its counter was last seen to rise.
}

// Views returns all other instances in no particular order.
func (t *Tracker) Views() []View {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	views := make([]View, 0, len(t.members))
	for _, m := range t.members {
		views = append(views, View{Instance: m.instance, Status: t.status(m, now), Silent: now.Sub(m.risen)})
	}
	return views
}

func (t *Tracker) status(m *member, now time.Time) Status {
	switch {
	case m.dead:
		return StatusDead
	case m.instance.Zone != t.cfg.Self.Zone && now.Sub(m.risen) >= deadAfter:
		return StatusListed
	case now.Sub(m.risen) >= suspectAfter && m.instance.Zone == t.cfg.Self.Zone:
		return StatusSuspect
	}
	return StatusAlive
}
