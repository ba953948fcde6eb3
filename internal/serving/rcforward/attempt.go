package rcforward

import (
	"context"
	"errors"
	"io"
	"math"
	"net/http"
	"os"
	"strconv"
	"syscall"
	"time"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/limits/rcmemory"
	"github.com/radishcrank/radishcrank/internal/routing/rcaffinity"
	"github.com/radishcrank/radishcrank/internal/state/rcfleet"
	"github.com/radishcrank/radishcrank/internal/state/rcmetric"
	"github.com/radishcrank/radishcrank/internal/upstream/rcframing"
)

const (
	// maxBufferedBody limits the size of responses that are buffered before they are
	// forwarded.
	maxBufferedBody = 16 << 20
	// maxBufferedBodies limits the total size of the responses that are being buffered,
	// beyond freeBodyBytes of each: several upstreams whose responses do not end would
	// otherwise use up the memory of the instance.
	maxBufferedBodies = 40 << 20
	freeBodyBytes     = 64 << 10
)

var errBodyTooLarge = errors.New("response body exceeds 16 MiB, or the memory for responses is used up")

// errPlacementExpired reports that the chosen upstream became unusable while
// the exchange waited for the crash guard.
var errPlacementExpired = errors.New("upstream became unusable during the wait for the crash guard")

// errThrottled reports that the rate limit of the chosen upstream allows no request of
// this instance now.
var errThrottled = errors.New("rate limit of the upstream is used up")

// errFull reports that the chosen upstream is brittle and has no room for this instance.
var errFull = errors.New("upstream is brittle, and this instance's share of it is in use")

// errPaused reports that the chosen upstream has asked for a pause since.
var errPaused = errors.New("upstream has asked for a pause")

// errUnconfirmed reports that an upstream may run other software than the list says.
var errUnconfirmed = errors.New("upstream has restarted, or did not confirm that it has not")

// errNoContinuation reports that an upstream answered with something else than the rest of a
// stream.
var errNoContinuation = errors.New("reply does not continue the stream")

// errUpstreamIdle is the cancellation cause of an attempt whose upstream sent
// nothing before its timeout.
var errUpstreamIdle = errors.New("upstream sent nothing before its timeout")

