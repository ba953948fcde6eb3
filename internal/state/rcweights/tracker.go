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
	// unrecordedAge is the age of a naming that a process finds when it starts and
	// that no instance has recorded. All that saw it were killed right after it, and
	// a fleet that is killed as a whole is back within about 2 s.
	unrecordedAge = 3 * time.Second
	// recordSpread keeps the instances that see a naming at once from all trying to
	// record it.
	recordSpread = 150 * time.Millisecond
	// recordRetry is the pause after a call that failed.
	recordRetry = 250 * time.Millisecond
)

// TrackerConfig holds the parts that a Keeper works with.
type TrackerConfig struct {
	Table radishcrank.TableService // Holds one row for each model.
	Now   func() time.Time         // The store's clock.
	Log   zerolog.Logger
}

// Tracker knows the histories of all models. The first instance that sees a
// naming records its time in the store, and those that did not see it as it came,
// because they started or were cut off, go by the record. It is safe for
// concurrent use.
type Tracker struct {
	cfg  TrackerConfig
	wake chan struct{}

	mu        sync.Mutex
	histories map[radishcrank.ModelID]History // On the store's clock.
	unsettled map[radishcrank.ModelID]bool    // Their record has to be read.
}

// NewTracker returns a Keeper.
func NewTracker(cfg TrackerConfig) *Tracker {
	return &Tracker{
		cfg: cfg, wake: make(chan struct{}, 1),
		histories: map[radishcrank.ModelID]History{}, unsettled: map[radishcrank.ModelID]bool{},
	}
}

// SetTarget takes in that weights are wanted for a model. It reports false if that is
// not news.
func (k *Tracker) SetTarget(model radishcrank.ModelID, w radishcrank.WeightsVersion, s rcfeed.Provenance) (news bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	h := k.histories[model]
	h.Model = model
	next, news := h.Add(w, s.Since)
	if !news {
		return false
	}
	k.histories[model] = next
	// The instance that read a relayed row records it.
	if !s.Relayed || s.Since.IsZero() {
		k.unsettled[model] = true
		select {
		case k.wake <- struct{}{}:
		default:
		}
	}
	return true
}

// History returns the namings of a model on the local clock.
func (k *Tracker) History(model radishcrank.ModelID) History {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.localLocked(k.histories[model])
}

// All returns the namings of all models on the local clock.
func (k *Tracker) All() (all []History) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, h := range k.histories {
		all = append(all, k.localLocked(h))
	}
	return all
}

func (k *Tracker) localLocked(h History) History { return h.shift(time.Since(k.cfg.Now())) }

// Run records and reads the times of namings until ctx ends.
func (k *Tracker) Run(ctx context.Context) error {
	for {
		select {
		case <-k.wake:
		case <-ctx.Done():
			return ctx.Err()
		}
		for model, ok := k.next(); ok; model, ok = k.next() {
			if err := k.settle(ctx, model); err != nil {
				k.cfg.Log.Warn().Str("Event", "WeightsUnrecorded").Str("Model", string(model)).Err(err).Send()
				if !rcwait.For(ctx, recordRetry) {
					return ctx.Err()
				}
			}
		}
	}
}

// next returns a model whose record has to be read.
func (k *Tracker) next() (model radishcrank.ModelID, ok bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for model := range k.unsettled {
		return model, true
	}
	return "", false
}

// dated reports whether all namings of a model have a time.
func (k *Tracker) dated(model radishcrank.ModelID) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, n := range k.histories[model].namings {
		if n.at.IsZero() {
			return false
		}
	}
	return true
}

// settle takes over the recorded times of a model's namings and records those
// that nobody has.
func (k *Tracker) settle(ctx context.Context, model radishcrank.ModelID) (err error) {
	if k.dated(model) {
		rcwait.For(ctx, rand.N(recordSpread))
	}
	for {
		rows, err := k.cfg.Table.Get(ctx, string(model))
		if err != nil {
			return err
		}
		known := k.merge(model, rows[0])
		if known.missing == 0 {
			k.settled(model, known.History)
			return nil
		}
		value, err := json.Marshal(known.record())
		if err != nil {
			return trace.Wrap(err)
		}
		err = k.cfg.Table.Commit(ctx, radishcrank.Transaction{
			Checks: []radishcrank.Check{{Key: string(model), Version: rows[0].Version}},
			Writes: []radishcrank.Write{{Key: string(model), Value: value}},
		})
		switch {
		case err == nil:
			k.settled(model, known.History)
			return nil
		case !errors.Is(err, radishcrank.ErrConflict):
			return err
		}
	}
}

// settled notes that the store records all of a history. Weights that were named
// meanwhile are still to be recorded.
func (k *Tracker) settled(model radishcrank.ModelID, h History) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.histories[model].Newest() == h.Newest() {
		delete(k.unsettled, model)
	}
}

// record is the value of a model's row.
type record struct {
	Namings []recordedNaming
}

type recordedNaming struct {
	Weights radishcrank.WeightsVersion
	AtMS    int64 // Unix milliseconds of the store's clock.
}

// record returns the value that a model's row should have.
func (h History) record() (r record) {
	for _, n := range h.namings {
		r.Namings = append(r.Namings, recordedNaming{n.weights, n.at.UnixMilli()})
	}
	return r
}

// merged is a history with the recorded times.
type merged struct {
	History
	missing int // Namings that are not recorded.
}

// merge takes over what a row records. Namings that it lacks keep their times,
// and those of unknown age get one.
func (k *Tracker) merge(model radishcrank.ModelID, row radishcrank.Row) (m merged) {
	var r record
	if row.Version > 0 {
		if err := json.Unmarshal(row.Value, &r); err != nil {
			// What can't be read is replaced.
			k.cfg.Log.Error().Str("Event", "WeightsRecordRefused").Str("Model", string(model)).Err(err).Send()
		}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	m.History = k.histories[model]
	recorded := map[radishcrank.WeightsVersion]bool{}
	for _, n := range r.Namings {
		recorded[n.Weights] = true
		m.History = m.with(naming{n.Weights, time.UnixMilli(n.AtMS)})
	}
	for _, n := range m.namings {
		if recorded[n.weights] {
			continue
		}
		m.missing++
		if n.at.IsZero() {
			m.History = m.with(naming{n.weights, k.cfg.Now().Add(-unrecordedAge)})
		}
	}
	k.histories[model] = m.History
	k.cfg.Log.Info().Str("Event", "WeightsDated").Str("Model", string(model)).Str("Weights", string(m.Newest())).
		Int64("AgeMS", k.cfg.Now().Sub(m.namings[len(m.namings)-1].at).Milliseconds()).Bool("Recorded", m.missing == 0).Send()
	return m
}
