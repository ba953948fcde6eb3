// Package rcrollout brings named weights to the engines of a service. Plan
// decides which engines load next; Controller carries the decision out while it
// holds the lease that makes it the only one to give orders.
package rcrollout

import (
	"cmp"
	"slices"
	"time"

	"github.com/radishcrank/radishcrank/internal/state/rcfleet"
	"github.com/radishcrank/radishcrank/internal/state/rcweights"
)

// enginesPerLoad engines of a service, or a part of so many, allow one load at a
// time: beyond that each load takes longer, so that none is done sooner. What
// loads are read from does not shrink with the engines that are lost.
const enginesPerLoad = 6

// Plan returns the engines that are to begin to load now, in order. It answers
// weights that are named every few seconds while all engines carry traffic: the
// engines with the least under way go first, since runs that go on under newer
// weights earn nothing from then on.
func Plan(named rcweights.History, engines []rcfleet.State, now time.Time) (next []rcfleet.State) {
	var outdated []rcfleet.State
	total, loading := 0, 0
	for _, e := range engines {
		w, serves := e.Weights[named.Model]
		if !serves || e.Leaving || !e.Listed {
			continue
		}
		total++
		switch {
		case e.Loading(now):
			loading++
		case w.Less(named.Newest()) && !e.Suspect:
			outdated = append(outdated, e)
		}
	}
	slices.SortFunc(outdated, func(a, b rcfleet.State) int {
		return cmp.Or(
			cmp.Compare(a.Running+a.Reported.Running, b.Running+b.Reported.Running),
			cmp.Compare(a.ID, b.ID),
		)
	})
	room := (total+enginesPerLoad-1)/enginesPerLoad - loading
	if total > 1 {
		room = min(room, total-1-loading) // One engine stays in service.
	}
	return outdated[:min(len(outdated), max(0, room))]
}
