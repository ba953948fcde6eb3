package rcforward

import (
	"slices"
	"time"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/routing/rcaffinity"
	"github.com/radishcrank/radishcrank/internal/state/rcfleet"
	"github.com/radishcrank/radishcrank/internal/state/rcorigin"
)

// replaceable reports whether an attempt of which nothing is heard may be given up for
// another one, for which it takes a retry from the budget. A sound upstream may be silent for
// a second or so; without a replacement, giving it up only ends the answer sooner. It is
// called by the attempt's watchdog.
func (d *dispatch) replaceable(up radishcrank.Upstream) bool {
	x, now := d.x, time.Now()
	usable := func(s rcfleet.State) bool {
		return !d.tried[s.ID] && rcaffinity.Usable(&s, now) && (x.Route.Retry != radishcrank.RetryResume || s.Software == up.Software)
	}
	if !slices.ContainsFunc(d.f.appendStates(x.Service, nil), usable) {
		return false
	}
	if d.begun.Load() && !(d.origin.known.Load() && d.f.cfg.Origins.Verify(d.ctx, rcorigin.Origin{
		Service: x.Service, Software: up.Software, Upstream: up.ID, Incarnation: up.Incarnation,
	})) {
		return false
	}
	if !d.f.cfg.Budget.AllowRetry(x.Service) {
		return false
	}
	d.retryGranted.Store(true)
	return true
}

// onSilence returns the function of an attempt's watchdog.
func (d *dispatch) onSilence(up radishcrank.Upstream, giveUp func()) (acted func() bool) {
	reported := false
	return func() bool {
		if d.silentByOrder(up) {
			return false
		}
		if d.replaceable(up) {
			giveUp()
			return true
		}
		if !reported {
			reported = true
			d.f.cfg.Fleet.MarkSuspect(up.ID) // New requests go elsewhere.
			d.f.cfg.Log.Info().Str("Event", "UpstreamSilent").Str("Request", string(d.x.ID)).Str("Upstream", string(up.ID)).
				Int64("AgeMS", time.Since(d.x.ReceivedAt).Milliseconds()).Send()
		}
		return false
	}
}
