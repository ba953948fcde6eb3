package rcweights

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/rs/zerolog"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/state/rcfeed"
	"github.com/radishcrank/radishcrank/internal/state/rcwait"
)

const (
	// unrecordedAge is the assumed age of a target that a process finds at its
	// start and that no instance has recorded. In that case all instances that
	// observed the change were killed right after it, and a fleet that is
	// killed as a whole is back within about 2 s.
	unrecordedAge = 3 * time.Second
	// recordJitter spreads the attempts of the instances that observe a change
	// of target at the same time to record it.
	recordJitter = 150 * time.Millisecond
	// recordTolerance is how far the times at which instances saw the same change
	// may lie apart.
	recordTolerance = 100 * time.Millisecond
	// recordRetryDelay is the pause after a failed call.
	recordRetryDelay = 250 * time.Millisecond
)

// TrackerConfig holds the dependencies of a Tracker.
type TrackerConfig struct {
	Table radishcrank.TableService // Holds one row for each model.
	Now   func() time.Time         // Clock of the store.
	Log   zerolog.Logger
}

// Tracker holds the target histories of all models. The first instance that
// observes a change of target records its time in the store. Instances that did
// not observe the change when it was made, because they were starting or
// disconnected, use the recorded time. A record may be lost with writes of the store,
// and be made again by an instance that did not observe the change, so an instance
// that did goes by the earlier time and corrects the record. Tracker is safe for
// concurrent use.
type Tracker struct {
	cfg  TrackerConfig
	wake chan struct{}

	mu        sync.Mutex
	histories map[radishcrank.ModelID]History // Times are on the clock of the store.
	unsynced  map[radishcrank.ModelID]bool    // Models whose record must be read.
}

// NewTracker returns a Tracker without targets.
func NewTracker(cfg TrackerConfig) *Tracker {
	return &Tracker{
		cfg: cfg, wake: make(chan struct{}, 1),
		histories: map[radishcrank.ModelID]History{}, unsynced: map[radishcrank.ModelID]bool{},
	}
}

// SetTarget sets the target weights of a model. It reports whether they are
// newer than all known ones.
func (t *Tracker) SetTarget(model radishcrank.ModelID, w radishcrank.WeightsVersion, p rcfeed.Provenance) (added bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.histories[model]
	h.Model = model
	if !h.Newest().Less(w) {
		return false
	}
	t.histories[model] = h.with(target{weights: w, at: p.Since, awaited: p.Awaited})
	// Rows that were relayed are recorded by the instance that read them.
	if !p.Relayed || p.Since.IsZero() {
		t.requestSyncLocked(model)
	}
	return true
}

// Resync compares all targets with the store again. It must be called when the store
// may have lost records.
func (t *Tracker) Resync() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for model := range t.histories {
		t.requestSyncLocked(model)
	}
}

func (t *Tracker) requestSyncLocked(model radishcrank.ModelID) {
	t.unsynced[model] = true
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

// History returns the targets of a model with times on the local clock.
func (t *Tracker) History(model radishcrank.ModelID) History {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.localLocked(t.histories[model])
}

// All returns the targets of all models with times on the local clock.
func (t *Tracker) All() (all []History) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, h := range t.histories {
		all = append(all, t.localLocked(h))
	}
	return all
}

func (t *Tracker) localLocked(h History) History { return h.shift(time.Since(t.cfg.Now())) }

// Run synchronizes the times of targets with the store until ctx is canceled.
func (t *Tracker) Run(ctx context.Context) error {
	for {
		select {
		case <-t.wake:
		case <-ctx.Done():
			return ctx.Err()
		}
		for model, ok := t.next(); ok; model, ok = t.next() {
			if err := t.sync(ctx, model); err != nil {
				t.cfg.Log.Warn().Str("Event", "WeightsUnrecorded").Str("Model", string(model)).Err(err).Send()
				if !rcwait.Sleep(ctx, recordRetryDelay) {
					return ctx.Err()
				}
			}
		}
	}
}