// attempt sends the exchange to one upstream. done reports that the client has
// its final response.
func (d *dispatch) attempt(choice rcaffinity.Choice) (done bool, err error) {
	f, x := d.f, d.x
	up := choice.Upstream.Upstream
	start := time.Now()
	end, err := d.acquireUpstream(up)
	if err != nil {
		d.cause = err
		return false, nil
	}
	if time.Since(start) >= guardWaitThreshold && !d.placementValid(choice) {
		end(false, false)
		d.cause = errPlacementExpired
		return false, nil
	}
	if s, ok := f.cfg.Fleet.Get(up.ID); ok && s.Paused(time.Now()) {
		end(false, false)
		d.withdraw(up.ID, errPaused)
		return false, nil
	}
	limit := math.MaxInt
	if choice.Upstream.Brittle > 0 {
		limit = f.slotShare(&choice.Upstream)
	}
	run, ok := f.cfg.Fleet.BeginWithin(up.ID, choice.UncachedTokens, limit)
	if !ok {
		end(false, false)
		d.withdraw(up.ID, errFull)
		return false, nil
	}
	if !f.cfg.Quota.Take(up) {
		run.End(rcfleet.Canceled)
		end(false, false)
		d.withdraw(up.ID, errThrottled)
		return false, nil
	}
	d.recordSent(choice)
	if d.deferred {
		run.Defer()
		f.cfg.Metrics.Add(rcmetric.Deferred, 1)
		if d.deferral != deferredLate {
			f.cfg.Metrics.Add(rcmetric.DeferredFirst, 1)
		}
	}
	run.Hold(choice.HeldTokens)
	d.logPlacement(choice)
	if d.attempts == 1 {
		f.cfg.Metrics.Record(rcmetric.PlacementTime, time.Since(x.ReceivedAt))
	}
	blame := f.cfg.Blame.Begin(d.partKeys, x.Service, up)
	outcome, crashed, lost := rcfleet.Canceled, false, false
	defer func() {
		run.End(outcome)
		if lost {
			blame.Lost()
		}
		blame.End(crashed && !isTimeout(d.cause), outcome == rcfleet.Succeeded)
		end(crashed, outcome == rcfleet.Succeeded)
	}()

	ctx, cancel := context.WithCancelCause(d.ctx)
	defer cancel(nil)
	watchdogTimer := newWatchdog(d.responseTimeout(choice.Cost), d.onSilence(up, func() { cancel(errUpstreamIdle) }))
	defer watchdogTimer.stop()
	weights := d.watchWeights(choice.Weights, cancel)
	defer weights.stop()

	d.sentAt = time.Now()
	reply, err := f.cfg.Sender.Send(ctx, up, x, radishcrank.SendOptions{
		Weights:     choice.Weights,
		CacheSalt:   choice.Salt,
		KVSource:    choice.KVSource,
		KVTarget:    choice.KVTarget,
		LastEventID: d.lastEventID(),
		Timeout:     time.Until(x.Deadline),
		Priority:    d.priority(),
		FreshConn:   x.Route.Retry == radishcrank.RetryNever,
	})
	if err != nil {
		if errors.Is(err, radishcrank.ErrNotSent) {
			d.unreached++
		} else {
			d.runs++
		}
		outcome, crashed = d.classifyFailure(ctx, up, err)
		lost = isTimeout(err) || errors.Is(err, radishcrank.ErrNotSent)
		return false, nil
	}
	defer reply.Body.Close()
	if reply.Conn != nil && (reply.Class == radishcrank.ReplyAnswered || reply.Class == radishcrank.ReplyBusy) {
		f.cfg.Blame.Reply(up, reply.Conn.OpenedAt(), d.sentAt)
	}
	d.updateFleet(up, choice, reply)
	d.observePlaces(up, reply)
	switch reply.Class {
	case radishcrank.ReplyBusy, radishcrank.ReplyMisdirected:
		outcome = rcfleet.Refused
		d.logAttempt(up, rcmetric.AttemptRefused, reply.Status, nil)
		return false, nil
	case radishcrank.ReplyInvalid:
		d.runs++
		outcome = rcfleet.Broken
		d.logAttempt(up, rcmetric.AttemptInvalid, reply.Status, nil)
		return false, nil
	}
	d.runs++
	if d.response.started && !d.response.continuedBy(reply) {
		d.logAttempt(up, rcmetric.AttemptUpstreamFailure, reply.Status, errNoContinuation)
		outcome = rcfleet.Failed
		return false, nil
	}
	if x.Route.Stream && reply.Status == http.StatusOK && !rcframing.IsJSON(reply.Header) {
		if d.origin.pinned && !d.confirm(ctx, up, reply.Conn) {
			d.cause = errUnconfirmed
			d.logAttempt(up, rcmetric.AttemptUnconfirmed, reply.Status, errUnconfirmed)
			return false, nil
		}
		received := func(first bool) {
			if first {
				run.FirstEventReceived()
				d.recordBegin()
			}
			blame.Received()
		}
		done, outcome, crashed = d.forwardStream(ctx, reply, received, watchdogTimer, weights, choice)
		lost = outcome == rcfleet.Broken && isTimeout(d.cause)
		if !done && outcome != rcfleet.Succeeded {
			return false, nil
		}
		return done, nil
	}
	weights.stop()
	done, outcome, crashed = d.forwardBuffered(ctx, reply, up)
	return done, nil
}

// isTimeout reports whether an attempt ended because nothing was heard of the upstream. A
// process that crashes closes its connections; a machine or link that is lost does not.
func isTimeout(err error) bool {
	return errors.Is(err, syscall.ETIMEDOUT) || errors.Is(err, os.ErrDeadlineExceeded)
}

// withdraw takes back the choice of an upstream to which nothing was sent, because
// another exchange has taken the last place there.
func (d *dispatch) withdraw(id radishcrank.UpstreamID, cause error) {
	d.attempts--
	delete(d.tried, id)
	d.cause = cause
}

// guardWaitThreshold is the shortest wait for the crash guard that is logged and
// after which the placement is checked again.
const guardWaitThreshold = time.Millisecond

