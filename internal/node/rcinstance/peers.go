package rcinstance

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/limits/rcpoison"
	"github.com/radishcrank/radishcrank/internal/peer/rcrpc"
	"github.com/radishcrank/radishcrank/internal/record/rclease"
	"github.com/radishcrank/radishcrank/internal/record/rcrollout"
	"github.com/radishcrank/radishcrank/internal/state/rcfeed"
	"github.com/radishcrank/radishcrank/internal/state/rcfleet"
	"github.com/radishcrank/radishcrank/internal/state/rcmetric"
	"github.com/radishcrank/radishcrank/internal/state/rcwait"
	"github.com/radishcrank/radishcrank/platform"
)

const (
	// newsTimeout bounds one message; a peer that takes longer is cut off.
	newsTimeout = 500 * time.Millisecond
	// newsPace collects what happens within it into one message.
	newsPace = 15 * time.Millisecond
	// leaseNewsPace is how often the holder of the orders' lease tells that it
	// holds it; leaseNewsLife is how long that is believed.
	leaseNewsPace = 700 * time.Millisecond
	leaseNewsLife = 1600 * time.Millisecond
	// leastPeers is the number of instances that the allowances are divided by
	// before the others are known.
	leastPeers = 6
	// maxQueuedHolds bounds what waits for the next message.
	maxQueuedHolds = 2000
	// loadsPace is how often instances tell what they have under way.
	loadsPace = 100 * time.Millisecond
	// startSpread is how far the starts of a fleet lie apart, with some room. An
	// instance that reads the others' rows so long after it wrote its own sees a
	// fleet that starts at once with one call.
	startSpread = 700 * time.Millisecond
	// registerPatience is how long an instance waits for its own row to be written
	// before it reads the others'.
	registerPatience = 3 * time.Second
	// crashPace is how often records of crashes are exchanged.
	crashPace = 500 * time.Millisecond
)

var methodNews = rcrpc.Method[news, struct{}]{Name: "News", Timeout: newsTimeout}

// news is one message between instances.
type news struct {
	Engines []rcrollout.EngineUpdate
	Holds   []hold
	Crashes []rcpoison.Record
	Feeds   []rcfeed.Batch
	// Loads is what the sender has under way by upstream; from a relay to its zone
	// what all instances have, from one relay to another what its zone has. Nil is no news.
	Loads map[radishcrank.UpstreamID]rcfleet.Load
	// Lease is the version of the row of the lease of orders that its holder wrote
	// last, told by the holder or by a relay that heard it; 0 is no news.
	Lease uint64
}

func (n *news) empty() bool {
	return len(n.Engines) == 0 && len(n.Holds) == 0 && len(n.Crashes) == 0 && len(n.Feeds) == 0 && n.Loads == nil && n.Lease == 0
}

// peer is another instance.
type peer struct {
	member
	failedAt     time.Time // Of the last call that failed; zero after one that succeeded.
	failingSince time.Time // Of the first call that failed since then.
	failures     int
	reachedAt    time.Time // Of the last call that succeeded.
}

// hold tells that an upstream reads shared parts under a salt.
type hold struct {
	Upstream radishcrank.UpstreamID
	Salt     string
	Parts    []radishcrank.PromptPart
}

// peers knows the other instances and tells them news.
type peers struct {
	i        *Instance
	handlers *rcrpc.Handlers
	wake     chan struct{}

	mu        sync.Mutex
	members   map[string]*peer
	known     bool // The others' rows have been read.
	next      news
	loads     map[radishcrank.InstanceID]toldLoads
	fromZone  news // What a relay has heard from its zone and tells all others.
	fromOther news // What it has heard from other relays and tells its zone.
	self      *peer
	term      *rclease.Term        // Of this instance while it holds the lease.
	toldLease uint64               // What it told of the lease last.
	toldAt    time.Time            // When it told that.
	lease     rclease.HolderReport // Of another instance that holds it.
	leaseSeen time.Time            // When that was last told.
}

