package rcdecision

import (
	"maps"
	"slices"
	"sort"
	"time"

	"github.com/radishcrank/radishcrank"
)

// engine is the chooser's state of one engine: its row on the board and the
// requests that this chooser has sent there. The requests correct the load report
// in the row, which lags behind.
type engine struct {
	id          radishcrank.UpstreamID
	key         uint64 // Rendezvous key.
	row         radishcrank.Upstream
	present     bool    // The engine has a row on the board.
	prefillRate float64 // Tokens per second.
	decodeRate  float64 // Tokens per second of one request.
	lastScan    uint64  // Last scan that included the engine.
	viewIndex   int     // Index in decision.views in that scan.
	running     []dispatched
	endedAt     []time.Time // End times of requests that the last load report may still include.
}

// setRow updates the engine from its row on the board. It reports whether the set
// of requests that the engine can serve may have changed.
func (e *engine) setRow(row radishcrank.Upstream, ok bool) (changed bool) {
	// Assumed rates of engines that do not report any.
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
	id            radishcrank.RequestID
	sentAt        time.Time
	firstToken    time.Time // Zero before it arrives.
	missingTokens int       // Prompt tokens to prefill.
	chain         []radishcrank.BlockHash
}

func (e *engine) dispatch(d dispatched) { e.running = append(e.running, d) }

// pendingPrefix returns how many leading blocks of a chain will be cached by the
// requests ahead when the engine starts a new request.
func (e *engine) pendingPrefix(chain []radishcrank.BlockHash) int {
	longest := 0
	for i := range e.running {
		d := &e.running[i]
		n := min(len(chain), len(d.chain))
		if !d.firstToken.IsZero() || n <= longest || d.chain[longest] != chain[longest] {
			continue
		}
		// The hash of a block covers all blocks before it, so the equal hashes of two
		// chains are a prefix of both.
		longest += 1 + sort.Search(n-longest-1, func(i int) bool { return d.chain[longest+1+i] != chain[longest+1+i] })
	}
	return longest
}

func (e *engine) findRunning(id radishcrank.RequestID) int {
	return slices.IndexFunc(e.running, func(d dispatched) bool { return d.id == id })
}

func (e *engine) recordFirstToken(id radishcrank.RequestID, now time.Time) {
	if i := e.findRunning(id); i >= 0 && e.running[i].firstToken.IsZero() {
		e.running[i].firstToken = now
	}
}

// finish removes a request and returns the time since its first token, or false if
// there was none.
func (e *engine) finish(id radishcrank.RequestID, now time.Time) (decoding time.Duration, ok bool) {
	i := e.findRunning(id)
	if i < 0 {
		return 0, false
	}
	first := e.running[i].firstToken
	e.running = slices.Delete(e.running, i, i+1)
	const maxEnded = 256 // More requests than end between two load reports.
	if len(e.endedAt) == maxEnded {
		e.endedAt = slices.Delete(e.endedAt, 0, maxEnded/2)
	}
	e.endedAt = append(e.endedAt, now)
	if first.IsZero() {
		return 0, false
	}
	return now.Sub(first), true
}

// outstanding estimates the number of requests on the engine: those in its load
// report, plus those sent and minus those ended since.
func (e *engine) outstanding() int {
	load := &e.row.Load
	n := load.Running + load.Waiting
	for i := len(e.running) - 1; i >= 0 && e.running[i].sentAt.After(load.ReportedAt); i-- {
		n++
	}
	for i := len(e.endedAt) - 1; i >= 0 && e.endedAt[i].After(load.ReportedAt); i-- {
		n--
	}
	// A request that was both sent and ended since the report is subtracted without
	// being in the report or in running, so n may be below the number of running
	// requests.
	return max(n, len(e.running))
}

// backlog estimates how long the engine's prefill queue takes from now: the queue
// in its load report, minus the time since the report, plus the prompts sent since.
func (e *engine) backlog(now time.Time) time.Duration {
	load := &e.row.Load
	if load.QueuedTokens == 0 && len(e.running) == 0 {
		return 0 // Fast path for idle engines, which are most of a large fleet.
	}
	freeAt := load.ReportedAt
	if freeAt.IsZero() {
		freeAt = now
	}
	freeAt = freeAt.Add(seconds(float64(load.QueuedTokens) / e.prefillRate))
	for i := range e.running {
		d := &e.running[i]
		if !d.sentAt.After(load.ReportedAt) || !d.firstToken.IsZero() {
			continue
		}
		if d.sentAt.After(freeAt) {
			freeAt = d.sentAt
		}
		freeAt = freeAt.Add(seconds(float64(d.missingTokens) / e.prefillRate))
	}
	return max(0, freeAt.Sub(now))
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
