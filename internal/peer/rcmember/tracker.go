// Package rcmember knows the instances of the fleet from the platform's list,
// which lags. An instance that the list has lacked for a while is dead; a list
// that lacks most instances at once is doubted. Instances themselves are asked
// only for what the list cannot tell.
package rcmember

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/peer/rcrpc"
	"github.com/radishcrank/radishcrank/internal/state/rcboard"
)

const (
	// deadAfter is how long the list must lack an instance. A list that lost an
	// entry for some seconds must not settle the instance's open calls.
	deadAfter = 15 * time.Second
	// doubtFor is how long a list that lacks most instances is not believed. A
	// fault of the platform must not make one instance claim all shares of limits.
	doubtFor = 30 * time.Second
	// minDoubt is the number of other instances below which losing most of them is
	// ordinary.
	minDoubt = 4

	checkInterval    = time.Second
	keepInterval     = time.Minute
	forgetAfter      = time.Hour       // Dead instances are forgotten; 70 an hour are replaced.
	unknownDeadAfter = 5 * time.Minute // See IsDead.
	// inquireInterval is between two questions to one instance for its incarnation.
	inquireInterval = 5 * time.Second
)

// Config holds the parts that a Tracker works with.
type Config struct {
	Self      radishcrank.Instance // With its address for peers and its incarnation.
	Board     *rcboard.Board
	Caller    rcrpc.Caller
	Handlers  *rcrpc.Handlers  // Gets the handler of this package.
	Bootstrap []netip.AddrPort // Asked for members until the list was read.
	// PruneConnections is told from time to time which addresses are still of use, so that
	// connections to replaced instances can be closed. It may be nil.
	PruneConnections func(keep func(netip.AddrPort) bool)
	Log              zerolog.Logger
}

// Tracker knows the members of the fleet as one instance sees them.
type Tracker struct {
	cfg Config

	mu       sync.Mutex
	leaving  bool
	members  map[radishcrank.InstanceID]*member
	listedAt time.Time // Last listing that was believed.
	doubted  time.Time // First of the listings in a row that lack most instances.
	asked    map[radishcrank.InstanceID]time.Time
}

// member is what is known of another instance.
type member struct {
	instance radishcrank.Instance
	missing  time.Time // First listing without it; zero while it is listed.
	dead     bool
	question bool // Whether it has been replaced is wanted.
	inquired time.Time
}

// New returns a tracker that knows only its own instance.
func New(cfg Config) *Tracker {
	t := &Tracker{
		cfg:     cfg,
		members: make(map[radishcrank.InstanceID]*member),
		asked:   make(map[radishcrank.InstanceID]time.Time),
	}
	rcrpc.Handle(cfg.Handlers, methodMembers, t.answerMembers)
	cfg.Board.Instances.Put(cfg.Self.ID, cfg.Self)
	return t
}

// Run asks other instances for what the list cannot tell until ctx ends.
func (t *Tracker) Run(ctx context.Context) error {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	var kept time.Time
	for {
		t.join(ctx)
		t.inquire(ctx)
		if t.cfg.PruneConnections != nil && time.Since(kept) >= keepInterval {
			kept = time.Now()
			addresses := t.addresses()
			t.cfg.PruneConnections(func(addr netip.AddrPort) bool { return addresses[addr] })
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// addresses returns the addresses of members that are not dead.
func (t *Tracker) addresses() map[netip.AddrPort]bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	addresses := make(map[netip.AddrPort]bool, len(t.members)+len(t.cfg.Bootstrap))
	for _, addr := range t.cfg.Bootstrap {
		addresses[addr] = true
	}
	for _, m := range t.members {
		if !m.dead {
			addresses[m.instance.Peer] = true
		}
	}
	return addresses
}

// Leave notes that this instance is about to stop.
func (t *Tracker) Leave() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.leaving = true
	t.cfg.Self.Leaving = true
	t.cfg.Board.Instances.Put(t.cfg.Self.ID, t.cfg.Self)
}

// IsDead reports whether a process is known to be dead: the list has lacked its
// instance for deadAfter, or the instance runs with a higher incarnation. An
// instance that was never heard of is dead if the list was read and has not
// named it for 5 minutes from the first question on; without a list it is not
// known to be dead.
//
// The answer is an observation: a process that stood still or was cut off can
// come back after it was held dead.
func (t *Tracker) IsDead(id radishcrank.InstanceID, incarnation radishcrank.Incarnation) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if id == t.cfg.Self.ID {
		return incarnation < t.cfg.Self.Incarnation
	}
	m := t.members[id]
	if m == nil {
		return t.isUnknownDead(id, time.Now())
	}
	known := m.instance.Incarnation
	if m.dead {
		return known >= incarnation || known == 0
	}
	// The list may lag behind a restart or tell no incarnation.
	m.question = m.question || known <= incarnation
	return known > incarnation
}

func (t *Tracker) isUnknownDead(id radishcrank.InstanceID, now time.Time) bool {
	// The bound is far above the instances that can leave records behind in an hour.
	const mostAsked = 10000
	since, ok := t.asked[id]
	if !ok {
		if len(t.asked) < mostAsked {
			t.asked[id] = now
		}
		return false
	}
	return t.listedAt.Sub(since) >= unknownDeadAfter
}

// Status is how an instance sees another one.
type Status string

// Statuses of instances.
const (
	StatusListed  Status = "Listed"
	StatusMissing Status = "Missing" // From the list, for less than 15 s.
	StatusDead    Status = "Dead"
)

// MemberInfo is what an instance knows of another one.
type MemberInfo struct {
	Instance radishcrank.Instance
	Status   Status
	Missing  time.Duration // Since the first listing without it.
}

// Members returns all other instances in no particular order.
func (t *Tracker) Members() []MemberInfo {
	t.mu.Lock()
	defer t.mu.Unlock()
	views := make([]MemberInfo, 0, len(t.members))
	for _, m := range t.members {
		v := MemberInfo{Instance: m.instance, Status: StatusListed}
		if !m.missing.IsZero() {
			v.Status, v.Missing = StatusMissing, time.Since(m.missing)
		}
		if m.dead {
			v.Status = StatusDead
		}
		views = append(views, v)
	}
	return views
}
