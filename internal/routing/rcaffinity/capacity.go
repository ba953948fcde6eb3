package rcaffinity

import (
	"math"
	"time"

	"github.com/radishcrank/radishcrank/internal/state/rcfleet"
)

// Upstreams of one service may differ in speed and slots. Where any of them reports its
// speed, costs follow the speed and the slots of each. Otherwise all count as one type of
// engine at the usual speed.
const (
	// usualSlots is the number of slots for which slotWaitCost holds.
	usualSlots = 32
	// answerTime is how long an answer occupies its slot and memory, as in slotWaitCost.
	answerTime = usualSlots * slotWaitCost
	// minFreeSlots is the weight of an upstream without a free slot, which may have one by
	// the time the request arrives.
	minFreeSlots = 0.25
)

// fleetCapacity is what the upstreams of a service have in common.
type fleetCapacity struct {
	scaled       bool    // One of them has reported its speed.
	peersActive  bool    // Other instances send requests to them.
	interference float64 // Weight of the delays that the request causes to others.
}

// capacity is what one upstream can do.
type capacity struct {
	speed float64 // 1 is usual.
	slots int     // usualSlots if none reports its speed.
}

func fleetCapacityOf(req Request, states []rcfleet.State) (f fleetCapacity) {
	for i := 0; i < len(states) && !(f.scaled && f.peersActive); i++ {
		f.scaled = f.scaled || states[i].Speed > 0
		f.peersActive = f.peersActive || states[i].PeerLoad.Running > 0
	}
	if f.scaled && req.Model != "" {
		f.interference = interferenceWeight(req)
	}
	return f
}

// of returns the capacity of one of the upstreams.
func (f fleetCapacity) of(s *rcfleet.State) capacity {
	c := capacity{speed: s.SpeedFactor(), slots: usualSlots}
	if f.scaled && s.Slots > 0 {
		c.slots = s.Slots
	}
	return c
}

// slotWait returns the wait for a number of requests beyond the slots.
func (c capacity) slotWait(over int) time.Duration {
	return c.time(time.Duration(over) * answerTime / time.Duration(c.slots))
}

// time returns how long work takes that takes d at the usual speed.
func (c capacity) time(d time.Duration) time.Duration {
	if c.speed == 1 {
		return d
	}
	return time.Duration(float64(d) / c.speed)
}

// prefillTime returns how long a number of tokens takes to prefill.
func (c capacity) prefillTime(n int) time.Duration { return c.time(prefillTime(n)) }

// memoryCost returns the delay by the tokens that an engine cannot keep in its memory while
// an exchange that adds a number of tokens runs: it waits until answers end, or preempts
// requests, at least one, whose tokens are prefilled again. An engine that runs nothing has room.
func (c capacity) memoryCost(s *rcfleet.State, added int) time.Duration {
	held := s.Held + s.PeerLoad.Held
	over := held + added - s.CacheTokens
	if s.Speed == 0 || s.CacheTokens == 0 || held <= 0 || over <= 0 {
		return 0
	}
	wait := time.Duration(float64(answerTime) * float64(over) / float64(s.CacheTokens))
	preempted := held / max(1, s.Running+s.PeerLoad.Running)
	return c.time(wait) + c.prefillTime(max(over, preempted))
}

// rankSpread returns a cost by which requests for one part divide between its owner and the
// engines after it as the owner fills up. Without it all instances leave the owner together,
// between one load report and the next. It never exceeds the cost of one rank.
func (f fleetCapacity) rankSpread(req Request, s *rcfleet.State) time.Duration {
	if !f.scaled || !f.peersActive {
		return 0
	}
	return time.Duration(spread(req, s) * float64(rankCost))
}

// spread returns a number between 0 and 1 that depends on the request and the upstream.
func spread(req Request, s *rcfleet.State) float64 {
	return (float64(mix(req.Spread^s.Hash)>>11) + 0.5) / (1 << 53)
}

// plainCost returns the cost of an upstream that serves no model.
func (c capacity) plainCost(req Request, s *rcfleet.State, f fleetCapacity) time.Duration {
	if f.scaled && f.peersActive {
		return c.spreadCost(req, s)
	}
	queue := max(s.Running+s.PeerLoad.Running, s.Reported.Running+s.Reported.Waiting)
	d := time.Duration(queue) * runningRequestCost
	if s.Slots > 0 && queue >= s.Slots {
		d += time.Duration(queue-s.Slots+1) * queuedRequestCost
	}
	if !f.scaled {
		return d
	}
	return c.time(d+runningRequestCost) - runningRequestCost
}

// spreadCost returns a cost by which requests divide among upstreams in proportion to their
// free slots and the square of their speed: once for how soon a slot is free again, and once
// for how soon the answer ends. All instances see loads of the same age, which is longer
// than many answers take, so that the upstream that seems to have most room would get the
// requests of all instances at once and turn most of them away.
func (c capacity) spreadCost(req Request, s *rcfleet.State) time.Duration {
	queue := s.Running + s.PeerLoad.Running
	weight := c.speed * c.speed / float64(1+queue)
	if s.Slots > 0 {
		weight = c.speed * c.speed * max(minFreeSlots, float64(s.Slots-queue))
	}
	return time.Duration(-math.Log(spread(req, s)) / weight * float64(runningRequestCost))
}