// acquireUpstream waits until the crash guard admits the exchange to an
// upstream.
func (d *dispatch) acquireUpstream(up radishcrank.Upstream) (end func(crashed, finished bool), err error) {
	start := time.Now()
	waitCtx, cancel := context.WithDeadline(d.ctx, d.queueDeadline())
	defer cancel()
	end, err = d.f.cfg.Guard.StartRun(waitCtx, d.guardRequest, up)
	if waited := time.Since(start); err != nil || waited >= guardWaitThreshold {
		d.f.cfg.Metrics.Add(rcmetric.SuspectsHeld, 1)
		e := d.f.cfg.Log.Info().Str("Event", "SuspectHeld").Str("Request", string(d.x.ID)).Str("Upstream", string(up.ID)).
			Int64("WaitedMS", waited.Milliseconds()).Bool("Entered", err == nil)
		if err != nil {
			e = e.Str("Cause", err.Error())
		}
		e.Send()
	}
	return end, err
}

// placementValid reports whether an upstream may still receive the exchange
// after a wait: it is not leaving, has not restarted, and its weights may be
// used.
func (d *dispatch) placementValid(choice rcaffinity.Choice) bool {
	s, ok := d.f.cfg.Fleet.Get(choice.Upstream.ID)
	if !ok || s.Leaving || s.Paused(time.Now()) || s.Incarnation != choice.Upstream.Incarnation {
		return false
	}
	if !d.x.Generates() {
		return true
	}
	at, replaced := d.f.cfg.Weights(d.x.Model).ReplacedAt(choice.Weights)
	limit := d.oldWeightsLimit(oldWeightsMargin)
	return s.Weights[d.x.Model] == choice.Weights && (!replaced || limit <= 0 || time.Since(at) < limit)
}

// recordCachedParts records that the upstream caches the shared parts of the
// prompt. It runs on the first event, which shows that the prompt has been
// read: other engines that learned of the parts earlier would fail to copy
// them, and a refused attempt would leave a record of parts that are not
// cached.
func (d *dispatch) recordCachedParts(choice rcaffinity.Choice) {
	if choice.Salt == "" || len(d.x.PromptParts) < 2 {
		return
	}
	shared := d.x.PromptParts[:len(d.x.PromptParts)-1]
	d.f.cfg.RecordCached(choice.Upstream.ID, choice.Salt, shared)
	if choice.KVStoreUsed != "" {
		d.f.cfg.RecordCached(choice.KVStoreUsed, choice.Salt, shared)
	}
}

// responseTimeout returns how long the upstream may take to respond or to send
// the first event before another upstream is tried; 0 means until the deadline.
// For streams it grows with the time expected at placement: leaving an engine
// that is merely full discards the part of the prompt that it has read, and
// adds that load to the next engine.
func (d *dispatch) responseTimeout(expected time.Duration) time.Duration {
	x := d.x
	if x.Route.Retry == radishcrank.RetryNever || d.runs+1 >= x.Route.MaxAttempts {
		return 0
	}
	if x.Route.Stream {
		return time.Duration(firstEventTimeoutFactor * float64(max(x.Route.LatencyTarget, expected)))
	}
	return time.Duration(replyTimeoutFactor * float64(x.Route.LatencyTarget))
}

func (d *dispatch) lastEventID() string {
	if d.response.lastEventID != "" {
		return d.response.lastEventID
	}
	return d.x.LastEventID
}

// classifyFailure logs an attempt that failed without a complete response and
// returns its outcome. crashed reports that the upstream may have crashed.
func (d *dispatch) classifyFailure(ctx context.Context, up radishcrank.Upstream, err error) (o rcfleet.Outcome, crashed bool) {
	d.cause = err
	if d.ctx.Err() != nil {
		d.logAttempt(up, rcmetric.AttemptAbandoned, 0, err)
		return rcfleet.Canceled, false
	}
	if errors.Is(context.Cause(ctx), errWeightsExpired) {
		d.cause = errWeightsExpired
		d.logAttempt(up, rcmetric.AttemptExpired, 0, errWeightsExpired)
		return rcfleet.Canceled, false
	}
	idle := errors.Is(context.Cause(ctx), errUpstreamIdle)
	d.logAttempt(up, rcmetric.AttemptBroken, 0, err)
	return rcfleet.Broken, !idle && !errors.Is(err, radishcrank.ErrNotSent)
}

// observeRateLimit records what a reply says about the rate limit of its upstream. A
// refusal may name none although there is one, and a reply of another incarnation or to
// another request says nothing of this upstream.
func (d *dispatch) observeRateLimit(up radishcrank.Upstream, reply *radishcrank.Reply) {
	if reply.RateLimit != nil {
		d.f.cfg.Metrics.Add(rcmetric.LimitedReplies, 1)
	}
	if reply.Class == radishcrank.ReplyAnswered || reply.RateLimit != nil && fromUpstream(up, reply) {
		d.f.cfg.Quota.Observe(up, reply.RateLimit, d.sentAt)
	}
}

