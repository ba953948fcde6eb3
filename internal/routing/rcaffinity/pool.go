package rcaffinity

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/state/rcfleet"
)

// Lanes keep long prompts away from the engines that generate long answers.
// They answer a mix of short questions with long answers and long prompts with
// short answers: an engine that reads a prompt of several chunks produces a token
// for its other streams only after each chunk, so that all of them pause for
// longer than their callers accept.
const (
	// shortPrompt is the longest prompt of the short lane, in tokens: engines read
	// it in one chunk.
	shortPrompt = 2048
	// shortShare of the engines of a service make up the short lane at least.
	shortShare = 1.0 / 4
	// laneFill is the share of the short lane's slots that all running requests
	// may take: with more, requests wait for slots there.
	laneFill = 0.7
	// mostShort is the largest share of engines for the short lane. Beyond it the
	// long prompts wait in the other lane, and there are no lanes.
	mostShort = 1.0 / 3
	// leastForLanes is the number of engines from which there are lanes at all.
	leastForLanes = 4
	// laneCost is the price of leaving the lane for each share of the streams that
	// paused for too long, up to maxLaneCost. Engines whose chunks are quick enough
	// for their streams then have no lanes, and all of their memory for all prompts.
	laneCost    = 1500 * time.Millisecond
	maxLaneCost = 150 * time.Millisecond
	// leastLaneCost is the price below which there are no lanes: it is less than
	// what owners of parts change for.
	leastLaneCost = 60 * time.Millisecond
)

// lane is the set of engines that requests of one length prefer.
type lane map[radishcrank.UpstreamID]bool

// laneFor returns the engines that prompts of a length prefer, or nil for all:
// where the fleet is so full that the short lane has no room, lanes only move the
// wait from the streams' pauses to their first events.
// Engines that load weights or are left alone for a moment keep their lane, so
// that the others' lanes do not change with them.
func laneFor(promptTokens int, states []rcfleet.State) lane {
	engines := make([]*rcfleet.State, 0, len(states))
	for i := range states {
		if !states[i].Leaving {
			engines = append(engines, &states[i])
		}
	}
	if len(engines) < leastForLanes {
		return nil
	}
	slices.SortFunc(engines, func(a, b *rcfleet.State) int { return cmp.Compare(a.Hash, b.Hash) })
	running, slots := 0, 0
	for _, s := range engines {
		running += s.Running + s.PeerLoad.Running
		slots += s.Slots
	}
	share := shortShare
	if slots > 0 {
		share = max(share, float64(running)/(laneFill*float64(slots)))
	}
	if share > mostShort {
		return nil
	}
	short := int(math.Round(share * float64(len(engines))))
	if promptTokens <= shortPrompt {
		engines = engines[:short]
	} else {
		engines = engines[short:]
	}
	l := lane{}
	for _, s := range engines {
		l[s.ID] = true
	}
	return l
}

// leaveCost is the price of leaving the lane when a share of the streams pause
// for too long.
func leaveCost(pauses float64) time.Duration {
	return min(maxLaneCost, time.Duration(pauses*float64(laneCost)))
}

func (l lane) has(id radishcrank.UpstreamID) bool { return l == nil || l[id] }
