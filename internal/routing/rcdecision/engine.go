package rcdecision

import (
	"maps"
	"slices"
	"sort"
	"time"

	"github.com/radishcrank/radishcrank"
)

// engine is what the chooser knows of one engine: its row on the board and the
// requests that the chooser itself sent there, which correct the row's load
// report, since reports lag.
type engine struct {
	id          radishcrank.UpstreamID
	key         uint64 // Rendezvous key.
	row         radishcrank.Upstream
	present     bool    // The row is on the board.
	prefillRate float64 // Tokens a second.
	decodeRate  float64 // Tokens a second of one request.
	round       uint64  // Scan that last saw the engine.
	place       int     // Place among the engines of that scan.
	running     []dispatched
	ended       []time.Time // Ends of requests that the last report may still count.
}

// setRow takes over a row of the board and reports whether the engine may serve
// other requests than before.
func (e *engine) setRow(row radishcrank.Upstream, ok bool) (changed bool) {
	// Rates for engines that don't report any.
	const defaultPrefill, defaultDecode = 5000, 50
	changed = e.present != ok || e.row.Role != row.Role || e.row.Leaving != row.Leaving ||
		e.row.Load.Role != row.Load.Role ||
		!maps.Equal(e.row.Load.Weights, row.Load.Weights)
	e.row, e.present = row, ok
	e.prefillRate, e.decodeRate = row.Load.PrefillPerSecond, row.Load.DecodePerSecond
	if e.prefillRate <= 0 {
		e.prefillRate = defaultPrefill
	}
	if e.decodeRate <= 0 {
		e.decodeRate = defaultDecode
	}
	return changed
}

// dispatched is a request that was sent to the engine and has not ended.
type dispatched struct {
	id         radishcrank.RequestID
	at         time.Time
	firstToken time.Time // Zero until it arrived.
	missing    int       // Prompt tokens to prefill.
	chain      []radishcrank.BlockHash
}

func (e *engine) dispatch(d dispatched) { e.running = append(e.running, d) }

// pending returns how many leading blocks of a chain the requests ahead will
// have cached by the time the engine gets to a new one.
func (e *engine) pending(chain []radishcrank.BlockHash) int {
	most := 0
	for i := range e.running {
		d := &e.running[i]
		n := min(len(chain), len(d.chain))
		if !d.firstToken.IsZero() || n <= most || d.chain[most] != chain[most] {
			continue
		}
		// A hash names all blocks before it, so equal ones come first.
		most += 1 + sort.Search(n-most-1, func(i int) bool { return d.chain[most+1+i] != chain[most+1+i] })
	}
	return most
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
func (e *engine) occupied() int {
	load := &e.row.Load
	n := load.Running + load.Waiting
	for i := len(e.running) - 1; i >= 0 && e.running[i].at.After(load.ReportedAt); i-- {
		n++
	}
	for i := len(e.ended) - 1; i >= 0 && e.ended[i].After(load.ReportedAt); i-- {
		n--
	}
	// A request that was sent and has ended since the report counts in neither
	// list of the report, so the difference may fall below what runs now.
	return max(n, len(e.running))
}

// backlog returns how long the engine's prefill is still busy: the queue of its
// report, drained since, and the prompts sent since.
func (e *engine) backlog(now time.Time) time.Duration {
	load := &e.row.Load
	if load.QueuedTokens == 0 && len(e.running) == 0 {
		return 0 // Most engines of a large fleet, most of the time.
	}
	free := load.ReportedAt
	if free.IsZero() {
		free = now
	}
	free = free.Add(seconds(float64(load.QueuedTokens) / e.prefillRate))
	for i := range e.running {
		d := &e.running[i]
		if !d.at.After(load.ReportedAt) || !d.firstToken.IsZero() {
			continue
		}
		if d.at.After(free) {
			free = d.at
		}
		free = free.Add(seconds(float64(d.missing) / e.prefillRate))
	}
	return max(0, free.Sub(now))
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
