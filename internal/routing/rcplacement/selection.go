package rcplacement

import "sync"

// scoredEngine is an engine with its rendezvous score. The highest score comes
// first in the rendezvous order.
type scoredEngine struct {
	score  uint64
	engine int
}

// selection is the working state of Place: the engines selected for the subtree
// of the current level.
type selection struct {
	engines   []Engine
	fits      func(i int) bool
	buffer    []scoredEngine
	selected  []scoredEngine
	fallbacks []scoredEngine // Engines of the parent level that were not selected.
	allFit    bool           // All engines in selected fit.
}

var selectionPool = sync.Pool{New: func() any { return new(selection) }}

func (s *selection) reset(engines []Engine, fits func(i int) bool) {
	s.buffer = s.buffer[:0]
	for i := range engines {
		s.buffer = append(s.buffer, scoredEngine{engine: i})
	}
	s.engines, s.fits, s.selected, s.fallbacks, s.allFit = engines, fits, s.buffer, nil, false
}

// narrow reduces the selection to the first want fitting engines in the
// rendezvous order of a key, in no particular order. If none fits, it selects
// the first ones regardless.
func (s *selection) narrow(key uint64, want int) {
	selected := s.selected
	if s.allFit && want >= len(selected) {
		return
	}
	rescore(selected, s.engines, key)
	fitting, checked := 0, 0
	for fitting < want && checked < len(selected) {
		top := min(want-fitting, len(selected)-checked)
		selectTop(selected[checked:], top)
		for end := checked + top; checked < end; checked++ {
			if s.fits(selected[checked].engine) {
				selected[fitting], selected[checked] = selected[checked], selected[fitting]
				fitting++
			}
		}
	}
	s.allFit = fitting > 0
	if fitting == 0 {
		fitting = min(want, len(selected))
		selectTop(selected, fitting)
	}
	s.selected = selected[:fitting]
	if len(selected) < len(s.engines) && fitting < len(selected) {
		s.fallbacks = selected[fitting:]
	}
}

// rescore computes the rendezvous scores of the engines for a key.
func rescore(scored []scoredEngine, engines []Engine, key uint64) {
	for i := range scored {
		scored[i].score = MixHash(engines[scored[i].engine].Key ^ key)
	}
}

// selectTop moves the k highest scores to the front, in no particular order, by
// quickselect. Scores are hashes, so the middle element is as good a pivot as
// any other.
func selectTop(scored []scoredEngine, k int) {
	low, high := 0, len(scored)-1
	for low < high && k > low && k <= high {
		pivot := scored[(low+high)/2].score
		i, j := low, high
		for i <= j {
			for scored[i].score > pivot {
				i++
			}
			for scored[j].score < pivot {
				j--
			}
			if i <= j {
				scored[i], scored[j] = scored[j], scored[i]
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

func compareScored(a, b scoredEngine) int {
	switch {
	case a.score > b.score:
		return -1
	case a.score < b.score:
		return 1
	}
	return a.engine - b.engine
}
