package rcretry

import (
	"time"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/state/rcboard"
)

// Restore takes in breakers that another instance had. An upstream that this
// instance has already reported on keeps its own breaker.
func (r *Retrier) Restore(rows map[radishcrank.UpstreamID]rcboard.Breaker) {
	s := r.settings()
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, row := range rows {
		if _, known := r.breakers[id]; known || row.State == Closed || now.Sub(row.ChangedAt) > s.MaxOpenDuration {
			continue
		}
		b := &breaker{state: row.State, failures: row.Failures, changedAt: row.ChangedAt, openFor: s.OpenDuration}
		r.breakers[id] = b
		r.showLocked(id, b)
	}
}
