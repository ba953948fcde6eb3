package rcdecision

import (
	"slices"
	"time"

	"github.com/radishcrank/radishcrank"
)

// engine is what the chooser itself knows of one engine: the requests that it
// sent there. Load reports lag, and these correct them.
type engine struct {
	key     uint64 // Rendezvous key.
	round   uint64 // Scan that last saw the engine on the board.
	place   int    // Place among the engines of that scan.
	running []dispatched
	ended   []time.Time // Ends of requests that the last report still counts.

	// What the index was last told of the engine.
	incarnation radishcrank.Incarnation
	reportedAt  time.Time
	weights     radishcrank.WeightsVersion
}

// changed reports whether a row says more than the index was told, and notes it.
func (e *engine) changed(v *loadView) bool {
	if e.incarnation == v.incarnation && e.reportedAt.Equal(v.reportedAt) && e.weights == v.weights {
		return false
	}
	e.incarnation, e.reportedAt, e.weights = v.incarnation, v.reportedAt, v.weights
	return true
}

// dispatched is a request that was sent to the engine and has not ended.
type dispatched struct {
	id         radishcrank.RequestID
	at         time.Time
	firstToken time.Time // Zero until it arrived.
	missing    int       // Prompt tokens to prefill.
}

func (e *engine) dispatch(id radishcrank.RequestID, now time.Time, missing int) {
	e.running = append(e.running, dispatched{id: id, at: now, missing: missing})
}

func (e *engine) find(id radishcrank.RequestID) int {
	return slices.IndexFunc(e.running, func(d dispatched) bool { return d.id == id })
}

func (e *engine) firstToken(id radishcrank.RequestID, now time.Time) {
	if i := e.find(id); i >= 0 && e.running[i].firstToken.IsZero() {
		e.running[i].firstToken = now
	}
}

// end removes a request and returns how long it generated tokens.
func (e *engine) end(id radishcrank.RequestID, now time.Time) (decoding time.Duration, ok bool) {
	i := e.find(id)
	if i < 0 {
		return 0, false
	}
	first := e.running[i].firstToken
	e.running = slices.Delete(e.running, i, i+1)
	const maxEnded = 256 // More ends than one report can hide.
	if len(e.ended) == maxEnded {
		e.ended = slices.Delete(e.ended, 0, maxEnded/2)
	}
	e.ended = append(e.ended, now)
	if first.IsZero() {
		return 0, false
	}
	return now.Sub(first), true
}

// occupied returns the requests that the engine has by now: those of its report,
// more by what was sent since and fewer by what has ended since.
func (e *engine) occupied(load *loadView) int {
	n := load.running + load.waiting
	for i := len(e.running) - 1; i >= 0 && e.running[i].at.After(load.reportedAt); i-- {
		n++
	}
	for i := len(e.ended) - 1; i >= 0 && e.ended[i].After(load.reportedAt); i-- {
		n--
	}
	// A request that was sent and has ended since the report counts in neither
	// list of the report, so the difference may fall below what runs now.
	return max(n, len(e.running))
}

// backlog returns how long the engine's prefill is still busy: the queue of its
// report, drained since, and the prompts sent since.
func (e *engine) backlog(load *loadView, now time.Time) time.Duration {
	free := load.reportedAt
	if free.IsZero() {
		free = now
	}
	free = free.Add(seconds(float64(load.queuedTokens) / load.prefillRate))
	for i := range e.running {
		d := &e.running[i]
		if !d.at.After(load.reportedAt) || !d.firstToken.IsZero() {
			continue
		}
		if d.at.After(free) {
			free = d.at
		}
		free = free.Add(seconds(float64(d.missing) / load.prefillRate))
	}
	return max(0, free.Sub(now))
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
