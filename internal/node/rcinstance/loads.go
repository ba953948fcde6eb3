package rcinstance

import (
	"maps"
	"time"

	"github.com/radishcrank/radishcrank/internal/peer/rcrpc"
	"github.com/radishcrank/radishcrank/internal/state/rcfleet"
)

// loadReportMaxAge is the maximum age of a load report. Loads of an instance that stops
// or is cut off are ignored after it.
const loadReportMaxAge = 800 * time.Millisecond

// maxLoadSilence is how long a report that has not changed is not sent again. A report
// that is lost is replaced within loadReportMaxAge.
const maxLoadSilence = 350 * time.Millisecond

// capacityInterval is the minimum time between two reports with what they say of speeds and
// memory, which nearly doubles them. Both are means or sums over some seconds.
const capacityInterval = 400 * time.Millisecond

// loadReporter selects the reports for one group of receivers. An instance of a large
// fleet is often idle between two reports, and a message costs its relay as much as a
// request.
type loadReporter struct {
	last         rcfleet.LoadReport // Without capacities.
	at           time.Time
	capacitiesAt time.Time // When a report last had capacities.
}

// next returns the report to be sent now, or nil for none.
func (r *loadReporter) next(loads rcfleet.LoadReport, now time.Time) rcfleet.LoadReport {
	if loads == nil {
		return nil
	}
	counts := loads.WithoutCapacities()
	if maps.Equal(counts, r.last) && now.Sub(r.at) < maxLoadSilence {
		return nil
	}
	r.last, r.at = counts, now
	if now.Sub(r.capacitiesAt) < capacityInterval {
		return counts
	}
	r.capacitiesAt = now
	return loads
}

// loadReport is the load that one instance reported, or that a relay reported for its
// zone.
type loadReport struct {
	zone  string
	loads rcfleet.LoadReport
	at    time.Time
	// capacitiesAt is when a report last had capacities. Those without keep them.
	capacitiesAt time.Time
}

// applyLoads applies the loads that another instance reported. An instance that has a
// relay receives the sum over all instances, including itself.
func (p *peerGroup) applyLoads(from rcrpc.Identity, loads rcfleet.LoadReport) {
	p.mu.Lock()
	if p.usesRelaysLocked() && p.relayForLocked(p.instance.settings.Zone) != nil {
		p.mu.Unlock()
		own := p.instance.fleet.LocalLoads()
		others := make(rcfleet.LoadReport, len(loads))
		for id, l := range loads {
			others[id] = l.Sub(own[id])
		}
		p.instance.fleet.SetPeerLoads(others)
		return
	}
	now, old := time.Now(), p.loads[from.Instance]
	report := loadReport{zone: string(from.Zone), loads: loads, at: now, capacitiesAt: now}
	if !loads.HasCapacities() {
		report.capacitiesAt = old.capacitiesAt
		if now.Sub(old.capacitiesAt) <= loadReportMaxAge {
			report.loads = loads.WithCapacitiesOf(old.loads)
		}
	}
	p.loads[from.Instance] = report
	if p.usesRelaysLocked() {
		p.mu.Unlock()
		return // A relay adds up the many reports that it receives when it passes them on.
	}
	others := p.sumLoadsLocked("")
	p.mu.Unlock()
	p.instance.fleet.SetPeerLoads(others)
}

// sumLoadsLocked adds up the loads that other instances reported, in one zone or, if
// zone is empty, in all zones.
func (p *peerGroup) sumLoadsLocked(zone string) rcfleet.LoadReport {
	sum := rcfleet.LoadReport{}
	for name, report := range p.loads {
		if time.Since(report.at) > loadReportMaxAge {
			delete(p.loads, name)
			continue
		}
		if zone != "" && report.zone != zone {
			continue
		}
		for id, l := range report.loads {
			sum[id] = sum[id].Add(l)
		}
	}
	return sum
}

// addLocalLoads adds this instance's own loads to sum.
func (p *peerGroup) addLocalLoads(sum rcfleet.LoadReport) rcfleet.LoadReport {
	for id, l := range p.instance.fleet.LocalLoads() {
		sum[id] = sum[id].Add(l)
	}
	return sum
}
