// Package rcweights remembers when which weights of a model were named. Each
// naming has a deadline of its own: later ones do not move it, and neither does
// a restart, since the times are recorded in the platform's store.
package rcweights

import (
	"slices"
	"time"

	"github.com/radishcrank/radishcrank"
)

// naming is one version and when it was named. A zero time is any time ago.
type naming struct {
	weights radishcrank.WeightsVersion
	at      time.Time
}

// maxNamings bounds a history. Only namings within the time that older weights
// may be used matter, which is far shorter than this many take.
const maxNamings = 64

// History holds the namings of one model by rising version. It must not be
// changed once shared; Add returns a new one.
type History struct {
	Model   radishcrank.ModelID
	namings []naming
}

// Add returns the history with newer weights. Weights that are not newer change nothing.
func (h History) Add(w radishcrank.WeightsVersion, at time.Time) (next History, added bool) {
	if !h.Newest().Less(w) {
		return h, false
	}
	return h.with(naming{w, at}), true
}

// with returns the history with a naming, which replaces one of the same weights.
func (h History) with(n naming) History {
	i, found := slices.BinarySearchFunc(h.namings, n.weights, func(o naming, w radishcrank.WeightsVersion) int {
		switch {
		case o.weights.Less(w):
			return -1
		case w.Less(o.weights):
			return 1
		}
		return 0
	})
	namings := slices.Clone(h.namings)
	if found {
		namings[i] = n
	} else {
		namings = slices.Insert(namings, i, n)
	}
	h.namings = namings[max(0, len(namings)-maxNamings):]
	return h
}

// shift returns the history with all times moved by d.
func (h History) shift(d time.Duration) History {
	h.namings = slices.Clone(h.namings)
	for i := range h.namings {
		if !h.namings[i].at.IsZero() {
			h.namings[i].at = h.namings[i].at.Add(d)
		}
	}
	return h
}

// Newest returns the newest weights, or the empty version.
func (h History) Newest() radishcrank.WeightsVersion {
	if len(h.namings) == 0 {
		return ""
	}
	return h.namings[len(h.namings)-1].weights
}

// ReplacedAt returns when the first weights newer than w were named. ok is false
// while w is the newest. A zero time is any time ago.
func (h History) ReplacedAt(w radishcrank.WeightsVersion) (at time.Time, ok bool) {
	for _, n := range h.namings {
		if w.Less(n.weights) && (!ok || n.at.Before(at)) {
			at, ok = n.at, true
		}
	}
	return at, ok
}
