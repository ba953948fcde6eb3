package rcaffinity

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/state/rcfleet"
)

// ranking is the order of preference of the usable engines for a prompt.
type ranking struct {
	owner    radishcrank.UpstreamID // The engine of rank 0; empty if there is none.
	rankByID map[radishcrank.UpstreamID]int
}

// rank orders the usable engines for a shared part by the hash of the part and
// the engine id, so that only the parts of an engine that is added or removed
// move. Engines of the preferred pool come first.
//
// The ranking prevents herding: dozens of instances see the same load reports
// with the same delay, and if each of them sent prompts to the engine that
// appears idle, all would choose the same one. An engine that had just loaded
// weights received seven times the mean load that way. Instead, a prompt that
// leaves its owner goes to the next engine in the order of that prompt, which
// also limits the copies of its parts to few engines.
func rank(req Request, key string, states []rcfleet.State, preferred pool, now time.Time) (r ranking) {
	if key == "" {
		return r
	}
	type candidate struct {
		id        radishcrank.UpstreamID
		preferred bool
		hash      uint64
	}
	keyHash := xxhash.Sum64String(key)
	candidates := make([]candidate, 0, len(states))
	for i := range states {
		s := &states[i]
		if Usable(s, now) && (req.Exclude == nil || !req.Exclude(s.ID)) {
			candidates = append(candidates, candidate{s.ID, preferred.has(s.ID), mix(keyHash ^ s.Hash)})
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		if a.preferred != b.preferred {
			if a.preferred {
				return -1
			}
			return 1
		}
		return cmp.Compare(b.hash, a.hash)
	})
	r.rankByID = make(map[radishcrank.UpstreamID]int, len(candidates))
	for i, c := range candidates {
		r.rankByID[c.id] = i
	}
	if len(candidates) > 0 {
		r.owner = candidates[0].id
	}
	return r
}
