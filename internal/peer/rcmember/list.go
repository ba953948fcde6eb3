package rcmember

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/radishcrank/radishcrank"
)

// pollList reads the platform's list until ctx ends.
func (t *Tracker) pollList(ctx context.Context) {
	for {
		listing, err := t.cfg.Lister.List(ctx)
		if err == nil {
			t.Merge(listing.Instances)
		}
		// Up to a tenth of jitter keeps instances that started together apart.
		timer := time.NewTimer(listInterval + time.Duration(rand.Int64N(int64(listInterval/10))))
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
	}
}

// Merge takes in the platform's list, which lags: it may name instances that
// are dead and lack instances that are new. So it adds instances and shows their
// departure, but it neither revives an instance that is held dead nor removes
// one that is heard.
func (t *Tracker) Merge(instances []radishcrank.Instance) {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.listedAt = now
	named := make(map[radishcrank.InstanceID]bool, len(instances))
	for _, i := range instances {
		named[i.ID] = true
		t.add(i, now)
	}
	for id, m := range t.members {
		m.unlisted = !named[id] && (m.listed || m.unlisted)
		m.listed = named[id]
	}
}
