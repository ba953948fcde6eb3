package rcindex

import "slices"

const (
	// maxGaps is the number of gaps that are kept separately; older ones are merged.
	maxGaps = 16

	// maxGapLoss is the largest share of confidence that one gap removes. It applies
	// when the size of the cache is unknown, or when enough events were lost to have
	// evicted the whole cache.
	maxGapLoss = 0.5
)

// gap is a gap in the event sequence of an upstream. Entries that were last
// confirmed before it may have been evicted by a lost event.
type gap struct {
	tick     uint32
	survival float64 // Probability that a block confirmed before the gap is still cached.
}

// survivalProbability returns the probability that an entry was not evicted in the
// gaps after it was last confirmed.
func survivalProbability(gaps []gap, lastSeen uint32) float64 {
	probability := 1.0
	for _, g := range slices.Backward(gaps) {
		if lastSeen > g.tick {
			break
		}
		probability *= g.survival
	}
	return probability
}

// addGap records that a number of events were lost. Each is assumed to have
// evicted as many blocks as the mean event names, which is a small part of the
// cache.
func (u *upstream) addGap(tick uint32, lostEvents uint64) {
	loss := maxGapLoss
	if blocks := u.cacheBlocks.Load(); blocks > 0 {
		loss = min(maxGapLoss, float64(lostEvents)*max(1, u.meanEventBlocks)/float64(blocks))
	}
	var gaps []gap
	if old := u.gaps.Load(); old != nil {
		gaps = slices.Clone(*old)
	}
	if len(gaps) == maxGaps {
		// The merged gap also applies to entries confirmed between its two parts.
		// Its loss is bounded, as it would otherwise grow for as long as the upstream
		// runs.
		gaps[1].survival = max(1-maxGapLoss, gaps[1].survival*gaps[0].survival)
		gaps = gaps[1:]
	}
	gaps = append(gaps, gap{tick: tick, survival: 1 - loss})
	u.gaps.Store(&gaps)
}

// hasGapAt reports whether the last gap was recorded in the given tick.
func (u *upstream) hasGapAt(tick uint32) bool {
	gaps := u.gaps.Load()
	return gaps != nil && (*gaps)[len(*gaps)-1].tick == tick
}

// updateMeanEventBlocks updates the moving average of the blocks per event.
func (u *upstream) updateMeanEventBlocks(blocks int) {
	const share = 0.05 // Adapts to a change within some tens of events.
	if u.meanEventBlocks == 0 {
		u.meanEventBlocks = float64(blocks)
		return
	}
	u.meanEventBlocks += share * (float64(blocks) - u.meanEventBlocks)
}
