// Package rcforward forwards one exchange to a final response: it places and
// sends it, retries it where that is allowed, resumes broken streams and passes
// the response on as it arrives.
package rcforward

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/limits/rcadmission"
	"github.com/radishcrank/radishcrank/internal/limits/rcblame"
	"github.com/radishcrank/radishcrank/internal/limits/rcpoison"
	"github.com/radishcrank/radishcrank/internal/limits/rcquota"
	"github.com/radishcrank/radishcrank/internal/limits/rcslots"
	"github.com/radishcrank/radishcrank/internal/routing/rcaffinity"
	"github.com/radishcrank/radishcrank/internal/routing/rcdetour"
	"github.com/radishcrank/radishcrank/internal/state/rcfleet"
	"github.com/radishcrank/radishcrank/internal/state/rcmetric"
	"github.com/radishcrank/radishcrank/internal/state/rcweights"
)

const (
	// maxRefusedAttempts limits how often upstreams may refuse an exchange
	// before the client is refused: each attempt uses up retry budget of the
	// fleet.
	maxRefusedAttempts = 4
	// minSendTime is the shortest time to the deadline for which an attempt is
	// sent.
	minSendTime = 15 * time.Millisecond
	// noUpstreamWait is the expected wait if a service has no upstream.
	noUpstreamWait = time.Second
	// idleTimeoutFactor times the longest event gap of the route is the idle
	// timeout of a stream. It is long enough that the upstream has stopped
	// rather than slowed down, and short enough that another one can continue
	// before clients abandon the stream.
	idleTimeoutFactor = 4
	// firstEventTimeoutFactor times the latency target, or the expected time to
	// the first event if that is longer, is the timeout for the first event of
	// a stream that can be retried. A dead upstream is detected earlier by its
	// connection, so this timeout mostly ends waits at a full engine, which
	// have to start again elsewhere. Clients abandon a stream after four times
	// the latency target.
	firstEventTimeoutFactor = 3
	// replyTimeoutFactor times the latency target is the timeout for a
	// response, other than a stream, that can be retried.
	replyTimeoutFactor = 2.2
)

// ErrTruncated means that the response had started and that the client
// connection must be closed without a proper end.
var ErrTruncated = errors.New("response truncated")

// RetryBudget limits the retries of each service.
type RetryBudget interface {
	RecordRequest(service string)
	AllowRetry(service string) bool
}

// Guard detects requests that crash the upstreams that run them.
type Guard interface {
	Check(req radishcrank.Request) error
	StartRun(ctx context.Context, req radishcrank.Request, up radishcrank.Upstream) (end func(crashed, finished bool), err error)
	ExcludedUpstreams(req radishcrank.Request) (excluded, discouraged []radishcrank.UpstreamID, changed <-chan struct{})
}

// Config holds the dependencies of a Forwarder.
type Config struct {
	Zone    radishcrank.AvailabilityZone
	Fleet   *rcfleet.Fleet
	Sender  radishcrank.Sender
	Budget  RetryBudget
	Guard   Guard
	Blame   *rcblame.Tracker // Nil finds no prompt parts that crash upstreams.
	Quota   *rcquota.Quota   // Of upstreams that limit their rate; nil means none.
	Weights func(model radishcrank.ModelID) rcweights.History
	// OldWeightsTTL returns how long exchanges may begin on weights after newer
	// ones were requested; 0 means no limit.
	OldWeightsTTL func() time.Duration
	// KVStores returns the available KV cache stores.
	KVStores func() []rcaffinity.KVStore
	// RecordCached records that an upstream caches shared prompt parts under a
	// salt.
	RecordCached func(id radishcrank.UpstreamID, salt string, parts []radishcrank.PromptPart)
	Origins      Origins
	// Incarnation asks an upstream which incarnation it is.
	Incarnation func(ctx context.Context, up radishcrank.Upstream) (radishcrank.Incarnation, error)
	// OnLeaving is called with the status of each reply that says that its upstream leaves,
	// and reports whether that is new. The default only records it in Fleet.
	OnLeaving func(up radishcrank.Upstream, status int) (changed bool)
	// OnMisdirected is called when an upstream has said that it is not the one that was listed,
	// or serves other weights, and reports whether that is new. The default only records it in
	// Fleet.
	OnMisdirected func(r rcfleet.Misdirected) (changed bool)
	// Slots divides the slots of brittle upstreams among the instances. Nil means that this
	// is the only one.
	Slots *rcslots.Divider
	// Detours picks the instances through which exchanges go while the upstreams are out of
	// reach. Nil means that there are none.
	Detours      *rcdetour.Picker
	DetourSender radishcrank.DetourSender
	// Links tells whether this instance is cut off from all upstreams of a service. Nil
	// means that it never is.
	Links *rcdetour.Links
	// Zones tells which zones are out of reach, whose upstreams get no exchanges. Nil means
	// that none is.
	Zones *rcdetour.Zones
	// Accounts limits the rates of accounts.
	Accounts AccountLimits
	Log      zerolog.Logger
	Metrics  *rcmetric.Set
}

