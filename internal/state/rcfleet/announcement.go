package rcfleet

import (
	"slices"
	"time"

	"github.com/radishcrank/radishcrank"
)

const (
	// announcementRetention is how long an announcement outlives the entry of its upstream,
	// which may be listed again. Upstreams that leave keep serving for some seconds.
	announcementRetention = 10 * time.Minute
	// maxClockSkew bounds the difference between the clocks of two machines.
	maxClockSkew = 5 * time.Second
)

// announcement is what an incarnation of an upstream has said of itself. It holds whatever
// the list says, which may be older or lack the upstream for a while.
type announcement struct {
	incarnation radishcrank.Incarnation
	leavingAt   time.Time // When it said that it leaves; zero if it has not.
	pausedAt    time.Time // When it asked for the pause that ends last.
	pausedUntil time.Time
	heardAt     time.Time // When it said anything, or was last listed.
}

// announcementLocked returns the announcement of an incarnation, which may be new.
func (f *Fleet) announcementLocked(id radishcrank.UpstreamID, i radishcrank.Incarnation) *announcement {
	now := time.Now()
	for _, a := range f.announcements[id] {
		if a.incarnation == i {
			a.heardAt = now
			return a
		}
	}
	f.expireAnnouncementsLocked(now)
	a := &announcement{incarnation: i, heardAt: now}
	f.announcements[id] = append(f.announcements[id], a)
	return a
}

// expireAnnouncementsLocked forgets the announcements of incarnations that have not been
// listed for long.
func (f *Fleet) expireAnnouncementsLocked(now time.Time) {
	if now.Sub(f.announcementsExpiredAt) < announcementRetention/10 {
		return
	}
	f.announcementsExpiredAt = now
	for id, all := range f.announcements {
		m, ok := f.members[id]
		all = slices.DeleteFunc(all, func(a *announcement) bool {
			return now.Sub(a.heardAt) > announcementRetention && (!ok || m.Incarnation != a.incarnation)
		})
		if len(all) == 0 {
			delete(f.announcements, id)
			continue
		}
		f.announcements[id] = all
	}
}

// applyAnnouncementsLocked updates the state of a member by what it has said of itself. The
// list names a restart late, so what was heard under the name of an earlier incarnation
// counts if the current one had started by then. Where the clocks leave that open, a pause
// counts, which ends by itself, and leaving does not.
func (f *Fleet) applyAnnouncementsLocked(m *member) {
	m.Leaving, m.PausedUntil = m.listedLeaving, time.Time{}
	for _, a := range f.announcements[m.ID] {
		own := a.incarnation == m.Incarnation
		earlier := a.incarnation < m.Incarnation && !m.StartedAt.IsZero()
		if !a.leavingAt.IsZero() && (own || earlier && a.leavingAt.After(m.StartedAt.Add(maxClockSkew))) {
			m.Leaving = true
		}
		if (own || earlier && a.pausedAt.Add(maxClockSkew).After(m.StartedAt)) && a.pausedUntil.After(m.PausedUntil) {
			m.PausedUntil = a.pausedUntil
		}
	}
}

// SetLeaving records that an incarnation of an upstream has itself said that it leaves. It
// holds whatever the list says, which may be older, and ends with the incarnation. It
// reports whether that was not known of the listed incarnation, or of one that is not
// listed now.
func (f *Fleet) SetLeaving(id radishcrank.UpstreamID, i radishcrank.Incarnation) (changed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	a := f.announcementLocked(id, i)
	if !a.leavingAt.IsZero() {
		return false
	}
	a.leavingAt = time.Now()
	m, ok := f.members[id]
	if ok {
		f.applyAnnouncementsLocked(m)
	}
	return !ok || m.Incarnation == i
}

// Pause records that an incarnation of an upstream wants no requests from this instance
// for a time. A shorter pause than the current one does not end that.
func (f *Fleet) Pause(id radishcrank.UpstreamID, i radishcrank.Incarnation, d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	a, now := f.announcementLocked(id, i), time.Now()
	if until := now.Add(d); until.After(a.pausedUntil) {
		a.pausedAt, a.pausedUntil = now, until
	}
	if m, ok := f.members[id]; ok {
		f.applyAnnouncementsLocked(m)
	}
}
