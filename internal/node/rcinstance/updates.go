package rcinstance

import (
	"context"
	"time"

	"github.com/radishcrank/radishcrank/internal/limits/rcblame"
	"github.com/radishcrank/radishcrank/internal/limits/rclimit"
	"github.com/radishcrank/radishcrank/internal/limits/rcpoison"
	"github.com/radishcrank/radishcrank/internal/limits/rcquota"
	"github.com/radishcrank/radishcrank/internal/peer/rcrpc"
	"github.com/radishcrank/radishcrank/internal/record/rcrollout"
	"github.com/radishcrank/radishcrank/internal/state/rcfeed"
	"github.com/radishcrank/radishcrank/internal/state/rcfleet"
	"github.com/radishcrank/radishcrank/internal/state/rckvstore"
	"github.com/radishcrank/radishcrank/internal/state/rcmetric"
	"github.com/radishcrank/radishcrank/internal/state/rcorigin"
	"github.com/radishcrank/radishcrank/internal/state/rcwait"
)

// peerUpdate is one message between instances.
type peerUpdate struct {
	Engines []rcrollout.EngineUpdate `json:",omitempty"`
	Cached  rcfleet.CachedReport     `json:",omitzero"` // Shared prompt parts that upstreams have cached.
	Crashes []rcpoison.Record        `json:",omitempty"`
	Blame   []rcblame.Report         `json:",omitempty"` // Prompt parts at crashes of upstreams.
	Feeds   []rcfeed.Batch           `json:",omitempty"`
	// Running is the load that the sender has on each upstream. A relay sends its zone
	// the loads of all instances, and other relays those of its zone. Nil means no
	// report.
	Running rcfleet.LoadReport    `json:",omitzero"`
	Streams []rcorigin.Record     `json:",omitempty"` // Where streams began.
	Limits  []rcquota.Observation `json:",omitempty"` // Rate limits that upstreams have announced, changed or ended.
	Leaving []leavingUpstream     `json:",omitempty"` // Upstreams that have said that they leave.
	// Misdirected are upstreams that have said that they are not what is listed.
	Misdirected []rcfleet.Misdirected `json:",omitempty"`
	// Stores tells the zone of a relay which KV stores respond.
	Stores []rckvstore.Report `json:",omitempty"`
	// Lease is the rclease.Term.Position of the order lease's holder. It is sent by the
	// holder, or by a relay that received it; 0 means no report.
	Lease uint64 `json:",omitempty"`
	// Usage is how much accounts with a rate limit have used.
	Usage []rclimit.UsageReport `json:",omitempty"`
}

// take removes what is to be sent next from a queue.
func (u *peerUpdate) take() (next peerUpdate) {
	next, *u = *u, peerUpdate{}
	next.Cached, u.Cached = splitAt(next.Cached, maxSentCachedParts)
	next.Streams, u.Streams = splitAt(next.Streams, maxSentOrigins)
	return next
}

func splitAt[S ~[]E, E any](s S, n int) (first, rest S) {
	if len(s) <= n {
		return s, nil
	}
	return s[:n:n], s[n:]
}

func (u *peerUpdate) empty() bool {
	return len(u.Engines) == 0 && len(u.Cached) == 0 && len(u.Crashes) == 0 && len(u.Feeds) == 0 && len(u.Streams) == 0 && len(u.Limits) == 0 && len(u.Blame) == 0 && len(u.Stores) == 0 && len(u.Leaving) == 0 && len(u.Misdirected) == 0 && len(u.Usage) == 0 && u.Running == nil && u.Lease == 0
}

func (p *peerGroup) handleUpdate(_ context.Context, from rcrpc.Identity, update peerUpdate) (struct{}, error) {
	for _, b := range update.Feeds {
		p.instance.directory.offer(b)
	}
	if update.Running != nil {
		p.applyLoads(from, update.Running)
	}
	p.applyUsage(from, update.Usage)
	p.queueForRelay(string(from.Zone), update)
	for _, e := range update.Engines {
		rcrollout.Apply(p.instance.fleet, e)
	}
	if len(update.Streams) > 0 {
		p.origins.registry.Add(update.Streams...)
	}
	for _, o := range update.Limits {
		p.instance.quota.Merge(o)
	}
	for _, c := range update.Cached {
		p.instance.fleet.AddCachedParts(c)
	}
	for _, l := range update.Leaving {
		p.instance.fleet.SetLeaving(l.Upstream, l.Incarnation)
	}
	for _, r := range update.Misdirected {
		p.instance.fleet.MarkMisdirected(r)
	}
	if len(update.Stores) > 0 {
		p.instance.kvWatcher.Offer(update.Stores)
	}
	for _, r := range update.Blame {
		p.instance.blame.Merge(r)
	}
	if len(update.Crashes) > 0 {
		p.instance.poisonTracker.Merge(update.Crashes)
	}
	if update.Lease > 0 {
		p.applyLeaseReport(update.Lease)
	}
	return struct{}{}, nil
}

