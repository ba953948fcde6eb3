package rcforward

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/limits/rcpoison"
	"github.com/radishcrank/radishcrank/internal/routing/rcaffinity"
	"github.com/radishcrank/radishcrank/internal/serving/rcexplain"
	"github.com/radishcrank/radishcrank/internal/state/rcfleet"
)

// inspector is a Guard that can be asked without an effect on later requests.
type inspector interface {
	Inspect(req radishcrank.Request) (convicted int, refused bool)
}

// Explain reports what would become of an exchange that arrived now. It takes the decisions of
// Serve up to the first attempt, sends nothing and changes no state: permits of rate limits
// are not used, convictions are not tried, and the request is not counted.
func (f *Forwarder) Explain(x *radishcrank.Exchange) rcexplain.Report {
	now := time.Now()
	ctx, cancel := context.WithDeadline(context.Background(), x.Deadline)
	defer cancel()
	d := &dispatch{
		f: f, x: x, ctx: ctx, w: discardResponse{}, tried: map[radishcrank.UpstreamID]bool{},
		guardRequest: radishcrank.Request{ID: x.ID, Account: x.Account, Model: x.Model, Prompt: x.Method + " " + x.Target + "\n" + string(x.Body), Parts: sharedParts(x)},
	}
	d.partKeys = rcpoison.PartKeys(d.guardRequest)
	r := rcexplain.Report{
		Zone: string(f.cfg.Zone), Route: x.Route.Name, Service: x.Service, Account: string(x.Account), Model: string(x.Model), Priority: x.Priority,
		QueueMS: d.queueDeadline().Sub(now).Milliseconds(), LinksCut: f.cfg.Links.Cut(x.Service),
	}
	if g, ok := f.cfg.Guard.(inspector); ok {
		var refused bool
		if r.Convicted, refused = g.Inspect(d.guardRequest); refused {
			r.Outcome, r.Why = rcexplain.RefusedFinally, crashesUpstreams
		}
	}
	states := d.eligible(f.appendStatesWith(x.Service, nil, f.cfg.Quota.Inspect))
	excluded, _, _ := f.cfg.Guard.ExcludedUpstreams(d.guardRequest)
	req := d.affinityRequest(excluded)
	req.Observe = func(c rcaffinity.Candidate) {
		// An exchange that yields is placed twice; the second time decides.
		r.Upstreams = slices.DeleteFunc(r.Upstreams, func(u rcexplain.Upstream) bool { return u.ID == string(c.Upstream.ID) })
		r.Upstreams = append(r.Upstreams, explainCandidate(c, now))
	}
	known := len(states)
	choice, ok, wait := d.place(states, req, now)
	if len(r.Upstreams) == 0 && known > 0 {
		// The decision was taken before the upstreams were compared.
		rcaffinity.Choose(req, d.eligible(f.appendStatesWith(x.Service, nil, f.cfg.Quota.Inspect)), now)
	}
	if r.AccountFraction = d.accountFraction(); r.Outcome == "" && r.AccountFraction <= 0 {
		r.Outcome, r.Why = rcexplain.Refused, "the account exceeds its rate limit"
	}
	if r.Outcome == "" {
		d.explainPlacement(&r, choice, ok, wait, now)
	}
	return r
}

// explainPlacement takes the decisions of run before the first attempt.
func (d *dispatch) explainPlacement(r *rcexplain.Report, choice rcaffinity.Choice, ok bool, wait time.Duration, now time.Time) {
	admission := d.admissionFor(choice)
	r.MaxWaitMS = millis(admission.MaxWait())
	if !ok {
		d.explainUnplaced(r, wait, now)
		return
	}
	r.ExpectedWaitMS, r.Deferred = millis(admission.ExpectedWait), d.deferral
	if admission.ShouldRefuse() {
		r.Outcome, r.Why = rcexplain.Refused, "it would begin too late: the expected wait exceeds the time that its caller waits for the first event"
		r.RetryAfterMS = [2]float64{millis(admission.RetryAfter(0)), millis(admission.RetryAfter(1))}
		if choice.Upstream.Probing && d.mayDetour() {
			r.Outcome, r.Why = rcexplain.Detoured, "no upstream with room is known to be within reach"
		}
		return
	}
	r.Outcome, r.Upstream = rcexplain.Sent, string(choice.Upstream.ID)
	if choice.KVSource.IsValid() {
		r.KVSource = choice.KVSource.String()
	}
	for i := range r.Upstreams {
		r.Upstreams[i].Chosen = r.Upstreams[i].ID == r.Upstream
	}
}

// explainUnplaced says what becomes of an exchange for which no upstream is usable now.
func (d *dispatch) explainUnplaced(r *rcexplain.Report, wait time.Duration, now time.Time) {
	states := d.eligible(d.f.appendStatesWith(d.x.Service, nil, d.f.cfg.Quota.Inspect))
	switch {
	case d.mayDetour() && d.ownsNoSlots(states):
		r.Outcome, r.Why = rcexplain.Detoured, "the slots of the upstreams, which are brittle, belong to other instances"
	case d.mayDetour() && d.outOfReach(states):
		r.Outcome, r.Why = rcexplain.Detoured, "this instance reaches no upstream of the service"
	case wait > 0 && !now.Add(wait).After(d.queueDeadline()):
		r.Outcome, r.Why = rcexplain.Waits, "no upstream is usable now, and one is expected to be in time"
		r.ExpectedWaitMS = millis(wait)
	case len(states) == 0:
		r.Outcome, r.Why = rcexplain.Refused, "the service has no upstream"
	default:
		r.Outcome, r.Why = rcexplain.Refused, "no upstream is usable in time"
		r.ExpectedWaitMS = millis(wait)
	}
}

func explainCandidate(c rcaffinity.Candidate, now time.Time) rcexplain.Upstream {
	s := &c.Upstream
	u := rcexplain.Upstream{
		ID: string(s.ID), Zone: string(s.Zone), Obstacle: c.Obstacle, ObstacleMS: untilPassed(c.Obstacle, s, now).Milliseconds(),
		CostMS: millis(c.Cost), WaitMS: millis(c.QueueWait), Owner: c.Owner, Uncached: c.UncachedTokens, Weights: string(c.Weights), Slots: s.Slots,
		Running: s.Running, Prefilling: s.Prefilling, OthersRunning: s.PeerLoad.Running, OthersPrefilling: s.PeerLoad.Prefilling,
		Listed: s.Listed, ReportedRunning: s.Reported.Running, ReportedWaiting: s.Reported.Waiting, ReportAgeMS: -1,
	}
	if !s.ReportedAt.IsZero() {
		u.ReportAgeMS = now.Sub(s.ReportedAt).Milliseconds()
	}
	for _, t := range c.Terms {
		u.Terms = append(u.Terms, rcexplain.Term{Name: t.Name, MS: millis(t.Cost)})
	}
	return u
}

// untilPassed returns how long an obstacle is expected to last, or 0 if that is unknown.
func untilPassed(obstacle string, s *rcfleet.State, now time.Time) time.Duration {
	switch {
	case obstacle == "":
		return 0
	case s.Suspect:
		return s.SuspectUntil.Sub(now)
	case s.Paused(now):
		return s.PausedUntil.Sub(now)
	case s.Loading(now):
		return s.LoadingUntil.Sub(now)
	}
	return 0
}

func millis(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// discardResponse is the response of an exchange that is not served.
type discardResponse struct{}

func (discardResponse) Header() http.Header         { return http.Header{} }
func (discardResponse) Write(b []byte) (int, error) { return len(b), nil }
func (discardResponse) WriteHeader(int)             {}
