package rcmember

import (
	"context"
	"net/netip"
	"time"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/peer/rcrpc"
)

// observe takes in what an instance says of itself. It reports whether the
// instance is known; an unknown one must introduce itself. The caller holds
// the lock.
func (t *Tracker) observe(d Digest, self *radishcrank.Instance, now time.Time) bool {
	if d.Instance == t.cfg.Self.ID {
		return true
	}
	if self != nil && self.ID == d.Instance && self.Incarnation == d.Incarnation {
		t.add(*self, now)
	}
	m := t.members[d.Instance]
	if m == nil || m.instance.Incarnation < d.Incarnation {
		return false
	}
	if m.instance.Incarnation > d.Incarnation {
		return true // A late message of a process that has been replaced.
	}
	m.direct = now
	t.rise(m, d.Counter, now, now)
	if m.instance.Leaving != d.Leaving {
		m.instance.Leaving = d.Leaving
		t.publish(m)
	}
	return true
}

// hear takes in a rumor. It reports whether the rumor needs no inquiry. The
// caller holds the lock.
func (t *Tracker) hear(r Rumor, now time.Time) bool {
	if r.Tag == t.selfTag {
		return true
	}
	m := t.tags[r.Tag]
	if m == nil {
		return r.Kind == RumorDead
	}
	foreign := m.instance.Zone != t.cfg.Self.Zone
	switch {
	case r.Kind == RumorAlive:
		wasDead := m.dead
		t.rise(m, r.Counter, m.sentAt(r.Counter, now), now)
		if foreign && wasDead && !m.dead {
			t.tell(m, RumorAlive, now)
		}
	case foreign && !m.dead && r.Counter >= m.counter:
		m.counter = r.Counter
		t.kill(m, now)
		t.tell(m, RumorDead, now)
	}
	return true
}

// sentAt estimates when an instance sent a counter that a rumor brought. The
// counter rises once a second, so it is as much younger than the last one as it
// is higher. Without the estimate the last counter of a dead instance was passed
// on for up to 12 s, and each time counted as a sign of life. An instance that
// stood still has sent its counter later than estimated; so a rumor never
// counts as older than what makes a suspect, and the answer to a probe sets the
// time right.
func (m *member) sentAt(counter uint64, now time.Time) time.Time {
	if !m.heard || counter <= m.counter {
		return now
	}
	rounds := min(counter-m.counter, uint64(deadAfter/heartbeatInterval))
	at := m.risen.Add(time.Duration(rounds) * heartbeatInterval)
	if oldest := now.Add(-suspectAfter); at.Before(oldest) {
		return oldest
	}
	if at.After(now) {
		return now
	}
	return at
}

// rise notes a counter that was sent at a time. A higher one proves that the
// instance was alive after everything known before, so it refutes suspicion and
// death.
func (t *Tracker) rise(m *member, counter uint64, sentAt, now time.Time) {
	if m.heard && counter <= m.counter {
		return
	}
	m.heard = true
	m.counter = counter
	m.risen = sentAt
	m.sends = 0
	if !m.dead {
		return
	}
	m.dead = false
	t.publish(m)
	if m.instance.Zone == t.cfg.Self.Zone {
		t.tell(m, RumorAlive, now)
	}
}

// add takes in the description of an instance, unless a newer process is known.
func (t *Tracker) add(i radishcrank.Instance, now time.Time) {
	if i.ID == t.cfg.Self.ID || !i.Peer.IsValid() {
		return
	}
	old := t.members[i.ID]
	if old != nil && old.instance.Incarnation >= i.Incarnation {
		if old.instance.Incarnation == i.Incarnation && i.Leaving && !old.instance.Leaving {
			old.instance.Leaving = true
			t.publish(old)
		}
		return
	}
	m := &member{instance: i, tag: tagOf(i.ID, i.Incarnation), risen: now}
	if old != nil {
		// What was known of the older process is void.
		m.listed = old.listed
		t.remove(old)
	}
	t.members[i.ID] = m
	t.tags[m.tag] = m
	delete(t.asked, i.ID)
	t.publish(m)
	if old != nil && old.instance.Incarnation > 0 {
		t.tell(m, RumorAlive, now)
	}
}

// remove forgets an instance. Its row stays on the board for a newer process.
func (t *Tracker) remove(m *member) {
	delete(t.members, m.instance.ID)
	delete(t.tags, m.tag)
}

// kill marks an instance as dead.
func (t *Tracker) kill(m *member, now time.Time) {
	m.dead = true
	m.deadSince = now
	t.publish(m)
}

// publish writes an instance to the board, or removes a dead one.
func (t *Tracker) publish(m *member) {
	if m.dead {
		t.cfg.Board.Instances.Delete(m.instance.ID)
		return
	}
	t.cfg.Board.Instances.Put(m.instance.ID, m.instance)
}

// tell queues news: about an instance of the own zone for other zones, else
// for the own zone. Newer news about a process replace older ones.
func (t *Tracker) tell(m *member, kind RumorKind, now time.Time) {
	kept := t.news[:0]
	for _, n := range t.news {
		if n.rumor.Tag != m.tag {
			kept = append(kept, n)
		}
	}
	if len(kept) < maxNewsQueued {
		foreign := m.instance.Zone != t.cfg.Self.Zone
		kept = append(kept, news{rumor: Rumor{Tag: m.tag, Counter: m.counter, Kind: kind}, foreign: foreign, since: now})
	}
	t.news = kept
}

// answerMembers handles a question for descriptions.
func (t *Tracker) answerMembers(_ context.Context, _ rcrpc.Identity, q MembersRequest) (Members, error) {
	// 100 descriptions of 200 bytes stay well below the size of a message.
	const most = 100
	t.mu.Lock()
	defer t.mu.Unlock()
	var answer Members
	wanted := make(map[Tag]bool, len(q.Tags))
	for _, tag := range q.Tags {
		wanted[tag] = true
	}
	self := t.cfg.Self
	if wanted[t.selfTag] || q.Zone != "" {
		answer.Instances = append(answer.Instances, self)
	}
	for _, m := range t.members {
		if len(answer.Instances) == most {
			break
		}
		if !m.dead && (wanted[m.tag] || q.Zone == m.instance.Zone) {
			answer.Instances = append(answer.Instances, m.instance)
		}
	}
	return answer, nil
}

// inquire asks a peer for descriptions.
func (t *Tracker) inquire(ctx context.Context, to netip.AddrPort, q MembersRequest) {
	answer, err := rcrpc.Call(ctx, t.cfg.Caller, to, MethodMembers, q)
	if err != nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, i := range answer.Instances {
		t.add(i, time.Now())
	}
}

// join asks bootstrap addresses for members while no peer of the zone answers.
func (t *Tracker) join(ctx context.Context) {
	t.mu.Lock()
	alone := !t.joining && len(t.cfg.Bootstrap) > 0
	for _, m := range t.members {
		if m.heard && m.instance.Zone == t.cfg.Self.Zone {
			alone = false
		}
	}
	t.joining = t.joining || alone
	t.mu.Unlock()
	if !alone {
		return
	}
	for _, addr := range t.cfg.Bootstrap {
		if addr != t.cfg.Self.Peer {
			t.inquire(ctx, addr, MembersRequest{Zone: t.cfg.Self.Zone})
		}
	}
	t.mu.Lock()
	t.joining = false
	t.mu.Unlock()
}
