// Package rcrollout rolls out the weights that the operator requested to the engines of
// a service. Plan decides which engines load next. Controller executes the plan while
// its instance holds the lease that makes it the only one to send orders.
package rcrollout

import (
	"cmp"
	"slices"
	"time"

	"github.com/radishcrank/radishcrank/internal/state/rcfleet"
	"github.com/radishcrank/radishcrank/internal/state/rcweights"
)

const (
	// enginesPerLoad is the number of a service's engines per concurrent load that does not
	// slow the others down.
	enginesPerLoad = 5
	// enginesPerSmallLoad is the same for services with few engines: the capacity of the
	// storage that weights are read from does not shrink when engines are lost.
	enginesPerSmallLoad = 6
)

// concurrentLoads returns how many of a service's engines may load at the same time.
func concurrentLoads(engines int) int {
	return max(engines/enginesPerLoad, (engines+enginesPerSmallLoad-1)/enginesPerSmallLoad)
}

// Plan returns the engines that should start to load now, in order. It is meant for
// weights that change every few seconds while all engines serve traffic: the engines
// with the fewest running requests come first, since output that a running request
// generates after the engine has loaded newer weights does not count. Engines that want a
// pause from this instance come last: an order can wait for that, and new weights cannot
// wait for a long pause.
func Plan(desired rcweights.History, engines []rcfleet.State, now time.Time) (next []rcfleet.State) {
	var outdated []rcfleet.State
	total, loading := 0, 0
	for _, e := range engines {
		w, serves := e.Weights[desired.Model]
		if !serves || e.Leaving || !e.Listed {
			continue
		}
		total++
		switch {
		case e.Loading(now):
			loading++
		case w.Less(desired.Newest()) && !e.Suspect:
			outdated = append(outdated, e)
		}
	}
	slices.SortFunc(outdated, func(a, b rcfleet.State) int {
		return cmp.Or(
			compareBool(a.Paused(now), b.Paused(now)),
			cmp.Compare(a.Running+a.Reported.Running, b.Running+b.Reported.Running),
			cmp.Compare(a.ID, b.ID),
		)
	})
	slots := concurrentLoads(total) - loading
	if total > 1 {
		slots = min(slots, total-1-loading) // At least one engine stays in service.
	}
	return outdated[:min(len(outdated), max(0, slots))]
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}
