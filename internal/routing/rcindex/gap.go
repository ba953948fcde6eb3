package rcindex

import "slices"

const (
	// maxGaps is the number of gaps that are told apart; older ones are merged.
	maxGaps = 16

	// maxGapLoss is the most that one gap lowers confidence. It holds when the
	// cache's size is not known, or so many events were lost that they may have
	// evicted everything.
	maxGapLoss = 0.5
)

// gap is a gap in an upstream's events. Entries that were last proved before it
// may have been evicted by a lost event.
type gap struct {
	tick uint32
	keep float64 // Probability that an entry from before the gap still holds.
}

// kept returns the probability that an entry outlived the gaps after its proof.
func kept(gaps []gap, seen uint32) float64 {
	keep := 1.0
	for _, g := range slices.Backward(gaps) {
		if seen > g.tick {
			break
		}
		keep *= g.keep
	}
	return keep
}

// addGap notes that a number of events were lost. Each can have evicted no more
// blocks than events usually name, which is a small part of the cache.
func (u *upstream) addGap(tick uint32, lost uint64) {
	loss := maxGapLoss
	if blocks := u.blocks.Load(); blocks > 0 {
		loss = min(maxGapLoss, float64(lost)*max(1, u.mean)/float64(blocks))
	}
	var gaps []gap
	if old := u.gaps.Load(); old != nil {
		gaps = slices.Clone(*old)
	}
	if len(gaps) == maxGaps {
		// The merged gap also covers entries proved after its first part, so its
		// loss is bounded; without that it would grow as long as the upstream runs.
		gaps[1].keep = max(1-maxGapLoss, gaps[1].keep*gaps[0].keep)
		gaps = gaps[1:]
	}
	gaps = append(gaps, gap{tick: tick, keep: 1 - loss})
	u.gaps.Store(&gaps)
}

// lastGap reports whether the last gap was in a tick.
func (u *upstream) lastGap(tick uint32) bool {
	gaps := u.gaps.Load()
	return gaps != nil && (*gaps)[len(*gaps)-1].tick == tick
}

// learnMean updates the mean number of blocks of an event.
func (u *upstream) learnMean(blocks int) {
	const share = 0.05 // Follows a change within some tens of events.
	if u.mean == 0 {
		u.mean = float64(blocks)
		return
	}
	u.mean += share * (float64(blocks) - u.mean)
}