// Forwarder forwards exchanges to upstreams. It is safe for concurrent use.
type Forwarder struct {
	cfg          Config
	longGapRatio movingAverage
	bodies       bodyBuffers
	admissions   admissions
	limitLog     limitLog
}

func New(cfg Config) *Forwarder {
	if cfg.Quota == nil {
		cfg.Quota = rcquota.New(rcquota.Config{})
	}
	if cfg.OnLeaving == nil {
		cfg.OnLeaving = func(up radishcrank.Upstream, _ int) bool { return cfg.Fleet.SetLeaving(up.ID, up.Incarnation) }
	}
	if cfg.OnMisdirected == nil {
		cfg.OnMisdirected = cfg.Fleet.MarkMisdirected
	}
	return &Forwarder{cfg: cfg}
}

// dispatch is the state of one exchange while it is forwarded.
type dispatch struct {
	f            *Forwarder
	x            *radishcrank.Exchange
	w            http.ResponseWriter
	ctx          context.Context // Done when the client disconnects or the deadline passes.
	guardRequest radishcrank.Request
	partKeys     []rcpoison.Key // Of the prompt's parts that other requests may hold.

	attempts       int       // Upstreams that the exchange was sent to.
	runs           int       // Attempts that may have executed the exchange.
	deferred       bool      // The chosen engine gets it with the priority of late exchanges.
	deferral       string    // Why it does; empty if it does not.
	placeAt        time.Time // Until when it waits for a place at a plain upstream; zero if it does not.
	excess         bool      // It exceeds the usual demand of its account.
	unreached      int       // Attempts that found no connection.
	noneHealthy    bool      // No upstream with room is known to be within reach.
	detoured       bool      // It was sent through other instances.
	refusedDetours int       // Other instances that refused it because they cannot serve it either.
	sentAt         time.Time // When the current attempt was sent.
	tried          map[radishcrank.UpstreamID]bool
	response       clientResponse // What the client has received.
	origin         streamOrigin
	begun          atomic.Bool // The client has part of a stream.
	retryGranted   atomic.Bool // A retry was taken from the budget when the last attempt was given up.
	failure        *radishcrank.Reply
	failureBody    []byte
	cause          error // Error of the last attempt.
	charge         accountCharge
	runsElsewhere  int // Of runs, those through other instances.
}

// Serve forwards an exchange and writes the response to w. ctx must be done
// when the client disconnects. ErrTruncated means that the client connection
// must be closed.
func (f *Forwarder) Serve(ctx context.Context, w http.ResponseWriter, x *radishcrank.Exchange) (err error) {
	ctx, cancel := context.WithDeadline(ctx, x.Deadline)
	defer cancel()
	f.cfg.Budget.RecordRequest(x.Service)
	d := &dispatch{
		f: f, x: x, w: w, ctx: ctx,
		tried: map[radishcrank.UpstreamID]bool{},
		guardRequest: radishcrank.Request{
			ID: x.ID, Account: x.Account, Model: x.Model,
			Prompt: x.Method + " " + x.Target + "\n", PromptBody: x.Body, Parts: sharedParts(x),
		},
	}
	d.partKeys = rcpoison.PartKeys(d.guardRequest)
	if err := f.cfg.Guard.Check(d.guardRequest); err != nil {
		return d.refuseFinally(crashesUpstreams)
	}
	if d.takesUp() && !d.findOrigin() {
		return d.refuse(unknownOrigin, d.retryDelay())
	}
	if !d.chargeAccount() {
		return d.refuseOverLimit()
	}
	defer d.refundAccount()
	d.recordDemand()
	return d.run()
}

