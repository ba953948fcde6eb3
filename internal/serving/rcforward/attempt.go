package rcforward

import (
	"context"
	"errors"
	"math"
	"net/http"
	"os"
	"syscall"
	"time"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/routing/rcaffinity"
	"github.com/radishcrank/radishcrank/internal/state/rcfleet"
	"github.com/radishcrank/radishcrank/internal/state/rcmetric"
	"github.com/radishcrank/radishcrank/internal/upstream/rcframing"
)

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
		if reply.Class == radishcrank.ReplyMisdirected && f.cfg.OnMisdirected(rcfleet.Misdirected{
			Upstream: up.ID, Incarnation: up.Incarnation, Model: x.Model, Weights: choice.Weights,
		}) {
			f.cfg.Metrics.Add(rcmetric.UpstreamsMisdirected, 1)
		}
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

// idleTimeout returns the longest gap between events before the upstream counts
// as idle; 0 means no limit.
func (d *dispatch) idleTimeout() time.Duration {
	x := d.x
	if x.Route.Retry != radishcrank.RetryResume || d.runs >= x.Route.MaxAttempts {
		return 0
	}
	return idleTimeoutFactor * max(x.Route.MaxEventGap, 100*time.Millisecond)
}

// sharedParts returns the parts of the prompt but the last one, which belongs to the
// request itself.
func sharedParts(x *radishcrank.Exchange) (ids []string) {
	for _, p := range x.PromptParts[:max(0, len(x.PromptParts)-1)] {
		ids = append(ids, p.ID)
	}
	return ids
}
