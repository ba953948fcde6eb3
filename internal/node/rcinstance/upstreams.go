package rcinstance

import (
	"net/http"
	"time"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/state/rcfleet"
	"github.com/radishcrank/radishcrank/internal/state/rcmetric"
	"github.com/radishcrank/radishcrank/platform"
)

func (i *Instance) engineClient() *platform.EngineClient {
	return &platform.EngineClient{Pool: i.pool, Holder: i.settings.Instance, OnLeaving: func(up radishcrank.Upstream) {
		if i.noteLeaving(up, http.StatusOK) {
			i.metrics.Add(rcmetric.UpstreamsLeaving, 1)
		}
	}, OnPause: func(up radishcrank.Upstream, d time.Duration) {
		i.fleet.Pause(up.ID, up.Incarnation, d)
		i.metrics.Add(rcmetric.PausesAsked, 1)
		i.log.Info().Str("Event", "UpstreamPaused").Str("Upstream", string(up.ID)).Uint64("Incarnation", uint64(up.Incarnation)).Int64("PauseMS", d.Milliseconds()).Send()
	}}
}

// noteLeaving records that an upstream has said itself, with a reply of a status, that it
// leaves, and tells the other instances with the next update. It reports whether that is
// new.
func (i *Instance) noteLeaving(up radishcrank.Upstream, status int) (changed bool) {
	if changed = i.fleet.SetLeaving(up.ID, up.Incarnation); changed {
		i.log.Info().Str("Event", "UpstreamLeaving").Str("Upstream", string(up.ID)).Uint64("Incarnation", uint64(up.Incarnation)).Int("Status", status).Send()
		i.peers.announceLeaving(leavingUpstream{up.ID, up.Incarnation})
	}
	return changed
}

// noteMisdirected records that an upstream is not what is listed, and tells the other
// instances with the next update. It reports whether that is new.
func (i *Instance) noteMisdirected(r rcfleet.Misdirected) (changed bool) {
	if !i.fleet.MarkMisdirected(r) {
		return false
	}
	i.log.Info().Str("Event", "UpstreamMisdirected").Str("Upstream", string(r.Upstream)).Uint64("Incarnation", uint64(r.Incarnation)).Str("Weights", string(r.Weights)).Send()
	i.peers.announceMisdirected(r)
	return true
}

// linksChanged records that this instance is cut off from all upstreams of a service, or
// reaches one again. What failed meanwhile says little of the upstreams.
func (i *Instance) linksChanged(service string, cut bool, since time.Time) {
	i.log.Warn().Str("Event", "LinksCut").Str("Service", service).Bool("Cut", cut).Int64("SinceMS", time.Since(since).Milliseconds()).Send()
	if cut {
		i.metrics.Add(rcmetric.LinkCuts, 1)
		return
	}
	i.fleet.RetryFailedSince(service, since)
}

// zoneChanged records that this instance reaches no upstream of a zone, or one again.
func (i *Instance) zoneChanged(zone radishcrank.AvailabilityZone, cut bool, since time.Time) {
	i.log.Warn().Str("Event", "ZoneCut").Str("UpstreamZone", string(zone)).Bool("Cut", cut).Int64("SinceMS", time.Since(since).Milliseconds()).Send()
	if cut {
		i.metrics.Add(rcmetric.ZoneCuts, 1)
		return
	}
	i.fleet.RetryZoneFailedSince(zone, since)
}
