package rceval

import (
	"slices"
	"time"

	"github.com/radishcrank/radishcrank"
)

const (
	evictionIntervals = 10   // Report intervals over which EvictionsPerSecond is averaged.
	maxReports        = 16   // Covers more than ReportDelay.
	maxEvents         = 4096 // Same value as in rcfakeengine.
)

// takeReport takes a load report, which becomes readable after ReportDelay.
func (e *engine) takeReport() {
	if !e.up {
		return
	}
	sum := 0
	for _, n := range e.evictedPerInterval {
		sum += n
	}
	window := e.params.ReportInterval * time.Duration(len(e.evictedPerInterval))
	e.reports = append(e.reports, radishcrank.LoadReport{
		Incarnation:        e.incarnation,
		Weights:            map[radishcrank.ModelID]radishcrank.WeightsVersion{model: weights},
		Running:            len(e.running),
		Waiting:            len(e.waiting),
		QueuedTokens:       e.queuedTokens(),
		CacheBlocks:        e.params.CacheBlocks,
		CacheUsed:          len(e.cache.entries),
		EvictionsPerSecond: float64(sum) / window.Seconds(),
		PrefillPerSecond:   e.params.PrefillPerSecond,
		DecodePerSecond:    e.params.DecodePerSecond,
		MaxBatch:           e.params.MaxBatch,
		ReportedAt:         time.Now(),
	})
	e.reports = e.reports[max(0, len(e.reports)-maxReports):]
	e.evictedPerInterval = append(e.evictedPerInterval, 0)
	e.evictedPerInterval = e.evictedPerInterval[max(0, len(e.evictedPerInterval)-evictionIntervals):]
}

// queuedTokens returns the prompt tokens left to prefill, including the rest of
// the request in the prefill unit.
func (e *engine) queuedTokens() int {
	n := e.queuedEstimate
	if e.prefilling != nil {
		rest := time.Until(e.prefillEnd).Seconds() * e.params.PrefillPerSecond
		n += int(rest) - e.prefilling.prefillEstimate
	}
	return max(n, 0)
}

// readableReport returns the newest report that is at least ReportDelay old.
func (e *engine) readableReport() (radishcrank.LoadReport, bool) {
	limit := time.Now().Add(-e.params.ReportDelay)
	for _, r := range slices.Backward(e.reports) {
		if !r.ReportedAt.After(limit) {
			return r, true
		}
	}
	if len(e.reports) > 0 {
		// The first report of a new incarnation is readable immediately.
		return e.reports[0], true
	}
	return radishcrank.LoadReport{}, false
}

func (e *engine) recordEvent(kind radishcrank.CacheEventKind, blocks []radishcrank.BlockHash) {
	if len(blocks) == 0 {
		return
	}
	seq := e.nextSeq
	e.nextSeq++
	if e.rng.Float64() < e.params.EventLossRatio {
		return
	}
	e.events = append(e.events, timedEvent{
		at:    time.Now(),
		event: radishcrank.CacheEvent{Seq: seq, Kind: kind, Blocks: blocks},
	})
	e.events = e.events[max(0, len(e.events)-maxEvents):]
}

// readableEvents returns the events that are at least EventDelay old, starting
// at a sequence number.
func (e *engine) readableEvents(from uint64) radishcrank.CacheEventBatch {
	batch := radishcrank.CacheEventBatch{Incarnation: e.incarnation, First: e.nextSeq}
	if len(e.events) > 0 {
		batch.First = e.events[0].event.Seq
	}
	limit := time.Now().Add(-e.params.EventDelay)
	start, _ := slices.BinarySearchFunc(e.events, from, func(t timedEvent, seq uint64) int {
		return int(t.event.Seq) - int(seq)
	})
	for _, t := range e.events[start:] {
		if t.at.After(limit) {
			break
		}
		batch.Events = append(batch.Events, t.event)
	}
	return batch
}
