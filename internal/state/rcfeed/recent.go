package rcfeed

import "time"

const (
	// recentPeriod is how long changes are sent again with each batch. An instance that
	// starts gets its first batch within it, and one that missed a batch the next one, so
	// that neither has to read the store.
	recentPeriod = 5 * time.Second
	// maxRecentRows bounds the rows that are sent again with a batch.
	maxRecentRows = 60
)

// step is one advance of a follower from a version of the store to a newer one.
type step struct {
	after uint64
	since time.Time // Time of the response before, on the clock of the store.
	rows  []Row
	at    time.Time // On the local clock.
}

// recentSteps are the last consecutive steps, oldest first.
type recentSteps struct {
	steps []step
	rows  int
}

func (r *recentSteps) clear() { *r = recentSteps{} }

func (r *recentSteps) add(s step) {
	r.steps = append(r.steps, s)
	r.rows += len(s.rows)
	for len(r.steps) > 0 && (r.rows > maxRecentRows || s.at.Sub(r.steps[0].at) > recentPeriod) {
		r.rows -= len(r.steps[0].rows)
		r.steps = r.steps[1:]
	}
}

// extend adds to a batch the changes before it that are recent.
func (r *recentSteps) extend(b Batch) Batch {
	if b.Full {
		return b
	}
	b.Span, b.Earlier, b.EarlierSince = 0, nil, 0
	for n, s := range r.steps {
		if s.after >= b.After {
			break
		}
		if n == 0 {
			b.Span, b.EarlierSince = b.After-s.after, s.since.UnixMilli()
		}
		b.Earlier = append(b.Earlier, s.rows...)
	}
	return b
}

// applyEarlier applies the changes before a batch, as far as the batch has them. It reports
// whether nothing is missing before the batch.
func (f *Follower) applyEarlier(b Batch) bool {
	if b.After <= f.version {
		return true
	}
	if b.Span > b.After || b.After-b.Span > f.version {
		return false
	}
	f.applyRows(Response{Rows: b.Earlier, Version: b.After, At: f.responseAt}, Provenance{Since: time.UnixMilli(b.EarlierSince), Relayed: true})
	return true
}
