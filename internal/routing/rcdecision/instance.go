package rcdecision

import (
	"sync/atomic"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/state/rcboard"
)

// instanceCounter counts the router instances that send requests to the same
// engines: those in the availability zones of the engines on the board.
type instanceCounter struct {
	version uint64 // Version of the Instances table at the last refresh.
	live    map[radishcrank.InstanceID]radishcrank.AvailabilityZone
	sharing atomic.Int64
}

// refresh applies the changes of the board's Instances table and reports whether
// there were any.
func (n *instanceCounter) refresh(board *rcboard.Board) bool {
	before := n.version
	n.version = board.Instances.ChangesSince(before, func() { clear(n.live) }, n.setRow)
	return n.version != before
}

func (n *instanceCounter) setRow(id radishcrank.InstanceID, row radishcrank.Instance, ok bool) {
	if !ok || row.Leaving {
		delete(n.live, id)
		return
	}
	n.live[id] = row.Zone
}

func (n *instanceCounter) recount(engines map[radishcrank.UpstreamID]*engine) {
	zones := make(map[radishcrank.AvailabilityZone]bool)
	for _, e := range engines {
		if e.present && e.row.Role == radishcrank.RoleEngine {
			zones[e.row.Zone] = true
		}
	}
	count := int64(0)
	for _, zone := range n.live {
		if zone == "" || zones[zone] {
			count++
		}
	}
	n.sharing.Store(count)
}

// sharingCount returns the number of instances that share the engines, at least 1.
func (n *instanceCounter) sharingCount() int { return max(1, int(n.sharing.Load())) }
