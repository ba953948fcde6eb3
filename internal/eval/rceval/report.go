package rceval

import (
	"slices"
	"time"

	"github.com/radishcrank/radishcrank"
)

const (
	evictionIntervals = 10   // Report intervals that EvictionsPerSecond averages over.
	keptReports       = 16   // More than the lag covers.
	keptEvents        = 4096 // As in rcfakeengine.
)

// report takes a load report, which becomes readable after the lag.
func (e *engine) report() {
	if !e.up {
		return
	}
	sum := 0
	for _, n := range e.evicted {
		sum += n
	}
	window := e.params.ReportInterval * time.Duration(len(e.evicted))
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
	e.reports = e.reports[max(0, len(e.reports)-keptReports):]
	e.evicted = append(e.evicted, 0)
	e.evicted = e.evicted[max(0, len(e.evicted)-evictionIntervals):]
}

// queuedTokens are the prompt tokens left to prefill, including the rest of the
// request in the prefill unit.
func (e *engine) queuedTokens() int {
	n := e.queued
	if e.prefilling != nil {
		rest := time.Until(e.prefillEnd).Seconds() * e.params.PrefillPerSecond
		n += int(rest) - e.prefilling.estimate
	}
	return max(n, 0)
}

// readableReport is the newest report that the lag lets through.
func (e *engine) readableReport() (radishcrank.LoadReport, bool) {
	limit := time.Now().Add(-e.params.ReportDelay)
	for _, r := range slices.Backward(e.reports) {
		if !r.ReportedAt.After(limit) {
			return r, true
		}
	}
	if len(e.reports) > 0 {
		// A starting engine's first report is readable at once.
		return e.reports[0], true
	}
	return radishcrank.LoadReport{}, false
}

func (e *engine) record(kind radishcrank.CacheEventKind, blocks []radishcrank.BlockHash) {
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
	e.events = e.events[max(0, len(e.events)-keptEvents):]
}

// readableEvents are the events from a sequence number on that the delay lets through.
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
