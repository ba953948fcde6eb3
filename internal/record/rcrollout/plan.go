// Package rcrollout brings named weights to the engines of a service. Plan
// decides which engines load next; Controller carries the decision out while it
// holds the lease that makes it the only one to give orders.
package rcrollout

import (
	"cmp"
	"slices"
	"time"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/state/rcfleet"
)

const (
	// concurrentShare of the engines of a service load at once: beyond it each
	// load takes longer, so that none is done sooner.
	concurrentShare = 1.0 / 6
	// firstWaveShare of the engines load as soon as weights are named. They carry
	// the traffic while the others, idle by then, wait for waveGap: weights that
	// are named again meanwhile spare those a load.
	firstWaveShare = 0.5
	waveGap        = 5 * time.Second
)

// Named is what the operator wants a model to be served with.
type Named struct {
	Model   radishcrank.ModelID
	Weights radishcrank.WeightsVersion
	At      time.Time // When it was first seen here.
}

// Plan returns the engines that are to begin to load now, in order. It answers
// weights that are named every few seconds while all engines carry traffic: the
// engines with the least under way go first, which after the first change are
// those that still have older weights and so get no requests.
func Plan(named Named, engines []rcfleet.State, now time.Time) (next []rcfleet.State) {
	var outdated []rcfleet.State
	total, loading, updated := 0, 0, 0
	for _, e := range engines {
		w, serves := e.Weights[named.Model]
		if !serves || e.Leaving || !e.Listed {
			continue
		}
		total++
		switch {
		case e.Loading(now):
			loading++
		case !w.Less(named.Weights):
			updated++
		case !e.Suspect:
			outdated = append(outdated, e)
		}
	}
	slices.SortFunc(outdated, func(a, b rcfleet.State) int {
		return cmp.Or(
			cmp.Compare(a.Running+a.Reported.Running, b.Running+b.Reported.Running),
			cmp.Compare(a.ID, b.ID),
		)
	})
	room := max(1, int(concurrentShare*float64(total))) - loading
	if now.Sub(named.At) < waveGap {
		room = min(room, int(firstWaveShare*float64(total)+0.999)-updated-loading)
	}
	if total > 1 {
		room = min(room, total-1-loading) // One engine stays in service.
	}
	return outdated[:min(len(outdated), max(0, room))]
}
