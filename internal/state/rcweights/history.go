// Package rcweights records when each weights version became the target of a
// model. Each of these times sets a deadline of its own for the replaced
// weights. Neither later targets nor restarts move it, since the times are
// recorded in the store of the platform.
package rcweights

import (
	"slices"
	"time"

	"github.com/radishcrank/radishcrank"
)

// target is a weights version and the time at which it became the target. A
// zero time means an unknown time in the past.
type target struct {
	weights radishcrank.WeightsVersion
	at      time.Time
	// awaited means that at is when the process saw the change happen, and not an
	// earlier bound.
	awaited bool
}

// maxTargets bounds a history. Only targets that are more recent than the
// maximum age of replaced weights matter, and that many targets take far
// longer.
const maxTargets = 64

// History holds the target weights of one model by ascending version. It must
// not be modified once shared; Add returns a new History.
type History struct {
	Model   radishcrank.ModelID
	targets []target
}

// Add returns the history with newer target weights. Weights that are not newer
// are ignored.
func (h History) Add(w radishcrank.WeightsVersion, at time.Time) (next History, added bool) {
	if !h.Newest().Less(w) {
		return h, false
	}
	return h.with(target{weights: w, at: at}), true
}

// target returns the target of a version.
func (h History) target(w radishcrank.WeightsVersion) (t target, ok bool) {
	i := slices.IndexFunc(h.targets, func(t target) bool { return t.weights == w })
	if i < 0 {
		return target{}, false
	}
	return h.targets[i], true
}

// with returns the history with a target, which replaces an existing one of the
// same version.
func (h History) with(t target) History {
	i, found := slices.BinarySearchFunc(h.targets, t.weights, func(o target, w radishcrank.WeightsVersion) int {
		switch {
		case o.weights.Less(w):
			return -1
		case w.Less(o.weights):
			return 1
		}
		return 0
	})
	targets := slices.Clone(h.targets)
	if found {
		targets[i] = t
	} else {
		targets = slices.Insert(targets, i, t)
	}
	h.targets = targets[max(0, len(targets)-maxTargets):]
	return h
}

// shift returns the history with all times moved by d.
func (h History) shift(d time.Duration) History {
	h.targets = slices.Clone(h.targets)
	for i := range h.targets {
		if !h.targets[i].at.IsZero() {
			h.targets[i].at = h.targets[i].at.Add(d)
		}
	}
	return h
}

// Newest returns the newest weights, or the empty version.
func (h History) Newest() radishcrank.WeightsVersion {
	if len(h.targets) == 0 {
		return ""
	}
	return h.targets[len(h.targets)-1].weights
}

// ReplacedAt returns when weights newer than w first became the target. It
// reports false if w is the newest version. A zero time means an unknown time
// in the past.
func (h History) ReplacedAt(w radishcrank.WeightsVersion) (at time.Time, ok bool) {
	for _, t := range h.targets {
		if w.Less(t.weights) && (!ok || t.at.Before(at)) {
			at, ok = t.at, true
		}
	}
	return at, ok
}