// fromUpstream reports whether a reply comes from the upstream that the exchange was sent
// to, and not from one that now has its address.
func fromUpstream(up radishcrank.Upstream, reply *radishcrank.Reply) bool {
	switch reply.Class {
	case radishcrank.ReplyAnswered, radishcrank.ReplyBusy:
		return true
	case radishcrank.ReplyMisdirected:
		return reply.Instance == up.ID
	}
	return false
}

// updateFleet records the load, the rate limit and the weights that a reply reports for
// its upstream.
func (d *dispatch) updateFleet(up radishcrank.Upstream, choice rcaffinity.Choice, reply *radishcrank.Reply) {
	fleet := d.f.cfg.Fleet
	if reply.Load != nil {
		fleet.SetQueueReport(up.ID, *reply.Load)
		if fromUpstream(up, reply) {
			fleet.ObserveSlowness(up.ID, up.Incarnation, reply.Load.Slowness)
		}
	}
	d.observeRateLimit(up, reply)
	if reply.Leaving && fromUpstream(up, reply) && d.f.cfg.OnLeaving(up, reply.Status) {
		d.f.cfg.Metrics.Add(rcmetric.UpstreamsLeaving, 1)
	}
	d.observeBrittle(up, reply)
	if reply.PauseFor > 0 && fromUpstream(up, reply) {
		fleet.Pause(up.ID, up.Incarnation, reply.PauseFor)
		d.f.cfg.Metrics.Add(rcmetric.PausesAsked, 1)
		d.f.cfg.Log.Info().Str("Event", "UpstreamPaused").Str("Upstream", string(up.ID)).Uint64("Incarnation", uint64(up.Incarnation)).Str("Request", string(d.x.ID)).
			Int64("PauseMS", reply.PauseFor.Milliseconds()).Send()
	}
	if d.x.Generates() && reply.Weights != "" && reply.Class == radishcrank.ReplyAnswered {
		fleet.SetWeights(up.ID, d.x.Model, reply.Weights)
	}
}

// forwardBuffered forwards a response that is not an event stream to a client that has
// received nothing yet. A failure of
// a retryable exchange is kept while another upstream may still succeed.
func (d *dispatch) forwardBuffered(ctx context.Context, reply *radishcrank.Reply, up radishcrank.Upstream) (done bool, o rcfleet.Outcome, crashed bool) {
	body, err := d.f.bodies.read(rcmemory.ReserverFrom(ctx), reply.Body)
	if err == nil && reply.Unframed {
		err = rcframing.CheckBody(reply.Header, body)
		d.logUnframed(up, reply, len(body), err == nil)
	}
	if err != nil {
		o, crashed = d.classifyFailure(ctx, up, err)
		return false, o, crashed
	}
	if reply.Status >= http.StatusInternalServerError {
		d.logAttempt(up, rcmetric.AttemptUpstreamFailure, reply.Status, nil)
		d.failure, d.failureBody = reply, body
		if d.x.Route.Retry != radishcrank.RetryNever && d.mayRetry() {
			return false, rcfleet.Failed, false
		}
		d.writeBuffered(reply, body)
		return true, rcfleet.Failed, false
	}
	d.writeBuffered(reply, body)
	d.f.cfg.Metrics.Add(rcmetric.Answered, 1)
	d.f.cfg.Metrics.Record(rcmetric.AnswerTime, time.Since(d.x.ReceivedAt))
	return true, rcfleet.Succeeded, false
}

func (d *dispatch) writeBuffered(reply *radishcrank.Reply, body []byte) {
	copyHeader(d.w.Header(), reply.Header)
	d.tellBrittle()
	d.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	d.w.WriteHeader(reply.Status)
	d.w.Write(body) // A write error means that the client has disconnected.
}

func copyHeader(to, from http.Header) {
	for name, values := range from {
		to[name] = values
	}
	if _, ok := from["Content-Type"]; !ok {
		to["Content-Type"] = nil // Prevents net/http from sniffing the content type.
	}
}

