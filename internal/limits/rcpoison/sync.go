package rcpoison

import (
	"cmp"
	"context"
	"slices"
	"time"
)

// Export returns the records to send to peers, sorted by key.
func (t *Tracker) Export() []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]Record, 0, len(t.records))
	for _, r := range t.records {
		if r.Verdict || time.Since(r.Updated) < suspectTTL {
			out = append(out, r.clone())
		}
	}
	slices.SortFunc(out, func(a, b Record) int { return cmp.Compare(a.Key, b.Key) })
	return out
}

// Merge merges the record of another instance into this one.
func (r *Record) Merge(o Record) { r.merge(o) }

// Merge merges records of a peer, a snapshot or the table service.
func (t *Tracker) Merge(records []Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, in := range records {
		if !in.Verdict && time.Since(in.Updated) > suspectTTL {
			continue
		}
		r := t.recordLocked(in.Key)
		r.merge(in)
		t.voidAmbiguousLocked(r)
		t.updateRowLocked(r)
	}
}

// Run periodically loads the stored verdicts and stores new ones until ctx ends.
// An unavailable store delays neither requests nor verdicts; failed writes are
// retried in the next round.
func (t *Tracker) Run(ctx context.Context) error {
	if t.cfg.VerdictStore == nil {
		<-ctx.Done()
		return ctx.Err()
	}
	ticker := time.NewTicker(min(storeInterval, t.cfg.StoreDelay))
	defer ticker.Stop()
	for {
		if t.crashesRecent() {
			t.cfg.VerdictStore.Expire()
		}
		losses := t.lossCount()
		if records, err := t.cfg.VerdictStore.Load(ctx); err == nil {
			t.mergeStored(records, losses)
		}
		t.storePending(ctx)
		select {
		case <-ticker.C:
		case <-t.storeNow:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (t *Tracker) crashesRecent() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return time.Since(t.crashedAt) < crashTime
}

func (t *Tracker) lossCount() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.losses
}

// mergeStored merges stored verdicts. They are not queued for storing again, unless the
// store may have lost some since losses was read, which was before it was loaded.
func (t *Tracker) mergeStored(records []Record, losses int) {
	t.Merge(records)
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.losses != losses {
		return
	}
	for _, r := range records {
		if known, ok := t.records[r.Key]; !ok || known.Verdict == r.Verdict {
			delete(t.pending, r.Key)
		}
	}
}

// StoreAgain stores all verdicts and lifted convictions again. It must be called when the store may have lost
// some, since instances that restart know of no others.
func (t *Tracker) StoreAgain() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.losses++
	for key, r := range t.records {
		if r.Verdict || len(partsOf(key)) > 0 {
			t.pending[key] = time.Now().Add(-t.cfg.StoreDelay)
		}
	}
}

// storePending stores the pending verdicts that are older than Config.StoreDelay.
func (t *Tracker) storePending(ctx context.Context) {
	t.mu.Lock()
	due := map[Key]time.Time{}
	var records []Record
	for key, since := range t.pending {
		if time.Since(since) >= t.cfg.StoreDelay {
			due[key] = since
			records = append(records, t.records[key].clone())
		}
	}
	t.mu.Unlock()
	for _, r := range records {
		if t.cfg.VerdictStore.Store(ctx, r) != nil {
			continue
		}
		t.mu.Lock()
		if t.pending[r.Key].Equal(due[r.Key]) { // Otherwise it has become pending again.
			delete(t.pending, r.Key)
		}
		t.mu.Unlock()
	}
}