// queueForRelay queues an update that was received from a zone, if this instance is a
// relay and has to forward it.
func (p *peerGroup) queueForRelay(zone string, update peerUpdate) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.usesRelaysLocked() || p.relayForLocked(p.instance.settings.Zone) != nil {
		return
	}
	queue := &p.fromOtherZones
	if zone == p.instance.settings.Zone {
		queue = &p.fromZone
		if len(queue.Streams) < maxQueuedOrigins {
			queue.Streams = append(queue.Streams, update.Streams...)
		}
	}
	queue.Engines = append(queue.Engines, update.Engines...)
	if len(queue.Cached) < maxQueuedCachedParts {
		queue.Cached = append(queue.Cached, update.Cached...)
	}
	queue.Limits = append(queue.Limits, update.Limits...)
	queue.Leaving = append(queue.Leaving, update.Leaving...)
	queue.Misdirected = append(queue.Misdirected, update.Misdirected...)
	queue.Blame = appendBlame(queue.Blame, update.Blame...)
	queue.Lease = max(queue.Lease, update.Lease)
}

// sendUpdates sends queued updates to the other instances until ctx is done.
func (p *peerGroup) sendUpdates(ctx context.Context, client *rcrpc.Client) {
	var crashesAt, loadsAt time.Time
	var records recordExchange
	ticker := time.NewTicker(loadReportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-p.wake:
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		if now := time.Now(); now.Sub(crashesAt) >= crashExchangeInterval {
			if crashes := records.next(p.instance.poisonTracker.Export(), now); len(crashes) > 0 {
				p.mu.Lock()
				p.queued.Crashes = crashes
				p.mu.Unlock()
			}
			crashesAt = now
		}
		p.mu.Lock()
		p.queued.Lease = p.leaseReportLocked()
		if now := time.Now(); now.Sub(loadsAt) >= loadReportInterval {
			p.queued.Running, loadsAt = p.instance.fleet.LocalLoads(), now
		}
		updates := p.addUsageLocked(p.updatesLocked(), time.Now())
		p.mu.Unlock()
		p.sendAll(ctx, client, updates)
		interval := updateInterval
		if p.usesRelays() {
			interval = relayUpdateInterval
		}
		if !rcwait.Sleep(ctx, interval) {
			return
		}
	}
}

// sendAll sends each update to its receiver. Updates with many receivers are encoded
// once.
func (p *peerGroup) sendAll(ctx context.Context, client *rcrpc.Client, updates map[*peer]*peerUpdate) {
	encoded := map[*peerUpdate][]rcrpc.Params{}
	for to, update := range updates {
		if update.empty() {
			continue
		}
		messages, ok := encoded[update]
		if !ok {
			var lost int
			messages, lost = update.encode()
			p.instance.metrics.Add(rcmetric.NewsLost, int64(lost))
			encoded[update] = messages
		}
		go p.send(ctx, client, to, update, messages)
	}
}

// encode returns the messages that hold an update: one or, if that would be too large,
// one for each of its larger parts. lost is the number of parts that are too large
// nevertheless; their receivers read the store.
func (u *peerUpdate) encode() (messages []rcrpc.Params, lost int) {
	if m, err := rcrpc.EncodeParams(u); err == nil {
		return []rcrpc.Params{m}, 0
	}
	rest := *u
	rest.Feeds, rest.Running, rest.Cached, rest.Streams, rest.Usage = nil, nil, nil, nil, nil
	parts := []peerUpdate{{Running: u.Running}, rest, {Cached: u.Cached}, {Streams: u.Streams}}
	for _, r := range u.Usage {
		parts = append(parts, peerUpdate{Usage: []rclimit.UsageReport{r}})
	}
	for _, b := range u.Feeds {
		parts = append(parts, peerUpdate{Feeds: []rcfeed.Batch{b}})
	}
	for _, part := range parts {
		if part.empty() {
			continue
		}
		m, err := rcrpc.EncodeParams(part)
		if err != nil {
			lost++
			continue
		}
		messages = append(messages, m)
	}
	return messages, lost
}

// send makes the calls that hold one update. A peer that misses an update learns the
// weights from the list of upstreams and everything else from its own requests.
func (p *peerGroup) send(ctx context.Context, client *rcrpc.Client, to *peer, update *peerUpdate, messages []rcrpc.Params) {
	var err error
	for _, m := range messages {
		if _, err = rcrpc.Call(ctx, client, to.Peer, encodedUpdateMethod, m); err != nil {
			p.instance.metrics.Add(rcmetric.NewsLost, 1)
			break
		}
	}
	p.recordSend(to, update, err)
}

// recordSend records the outcome of a message. Origins of streams that did not reach a
// relay are sent to the next one; without relays, the other instances have them.
func (p *peerGroup) recordSend(to *peer, update *peerUpdate, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	to.recordCall(err, time.Now())
	p.recordUsageLocked(to, update, err)
	if err != nil && p.usesRelaysLocked() && len(p.queued.Streams) < maxQueuedOrigins {
		p.queued.Streams = append(p.queued.Streams, update.Streams...)
	}
}
