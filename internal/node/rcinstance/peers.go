package rcinstance

import (
	"bytes"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/limits/rcblame"
	"github.com/radishcrank/radishcrank/internal/limits/rclimit"
	"github.com/radishcrank/radishcrank/internal/limits/rcpoison"
	"github.com/radishcrank/radishcrank/internal/limits/rcquota"
	"github.com/radishcrank/radishcrank/internal/peer/rcrpc"
	"github.com/radishcrank/radishcrank/internal/record/rclease"
	"github.com/radishcrank/radishcrank/internal/record/rcrollout"
	"github.com/radishcrank/radishcrank/internal/routing/rcdetour"
	"github.com/radishcrank/radishcrank/internal/state/rcfeed"
	"github.com/radishcrank/radishcrank/internal/state/rcfleet"
	"github.com/radishcrank/radishcrank/internal/state/rckvstore"
	"github.com/radishcrank/radishcrank/internal/state/rcmetric"
	"github.com/radishcrank/radishcrank/internal/state/rcorigin"
	"github.com/radishcrank/radishcrank/internal/state/rcwait"
	"github.com/radishcrank/radishcrank/platform"
)

const (
	// updateTimeout bounds one call. A peer that takes longer counts as not reached.
	updateTimeout = 500 * time.Millisecond
	// updateInterval is the minimum time between two messages to a peer; what happens
	// in between is sent in one message.
	updateInterval = 15 * time.Millisecond
	// leaseReportInterval is how often the holder of the order lease reports that it
	// holds it. Such a report is valid for leaseReportMaxAge.
	leaseReportInterval = 700 * time.Millisecond
	leaseReportMaxAge   = 1600 * time.Millisecond
	// minInstanceCount is the minimum number of instances by which allowances are
	// divided, used until the other instances are known.
	minInstanceCount = 6
	// maxQueuedCachedParts bounds the entries that wait for the next messages, of which
	// each holds maxSentCachedParts from each queue.
	maxQueuedCachedParts = 2000
	maxSentCachedParts   = 200
	// maxQueuedSuspects bounds the suspects in reports of crashes that wait for the next
	// message, at 65 bytes each. Reports of what was cleared or convicted are always sent.
	maxQueuedSuspects = 300
	// loadReportInterval is how often instances report their loads.
	loadReportInterval = 100 * time.Millisecond
	// fleetStartWindow is the time within which the instances of a fleet that starts at
	// once have all started, with some margin. An instance that reads the others' rows
	// this long after it wrote its own sees all of them with one read.
	fleetStartWindow = 700 * time.Millisecond
	// registerTimeout is how long an instance waits for its own row to be written
	// before it reads the others' rows anyway.
	registerTimeout = 3 * time.Second
	// crashExchangeInterval is how often crash records are exchanged.
	crashExchangeInterval = 500 * time.Millisecond
)

var (
	updateMethod        = rcrpc.Method[peerUpdate, struct{}]{Name: "News", Timeout: updateTimeout}
	encodedUpdateMethod = rcrpc.Method[rcrpc.Params, struct{}]{Name: updateMethod.Name, Timeout: updateTimeout}
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

// peer is another instance.
type peer struct {
	member
	failedAt     time.Time // Time of the last failed call; zero after a successful one.
	failingSince time.Time // Time of the first failed call since the last successful one.
	failures     int
	reachedAt    time.Time // Time of the last successful call.
	// fetchedOrigins reports whether this instance has got the records of streams that the
	// other one may not have sent it, and fetchOriginsAt is when it may ask again.
	fetchedOrigins bool
	fetchInReturn  bool // It has asked this one.
	fetchOriginsAt time.Time
	usage          usageLink
}

// leavingUpstream is an upstream that has said itself that it leaves.
type leavingUpstream struct {
	Upstream    radishcrank.UpstreamID
	Incarnation radishcrank.Incarnation
}

// peerGroup knows the other instances and exchanges updates with them.
type peerGroup struct {
	instance *Instance
	handlers *rcrpc.Handlers
	wake     chan struct{}
	client   atomic.Pointer[rcrpc.Client] // Nil until this instance can authenticate itself.
	origins  *streamOrigins

	mu               sync.Mutex
	members          map[string]*peer
	membersRead      bool // The others' rows have been read.
	queued           peerUpdate
	loads            map[radishcrank.InstanceID]loadReport
	fromZone         peerUpdate // Received by a relay from its zone, to be sent to all others.
	fromOtherZones   peerUpdate // Received by a relay from other relays, to be sent to its zone.
	self             *peer
	term             *rclease.Term // Term of this instance while it holds the lease.
	reporter         loadReporter  // For all others or, in large fleets, the relay.
	zoneReporter     loadReporter  // For the zone of this relay.
	relayReporter    loadReporter  // For the other relays.
	storesSentAt     time.Time
	sentLease        uint64               // Position in the last lease report sent.
	leaseSentAt      time.Time            // Time of that report.
	holderReport     rclease.HolderReport // Last report of another holder of the lease.
	holderReportedAt time.Time            // Time of the last report, even if its position is unchanged.
}

func newPeerGroup(i *Instance) *peerGroup {
	p := &peerGroup{instance: i, handlers: rcrpc.NewHandlers(), members: map[string]*peer{}, loads: map[radishcrank.InstanceID]loadReport{}, wake: make(chan struct{}, 1)}
	p.self = &peer{member: member{
		Name: i.settings.Instance, Zone: i.settings.Zone, Peer: i.settings.PeerAddr, Callers: i.settings.ClientAddr, Born: i.startedAt.UnixMilli(), CPU: i.settings.CPU,
	}}
	p.origins = &streamOrigins{registry: rcorigin.New(), fleet: i.fleet, peers: p}
	rcrpc.Handle(p.handlers, updateMethod, p.handleUpdate)
	rcrpc.Handle(p.handlers, originMethod, p.origins.handleQuery)
	rcrpc.Handle(p.handlers, originsPageMethod, p.origins.handlePage)
	return p
}

// instanceCount returns the number of instances including this one, but at least
// minInstanceCount.
func (p *peerGroup) instanceCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(minInstanceCount, len(p.members)+1)
}

