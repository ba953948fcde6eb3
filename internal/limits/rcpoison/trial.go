package rcpoison

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/radishcrank/radishcrank"
)

// A conviction of prompt parts refuses what would show that it is wrong: requests that hold
// them and get an answer. So one request is let through now and then. If its answer is
// complete, the conviction is lifted on all instances; if it crashes its upstream, the next
// one follows after twice the time.

const (
	// trialDelay is how long after a conviction one request is let through, and
	// maxTrialDoublings bounds how often it doubles.
	trialDelay        = 2 * time.Minute
	maxTrialDoublings = 5
	// convictionCrashes is the number of crashes that stand for a conviction in its record.
	convictionCrashes = VerdictThreshold
)

// trial is a request that holds convicted parts and is let through.
type trial struct {
	request radishcrank.RequestID
	at      time.Time
}

// convictionID returns the ID of an entry of a conviction's record: the same one on all
// instances, and another one for each set of parts and each conviction after a lifted one.
func convictionID(key Key, generation, n int) string {
	return fmt.Sprintf("%s/%d/%d", hash("conviction", string(key))[:8], generation, n)
}

// generation returns how often the conviction of parts has been lifted.
func (r *Record) generation() (next int) {
	for _, id := range r.Voided {
		fields := strings.Split(id, "/")
		if len(fields) != 3 {
			continue
		}
		if g, err := strconv.Atoi(fields[1]); err == nil {
			next = max(next, g+1)
		}
	}
	return next
}

// convict adds the crashes that stand for a conviction.
func (r *Record) convict(now time.Time) {
	g := r.generation()
	for n := range convictionCrashes {
		r.addCrashes(Crash{ID: convictionID(r.Key, g, n), At: now, Alone: true})
	}
}

// lift voids a conviction.
func (r *Record) lift() {
	g := r.generation()
	r.voidAll()
	for n := range convictionCrashes {
		r.addVoided(convictionID(r.Key, g, n))
	}
	r.updateVerdict()
}

// failTrial records that the request of a trial crashed its upstream.
func (r *Record) failTrial(now time.Time) {
	r.addCrashes(Crash{ID: convictionID(r.Key, r.generation(), len(r.Crashes)), At: now, Alone: true})
	r.Updated = now
}

// trialDue returns when the next request with the parts of a conviction may be let through.
func (r *Record) trialDue() time.Time {
	return r.Updated.Add(trialDelay << min(max(len(r.Crashes)-convictionCrashes, 0), maxTrialDoublings))
}

// heldLocked returns the records of the convicted sets that a request holds.
func (t *Tracker) heldLocked(req radishcrank.Request) (held []*Record) {
	if len(t.convictedParts) == 0 {
		return nil
	}
	parts := PartKeys(req)
	for _, p := range parts {
		for _, set := range t.convictedParts[p] {
			if slices.ContainsFunc(set, func(q Key) bool { return !slices.Contains(parts, q) }) {
				continue
			}
			if r := t.records[partsKey(set)]; r != nil && !slices.Contains(held, r) {
				held = append(held, r)
			}
		}
	}
	return held
}

// mayTryLocked reports whether a request is let through although it holds convicted sets.
func (t *Tracker) mayTryLocked(req radishcrank.Request, held []*Record) bool {
	now := time.Now()
	if !t.trialDueLocked(req, held, now) {
		return false
	}
	for _, r := range held {
		if t.trials[r.Key].request != req.ID {
			t.trials[r.Key] = trial{req.ID, now}
			t.cfg.Log.Info().Str("Event", "ConvictionTried").Str("Request", string(req.ID)).Str("Parts", string(r.Key)).Int("Crashes", len(r.Crashes)).Send()
		}
	}
	return true
}

// trialDueLocked reports whether a request that holds convicted sets may be let through.
func (t *Tracker) trialDueLocked(req radishcrank.Request, held []*Record, now time.Time) bool {
	for _, r := range held {
		current, tried := t.trials[r.Key]
		if tried && current.request == req.ID {
			continue
		}
		if tried && now.Sub(current.at) < trialDelay || now.Before(r.trialDue()) || !t.cfg.OwnsTrial(string(r.Key)) {
			return false
		}
	}
	return true
}

// Inspect returns the number of convicted sets that a request holds, and whether Check would
// refuse it, without starting a trial.
func (t *Tracker) Inspect(req radishcrank.Request) (convicted int, refused bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	held := t.heldLocked(req)
	return len(held), len(held) > 0 && !t.trialDueLocked(req, held, time.Now())
}

// endTrialLocked lifts the convicted sets that a request held if its answer was complete, and
// confirms those of which it was a trial if it crashed its upstream.
func (t *Tracker) endTrialLocked(req radishcrank.Request, crashed, finished bool) {
	if !crashed && !finished {
		return
	}
	for _, r := range t.heldLocked(req) {
		isTrial := t.trials[r.Key].request == req.ID
		switch {
		case finished:
			r.lift()
			r.Updated = time.Now()
			t.cfg.Log.Warn().Str("Event", "ConvictionLifted").Str("Request", string(req.ID)).Str("Parts", string(r.Key)).Send()
		case isTrial:
			r.failTrial(time.Now())
		default:
			continue
		}
		delete(t.trials, r.Key)
		t.updateRowLocked(r)
		t.storeSoonLocked(r.Key)
	}
}

// storeSoonLocked stores a record in the next round, which begins now.
func (t *Tracker) storeSoonLocked(key Key) {
	t.pending[key] = time.Now().Add(-t.cfg.StoreDelay) // It waits for no other records.
	select {
	case t.storeNow <- struct{}{}:
	default:
	}
}