// run makes attempts until the client has its final response.
func (d *dispatch) run() error {
	for {
		choice, ok := d.selectUpstream()
		if !ok && d.mayDetour() {
			switch states := d.states(); {
			case d.ownsNoSlots(states):
				if done, err := d.detourToOwner(states); done {
					return err
				}
				return d.finishWithoutAnswer()
			case d.outOfReach(states):
				if done, err := d.detour(); done {
					return err
				}
				if d.f.cfg.Links.Cut(d.x.Service) || d.f.cfg.Detours.OutOfReachElsewhere(d.x.Service) || !d.mayRetry() {
					return d.finishWithoutAnswer()
				}
				continue // An upstream may come within reach soon.
			}
		}
		if !ok {
			return d.finishWithoutAnswer()
		}
		if c := d.admissionFor(choice); d.mayRefuse() && c.ShouldRefuse() {
			// Others that this instance does not reach may have room.
			if d.noneHealthy = choice.Upstream.Probing || d.unreached > 0; d.noneHealthy && d.mayDetour() {
				if done, err := d.detour(); done {
					return err
				}
				if !d.mayRefuse() {
					return d.finishWithoutAnswer()
				}
			}
			d.cause = fmt.Errorf("expected wait %v exceeds limit %v", c.ExpectedWait, c.MaxWait())
			return d.refuse("it would begin too late", d.returnTime(c))
		}
		if d.convictedMeanwhile() {
			if d.mayRefuse() {
				return d.refuseFinally(crashesUpstreams)
			}
			d.cause = errors.Join(errors.New(crashesUpstreams), d.cause)
			return d.finishWithoutAnswer()
		}
		if d.arrivals() > 0 && !d.retryGranted.Swap(false) && !d.f.cfg.Budget.AllowRetry(d.x.Service) {
			d.f.cfg.Metrics.Add(rcmetric.RepeatsDenied, 1)
			return d.giveUp()
		}
		d.attempts++
		d.tried[choice.Upstream.ID] = true
		done, err := d.attempt(choice)
		if done || err != nil {
			return err
		}
		if !d.mayRetry() {
			return d.giveUp()
		}
	}
}

// arrivals returns how many upstreams the exchange may have reached. Only those beyond the first
// count as retries: while many upstreams refuse connections, the budget would be spent on
// requests that none of them has seen.
func (d *dispatch) arrivals() int { return d.attempts - d.unreached }

// convictedMeanwhile reports whether the content was found to crash upstreams while the
// exchange waited or ran.
func (d *dispatch) convictedMeanwhile() bool {
	waited := d.attempts > 0 || time.Since(d.x.ReceivedAt) >= busyPollInterval
	return waited && d.f.cfg.Guard.Check(d.guardRequest) != nil
}

// mayRefuse reports whether the exchange has certainly not run and the client
// has received nothing yet, so that a refusal is correct.
func (d *dispatch) mayRefuse() bool { return d.runs == 0 && !d.response.started && d.failure == nil }

// admissionParams returns the input of the admission check for an upstream with
// the expected wait.
func (d *dispatch) admissionParams(expectedWait time.Duration) rcadmission.Params {
	x := d.x
	c := rcadmission.Params{ExpectedWait: expectedWait, TimeToDeadline: time.Until(x.Deadline)}
	c.StartTimeout = c.TimeToDeadline
	if x.Route.AbandonAfter > 0 {
		c.StartTimeout = min(c.StartTimeout, time.Until(x.ReceivedAt.Add(x.Route.AbandonAfter)))
	}
	return c
}

// mayRetry reports whether the exchange may be sent to another upstream.
func (d *dispatch) mayRetry() bool {
	x := d.x
	if d.ctx.Err() != nil || time.Until(x.Deadline) < minSendTime || d.attempts >= maxRefusedAttempts+d.runs {
		return false
	}
	if d.runs == 0 {
		return true
	}
	if x.Route.Retry == radishcrank.RetryNever || d.runs >= max(1, x.Route.MaxAttempts) {
		return false
	}
	return !d.response.started || x.Route.Retry == radishcrank.RetryResume && d.originKnown()
}
