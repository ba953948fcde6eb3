package rcadmission

import (
	"cmp"
	"slices"
)

// maxRouteLevels is the largest number of urgencies that engines tell apart by route. It
// leaves some of their ten priorities for streams that are late.
const maxRouteLevels = 6

// Urgency orders streams in the queues of engines.
type Urgency struct {
	Priority int // Of the client account or, if it has none, of the route; 0 is the most urgent.
	Route    int // Of the route; orders streams of the same Priority.
}

// EnginePriorities returns the priority, from 0 for the most urgent to 9, with which
// engines queue the streams of each urgency in use. Routes are told apart only if there
// are not too many urgencies.
//
// It is for a mix of urgent short prompts and deferrable long ones of accounts that have
// priorities of their own: these override the routes' priorities, so that a short prompt
// would wait in an overloaded engine until the long ones before it have been read.
func EnginePriorities(inUse []Urgency) map[Urgency]int {
	sorted := slices.Clone(inUse)
	slices.SortFunc(sorted, func(a, b Urgency) int {
		return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.Route, b.Route))
	})
	sorted = slices.Compact(sorted)
	byRoute := len(sorted) <= maxRouteLevels
	levels := make(map[Urgency]int, len(sorted))
	level := 0
	for i, u := range sorted {
		if i > 0 && (byRoute || u.Priority != sorted[i-1].Priority) {
			level++
		}
		levels[u] = min(level, LowestPriority)
	}
	return levels
}
