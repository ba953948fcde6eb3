package rcinstance

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/state/rcwait"
)

const (
	// goneAfter is how long an instance must not have been reached before its row is
	// removed. Regions may be cut off from each other for an hour.
	goneAfter = 90 * time.Minute
	// goneCalls is the least number of calls that must have failed in that time: an
	// instance that was frozen for as long has made few.
	goneCalls = 300
	// contactLife is the age of the last call to any other instance that still shows
	// that this one is not cut off.
	contactLife = 10 * time.Second
	// gonePace is how often one row may be removed. A fleet of 370 instances, of
	// which 110 fail in a day, needs one in 13 minutes.
	gonePace = 30 * time.Second
)

// reached records the outcome of a call.
func (m *peer) reached(err error, now time.Time) {
	if err == nil {
		m.failedAt, m.failingSince, m.failures, m.reachedAt = time.Time{}, time.Time{}, 0, now
		return
	}
	if m.failures == 0 {
		m.failingSince = now
	}
	m.failedAt = now
	m.failures++
}

// gone reports whether an instance counts as gone for good.
func (m *peer) gone(now time.Time) bool {
	return m.failures >= goneCalls && now.Sub(m.failingSince) >= goneAfter && now.Sub(m.failedAt) < contactLife
}

// goneLocked returns an instance that is gone for good. An instance that reaches
// no other one finds none.
func (p *peers) goneLocked(now time.Time) (gone member, ok bool) {
	contact := false
	for _, m := range p.members {
		contact = contact || !m.reachedAt.IsZero() && now.Sub(m.reachedAt) < contactLife
		if m.gone(now) {
			gone, ok = m.member, true
		}
	}
	return gone, ok && contact
}

// removeGone removes the rows of instances that are gone for good until ctx ends.
func (p *peers) removeGone(ctx context.Context, roster *members) {
	for rcwait.For(ctx, gonePace) {
		p.mu.Lock()
		gone, ok := p.goneLocked(time.Now())
		p.mu.Unlock()
		if !ok {
			gone, ok = roster.takeReplaced()
		}
		if ok {
			roster.remove(ctx, gone)
		}
	}
}

// remove removes the row of an instance, unless it has been written anew. An
// instance that lives all the same writes its row again once it sees that.
func (m *members) remove(ctx context.Context, gone member) {
	key := memberPrefix + gone.Name
	rows, err := m.table.Get(ctx, key)
	if err != nil {
		m.logUnreachable(err)
		return
	}
	var stored member
	if rows[0].Version == 0 || json.Unmarshal(rows[0].Value, &stored) != nil || stored != gone {
		return
	}
	err = m.table.Commit(ctx, radishcrank.Transaction{
		Checks: []radishcrank.Check{{Key: key, Version: rows[0].Version}},
		Writes: []radishcrank.Write{{Key: key, Delete: true}},
	})
	if err != nil && !errors.Is(err, radishcrank.ErrConflict) {
		m.logUnreachable(err)
		return
	}
	m.log.Info().Str("Event", "InstanceRemoved").Str("Gone", gone.Name).Str("Zone", gone.Zone).Bool("Conflict", err != nil).Send()
}

// takeReplaced returns an instance at whose address this one listens.
func (m *members) takeReplaced() (gone member, ok bool) {
	select {
	case gone = <-m.replaced:
		return gone, true
	default:
		return member{}, false
	}
}
