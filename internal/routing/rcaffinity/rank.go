package rcaffinity

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/state/rcfleet"
)

// ranking is the order in which the usable engines stand for a prompt.
type ranking struct {
	owner radishcrank.UpstreamID // The first one; empty if there is none.
	of    map[radishcrank.UpstreamID]int
}

// rank orders the usable engines for a shared part by the hash of the part and
// their ids, so that only the parts of an engine that comes or goes move. Engines
// of the preferred lane go first.
//
// It answers loads that dozens of instances see late and alike. Where each sends
// a prompt to the engine that looks idle, all send theirs to the same one: an
// engine that had just loaded weights got seven times the mean. A prompt that
// leaves its owner goes to the next engine in an order of its own instead, which
// also keeps the copies of its parts on few engines.
func rank(req Request, key string, states []rcfleet.State, preferred lane, now time.Time) (r ranking) {
	if key == "" {
		return r
	}
	type place struct {
		id        radishcrank.UpstreamID
		preferred bool
		hash      uint64
	}
	keyHash := xxhash.Sum64String(key)
	places := make([]place, 0, len(states))
	for i := range states {
		s := &states[i]
		if Usable(s, now) && (req.Exclude == nil || !req.Exclude(s.ID)) {
			places = append(places, place{s.ID, preferred.has(s.ID), mix(keyHash ^ s.Hash)})
		}
	}
	slices.SortFunc(places, func(a, b place) int {
		if a.preferred != b.preferred {
			if a.preferred {
				return -1
			}
			return 1
		}
		return cmp.Compare(b.hash, a.hash)
	})
	r.of = make(map[radishcrank.UpstreamID]int, len(places))
	for i, p := range places {
		r.of[p.id] = i
	}
	if len(places) > 0 {
		r.owner = places[0].id
	}
	return r
}
