// Package rcmember finds out which instances are alive. Each instance sends
// heartbeats to random peers of its availability zone and passes on what it
// heard. An instance whose counter has not risen for a while is suspect and
// later dead; a risen counter or a higher incarnation refutes both.
package rcmember

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/peer/rcrpc"
	"github.com/radishcrank/radishcrank/internal/state/rcboard"
)

// Times of the protocol. docs/design.md states the first four.
const (
	heartbeatInterval = time.Second
	suspectAfter      = 5 * time.Second
	deadAfter         = 15 * time.Second
	relayInterval     = 5 * time.Second
	listInterval      = 10 * time.Second
	probeInterval     = 3 * time.Second  // Between direct heartbeats to one suspect.
	revisitInterval   = 5 * time.Second  // Between heartbeats to instances held dead, which heal partitions.
	pauseGap          = 2 * time.Second  // A longer gap between rounds means that this process stood still.
	newsDuration      = 30 * time.Second // How long relays repeat a verdict.
	keepInterval      = time.Minute
	forgetAfter       = time.Hour       // Dead instances are forgotten; 70 an hour are replaced.
	unknownDeadAfter  = 5 * time.Minute // See IsDead.
)

// Sizes of the protocol.
const (
	heartbeatPeers = 2
	maxRumors      = 8
	maxNews        = 4  // Of the rumors; the others are needed to keep the zone's view fresh.
	maxNewsQueued  = 64 // When all instances restart together, the platform's list tells more than news can.
	maxProbes      = 2  // Suspects probed each second.
	relaysPerZone  = 2
	// advertisePeers is ln(34) + 2, rounded up: with ln(n) + c random peers for
	// each instance, all of a zone are reached with probability exp(-exp(-c)).
	advertisePeers = 6
	// newsSends is how often one instance passes news on inside its zone. Each
	// instance of a zone then misses a verdict with a probability of about
	// exp(-newsSends). With 10 sends one of the 3,740 pairs of an observer and a
	// dead instance was missed in a tenth of the losses of a rack.
	newsSends = 15
	// smallZone is the size below which the rest of the fleet is also counted
	// when an instance decides whether it is cut off itself.
	smallZone = 4
)

// Config holds the parts that a Tracker works with.
type Config struct {
	Self      radishcrank.Instance // With its address for peers and its incarnation.
	Board     *rcboard.Board
	Caller    rcrpc.Caller
	Handlers  *rcrpc.Handlers            // Gets the handlers of this package.
	Lister    radishcrank.InstanceLister // Nil if another part calls Merge.
	Bootstrap []netip.AddrPort           // Asked for members while none is known.
	// Keep is told from time to time which addresses are still of use, so that
	// connections to replaced instances can be closed. It may be nil.
	Keep func(keep func(netip.AddrPort) bool)

	// Config returns the revision and hash of the configuration in force, and
	// how long ago that was known to be the newest one; a negative age says that
	// it never was. It must take no lock.
	Config func() (revision uint64, hash string, age time.Duration)
	// OnConfig is told what a peer says of its configuration. It must not block.
	OnConfig func(from netip.AddrPort, revision uint64, hash string, age time.Duration)
}

// Tracker knows the members of the fleet as one instance sees them.
type Tracker struct {
	cfg        Config
	beforeTick func() // Lets tests stop the process.

	mu        sync.Mutex
	counter   uint64
	leaving   bool
	members   map[radishcrank.InstanceID]*member
	tags      map[Tag]*member
	selfTag   Tag
	news      []news // Foreign verdicts to pass on inside the zone, or own ones for other zones.
	lastTick  time.Time
	lastRelay time.Time
	lastVisit time.Time
	lastKeep  time.Time
	listedAt  time.Time // Last listing.
	asked     map[radishcrank.InstanceID]time.Time
	joining   bool
	unknown   map[netip.AddrPort][]Tag // To ask for in the next round, by the peer that named them.
}

// member is what is known of another instance.
type member struct {
	instance   radishcrank.Instance
	tag        Tag
	counter    uint64
	risen      time.Time // When the counter was sent, as far as known; when the instance was added, before the first one.
	heard      bool
	direct     time.Time // Last exchange with the instance itself.
	dead       bool
	deadSince  time.Time
	listed     bool
	unlisted   bool // Was listed before and is not any more.
	introduced bool // It has our description.
	sends      int  // Rumors sent about the current counter.
	probed     time.Time
}

// news is a rumor that is passed on a fixed number of times.
type news struct {
	rumor   Rumor
	foreign bool // About another availability zone.
	sends   int
	since   time.Time
}

// New returns a tracker that knows only its own instance.
func New(cfg Config) *Tracker {
	if cfg.Config == nil {
		cfg.Config = func() (uint64, string, time.Duration) { return 0, "", -1 }
	}
	if cfg.OnConfig == nil {
		cfg.OnConfig = func(netip.AddrPort, uint64, string, time.Duration) {}
	}
	t := &Tracker{
		cfg:        cfg,
		beforeTick: func() {},
		members:    make(map[radishcrank.InstanceID]*member),
		tags:       make(map[Tag]*member),
		selfTag:    tagOf(cfg.Self.ID, cfg.Self.Incarnation),
		asked:      make(map[radishcrank.InstanceID]time.Time),
		unknown:    make(map[netip.AddrPort][]Tag),
	}
	rcrpc.Handle(cfg.Handlers, MethodHeartbeat, t.answerHeartbeat)
	rcrpc.Handle(cfg.Handlers, MethodMembers, t.answerMembers)
	cfg.Board.Instances.Put(cfg.Self.ID, cfg.Self)
	return t
}

