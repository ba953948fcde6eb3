package rcforward

import (
	"time"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/limits/rcadmission"
	"github.com/radishcrank/radishcrank/internal/routing/rcaffinity"
	"github.com/radishcrank/radishcrank/internal/state/rcfleet"
)

// choose places the exchange. One that is late is placed by the whole backlog of the
// engines, since it is read after what is in time.
func (d *dispatch) choose(req rcaffinity.Request, states []rcfleet.State, now time.Time) (choice rcaffinity.Choice, ok bool) {
	d.deferred, d.deferral = false, ""
	choice, ok = rcaffinity.Choose(req, states, now)
	if ok && d.mayDefer() {
		d.deferral = d.deferralFor(d.start(choice, now), now)
	}
	if d.deferred = d.deferral != ""; d.deferred {
		req.Deferred = true
		choice, ok = rcaffinity.Choose(req, states, now)
	}
	return choice, ok
}

// Reasons why an exchange yields, in log lines.
const (
	deferredLate   = "Late"
	deferredExcess = "Excess" // Its account's demand is many times the usual, and there is a shortage.
	deferredEarly  = "Early"  // Its caller was rejected and returns before it was told to, in a shortage.
)

// deferralFor returns why an exchange yields, or "" if it does not.
func (d *dispatch) deferralFor(s rcadmission.Start, now time.Time) string {
	if s.Late() {
		return deferredLate
	}
	if s.PaysFirst = true; !s.Late() {
		return ""
	}
	switch {
	case d.excess:
		return deferredExcess
	case d.f.admissions.of(d.x.Service).returns.Early(d.content(), now):
		return deferredEarly
	}
	return ""
}

// silentByOrder reports whether an upstream from which nothing is heard may be sound and read
// those in time first. Only what others hear of it tells then: without this, exchanges that
// yield would take engines that are merely full out of use.
func (d *dispatch) silentByOrder(up radishcrank.Upstream) bool {
	if !d.deferred || d.begun.Load() {
		return false
	}
	s, ok := d.f.cfg.Fleet.Get(up.ID)
	return ok && s.Incarnation == up.Incarnation && !s.Suspect && !s.Probing
}

// mayDefer reports whether the exchange is given a lower priority if it is late. The
// latency target applies to the first event; a stream that the client has begun to
// receive must go on without a gap.
func (d *dispatch) mayDefer() bool {
	x := d.x
	return x.Generates() && x.Route.Stream && x.LatePriority > x.Priority && !d.response.started && x.LastEventID == ""
}

func (d *dispatch) start(choice rcaffinity.Choice, now time.Time) rcadmission.Start {
	return rcadmission.Start{
		Elapsed:       now.Sub(d.x.ReceivedAt),
		ExpectedWait:  d.waitOf(choice.StartWait, now),
		OwnPrefill:    choice.Prefill,
		LatencyTarget: d.x.Route.LatencyTarget,
	}
}

// priority returns the priority of the exchange at an engine.
func (d *dispatch) priority() int {
	if d.deferred {
		return d.x.LatePriority
	}
	return d.x.Priority
}