// next returns a model whose record must be read, if there is one.
func (t *Tracker) next() (model radishcrank.ModelID, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for model := range t.unsynced {
		return model, true
	}
	return "", false
}

// allDated reports whether all targets of a model have a time.
func (t *Tracker) allDated(model radishcrank.ModelID) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, tgt := range t.histories[model].targets {
		if tgt.at.IsZero() {
			return false
		}
	}
	return true
}

// sync applies the recorded times of the targets of a model and records those
// that are missing in the store.
func (t *Tracker) sync(ctx context.Context, model radishcrank.ModelID) (err error) {
	if t.allDated(model) {
		rcwait.Sleep(ctx, rand.N(recordJitter))
	}
	for {
		rows, err := t.cfg.Table.Get(ctx, string(model))
		if err != nil {
			return err
		}
		known := t.merge(model, rows[0])
		if known.unrecorded == 0 {
			t.markSynced(model, known.History)
			return nil
		}
		value, err := json.Marshal(known.record())
		if err != nil {
			return trace.Wrap(err)
		}
		err = t.cfg.Table.Commit(ctx, radishcrank.Transaction{
			Checks: []radishcrank.Check{{Key: string(model), Version: rows[0].Version}},
			Writes: []radishcrank.Write{{Key: string(model), Value: value}},
		})
		switch {
		case err == nil:
			t.markSynced(model, known.History)
			return nil
		case !errors.Is(err, radishcrank.ErrConflict):
			return err
		}
	}
}

// markSynced notes that the store holds a whole history. A target that was set
// in the meantime remains to be recorded.
func (t *Tracker) markSynced(model radishcrank.ModelID, h History) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.histories[model].Newest() == h.Newest() {
		delete(t.unsynced, model)
	}
}

// record is the value of the row of a model.
type record struct {
	Namings []recordedTarget
}

// recordedTarget is a target in a record.
type recordedTarget struct {
	Weights radishcrank.WeightsVersion
	AtMS    int64 // Unix milliseconds on the clock of the store.
}

// record returns the value that the row of the model should have.
func (h History) record() (r record) {
	for _, tgt := range h.targets {
		r.Namings = append(r.Namings, recordedTarget{Weights: tgt.weights, AtMS: tgt.at.UnixMilli()})
	}
	return r
}

// merged is a history after the recorded times were applied.
type merged struct {
	History
	unrecorded int // Targets that are not recorded, or with a time that is too late.
}

// merge applies the targets recorded in a row. Targets that the row lacks keep
// their times, and unrecordedAge determines the time of those that have none.
func (t *Tracker) merge(model radishcrank.ModelID, row radishcrank.Row) (m merged) {
	var r record
	if row.Version > 0 {
		if err := json.Unmarshal(row.Value, &r); err != nil {
			// An unreadable record is overwritten.
			t.cfg.Log.Error().Str("Event", "WeightsRecordRefused").Str("Model", string(model)).Err(err).Send()
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	m.History = t.histories[model]
	recorded := map[radishcrank.WeightsVersion]bool{}
	for _, rec := range r.Namings {
		at := time.UnixMilli(rec.AtMS)
		known, _ := m.target(rec.Weights)
		if known.awaited && known.at.Before(at.Add(-recordTolerance)) {
			continue // Recorded by an instance that did not see the change.
		}
		recorded[rec.Weights] = true
		m.History = m.with(target{weights: rec.Weights, at: at, awaited: known.awaited})
	}
	for _, tgt := range m.targets {
		if recorded[tgt.weights] {
			continue
		}
		m.unrecorded++
		if tgt.at.IsZero() {
			m.History = m.with(target{weights: tgt.weights, at: t.cfg.Now().Add(-unrecordedAge)})
		}
	}
	t.histories[model] = m.History
	t.cfg.Log.Info().Str("Event", "WeightsDated").Str("Model", string(model)).Str("Weights", string(m.Newest())).
		Int64("AgeMS", t.cfg.Now().Sub(m.targets[len(m.targets)-1].at).Milliseconds()).Bool("Recorded", m.unrecorded == 0).Send()
	return m
}
