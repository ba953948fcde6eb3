package rcmember

import (
	"time"

	"github.com/radishcrank/radishcrank"
)

// Merge updates the members from the platform's instance list.
func (t *Tracker) Merge(instances []radishcrank.Instance) {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	implausible := t.implausible(instances, now)
	listed := make(map[radishcrank.InstanceID]bool, len(instances))
	for _, i := range instances {
		listed[i.ID] = true
		if m := t.update(i); m != nil {
			t.markListed(m)
		}
	}
	if implausible {
		return
	}
	t.listedAt = now
	for id, m := range t.members {
		if !listed[id] {
			t.markMissing(m, now)
		}
	}
}

// implausible reports whether a listing lacks more than half of at least
// minCheckedMembers live instances and is still to be ignored. Such listings are
// accepted after implausibleListTimeout.
func (t *Tracker) implausible(instances []radishcrank.Instance, now time.Time) bool {
	live, kept := 0, 0
	for _, m := range t.members {
		if !m.dead {
			live++
		}
	}
	for _, i := range instances {
		if m := t.members[i.ID]; m != nil && !m.dead {
			kept++
		}
	}
	if live < minCheckedMembers || 2*kept >= live {
		t.implausibleSince = time.Time{}
		return false
	}
	if t.implausibleSince.IsZero() {
		t.implausibleSince = now
		t.cfg.Log.Warn().Int("Known", live).Int("Listed", kept).Msg("instance list lacks most known instances; keeping them")
	}
	return now.Sub(t.implausibleSince) < implausibleListTimeout
}

// update updates the member from the description of an instance and returns it. It
// returns nil if the description is of this instance, has no peer address, or is of
// an older process than the known one.
func (t *Tracker) update(i radishcrank.Instance) *member {
	if i.ID == t.cfg.Self.ID || !i.Peer.IsValid() {
		return nil
	}
	m := t.members[i.ID]
	if m == nil {
		m = &member{}
		t.members[i.ID] = m
		delete(t.unknownSince, i.ID)
	}
	known := m.instance
	switch {
	case i.Incarnation == 0 && i.Peer == known.Peer:
		i.Incarnation = known.Incarnation // Keep what the instance itself reported.
	case i.Incarnation > 0 && i.Incarnation < known.Incarnation:
		return nil
	}
	if i == known {
		return m
	}
	m.instance = i
	if i.Incarnation > known.Incarnation {
		m.dead = false // The state of the older process no longer applies.
	}
	t.updateBoard(m)
	return m
}

// markListed records that the list contains an instance.
func (t *Tracker) markListed(m *member) {
	m.missingSince = time.Time{}
	if m.dead {
		m.dead = false
		t.updateBoard(m)
	}
}

// markMissing records that the list does not contain an instance.
func (t *Tracker) markMissing(m *member, now time.Time) {
	switch {
	case m.missingSince.IsZero():
		m.missingSince = now
	case m.dead && now.Sub(m.missingSince) > removeAfter:
		delete(t.members, m.instance.ID)
	case !m.dead && now.Sub(m.missingSince) >= deadAfter:
		m.dead = true
		t.updateBoard(m)
	}
}

// updateBoard writes an instance to the board, or removes it if it is dead.
func (t *Tracker) updateBoard(m *member) {
	if m.dead {
		t.cfg.Board.Instances.Delete(m.instance.ID)
		return
	}
	t.cfg.Board.Instances.Put(m.instance.ID, m.instance)
}
