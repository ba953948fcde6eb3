package rcadmission

import (
	"slices"
	"time"
)

// LowestPriority is the numerically highest priority that engines know.
const LowestPriority = 9

// maxOwnPrefillFraction limits how much of the latency target the prefill of the exchange's
// own prompt may take up in the decision whether it is late. Without it small prompts do not go
// first. Late exchanges are rejected at a shorter wait: with 0.5, the largest tenth of the
// prompts was served less than half as often as its class in a lasting shortage.
const maxOwnPrefillFraction = 0.3

// paysFirstFraction of the latency target is the time after which exchanges that pay first
// are late. Queues that long are the beginning of a shortage.
const paysFirstFraction = 0.5

// Start is what is known about when an exchange begins.
type Start struct {
	Elapsed       time.Duration // Since the exchange was received.
	ExpectedWait  time.Duration // Until the upstream begins to read the prompt.
	OwnPrefill    time.Duration // For the exchange's own prompt.
	LatencyTarget time.Duration // Of the route; 0 means none.
	PaysFirst     bool          // It yields before others do, if there is a shortage.
}

// Late reports whether the answer begins, or has not begun, after the latency target.
//
// It addresses demand above capacity for some seconds: in order of arrival every
// exchange then waits as long as the queue lets it and nearly all begin late. If those
// that are late already yield, the others remain in time.
func (s Start) Late() bool {
	if s.LatencyTarget <= 0 {
		return false
	}
	target := s.LatencyTarget
	if s.PaysFirst {
		target = time.Duration(paysFirstFraction * float64(target))
	}
	own := min(s.OwnPrefill, time.Duration(maxOwnPrefillFraction*float64(target)))
	return s.Elapsed+s.ExpectedWait+own > target
}

// LatePriorities maps each priority in use to the one that late exchanges get: after all
// priorities in use, in the same order. If there are fewer free priorities than
// priorities in use, neighbors share one. If there is none, late exchanges do not yield
// and the map is empty.
func LatePriorities(inUse []int) map[int]int {
	sorted := make([]int, 0, len(inUse))
	for _, p := range inUse {
		sorted = append(sorted, min(max(p, 0), LowestPriority))
	}
	slices.Sort(sorted)
	sorted = slices.Compact(sorted)
	late := map[int]int{}
	if len(sorted) == 0 {
		return late
	}
	last := sorted[len(sorted)-1]
	free := LowestPriority - last
	if free == 0 {
		return late
	}
	for rank, p := range sorted {
		if len(sorted) > free {
			rank = rank * free / len(sorted)
		}
		late[p] = last + 1 + rank
	}
	return late
}
