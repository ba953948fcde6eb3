package rcpoison

import (
	"cmp"
	"context"
	"slices"
	"time"
)

// Export returns the records that peers should know, by key.
func (t *Tracker) Export() []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]Record, 0, len(t.records))
	for _, r := range t.records {
		if r.Verdict || time.Since(r.Updated) < suspicionLife {
			out = append(out, r.clone())
		}
	}
	slices.SortFunc(out, func(a, b Record) int { return cmp.Compare(a.Key, b.Key) })
	return out
}

// Merge takes in the records of a peer, a snapshot or the table service.
func (t *Tracker) Merge(records []Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, in := range records {
		if !in.Verdict && time.Since(in.Updated) > suspicionLife {
			continue
		}
		r := t.recordLocked(in.Key)
		r.merge(in)
		t.separateLocked(r)
		t.showLocked(r)
	}
}

// Run loads the stored verdicts and stores new ones until ctx ends. A store that
// is down delays neither requests nor verdicts; the write is tried again.
func (t *Tracker) Run(ctx context.Context) error {
	if t.cfg.VerdictStore == nil {
		<-ctx.Done()
		return ctx.Err()
	}
	ticker := time.NewTicker(min(storeInterval, t.cfg.StoreDelay))
	defer ticker.Stop()
	for {
		if records, err := t.cfg.VerdictStore.Load(ctx); err == nil {
			t.merge(records)
		}
		t.storePending(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// merge takes in stored verdicts, which need no storing.
func (t *Tracker) merge(records []Record) {
	t.Merge(records)
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range records {
		delete(t.pending, r.Key)
	}
}

func (t *Tracker) storePending(ctx context.Context) {
	t.mu.Lock()
	var records []Record
	for key, since := range t.pending {
		if time.Since(since) >= t.cfg.StoreDelay {
			records = append(records, t.records[key].clone())
		}
	}
	t.mu.Unlock()
	for _, r := range records {
		if t.cfg.VerdictStore.Store(ctx, r) != nil {
			continue
		}
		t.mu.Lock()
		delete(t.pending, r.Key)
		t.mu.Unlock()
	}
}
