// Package rcmember tracks the instances of the fleet. Its source is the platform's
// instance list, which may lag. An instance that has been missing from the list for
// deadAfter is considered dead. If a listing lacks most instances at once, their
// absence is ignored for implausibleListTimeout. Instances are queried only for what
// the list does not contain.
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
	// deadAfter is how long an instance must be missing from the list to be considered
	// dead. An entry that is missing for a few seconds must not cause the instance's
	// open calls to be settled.
	deadAfter = 15 * time.Second
	// implausibleListTimeout is how long the absences in listings that lack most
	// instances are ignored. A fault of the platform must not make one instance claim
	// the shares of all others in the limits.
	implausibleListTimeout = 30 * time.Second
	// minCheckedMembers is the number of other live instances from which on listings
	// are checked for plausibility. With fewer, the loss of most of them is ordinary.
	minCheckedMembers = 4

	checkInterval    = time.Second
	pruneInterval    = time.Minute
	removeAfter      = time.Hour       // Retention of dead instances; 70 per hour are replaced.
	unknownDeadAfter = 5 * time.Minute // See IsDead.
	// queryInterval is the minimum time between two queries for the incarnation of one
	// instance.
	queryInterval = 5 * time.Second
)

// Config holds the dependencies of a Tracker.
type Config struct {
	Self      radishcrank.Instance // Including its peer address and incarnation.
	Board     *rcboard.Board
	Caller    rcrpc.Caller
	Handlers  *rcrpc.Handlers  // The handler of Members is registered here.
	Bootstrap []netip.AddrPort // Queried for members until the list has been read.
	// PruneConnections is called every pruneInterval with a function that reports
	// whether an address is still in use, so that connections to replaced instances
	// can be closed. It may be nil.
	PruneConnections func(inUse func(netip.AddrPort) bool)
	Log              zerolog.Logger
}

// Tracker holds the members of the fleet as seen by one instance.
type Tracker struct {
	cfg Config

	mu               sync.Mutex
	leaving          bool
	members          map[radishcrank.InstanceID]*member
	listedAt         time.Time                            // Last listing that was not ignored.
	implausibleSince time.Time                            // First of the current run of implausible listings; zero if the last one was plausible.
	unknownSince     map[radishcrank.InstanceID]time.Time // First IsDead call for an unknown instance.
}

// member is the state of another instance.
type member struct {
	instance     radishcrank.Instance
	missingSince time.Time // First listing without the instance; zero while it is listed.
	dead         bool
	queryWanted  bool // IsDead needs to know whether the process has been replaced.
	queriedAt    time.Time
}

// New returns a Tracker that knows only its own instance.
func New(cfg Config) *Tracker {
	t := &Tracker{
		cfg:          cfg,
		members:      make(map[radishcrank.InstanceID]*member),
		unknownSince: make(map[radishcrank.InstanceID]time.Time),
	}
	rcrpc.Handle(cfg.Handlers, methodMembers, t.answerMembers)
	cfg.Board.Instances.Put(cfg.Self.ID, cfg.Self)
	return t
}

// Run queries other instances for what the list does not contain and prunes
// connections, until ctx ends.
func (t *Tracker) Run(ctx context.Context) error {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	var prunedAt time.Time
	for {
		t.queryBootstrap(ctx)
		t.queryIncarnations(ctx)
		if t.cfg.PruneConnections != nil && time.Since(prunedAt) >= pruneInterval {
			prunedAt = time.Now()
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

// addresses returns the bootstrap addresses and those of members that are not dead.
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

// Leave marks this instance as leaving.
func (t *Tracker) Leave() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.leaving = true
	t.cfg.Self.Leaving = true
	t.cfg.Board.Instances.Put(t.cfg.Self.ID, t.cfg.Self)
}

// IsDead reports whether a process is considered dead: its instance has been missing
// from the list for deadAfter, or the instance runs with a higher incarnation. An
// unknown instance is considered dead if the list has been read and has not
// contained it for 5 minutes since the first call for it. Without a list, it is not
// considered dead.
//
// The result is an observation: a process that was paused or isolated can come back
// after it was considered dead.
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
	// The list may lag behind a restart or contain no incarnation, so query the
	// instance.
	m.queryWanted = m.queryWanted || known <= incarnation
	return known > incarnation
}

// isUnknownDead implements IsDead for an instance that is not a member.
func (t *Tracker) isUnknownDead(id radishcrank.InstanceID, now time.Time) bool {
	// The bound is far above the number of instances that can leave records behind in
	// an hour.
	const maxUnknown = 10000
	since, ok := t.unknownSince[id]
	if !ok {
		if len(t.unknownSince) < maxUnknown {
			t.unknownSince[id] = now
		}
		return false
	}
	return t.listedAt.Sub(since) >= unknownDeadAfter
}

// Status is the state of another instance as seen by this one.
type Status string

const (
	StatusListed  Status = "Listed"
	StatusMissing Status = "Missing" // Missing from the list, but not yet dead.
	StatusDead    Status = "Dead"
)

// MemberInfo describes another instance for operators.
type MemberInfo struct {
	Instance radishcrank.Instance
	Status   Status
	Missing  time.Duration // Time since the first listing without the instance.
}

// Members returns all other known instances in no particular order.
func (t *Tracker) Members() []MemberInfo {
	t.mu.Lock()
	defer t.mu.Unlock()
	infos := make([]MemberInfo, 0, len(t.members))
	for _, m := range t.members {
		v := MemberInfo{Instance: m.instance, Status: StatusListed}
		if !m.missingSince.IsZero() {
			v.Status, v.Missing = StatusMissing, time.Since(m.missingSince)
		}
		if m.dead {
			v.Status = StatusDead
		}
		infos = append(infos, v)
	}
	return infos
}