func newPeers(i *Instance) *peers {
	p := &peers{i: i, handlers: rcrpc.NewHandlers(), members: map[string]*peer{}, loads: map[radishcrank.InstanceID]toldLoads{}, wake: make(chan struct{}, 1)}
	p.self = &peer{member: member{
		Name: i.settings.Instance, Zone: i.settings.Zone, Peer: i.settings.PeerAddr, Born: i.born.UnixMilli(), CPU: i.settings.CPU,
	}}
	rcrpc.Handle(p.handlers, methodNews, p.take)
	return p
}

// count returns the number of instances, this one included.
func (p *peers) count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(leastPeers, len(p.members)+1)
}

func (p *peers) announce(n rcrollout.EngineUpdate) {
	p.mu.Lock()
	p.next.Engines = append(p.next.Engines, n)
	p.mu.Unlock()
	p.hurry()
}

// hold records a dispatch and, where it is news, tells the others.
func (p *peers) hold(id radishcrank.UpstreamID, salt string, parts []radishcrank.PromptPart) {
	if !p.i.fleet.RecordCachedParts(id, salt, parts) {
		return
	}
	p.mu.Lock()
	if len(p.next.Holds) < maxQueuedHolds {
		p.next.Holds = append(p.next.Holds, hold{id, salt, parts})
	}
	p.mu.Unlock()
	p.hurry()
}

func (p *peers) hurry() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// leaseHeard returns what was heard of the holder of the lease of orders, and
// whether another instance held it a moment ago.
func (p *peers) leaseHeard() (heard rclease.HolderReport, lately bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.known || p.relayedLocked() && p.relayOfLocked(p.i.settings.Zone) != nil {
		return p.lease, true // Only relays compete, and who they are is not known at first.
	}
	return p.lease, time.Since(p.leaseSeen) < leaseNewsLife
}

// lead tells that this instance holds the lease until the returned function is called.
func (p *peers) lead(term *rclease.Term) (end func()) {
	p.setTerm(term)
	return func() { p.setTerm(nil) }
}

func (p *peers) setTerm(term *rclease.Term) {
	p.mu.Lock()
	p.term = term
	p.mu.Unlock()
	p.hurry()
}

// leaseNewsLocked returns what is to be told of the lease now; 0 is nothing. A
// renewal is told at once: an instance that has not heard of the last one counts
// from its own first read of the row, seconds after the holder's end.
func (p *peers) leaseNewsLocked() (version uint64) {
	if p.term == nil {
		return 0
	}
	version = p.term.Version()
	if version == p.toldLease && time.Since(p.toldAt) < leaseNewsPace {
		return 0
	}
	p.toldLease, p.toldAt = version, time.Now()
	return version
}

// hearLease takes in that an instance holds the lease.
func (p *peers) hearLease(version uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.leaseSeen = time.Now()
	if version > p.lease.Version {
		p.lease = rclease.HolderReport{Version: version, ReceivedAt: p.leaseSeen}
	}
}

// publish tells the zone what the store said.
func (p *peers) publish(b rcfeed.Batch) {
	p.mu.Lock()
	p.next.Feeds = append(p.next.Feeds, b)
	p.mu.Unlock()
	p.hurry()
}

func (p *peers) take(_ context.Context, from rcrpc.Identity, n news) (struct{}, error) {
	for _, b := range n.Feeds {
		p.i.directory.offer(b)
	}
	if n.Loads != nil {
		p.takeLoads(from, n.Loads)
	}
	p.passOn(string(from.Zone), n)
	for _, e := range n.Engines {
		rcrollout.Apply(p.i.fleet, e)
	}
	for _, h := range n.Holds {
		p.i.fleet.RecordCachedParts(h.Upstream, h.Salt, h.Parts)
	}
	if len(n.Crashes) > 0 {
		p.i.guard.Merge(n.Crashes)
	}
	if n.Lease > 0 {
		p.hearLease(n.Lease)
	}
	return struct{}{}, nil
}

