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
	"github.com/radishcrank/radishcrank/internal/limits/rcquota"
	"github.com/radishcrank/radishcrank/internal/peer/rcrpc"
	"github.com/radishcrank/radishcrank/internal/record/rclease"
	"github.com/radishcrank/radishcrank/internal/record/rcrollout"
	"github.com/radishcrank/radishcrank/internal/routing/rcdetour"
	"github.com/radishcrank/radishcrank/internal/state/rcfeed"
	"github.com/radishcrank/radishcrank/internal/state/rcfleet"
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
