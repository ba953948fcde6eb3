package rcforward

import (
	"cmp"
	"math"
	"time"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/routing/rcaffinity"
	"github.com/radishcrank/radishcrank/internal/state/rcmetric"
)

// logPlacement logs the inputs of a placement decision.
func (d *dispatch) logPlacement(c rcaffinity.Choice) {
	x, s := d.x, &c.Upstream
	e := d.f.cfg.Log.Info().Str("Event", "Placed").Str("Request", string(x.ID)).Str("Upstream", string(s.ID)).
		Str("Route", x.Route.Name).Str("Service", x.Service).Int("Arrival", d.attempts).
		Str("Software", string(s.Software)).Int64("CostMS", c.Cost.Milliseconds()).Int("Running", s.Running).Int("OthersRunning", s.PeerLoad.Running).
		Int64("AgeMS", time.Since(x.ReceivedAt).Milliseconds()).Int64("LeftMS", time.Until(x.Deadline).Milliseconds())
	if x.Generates() {
		e = e.Str("Weights", string(c.Weights)).Int64("ReplacedAgeMS", c.ReplacedFor.Milliseconds()).
			Bool("Owner", c.Owner).Int("Missing", c.UncachedTokens).
			Int("Prefilling", s.Prefilling).Int("OthersPrefilling", s.PeerLoad.Prefilling).Bool("Copied", c.KVSource.IsValid()).
			Int64("StartWaitMS", c.StartWait.Milliseconds()).Str("Deferred", d.deferral).Int("Priority", d.priority())
	}
	if s.Speed > 0 {
		e = e.Float64("Speed", math.Round(100*s.Speed)/100)
		if x.Generates() {
			e = e.Int("Held", s.Held).Int("OthersHeld", s.PeerLoad.Held)
		}
	}
	if !s.ReportedAt.IsZero() {
		e = e.Int("ReportedWaiting", s.Reported.Waiting).Int64("ReportAgeMS", time.Since(s.ReportedAt).Milliseconds())
	}
	e.Send()
}

// attemptOutcomes maps counters to the outcomes in log lines.
var attemptOutcomes = map[rcmetric.CounterName]string{
	rcmetric.AttemptRefused: "Refused", rcmetric.AttemptBroken: "Broken", rcmetric.AttemptInvalid: "Invalid",
	rcmetric.AttemptAbandoned: "Abandoned", rcmetric.AttemptUpstreamFailure: "UpstreamFailure", rcmetric.AttemptCallerGone: "CallerGone",
	rcmetric.AttemptExpired: "Expired", rcmetric.AttemptUnconfirmed: "Unconfirmed",
}

// logUnframed logs and counts a reply whose end only the end of its connection shows.
func (d *dispatch) logUnframed(up radishcrank.Upstream, reply *radishcrank.Reply, size int, whole bool) {
	d.f.cfg.Metrics.Add(rcmetric.UnframedReplies, 1)
	d.f.cfg.Log.Info().Str("Event", "UnframedReply").Str("Request", string(d.x.ID)).Str("Upstream", string(up.ID)).
		Int("Status", reply.Status).Str("ContentType", reply.Header.Get("Content-Type")).Int("Bytes", size).Bool("Whole", whole).
		Int64("AgeMS", time.Since(d.x.ReceivedAt).Milliseconds()).Send()
}

// logAttempt logs and counts an attempt that did not succeed.
func (d *dispatch) logAttempt(up radishcrank.Upstream, outcome rcmetric.CounterName, status int, err error) {
	d.f.cfg.Metrics.Add(outcome, 1)
	e := d.f.cfg.Log.Info().Str("Event", "AttemptEnded").Str("Request", string(d.x.ID)).Str("Upstream", string(up.ID)).
		Str("UpstreamZone", string(up.Zone)).
		Str("Outcome", attemptOutcomes[outcome]).Int("Status", status).Int("Arrival", d.attempts).Bool("Begun", d.response.started).
		Int64("AgeMS", time.Since(d.x.ReceivedAt).Milliseconds())
	if outcome == rcmetric.AttemptBroken {
		e = e.Strs("Parts", sharedParts(d.x))
	}
	if err != nil {
		e = e.Str("Cause", err.Error())
	}
	e.Send()
}

// logEnd logs and counts an exchange that ended without a complete successful
// response.
func (d *dispatch) logEnd(outcome rcmetric.CounterName, status int) {
	d.f.cfg.Metrics.Add(outcome, 1)
	x := d.x
	e := d.f.cfg.Log.Info().Str("Event", "RequestEnded").Str("Request", string(x.ID)).
		Str("Outcome", string(outcome)).Int("Status", status).Str("Route", x.Route.Name).Str("Service", x.Service).
		Int("Arrivals", d.attempts).Int("Runs", d.runs).Int("Unreached", d.unreached).Str("NoDetour", cmp.Or(d.detourObstacle(), detourInReach)).
		Int64("AgeMS", time.Since(x.ReceivedAt).Milliseconds()).Int64("LeftMS", time.Until(x.Deadline).Milliseconds())
	if d.cause != nil {
		e = e.Str("Cause", d.cause.Error())
	}
	e.Send()
}
