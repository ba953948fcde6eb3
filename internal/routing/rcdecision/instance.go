package rcdecision

import (
	"sync/atomic"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/state/rcboard"
)

// instances counts the router instances that send requests to the same engines:
// those of the availability zones whose engines are on the board.
type instances struct {
	version uint64 // Of the Instances table.
	live    map[radishcrank.InstanceID]radishcrank.AvailabilityZone
	shared  atomic.Int64
}

// refresh takes over the changes of the board and reports whether there are any.
func (n *instances) refresh(board *rcboard.Board) bool {
	before := n.version
	n.version = board.Instances.ChangesSince(before, func() { clear(n.live) }, n.setRow)
	return n.version != before
}

func (n *instances) setRow(id radishcrank.InstanceID, row radishcrank.Instance, ok bool) {
	if !ok || row.Leaving {
		delete(n.live, id)
		return
	}
	n.live[id] = row.Zone
}

func (n *instances) count(engines map[radishcrank.UpstreamID]*engine) {
	zones := make(map[radishcrank.AvailabilityZone]bool)
	for _, e := range engines {
		if e.present && e.row.Role == radishcrank.RoleEngine {
			zones[e.row.Zone] = true
		}
	}
	shared := int64(0)
	for _, zone := range n.live {
		if zone == "" || zones[zone] {
			shared++
		}
	}
	n.shared.Store(shared)
}

// sharing returns the number of instances, at least one.
func (n *instances) sharing() int { return max(1, int(n.shared.Load())) }
