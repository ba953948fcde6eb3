package rcmember

import (
	"time"

	"github.com/radishcrank/radishcrank"
)

// Merge takes in the platform's list.
func (t *Tracker) Merge(instances []radishcrank.Instance) {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	doubtful := t.doubtful(instances, now)
	named := make(map[radishcrank.InstanceID]bool, len(instances))
	for _, i := range instances {
		named[i.ID] = true
		if m := t.add(i); m != nil {
			t.revive(m)
		}
	}
	if doubtful {
		return
	}
	t.listedAt = now
	for id, m := range t.members {
		if !named[id] {
			t.miss(m, now)
		}
	}
}

// doubtful reports whether a listing lacks so many live instances that it is
// more likely wrong than true, for now.
func (t *Tracker) doubtful(instances []radishcrank.Instance, now time.Time) bool {
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
	if live < minDoubt || 2*kept >= live {
		t.doubted = time.Time{}
		return false
	}
	if t.doubted.IsZero() {
		t.doubted = now
		t.cfg.Log.Warn().Int("Known", live).Int("Listed", kept).Msg("instance list lacks most instances, keeping them")
	}
	return now.Sub(t.doubted) < doubtFor
}

// add takes in the description of an instance and returns its member, or nil if
// the description is of no use or of an older process than the known one.
func (t *Tracker) add(i radishcrank.Instance) *member {
	if i.ID == t.cfg.Self.ID || !i.Peer.IsValid() {
		return nil
	}
	m := t.members[i.ID]
	if m == nil {
		m = &member{}
		t.members[i.ID] = m
		delete(t.asked, i.ID)
	}
	known := m.instance
	switch {
	case i.Incarnation == 0 && i.Peer == known.Peer:
		i.Incarnation = known.Incarnation // Learned from the instance.
	case i.Incarnation > 0 && i.Incarnation < known.Incarnation:
		return nil
	}
	if i == known {
		return m
	}
	m.instance = i
	if i.Incarnation > known.Incarnation {
		m.dead = false // What was known of the older process is void.
	}
	t.publish(m)
	return m
}

// revive notes that the list names an instance.
func (t *Tracker) revive(m *member) {
	m.missing = time.Time{}
	if m.dead {
		m.dead = false
		t.publish(m)
	}
}

// miss notes that the list does not name an instance.
func (t *Tracker) miss(m *member, now time.Time) {
	switch {
	case m.missing.IsZero():
		m.missing = now
	case m.dead && now.Sub(m.missing) > forgetAfter:
		delete(t.members, m.instance.ID)
	case !m.dead && now.Sub(m.missing) >= deadAfter:
		m.dead = true
		t.publish(m)
	}
}

// publish writes an instance to the board, or removes a dead one.
func (t *Tracker) publish(m *member) {
	if m.dead {
		t.cfg.Board.Instances.Delete(m.instance.ID)
		return
	}
	t.cfg.Board.Instances.Put(m.instance.ID, m.instance)
}
