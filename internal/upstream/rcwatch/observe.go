package rcwatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/routing/rcplacement"
)

const (
	// observeAll is the number of engines up to which an instance observes all
	// of them.
	observeAll = 64

	// observers instances of an availability zone observe each of its engines
	// closely, so that one that fails leaves none unobserved. At the target size
	// these are 500 * 2 / 34 = 29 engines for each instance.
	observers = 2

	// subscribeInterval is how often an instance works out which engines it
	// observes, besides when their number changes. It costs half a millisecond
	// of CPU at the target size.
	subscribeInterval = 2 * time.Second

	// defaultBytesPerSecond is the bound for fleets of more than observeAll engines.
	defaultBytesPerSecond = 2000

	// Estimated sizes of messages, with HTTP headers.
	reportBytes = 700
	batchBytes  = 300
	blockBytes  = 35 // Of a hash in JSON.
	eventBytes  = 40 // Of an event besides its hashes.
)

// observed returns the engines of the board that this instance observes closely,
// the ones that it comes first for at the front.
func (w *Watcher) observed(engines []radishcrank.Upstream) []radishcrank.Upstream {
	if len(engines) <= observeAll {
		return engines
	}
	peers := w.peers()
	var first, second []radishcrank.Upstream
	for _, up := range engines {
		if w.cfg.Zone != "" && up.Zone != w.cfg.Zone {
			continue
		}
		switch w.rankAmong(peers, up.ID) {
		case 0:
			first = append(first, up)
		case 1:
			second = append(second, up)
		}
	}
	return slices.Concat(first, second)
}

// peers returns the other live instances of the availability zone.
func (w *Watcher) peers() []radishcrank.InstanceID {
	var peers []radishcrank.InstanceID
	for _, row := range w.cfg.Board.Instances.Values() {
		if row.ID != w.cfg.Instance && row.Zone == w.cfg.Zone && !row.Leaving {
			peers = append(peers, row.ID)
		}
	}
	return peers
}

// rankAmong returns the place of this instance in the rendezvous order of an
// upstream, or observers if it comes later.
func (w *Watcher) rankAmong(peers []radishcrank.InstanceID, id radishcrank.UpstreamID) int {
	own := score(w.cfg.Instance, id)
	rank := 0
	for _, peer := range peers {
		if score(peer, id) > own {
			rank++
		}
		if rank == observers {
			break
		}
	}
	return rank
}

func score(instance radishcrank.InstanceID, id radishcrank.UpstreamID) uint64 {
	return rcplacement.Mix(rcplacement.Key(radishcrank.UpstreamID(instance)) ^ rcplacement.Key(id))
}

// budget is a token bucket of bytes that may fall below zero, since the size of
// an answer is known only afterwards. Reports and events have one each, so that
// a long batch of events does not stop the reports.
type budget struct {
	bytes float64
	at    time.Time
}

// refill adds the bytes since the last call. A second's worth
// and one report can be saved.
func (b *budget) refill(rate float64, now time.Time) {
	if !b.at.IsZero() {
		b.bytes += rate * now.Sub(b.at).Seconds()
	}
	b.at = now
	b.bytes = min(b.bytes, rate+reportBytes)
}

// refill adds to both budgets. w.mu must be locked.
func (w *Watcher) refill(now time.Time) {
	w.reportBudget.refill(w.rateNow-w.eventShare, now)
	w.eventBudget.refill(w.eventShare, now)
}

// rate returns the bound in bytes a second for a number of engines; 0 is unlimited.
func (w *Watcher) rate(engines int) float64 {
	if w.cfg.BytesPerSecond != nil {
		return float64(w.cfg.BytesPerSecond())
	}
	if engines <= observeAll {
		return 0
	}
	return defaultBytesPerSecond
}

// due returns the engines to ask now. Engines that have never reported come first and outside the budget, because nothing
// can be sent to them before. The others follow in the order of their last
// report, observed engines as often as the interval says and the rest as often
// as the budget allows.
func (w *Watcher) due(engines []radishcrank.Upstream, now time.Time) (ask []*poll) {
	w.mu.Lock()
	defer w.mu.Unlock()
	rate := w.rate(len(engines))
	w.rateNow = rate
	if now.Sub(w.subscribed) >= subscribeInterval || len(engines) != w.engines {
		w.subscribe(w.observed(engines), rate)
		w.subscribed, w.engines = now, len(engines)
	}
	w.refill(now)
	var waiting []*poll
	for _, up := range engines {
		p := w.poll(up)
		switch {
		case p.busy:
		case p.last.IsZero():
			ask = append(ask, p)
		case rate == 0 || now.Sub(p.last) >= w.cfg.Interval:
			waiting = append(waiting, p)
		}
	}
	slices.SortStableFunc(waiting, func(a, b *poll) int { return cmp.Compare(a.urgency(now), b.urgency(now)) })
	for _, p := range waiting {
		if rate > 0 && w.reportBudget.bytes < reportBytes {
			break
		}
		w.reportBudget.bytes -= reportBytes
		ask = append(ask, p)
	}
	for _, p := range ask {
		p.busy = true
	}
	return ask
}

// subscribe decides whose events are read: those of the first observed engines
// whose estimated rates fit half the budget together. The entries of the others
// rest on own dispatches and decay with the reported eviction rate. At the
// target size an engine has 51 events a second, 3.8 KB, so that none fits.
func (w *Watcher) subscribe(observed []radishcrank.Upstream, rate float64) {
	for _, p := range w.polls {
		p.observed, p.events = false, false
	}
	sum := 0.0
	for _, up := range observed {
		p := w.poll(up)
		p.observed = true
		if r := p.eventRate(); rate == 0 || sum+r <= rate/2 {
			p.events = true
			sum += r
		}
	}
	w.eventShare = min(rate/2, sum+rate/10) // Room for the growth of a share.
	if sum == 0 && !w.reads(observed) {
		w.eventShare = 0
	}
}

// reads reports whether the events of any engine are read.
func (w *Watcher) reads(observed []radishcrank.Upstream) bool {
	return slices.ContainsFunc(observed, func(up radishcrank.Upstream) bool { return w.polls[up.ID].events })
}
