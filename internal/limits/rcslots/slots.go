// Package rcslots divides the slots of upstreams among the instances, so that together they
// use no more than there are. It answers the load pattern of many instances that find the
// same upstream full at once: without division, each would need only a few slots, and all of
// them together exceed it by far.
//
// Instances agree without messages: each slot that is left after an equal division belongs to
// one of the instances that rank highest for the upstream, by rendezvous hashing. Instances
// that know different sets of instances differ in few slots.
package rcslots

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/radishcrank/radishcrank"
)

// membersMaxAge is how long the set of instances is used before it is read again.
const membersMaxAge = 100 * time.Millisecond

// Config configures a Divider.
type Config struct {
	Instance radishcrank.InstanceID
	// Others returns the other registered instances. ok is false until they are known.
	Others func() (others []radishcrank.InstanceID, ok bool)
}

// Divider knows which instances own the slots of upstreams. It is safe for concurrent use.
type Divider struct {
	cfg Config

	mu      sync.Mutex
	readAt  time.Time
	known   bool
	members []radishcrank.InstanceID // Sorted, with this instance.
	ranked  map[radishcrank.UpstreamID][]radishcrank.InstanceID
}

// New returns a Divider.
func New(cfg Config) *Divider { return &Divider{cfg: cfg} }

// Share returns the number of an upstream's slots that this instance may use. It is 0 until
// the other instances are known.
func (d *Divider) Share(up radishcrank.UpstreamID, slots int) (share int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	ranked := d.rankedLocked(up)
	if len(ranked) == 0 {
		return 0
	}
	share = slots / len(ranked)
	if slices.Contains(ranked[:slots%len(ranked)], d.cfg.Instance) {
		share++
	}
	return share
}

// Owners returns the other instances that may use slots of an upstream.
func (d *Divider) Owners(up radishcrank.UpstreamID, slots int) (owners []radishcrank.InstanceID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	ranked := d.rankedLocked(up)
	if slots < len(ranked) {
		ranked = ranked[:slots]
	}
	return slices.DeleteFunc(slices.Clone(ranked), func(i radishcrank.InstanceID) bool { return i == d.cfg.Instance })
}

// Senders returns the number of instances that may use slots of an upstream.
func (d *Divider) Senders(slots int) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.readMembersLocked()
	return max(1, min(slots, len(d.members)))
}

// rankedLocked returns all instances, those first that own the slots left after an equal
// division of an upstream's slots.
func (d *Divider) rankedLocked(up radishcrank.UpstreamID) []radishcrank.InstanceID {
	d.readMembersLocked()
	if !d.known {
		return nil
	}
	ranked, ok := d.ranked[up]
	if !ok {
		weights := make(map[radishcrank.InstanceID]uint64, len(d.members))
		for _, i := range d.members {
			weights[i] = xxhash.Sum64String(string(up) + "/" + string(i))
		}
		ranked = slices.Clone(d.members)
		slices.SortFunc(ranked, func(a, b radishcrank.InstanceID) int {
			return cmp.Or(cmp.Compare(weights[b], weights[a]), cmp.Compare(a, b))
		})
		d.ranked[up] = ranked
	}
	return ranked
}

func (d *Divider) readMembersLocked() {
	now := time.Now()
	if !d.readAt.IsZero() && now.Sub(d.readAt) < membersMaxAge {
		return
	}
	d.readAt = now
	members, ok := d.cfg.Others()
	members = append(slices.Clone(members), d.cfg.Instance)
	slices.Sort(members)
	if d.known = ok; slices.Equal(members, d.members) {
		return
	}
	d.members, d.ranked = members, map[radishcrank.UpstreamID][]radishcrank.InstanceID{}
}
