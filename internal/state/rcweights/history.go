// Package rcweights remembers when which weights of a model were named. Each
// naming has a deadline of its own: later ones do not move it.
package rcweights

import (
	"time"

	"github.com/radishcrank/radishcrank"
)

// naming is one version and when it was first seen.
type naming struct {
	weights radishcrank.WeightsVersion
	at      time.Time
}

// maxNamings bounds a history. Only namings within the time that older weights
// may be used matter, which is far shorter than this many take.
const maxNamings = 64

// History holds the namings of one model, oldest first. It must not be changed
// once shared; Add returns a new one.
type History struct {
	Model   radishcrank.ModelID
	namings []naming
}

// Add returns the history with newer weights. Weights that are not newer change nothing.
func (h History) Add(w radishcrank.WeightsVersion, at time.Time) (next History, added bool) {
	if !h.Newest().Less(w) {
		return h, false
	}
	old := h.namings
	if len(old) >= maxNamings {
		old = old[1:]
	}
	h.namings = append(old[:len(old):len(old)], naming{w, at})
	return h, true
}

// Newest returns the newest weights, or the empty version.
func (h History) Newest() radishcrank.WeightsVersion {
	if len(h.namings) == 0 {
		return ""
	}
	return h.namings[len(h.namings)-1].weights
}

// ReplacedAt returns when the first weights newer than w were named. ok is false
// while w is the newest.
func (h History) ReplacedAt(w radishcrank.WeightsVersion) (at time.Time, ok bool) {
	for _, n := range h.namings {
		if w.Less(n.weights) {
			return n.at, true
		}
	}
	return time.Time{}, false
}
