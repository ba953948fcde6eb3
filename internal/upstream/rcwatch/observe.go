package rcwatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/routing/rcplacement"
)

const (
	// observeAll is the largest number of engines for which an instance observes
	// all of them.
	observeAll = 64

	// observers is the number of instances of an availability zone that observe
	// each of its engines, so that the failure of one instance leaves no engine
	// unobserved. At the target size, each instance observes 500 * 2 / 34 = 29
	// engines.
	observers = 2

	// subscribeInterval is the interval at which an instance recomputes which
	// engines it observes; it also does so when their number changes. This takes
	// half a millisecond of CPU at the target size.
	subscribeInterval = 2 * time.Second

	// defaultBytesPerSecond is the default traffic limit for fleets of more than
	// observeAll engines.
	defaultBytesPerSecond = 2000

	// Estimated message sizes, including HTTP headers.
	reportBytes = 700
	batchBytes  = 300
	blockBytes  = 35 // Per hash, in JSON.
	eventBytes  = 40 // Per event, without its hashes.
)

// observedEngines returns the engines that this instance observes. Engines for
// which it has rank 0 come first.
func (w *Watcher) observedEngines(engines []radishcrank.Upstream) []radishcrank.Upstream {
	if len(engines) <= observeAll {
		return engines
	}
	peers := w.peers()
	var first, second []radishcrank.Upstream
	for _, up := range engines {
		if w.cfg.Zone != "" && up.Zone != w.cfg.Zone {
			continue
		}
		switch w.rendezvousRank(peers, up.ID) {
		case 0:
			first = append(first, up)
		case 1:
			second = append(second, up)
		}
	}
	return slices.Concat(first, second)
}

// peers returns the other instances of the availability zone that are not leaving.
func (w *Watcher) peers() []radishcrank.InstanceID {
	var peers []radishcrank.InstanceID
	for _, row := range w.cfg.Board.Instances.Values() {
		if row.ID != w.cfg.Instance && row.Zone == w.cfg.Zone && !row.Leaving {
			peers = append(peers, row.ID)
		}
	}
	return peers
}

// rendezvousRank returns the rank of this instance among its peers in the
// rendezvous hashing order for an upstream, starting at 0 and capped at observers.
func (w *Watcher) rendezvousRank(peers []radishcrank.InstanceID, id radishcrank.UpstreamID) int {
	own := rendezvousScore(w.cfg.Instance, id)
	rank := 0
	for _, peer := range peers {
		if rendezvousScore(peer, id) > own {
			rank++
		}
		if rank == observers {
			break
		}
	}
	return rank
}

func rendezvousScore(instance radishcrank.InstanceID, id radishcrank.UpstreamID) uint64 {
	return rcplacement.MixHash(rcplacement.EngineKey(radishcrank.UpstreamID(instance)) ^ rcplacement.EngineKey(id))
}

// byteBudget is a token bucket of bytes. It may become negative, since the size of
// a response is known only after it has been read. Reports and events have
// separate budgets, so that a large batch of events does not block reports.
type byteBudget struct {
	bytes      float64
	refilledAt time.Time
}

// refill adds the bytes for the time since the last call. The bucket holds one
// second's worth plus one report.
func (b *byteBudget) refill(rate float64, now time.Time) {
	if !b.refilledAt.IsZero() {
		b.bytes += rate * now.Sub(b.refilledAt).Seconds()
	}
	b.refilledAt = now
	b.bytes = min(b.bytes, rate+reportBytes)
}

// refill refills both budgets. w.mu must be held.
func (w *Watcher) refill(now time.Time) {
	w.reportBudget.refill(w.currentRate-w.eventShare, now)
	w.eventBudget.refill(w.eventShare, now)
}

// byteRate returns the traffic limit in bytes per second for a number of engines;
// 0 means unlimited.
func (w *Watcher) byteRate(engines int) float64 {
	if w.cfg.BytesPerSecond != nil {
		return float64(w.cfg.BytesPerSecond())
	}
	if engines <= observeAll {
		return 0
	}
	return defaultBytesPerSecond
}

// dueEngines returns the engines to poll now and marks them as in flight. Engines
// that have never reported come first and are not charged to the budget, because
// they get no requests before their first report. The others follow by age of
// their last report, with observed engines preferred, at most once per
// Config.Interval and as far as the budget allows.
func (w *Watcher) dueEngines(engines []radishcrank.Upstream, now time.Time) (due []*poll) {
	w.mu.Lock()
	defer w.mu.Unlock()
	rate := w.byteRate(len(engines))
	w.currentRate = rate
	if now.Sub(w.lastSubscribe) >= subscribeInterval || len(engines) != w.lastEngineCount {
		w.subscribe(w.observedEngines(engines), rate)
		w.lastSubscribe, w.lastEngineCount = now, len(engines)
	}
	w.refill(now)
	var waiting []*poll
	for _, up := range engines {
		p := w.poll(up)
		switch {
		case p.inFlight:
		case p.lastReport.IsZero():
			due = append(due, p)
		case rate == 0 || now.Sub(p.lastReport) >= w.cfg.Interval:
			waiting = append(waiting, p)
		}
	}
	slices.SortStableFunc(waiting, func(a, b *poll) int { return cmp.Compare(a.sortKey(now), b.sortKey(now)) })
	for _, p := range waiting {
		if rate > 0 && w.reportBudget.bytes < reportBytes {
			break
		}
		w.reportBudget.bytes -= reportBytes
		due = append(due, p)
	}
	for _, p := range due {
		p.inFlight = true
	}
	return due
}

// subscribe selects the engines whose cache events are read: those observed engines,
// in order, whose estimated event rates together fit into half the budget. The
// index entries of other engines are based on this instance's own dispatches and
// decay with the reported eviction rate. At the target size, an engine has 51
// events (3.8 KB) per second, so that none fits.
func (w *Watcher) subscribe(observed []radishcrank.Upstream, rate float64) {
	for _, p := range w.polls {
		p.observed, p.events = false, false
	}
	totalRate := 0.0
	for _, up := range observed {
		p := w.poll(up)
		p.observed = true
		if r := p.eventRate(); rate == 0 || totalRate+r <= rate/2 {
			p.events = true
			totalRate += r
		}
	}
	w.eventShare = min(rate/2, totalRate+rate/10) // Allow for growing event rates.
	if totalRate == 0 && !w.readsAnyEvents(observed) {
		w.eventShare = 0
	}
}

// readsAnyEvents reports whether the cache events of any engine are read.
func (w *Watcher) readsAnyEvents(observed []radishcrank.Upstream) bool {
	return slices.ContainsFunc(observed, func(up radishcrank.Upstream) bool { return w.polls[up.ID].events })
}