// clientResponse is the state of the response as the client has received it.
type clientResponse struct {
	started     bool
	lastEventID string // ID of the last complete event.
	contentType string
}

// continuedBy reports whether a reply may hold the rest of the stream that the client has
// begun to receive. An error of the upstream does not, whatever its status.
func (c *clientResponse) continuedBy(reply *radishcrank.Reply) bool {
	return reply.Status == http.StatusOK && (rcframing.IsEventStream(reply.Header) || reply.Header.Get("Content-Type") == c.contentType)
}

// forwardStream forwards events as they arrive. For a resumable stream it
// forwards only complete events, so that another upstream can continue it.
func (d *dispatch) forwardStream(ctx context.Context, reply *radishcrank.Reply, received func(first bool), watchdogTimer *watchdog, weights *weightsWatch, choice rcaffinity.Choice) (done bool, o rcfleet.Outcome, crashed bool) {
	up := choice.Upstream.Upstream
	resumable := d.x.Route.Retry == radishcrank.RetryResume
	flusher := http.NewResponseController(d.w)
	buf := make([]byte, 4<<10)
	events := eventBuffer{continues: d.response.started}
	size := 0
	first := true
	var gaps gapTracker
	defer func() {
		if o == rcfleet.Succeeded && d.x.Route.MaxEventGap > 0 {
			d.f.longGapRatio.add(gaps.longest > d.x.Route.MaxEventGap)
		}
	}()
	for {
		n, err := reply.Body.Read(buf)
		if n > 0 {
			gaps.event(time.Now())
			received(first)
			if first {
				first = false
				weights.stop()
				d.recordBeginning(choice, reply)
				d.recordCachedParts(choice)
			}
			out := buf[:n]
			size += n
			if resumable {
				var splitErr error
				if out, splitErr = events.add(out, &d.response.lastEventID); splitErr != nil {
					err = splitErr
				}
			} else {
				events.observe(out)
			}
			if events.progress(n) || !resumable {
				watchdogTimer.reset(d.idleTimeout())
			}
			if len(out) > 0 {
				if !d.response.started {
					d.begun.Store(true)
					d.pinOrigin(up, reply.Conn)
					copyHeader(d.w.Header(), reply.Header)
					d.tellBrittle()
					d.w.WriteHeader(reply.Status)
					d.response.started = true
					d.response.contentType = reply.Header.Get("Content-Type")
					d.f.cfg.Metrics.Record(rcmetric.FirstEventTime, time.Since(d.x.ReceivedAt))
				}
				_, werr := d.w.Write(out)
				if werr == nil {
					werr = flusher.Flush()
				}
				if werr != nil {
					d.cause = werr
					d.logAttempt(up, rcmetric.AttemptCallerGone, reply.Status, werr)
					return true, rcfleet.Canceled, false
				}
			}
		}
		whole := err == io.EOF && events.whole(reply)
		if err == io.EOF && reply.Unframed {
			d.logUnframed(up, reply, size, whole)
		}
		switch {
		case whole:
			if !d.response.started {
				copyHeader(d.w.Header(), reply.Header)
				d.tellBrittle()
				d.w.WriteHeader(reply.Status)
			}
			d.w.Write(events.pending) // Comments. A write error means that the client has disconnected.
			d.f.cfg.Metrics.Add(rcmetric.Answered, 1)
			d.f.cfg.Metrics.Record(rcmetric.LongestPause, gaps.longest)
			return true, rcfleet.Succeeded, false
		case err != nil:
			if err == io.EOF {
				err = io.ErrUnexpectedEOF
			}
			o, crashed = d.classifyFailure(ctx, up, err)
			return false, o, crashed
		}
	}
}

// idleTimeout returns the longest gap between events before the upstream counts
// as idle; 0 means no limit.
func (d *dispatch) idleTimeout() time.Duration {
	x := d.x
	if x.Route.Retry != radishcrank.RetryResume || d.runs >= x.Route.MaxAttempts {
		return 0
	}
	return idleTimeoutFactor * max(x.Route.MaxEventGap, 100*time.Millisecond)
}

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

// sharedParts returns the parts of the prompt but the last one, which belongs to the
// request itself.
func sharedParts(x *radishcrank.Exchange) (ids []string) {
	for _, p := range x.PromptParts[:max(0, len(x.PromptParts)-1)] {
		ids = append(ids, p.ID)
	}
	return ids
}