// fleetSize returns the number of registered instances including this one.
func (p *peerGroup) fleetSize() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.members) + 1
}

// ranksFirst reports whether this instance ranks first for a key, by rendezvous hashing.
func (p *peerGroup) ranksFirst(key string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	rank := func(instance string) uint64 { return xxhash.Sum64String(key + "/" + instance) }
	own := rank(p.instance.settings.Instance)
	for name := range p.members {
		if rank(name) > own {
			return false
		}
	}
	return true
}

// others returns the registered instances besides this one. ok is false until their
// rows have been read.
func (p *peerGroup) others() (names []radishcrank.InstanceID, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name := range p.members {
		names = append(names, radishcrank.InstanceID(name))
	}
	return names, p.membersRead
}

// detours returns the instances through which exchanges may go.
func (p *peerGroup) detours() (found []rcdetour.Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range p.members {
		if m.Callers.IsValid() {
			found = append(found, rcdetour.Instance{
				ID: radishcrank.InstanceID(m.Name), Zone: radishcrank.AvailabilityZone(m.Zone), Addr: m.Callers, Failing: !m.failedAt.IsZero(),
			})
		}
	}
	return found
}

func (p *peerGroup) announceLimit(o rcquota.Observation) {
	p.mu.Lock()
	p.queued.Limits = append(p.queued.Limits, o)
	p.mu.Unlock()
	p.wakeSender()
}

func (p *peerGroup) announceLeaving(l leavingUpstream) {
	p.mu.Lock()
	p.queued.Leaving = append(p.queued.Leaving, l)
	p.mu.Unlock()
	p.wakeSender()
}

func (p *peerGroup) announceMisdirected(r rcfleet.Misdirected) {
	p.mu.Lock()
	p.queued.Misdirected = append(p.queued.Misdirected, r)
	p.mu.Unlock()
	p.wakeSender()
}

// announceBlame tells the others of prompt parts at a crash.
func (p *peerGroup) announceBlame(r rcblame.Report) {
	p.mu.Lock()
	p.queued.Blame = appendBlame(p.queued.Blame, r)
	p.mu.Unlock()
	p.wakeSender()
}

func appendBlame(queue []rcblame.Report, reports ...rcblame.Report) []rcblame.Report {
	parts := func(r rcblame.Report) int { return len(r.Suspects) + len(r.Begun) }
	queued := 0
	for _, r := range queue {
		queued += parts(r)
	}
	for _, r := range reports {
		if queued += parts(r); parts(r) == 0 || queued <= maxQueuedSuspects {
			queue = append(queue, r)
		}
	}
	return queue
}

func (p *peerGroup) announceEngine(update rcrollout.EngineUpdate) {
	p.mu.Lock()
	p.queued.Engines = append(p.queued.Engines, update)
	p.mu.Unlock()
	p.wakeSender()
}

// recordCached records what a dispatch adds to an upstream's cache and reports it to
// the others if it is new.
func (p *peerGroup) recordCached(id radishcrank.UpstreamID, salt string, parts []radishcrank.PromptPart) {
	report := rcfleet.NewCachedParts(id, salt, parts)
	if !p.instance.fleet.AddCachedParts(report) {
		return
	}
	p.mu.Lock()
	if len(p.queued.Cached) < maxQueuedCachedParts {
		p.queued.Cached = append(p.queued.Cached, report)
	}
	p.mu.Unlock()
	p.wakeSender()
}