// passOn keeps what a relay has heard from a zone and has to tell.
func (p *peers) passOn(zone string, n news) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.relayedLocked() || p.relayOfLocked(p.i.settings.Zone) != nil {
		return
	}
	heard := &p.fromOther
	if zone == p.i.settings.Zone {
		heard = &p.fromZone
	}
	heard.Engines = append(heard.Engines, n.Engines...)
	if len(heard.Holds) < maxQueuedHolds {
		heard.Holds = append(heard.Holds, n.Holds...)
	}
	heard.Lease = max(heard.Lease, n.Lease)
}

// run exchanges news until ctx ends.
func (p *peers) run(ctx context.Context) (err error) {
	i := p.i
	table := &platform.Table{Store: i.store, Name: membersTable}
	roster := newMembers(members{
		table:  table,
		source: table,
		self:   p.self.member,
		put: func(m member) {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.members[m.Name] = &peer{member: m}
		},
		drop: func(name string) {
			p.mu.Lock()
			defer p.mu.Unlock()
			delete(p.members, name)
		},
		read: func() {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.known = true
		},
		log: i.log,
	})
	listener, err := net.Listen("tcp", i.settings.PeerAddr.String())
	if err != nil {
		return err
	}
	key, err := roster.sharedSecret(ctx)
	if err != nil {
		listener.Close()
		return err
	}
	cfg := rcrpc.Config{
		Identity: rcrpc.Identity{Instance: radishcrank.InstanceID(i.settings.Instance), Zone: radishcrank.AvailabilityZone(i.settings.Zone)},
		Keys:     rcrpc.Keys{Current: key},
		Handlers: p.handlers,
	}
	client := rcrpc.NewClient(cfg)
	defer client.Close()
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { _ = rcrpc.NewServer(listener, cfg).Run(ctx) }) // Ends with ctx only.
	wg.Go(func() { p.tell(ctx, client) })
	registered := make(chan struct{})
	wg.Go(func() {
		select {
		case <-registered:
			rcwait.For(ctx, startSpread)
		case <-time.After(registerPatience):
		case <-ctx.Done():
		}
		_ = roster.follow(ctx) // Ends with ctx only.
	})
	if err := roster.register(ctx); err != nil {
		return err
	}
	close(registered)
	select {
	case <-roster.removed: // The table was read before the row was written.
	default:
	}
	wg.Go(func() { p.removeGone(ctx, roster) })
	for {
		select {
		case <-roster.removed:
			if err := roster.register(ctx); err != nil {
				return err
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// tell sends what has happened to the other instances.
func (p *peers) tell(ctx context.Context, client *rcrpc.Client) {
	var crashesAt, loadsAt time.Time
	ticker := time.NewTicker(loadsPace)
	defer ticker.Stop()
	for {
		select {
		case <-p.wake:
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		if now := time.Now(); now.Sub(crashesAt) >= crashPace {
			if crashes := p.i.guard.Export(); len(crashes) > 0 {
				p.mu.Lock()
				p.next.Crashes = crashes
				p.mu.Unlock()
			}
			crashesAt = now
		}
		p.mu.Lock()
		p.next.Lease = p.leaseNewsLocked()
		if now := time.Now(); now.Sub(loadsAt) >= loadsPace {
			p.next.Loads, loadsAt = p.i.fleet.LocalLoads(), now
		}
		round := p.roundLocked()
		p.mu.Unlock()
		for to, n := range round {
			if !n.empty() {
				go p.send(ctx, client, to, n)
			}
		}
		pace := newsPace
		if p.relayed() {
			pace = relayPace
		}
		if !rcwait.For(ctx, pace) {
			return
		}
	}
}

// send makes one call. A peer that misses news learns the weights from the
// upstreams' list and the rest from its own requests.
func (p *peers) send(ctx context.Context, client *rcrpc.Client, to *peer, n *news) {
	_, err := rcrpc.Call(ctx, client, to.Peer, methodNews, *n)
	p.mu.Lock()
	defer p.mu.Unlock()
	to.reached(err, time.Now())
	if err != nil {
		p.i.metrics.Add(rcmetric.NewsLost, 1)
	}
}