// Run sends heartbeats and judges the others until ctx ends.
func (t *Tracker) Run(ctx context.Context) error {
	var running sync.WaitGroup
	defer running.Wait()
	if t.cfg.Lister != nil {
		running.Go(func() { t.pollList(ctx) })
	}
	// A random first delay spreads the heartbeats of instances that start together.
	timer := time.NewTimer(time.Duration(rand.Int64N(int64(heartbeatInterval))))
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-timer.C:
		}
		t.beforeTick()
		timer.Reset(heartbeatInterval)
		for _, target := range t.round(time.Now()) {
			running.Go(func() { t.exchange(ctx, target) })
		}
		for addr, tags := range t.takeUnknown() {
			running.Go(func() { t.inquire(ctx, addr, MembersRequest{Tags: tags}) })
		}
		running.Go(func() { t.join(ctx) })
		if keep := t.addresses(time.Now()); keep != nil {
			t.cfg.Keep(func(addr netip.AddrPort) bool { return keep[addr] })
		}
	}
}

// Advertise sends heartbeats at once, to spread a new configuration revision.
// Relays also send them to the other zones, which may be cut off from the table service.
func (t *Tracker) Advertise(ctx context.Context) {
	t.mu.Lock()
	targets := t.pick(advertisePeers)
	if t.isRelay() {
		targets = append(targets, t.relays()...)
	}
	t.mu.Unlock()
	var running sync.WaitGroup
	for _, target := range targets {
		running.Go(func() { t.exchange(ctx, target) })
	}
	running.Wait()
}

// Leave announces that this instance is about to stop.
func (t *Tracker) Leave(ctx context.Context) {
	t.mu.Lock()
	t.leaving = true
	t.cfg.Self.Leaving = true
	t.cfg.Board.Instances.Put(t.cfg.Self.ID, t.cfg.Self)
	t.mu.Unlock()
	t.Advertise(ctx)
}

// digest describes this instance. The caller holds the lock.
func (t *Tracker) digest() Digest {
	revision, hash, age := t.cfg.Config()
	return Digest{
		Instance: t.cfg.Self.ID, Incarnation: t.cfg.Self.Incarnation, Counter: t.counter,
		ConfigRevision: revision, ConfigHash: hash, ConfigAge: encodeAge(age), Leaving: t.leaving,
	}
}

// exchange sends one heartbeat and takes in the answer.
func (t *Tracker) exchange(ctx context.Context, to target) {
	t.mu.Lock()
	beat := t.compose(to, time.Now())
	t.mu.Unlock()
	answer, err := rcrpc.Call(ctx, t.cfg.Caller, to.addr, MethodHeartbeat, beat)
	if err != nil {
		return // Silence is what the judgement works with.
	}
	t.mu.Lock()
	if m := t.members[to.id]; m != nil && to.id == answer.Instance {
		t.renew(m, answer.Incarnation)
		t.members[to.id].introduced = !answer.Unknown
	}
	t.observe(answer.Digest, nil, time.Now())
	t.mu.Unlock()
	if answer.ConfigRevision == 0 {
		answer.ConfigRevision, answer.ConfigHash = beat.ConfigRevision, beat.ConfigHash
	}
	t.cfg.OnConfig(to.addr, answer.ConfigRevision, answer.ConfigHash, decodeAge(answer.ConfigAge))
}

// answerHeartbeat handles a heartbeat of a peer.
func (t *Tracker) answerHeartbeat(_ context.Context, from rcrpc.Identity, beat Heartbeat) (Answer, error) {
	if beat.Instance != from.Instance {
		return Answer{}, &rcrpc.RemoteError{Code: rcrpc.CodeFailed, Message: "the heartbeat is not from the connected instance"}
	}
	now := time.Now()
	t.mu.Lock()
	known := t.observe(beat.Digest, beat.Self, now)
	addr := t.addressOf(beat.Instance)
	for _, r := range beat.Rumors[:min(len(beat.Rumors), maxRumors)] {
		if !t.hear(r, now) && addr.IsValid() && len(t.unknown[addr]) < maxRumors {
			t.unknown[addr] = append(t.unknown[addr], r.Tag)
		}
	}
	answer := Answer{Digest: t.digest(), Unknown: !known}
	if answer.ConfigRevision == beat.ConfigRevision && answer.ConfigHash == beat.ConfigHash {
		answer.ConfigRevision, answer.ConfigHash = 0, ""
	}
	t.mu.Unlock()
	if addr.IsValid() {
		t.cfg.OnConfig(addr, beat.ConfigRevision, beat.ConfigHash, decodeAge(beat.ConfigAge))
	}
	return answer, nil
}

// takeUnknown returns whom to ask for which instances.
func (t *Tracker) takeUnknown() map[netip.AddrPort][]Tag {
	t.mu.Lock()
	defer t.mu.Unlock()
	taken := t.unknown
	t.unknown = make(map[netip.AddrPort][]Tag)
	return taken
}

// renew notes that a member runs with a higher incarnation at the known address.
func (t *Tracker) renew(m *member, incarnation radishcrank.Incarnation) {
	next := m.instance
	next.Incarnation = incarnation
	t.add(next, time.Now())
}

func (t *Tracker) addressOf(id radishcrank.InstanceID) netip.AddrPort {
	if m := t.members[id]; m != nil {
		return m.instance.Peer
	}
	return netip.AddrPort{}
}
