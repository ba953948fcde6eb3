package rcretry

import (
	"time"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/state/rcboard"
)

// Restore restores circuit breakers from the state of another instance. Breakers of
// upstreams on which this instance already has results of its own are not replaced.
func (r *Retrier) Restore(rows map[radishcrank.UpstreamID]rcboard.Breaker) {
	s := r.settings()
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, row := range rows {
		if _, known := r.breakers[id]; known || row.State == Closed || now.Sub(row.ChangedAt) > s.MaxOpenDuration {
			continue
		}
		b := &breaker{state: row.State, failures: row.Failures, changedAt: row.ChangedAt, openDuration: s.OpenDuration}
		r.breakers[id] = b
		r.updateRowLocked(id, b)
	}
}
