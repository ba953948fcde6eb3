package rcplacement

import "sync"

// rank is an engine's place in a rendezvous order; the highest score is first.
type rank struct {
	score  uint64
	engine int
}

// selection is the set of engines of a subtree.
type selection struct {
	engines []Engine
	fits    func(i int) bool
	buffer  []rank
	ranks   []rank
	spare   []rank // Engines of the level above that were left out.
	checked bool   // All of ranks fit.
}

var selections = sync.Pool{New: func() any { return new(selection) }}

func (s *selection) reset(engines []Engine, fits func(i int) bool) {
	s.buffer = s.buffer[:0]
	for i := range engines {
		s.buffer = append(s.buffer, rank{engine: i})
	}
	s.engines, s.fits, s.ranks, s.spare, s.checked = engines, fits, s.buffer, nil, false
}

// narrow keeps the first want engines of the order of a key that fit, in no
// particular order. If none fits, it keeps the first ones regardless.
func (s *selection) narrow(key uint64, want int) {
	ranks := s.ranks
	if s.checked && want >= len(ranks) {
		return // All engines fit, and none is left out.
	}
	rescore(ranks, s.engines, key)
	kept, seen := 0, 0
	for kept < want && seen < len(ranks) {
		top := min(want-kept, len(ranks)-seen)
		selectTop(ranks[seen:], top)
		for end := seen + top; seen < end; seen++ {
			if s.fits(ranks[seen].engine) {
				ranks[kept], ranks[seen] = ranks[seen], ranks[kept]
				kept++
			}
		}
	}
	s.checked = kept > 0
	if kept == 0 {
		kept = min(want, len(ranks))
		selectTop(ranks, kept)
	}
	s.ranks = ranks[:kept]
	if len(ranks) < len(s.engines) && kept < len(ranks) {
		s.spare = ranks[kept:]
	}
}

func rescore(ranks []rank, engines []Engine, key uint64) {
	for i := range ranks {
		ranks[i].score = MixHash(engines[ranks[i].engine].Key ^ key)
	}
}

// selectTop moves the k highest scores to the front, in no particular order
// (quickselect). Scores are hashes, so the middle one is as good a pivot as any.
func selectTop(ranks []rank, k int) {
	low, high := 0, len(ranks)-1
	for low < high && k > low && k <= high {
		pivot := ranks[(low+high)/2].score
		i, j := low, high
		for i <= j {
			for ranks[i].score > pivot {
				i++
			}
			for ranks[j].score < pivot {
				j--
			}
			if i <= j {
				ranks[i], ranks[j] = ranks[j], ranks[i]
				i++
				j--
			}
		}
		switch {
		case k-1 <= j:
			high = j
		case k-1 >= i:
			low = i
		default:
			return
		}
	}
}

func compareRank(a, b rank) int {
	switch {
	case a.score > b.score:
		return -1
	case a.score < b.score:
		return 1
	}
	return a.engine - b.engine
}
