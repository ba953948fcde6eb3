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
	// removalAge is how long an instance must have been unreachable before its row is
	// removed. Regions may be cut off from each other for an hour.
	removalAge = 90 * time.Minute
	// removalFailures is the minimum number of calls that must have failed in that
	// time. An instance that was frozen for that long has made only few.
	removalFailures = 300
	// contactMaxAge is the maximum age of the last successful call to any other
	// instance, which shows that this one is not cut off, and of the last failed call
	// to the instance whose row is removed.
	contactMaxAge = 10 * time.Second
	// removalInterval is the minimum time between two removals. A fleet of 370
	// instances, of which 110 fail in a day, needs one removal in 13 minutes.
	removalInterval = 30 * time.Second
)

// recordCall records the outcome of a call.
func (m *peer) recordCall(err error, now time.Time) {
	if err == nil {
		m.failedAt, m.failingSince, m.failures, m.reachedAt = time.Time{}, time.Time{}, 0, now
		return
	}
	if m.failures == 0 {
		m.failingSince = now
	}
	m.failedAt = now
	m.failures++
	m.fetchedOrigins, m.fetchInReturn = false, false
}

// presumedDead reports whether an instance has been unreachable for so long that its
// row may be removed.
func (m *peer) presumedDead(now time.Time) bool {
	return m.failures >= removalFailures && now.Sub(m.failingSince) >= removalAge && now.Sub(m.failedAt) < contactMaxAge
}

// deadMemberLocked returns an instance that is presumed dead. It finds none if this
// instance reaches no other one.
func (p *peerGroup) deadMemberLocked(now time.Time) (dead member, ok bool) {
	contact := false
	for _, m := range p.members {
		contact = contact || !m.reachedAt.IsZero() && now.Sub(m.reachedAt) < contactMaxAge
		if m.presumedDead(now) {
			dead, ok = m.member, true
		}
	}
	return dead, ok && contact
}

// removeDeadMembers removes the rows of dead and replaced instances until ctx is done.
func (p *peerGroup) removeDeadMembers(ctx context.Context, registry *memberRegistry) {
	for rcwait.Sleep(ctx, removalInterval) {
		registry.dropMissing(time.Now())
		p.mu.Lock()
		dead, ok := p.deadMemberLocked(time.Now())
		p.mu.Unlock()
		if !ok {
			dead, ok = registry.takeReplaced()
		}
		if ok {
			registry.removeRow(ctx, dead)
		}
	}
}

// removeRow removes the row of an instance unless the row has been rewritten. If the
// instance is alive after all, it notices the removal and writes its row again.
func (m *memberRegistry) removeRow(ctx context.Context, dead member) {
	key := memberPrefix + dead.Name
	rows, err := m.table.Get(ctx, key)
	if err != nil {
		m.logTableError(err)
		return
	}
	var stored member
	if rows[0].Version == 0 || json.Unmarshal(rows[0].Value, &stored) != nil || stored != dead {
		return
	}
	err = m.table.Commit(ctx, radishcrank.Transaction{
		Checks: []radishcrank.Check{{Key: key, Version: rows[0].Version}},
		Writes: []radishcrank.Write{{Key: key, Delete: true}},
	})
	if err != nil && !errors.Is(err, radishcrank.ErrConflict) {
		m.logTableError(err)
		return
	}
	m.log.Info().Str("Event", "InstanceRemoved").Str("Gone", dead.Name).Str("Zone", dead.Zone).Bool("Conflict", err != nil).Send()
}

// takeReplaced returns an instance whose address this instance now has, if there is
// one.
func (m *memberRegistry) takeReplaced() (replaced member, ok bool) {
	select {
	case replaced = <-m.replaced:
		return replaced, true
	default:
		return member{}, false
	}
}
