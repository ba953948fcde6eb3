package rcinstance

import (
	"time"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/peer/rcrpc"
	"github.com/radishcrank/radishcrank/internal/state/rcfleet"
)

// toldLoadsLife bounds the age of loads that count: an instance that stops or is
// cut off holds nothing back for long.
const toldLoadsLife = 800 * time.Millisecond

// toldLoads is what one instance, or for a relay its zone, told of its load.
type toldLoads struct {
	zone  string
	loads map[radishcrank.UpstreamID]rcfleet.Load
	at    time.Time
}

// takeLoads takes in what another instance told. An instance that has a relay
// hears the sum of all instances, itself included.
func (p *peers) takeLoads(from rcrpc.Identity, loads map[radishcrank.UpstreamID]rcfleet.Load) {
	p.mu.Lock()
	if p.relayedLocked() && p.relayOfLocked(p.i.settings.Zone) != nil {
		p.mu.Unlock()
		own := p.i.fleet.LocalLoads()
		others := make(map[radishcrank.UpstreamID]rcfleet.Load, len(loads))
		for id, l := range loads {
			others[id] = l.Sub(own[id])
		}
		p.i.fleet.SetPeerLoads(others)
		return
	}
	p.loads[from.Instance] = toldLoads{zone: string(from.Zone), loads: loads, at: time.Now()}
	others := p.sumLocked("")
	p.mu.Unlock()
	p.i.fleet.SetPeerLoads(others)
}

// sumLocked adds up what other instances told, in one zone or in all of them.
func (p *peers) sumLocked(zone string) map[radishcrank.UpstreamID]rcfleet.Load {
	sum := map[radishcrank.UpstreamID]rcfleet.Load{}
	for name, told := range p.loads {
		if time.Since(told.at) > toldLoadsLife {
			delete(p.loads, name)
			continue
		}
		if zone != "" && told.zone != zone {
			continue
		}
		for id, l := range told.loads {
			sum[id] = sum[id].Add(l)
		}
	}
	return sum
}

// withOwn adds this instance's own load to a sum.
func (p *peers) withOwn(sum map[radishcrank.UpstreamID]rcfleet.Load) map[radishcrank.UpstreamID]rcfleet.Load {
	for id, l := range p.i.fleet.LocalLoads() {
		sum[id] = sum[id].Add(l)
	}
	return sum
}