func (p *peerGroup) wakeSender() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// leaseHolderReport returns the last report of the order lease's holder, and whether
// this instance should rely on it rather than compete for the lease.
func (p *peerGroup) leaseHolderReport() (report rclease.HolderReport, fresh bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.membersRead || p.usesRelaysLocked() && p.relayForLocked(p.instance.settings.Zone) != nil {
		return p.holderReport, true // Only relays compete; until membersRead, the relays are unknown.
	}
	return p.holderReport, time.Since(p.holderReportedAt) < leaseReportMaxAge
}

// startTerm reports that this instance holds the lease, until the returned function is
// called.
func (p *peerGroup) startTerm(term *rclease.Term) (end func()) {
	p.setTerm(term)
	return func() { p.setTerm(nil) }
}

func (p *peerGroup) setTerm(term *rclease.Term) {
	p.mu.Lock()
	p.term = term
	p.mu.Unlock()
	p.wakeSender()
}

// leaseReportLocked returns the position that is to be reported now, or 0 for none.
// A renewal is reported immediately: an instance that missed the report of the last
// renewal would measure the takeover delay from its own first read of the row, seconds
// after the holder's end.
func (p *peerGroup) leaseReportLocked() (position uint64) {
	if p.term == nil {
		return 0
	}
	position = p.term.Position()
	if position == p.sentLease && time.Since(p.leaseSentAt) < leaseReportInterval {
		return 0
	}
	p.sentLease, p.leaseSentAt = position, time.Now()
	return position
}

// applyLeaseReport records that another instance holds the lease.
func (p *peerGroup) applyLeaseReport(position uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.holderReportedAt = time.Now()
	if position > p.holderReport.Position {
		p.holderReport = rclease.HolderReport{Position: position, ReceivedAt: p.holderReportedAt}
	}
}

// publishBatch queues a batch that was read from the store for the other instances of
// the zone.
func (p *peerGroup) publishBatch(b rcfeed.Batch) {
	p.mu.Lock()
	p.queued.Feeds = append(p.queued.Feeds, b)
	p.mu.Unlock()
	p.wakeSender()
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

// run exchanges updates until ctx is done.
func (p *peerGroup) run(ctx context.Context) (err error) {
	i := p.instance
	table := &platform.Table{Store: i.store, Name: membersTable}
	registry := newMemberRegistry(&memberRegistry{
		table:  table,
		source: table,
		self:   p.self.member,
		onPut: func(m member) {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.members[m.Name] = &peer{member: m}
		},
		onRemove: func(name string) {
			p.mu.Lock()
			defer p.mu.Unlock()
			delete(p.members, name)
		},
		onStart: func(instances int) {
			if i.accountLimiter != nil {
				i.accountLimiter.AssumeInstances(instances)
			}
		},
		onReset: func() {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.membersRead = true
		},
		onFollow: i.directory.members.Store,
		relays:   relayRole{isRelay: p.isRelay, relies: p.reliesOnStoreReader, publish: p.publishBatch},
		eras:     &i.storeEras,
		log:      i.log,
	})
	listener, err := net.Listen("tcp", i.settings.PeerAddr.String())
	if err != nil {
		return err
	}
	key, err := registry.sharedSecret(ctx, nil)
	if err != nil {
		listener.Close()
		return err
	}
	var keys atomic.Pointer[rcrpc.Keys]
	keys.Store(&rcrpc.Keys{Current: key})
	cfg := rcrpc.Config{
		Identity: rcrpc.Identity{Instance: radishcrank.InstanceID(i.settings.Instance), Zone: radishcrank.AvailabilityZone(i.settings.Zone)},
		Keys:     func() rcrpc.Keys { return *keys.Load() },
		Handlers: p.handlers,
	}
	client := rcrpc.NewClient(cfg)
	defer client.Close()
	p.client.Store(client)
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { _ = rcrpc.NewServer(listener, cfg).Run(ctx) }) // Returns only when ctx is done.
	wg.Go(func() { p.sendUpdates(ctx, client) })
	wg.Go(func() { p.origins.fetchMissed(ctx, client) })
	registered := make(chan struct{})
	wg.Go(func() {
		select {
		case <-registered:
			rcwait.Sleep(ctx, fleetStartWindow)
		case <-time.After(registerTimeout):
		case <-ctx.Done():
		}
		_ = registry.follow(ctx) // Returns only when ctx is done.
	})
	if err := registry.register(ctx); err != nil {
		return err
	}
	close(registered)
	select {
	case <-registry.ownRowRemoved: // The table was read before the row was written.
	default:
	}
	wg.Go(func() { p.removeDeadMembers(ctx, registry) })
	for {
		select {
		case <-registry.ownRowRemoved:
			if err := registry.register(ctx); err != nil {
				return err
			}
		case <-registry.keyInDoubt:
			known := keys.Load().Current
			stored, err := registry.sharedSecret(ctx, known)
			if err != nil {
				return err
			}
			if !bytes.Equal(stored, known) {
				// An instance that started meanwhile did not find the key and made another.
				keys.Store(&rcrpc.Keys{Current: stored, Old: known})
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
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
