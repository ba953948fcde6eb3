package rcforward

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/limits/rcadmission"
	"github.com/radishcrank/radishcrank/internal/limits/rcpoison"
	"github.com/radishcrank/radishcrank/internal/routing/rcaffinity"
	"github.com/radishcrank/radishcrank/internal/serving/rcexplain"
	"github.com/radishcrank/radishcrank/internal/state/rcfleet"
)

// inspector is a Guard that can be asked without an effect on later requests.
type inspector interface {
	Inspect(req radishcrank.Request) (convicted int, refused bool)
}

// Obstacles of upstreams at which a stream that its client takes up cannot go on.
const (
	obstacleOtherSoftware = "OtherSoftware"
	obstacleUnknownOrigin = "UnknownOrigin"
)

// Explain reports what would become of an exchange that arrived now. It takes the decisions of
// Serve up to the first attempt, sends nothing and changes no state: permits of rate limits
// are not used, convictions are not tried, and the request is not counted. If the client takes
// up a stream, other instances may be asked where it began.
func (f *Forwarder) Explain(x *radishcrank.Exchange) rcexplain.Report {
	ctx, cancel := context.WithDeadline(context.Background(), x.Deadline)
	defer cancel()
	d := &dispatch{
		f: f, x: x, ctx: ctx, w: discardResponse{}, tried: map[radishcrank.UpstreamID]bool{},
		guardRequest: radishcrank.Request{ID: x.ID, Account: x.Account, Model: x.Model, Prompt: x.Method + " " + x.Target + "\n" + string(x.Body), Parts: sharedParts(x)},
	}
	d.partKeys = rcpoison.PartKeys(d.guardRequest)
	resumes := d.explainOrigin()
	now := time.Now()
	r := rcexplain.Report{
		Resumes: resumes, Zone: string(f.cfg.Zone), Route: x.Route.Name, Service: x.Service, Account: string(x.Account), Model: string(x.Model), Priority: x.Priority,
		QueueMS: d.queueDeadline().Sub(now).Milliseconds(), LinksCut: f.cfg.Links.Cut(x.Service),
	}
	if g, ok := f.cfg.Guard.(inspector); ok {
		var refused bool
		if r.Convicted, refused = g.Inspect(d.guardRequest); refused {
			r.Outcome, r.Why = rcexplain.RefusedFinally, crashesUpstreams
		}
	}
	if r.Outcome == "" && resumes != nil && !resumes.Known {
		r.Outcome, r.Why = rcexplain.Refused, resumes.Why
		r.RetryAfterMS = retryRange(d.retryParams(f.cfg.Quota.Inspect))
	}
	if r.AccountFraction = d.accountFraction(); r.Outcome == "" && r.AccountFraction <= 0 {
		r.Outcome, r.Why = rcexplain.Refused, "the account exceeds its rate limit"
	}
	d.explainPlaces(&r, now)
	return r
}

// explainOrigin finds out where the stream began that the client takes up, if it does.
func (d *dispatch) explainOrigin() *rcexplain.Resumes {
	if !d.takesUp() {
		return nil
	}
	o, known := d.f.cfg.Origins.Inspect(d.ctx, d.originQuery())
	r := &rcexplain.Resumes{
		LastEvent: d.x.LastEventID, Attempt: string(d.x.Resumes), Known: d.pinTo(o, known), Service: o.Service, Software: string(o.Software),
	}
	switch {
	case !known:
		r.Why = unknownOrigin
	case !r.Known:
		r.Why = "the stream began at service " + o.Service + ", which the route does not use"
	}
	return r
}

// explainPlaces compares the upstreams and, unless the outcome is decided already, places the
// exchange.
func (d *dispatch) explainPlaces(r *rcexplain.Report, now time.Time) {
	f, x := d.f, d.x
	states := f.appendStatesWith(x.Service, nil, f.cfg.Quota.Inspect)
	unknown := r.Resumes != nil && !r.Resumes.Known
	var elsewhere []rcexplain.Upstream
	for i := range states {
		c := rcaffinity.Candidate{Choice: rcaffinity.Choice{Upstream: states[i]}, Obstacle: obstacleOtherSoftware}
		if unknown {
			c.Obstacle = obstacleUnknownOrigin
		}
		if unknown || !d.mayHold(&states[i]) {
			elsewhere = append(elsewhere, d.explainCandidate(c, now))
		}
	}
	if unknown {
		r.Upstreams = elsewhere
		return
	}
	states = d.eligible(states)
	excluded, _, _ := f.cfg.Guard.ExcludedUpstreams(d.guardRequest)
	req := d.affinityRequest(excluded)
	req.Observe = func(c rcaffinity.Candidate) {
		// An exchange that yields is placed twice; the second time decides.
		r.Upstreams = slices.DeleteFunc(r.Upstreams, func(u rcexplain.Upstream) bool { return u.ID == string(c.Upstream.ID) })
		r.Upstreams = append(r.Upstreams, d.explainCandidate(c, now))
	}
	known := len(states)
	choice, ok, wait := d.place(states, req, now)
	if len(r.Upstreams) == 0 && known > 0 {
		// The decision was taken before the upstreams were compared.
		rcaffinity.Choose(req, d.eligible(f.appendStatesWith(x.Service, nil, f.cfg.Quota.Inspect)), now)
	}
	if r.Outcome == "" {
		d.explainPlacement(r, choice, ok, wait, now)
	}
	r.Upstreams = append(r.Upstreams, elsewhere...)
}

// retryRange returns the shortest and the longest delay of a retry in ms.
func retryRange(p rcadmission.Params) [2]float64 {
	return [2]float64{millis(p.RetryAfter(0)), millis(p.RetryAfter(1))}
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
		r.RetryAfterMS = retryRange(admission)
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
	case len(states) == 0 && r.Resumes != nil:
		r.Outcome, r.Why = rcexplain.Refused, "no upstream runs the software version on which the stream began"
	case len(states) == 0:
		r.Outcome, r.Why = rcexplain.Refused, "the service has no upstream"
	default:
		r.Outcome, r.Why = rcexplain.Refused, "no upstream is usable in time"
		r.ExpectedWaitMS = millis(wait)
	}
	if r.Outcome == rcexplain.Refused {
		r.RetryAfterMS = retryRange(d.retryParams(d.f.cfg.Quota.Inspect))
	}
}

func (d *dispatch) explainCandidate(c rcaffinity.Candidate, now time.Time) rcexplain.Upstream {
	s := &c.Upstream
	u := rcexplain.Upstream{
		ID: string(s.ID), Zone: string(s.Zone), Obstacle: c.Obstacle, ObstacleMS: untilPassed(c.Obstacle, s, now).Milliseconds(),
		CostMS: millis(c.Cost), WaitMS: millis(c.QueueWait), Owner: c.Owner, Uncached: c.UncachedTokens, Weights: string(s.Weights[d.x.Model]), Software: string(s.Software), Slots: s.Slots,
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
