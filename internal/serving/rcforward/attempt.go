package rcforward

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/routing/rcaffinity"
	"github.com/radishcrank/radishcrank/internal/state/rcfleet"
	"github.com/radishcrank/radishcrank/internal/state/rcmetric"
)

// maxWholeBody bounds the answers that are read whole before they are passed on.
const maxWholeBody = 16 << 20

// errMoved says that a placement no longer held when its turn came.
var errMoved = errors.New("upstream may no longer be used")

// errSilent says that the upstream sent nothing for too long.
var errSilent = errors.New("upstream is silent")

// attempt sends the exchange to one upstream. done means that the caller has its
// final answer.
func (fl *flight) attempt(choice rcaffinity.Choice) (done bool, err error) {
	f, x := fl.f, fl.x
	up := choice.Upstream.Upstream
	begun := time.Now()
	end, err := fl.enter(up)
	if err != nil {
		fl.cause = err
		return false, nil
	}
	if time.Since(begun) >= heldLeast && !fl.stillHolds(choice) {
		end(false, false)
		fl.cause = errMoved
		return false, nil
	}
	fl.logPlacement(choice)
	if fl.arrivals == 1 {
		f.cfg.Metrics.Record(rcmetric.PlacementTime, time.Since(x.ReceivedAt))
	}
	run := f.cfg.Fleet.Begin(up.ID, choice.UncachedTokens)
	outcome, crashed := rcfleet.Canceled, false
	defer func() {
		run.End(outcome)
		end(crashed, outcome == rcfleet.Succeeded)
	}()

	ctx, cancel := context.WithCancelCause(fl.ctx)
	defer cancel(nil)
	patience := newWatchdog(fl.firstWait(choice.Cost), func() { cancel(errSilent) })
	defer patience.stop()

	reply, err := f.cfg.Sender.Send(ctx, up, x, radishcrank.SendOptions{
		Weights:     choice.Weights,
		CacheSalt:   choice.Salt,
		KVSource:    choice.KVSource,
		KVTarget:    choice.KVTarget,
		LastEventID: fl.lastEvent(),
		Timeout:     time.Until(x.Deadline),
		FreshConn:   x.Route.Retry == radishcrank.RetryNever,
	})
	if err != nil {
		if !errors.Is(err, radishcrank.ErrNotSent) {
			fl.runs++
		}
		outcome, crashed = fl.failed(ctx, up, err)
		return false, nil
	}
	defer reply.Body.Close()
	fl.learn(up, choice, reply)
	switch reply.Class {
	case radishcrank.ReplyBusy, radishcrank.ReplyMisdirected:
		outcome = rcfleet.Refused
		fl.logAttempt(up, rcmetric.AttemptRefused, reply.Status, nil)
		return false, nil
	case radishcrank.ReplyInvalid:
		fl.runs++
		outcome = rcfleet.Broken
		fl.logAttempt(up, rcmetric.AttemptInvalid, reply.Status, nil)
		return false, nil
	}
	fl.runs++
	if x.Route.Stream && reply.Status == http.StatusOK {
		done, outcome, crashed = fl.stream(ctx, reply, run, patience, choice)
		if !done && outcome != rcfleet.Succeeded {
			return false, nil
		}
		return done, nil
	}
	done, outcome, crashed = fl.whole(ctx, reply, up)
	return done, nil
}

// heldLeast is the wait for a suspect's turn from which it is worth a log line.
const heldLeast = time.Millisecond

// enter waits until the guard lets the exchange run on an upstream.
func (fl *flight) enter(up radishcrank.Upstream) (end func(crashed, finished bool), err error) {
	begun := time.Now()
	turn, cancel := context.WithDeadline(fl.ctx, fl.waitLimit())
	defer cancel()
	end, err = fl.f.cfg.Guard.StartRun(turn, fl.content, up)
	if waited := time.Since(begun); err != nil || waited >= heldLeast {
		fl.f.cfg.Metrics.Add(rcmetric.SuspectsHeld, 1)
		e := fl.f.cfg.Log.Info().Str("Event", "SuspectHeld").Str("Request", string(fl.x.ID)).Str("Upstream", string(up.ID)).
			Int64("WaitedMS", waited.Milliseconds()).Bool("Entered", err == nil)
		if err != nil {
			e = e.Str("Cause", err.Error())
		}
		e.Send()
	}
	return end, err
}

// stillHolds reports whether an upstream that was waited for may still get the
// exchange: it stays, and its weights may be used.
func (fl *flight) stillHolds(choice rcaffinity.Choice) bool {
	s, ok := fl.f.cfg.Fleet.Get(choice.Upstream.ID)
	if !ok || s.Leaving || s.Incarnation != choice.Upstream.Incarnation {
		return false
	}
	if !fl.x.Generates() {
		return true
	}
	at, replaced := fl.f.cfg.Weights(fl.x.Model).ReplacedAt(choice.Weights)
	life := fl.f.cfg.OldWeightsTTL()
	return s.Weights[fl.x.Model] == choice.Weights && (!replaced || life <= 0 || time.Since(at) < life)
}

// hold tells that the shared parts of the prompt have been read, which the first
// event shows. Others that heard of it sooner would copy them in vain, and a
// refused attempt would leave a holder that holds nothing.
func (fl *flight) hold(choice rcaffinity.Choice) {
	if choice.Salt == "" || len(fl.x.PromptParts) < 2 {
		return
	}
	shared := fl.x.PromptParts[:len(fl.x.PromptParts)-1]
	fl.f.cfg.RecordCached(choice.Upstream.ID, choice.Salt, shared)
	if choice.KVStoreUsed != "" {
		fl.f.cfg.RecordCached(choice.KVStoreUsed, choice.Salt, shared)
	}
}

// firstWait is how long the upstream may take to the answer or first event
// before another one is tried; zero means until the deadline. It grows with the
// time that the placement expected: to leave an engine that is only full throws
// away what it has read, and adds that load to the next one.
func (fl *flight) firstWait(expected time.Duration) time.Duration {
	x := fl.x
	if x.Route.Retry == radishcrank.RetryNever || fl.runs+1 >= x.Route.MaxAttempts {
		return 0
	}
	if x.Route.Stream {
		return time.Duration(firstEventPatience * float64(max(x.Route.LatencyTarget, expected)))
	}
	return time.Duration(replyPatience * float64(x.Route.LatencyTarget))
}

func (fl *flight) lastEvent() string {
	if fl.answer.lastID != "" {
		return fl.answer.lastID
	}
	return fl.x.LastEventID
}

// failed judges an attempt that brought no reply.
func (fl *flight) failed(ctx context.Context, up radishcrank.Upstream, err error) (o rcfleet.Outcome, crashed bool) {
	fl.cause = err
	if fl.ctx.Err() != nil {
		fl.logAttempt(up, rcmetric.AttemptAbandoned, 0, err)
		return rcfleet.Canceled, false
	}
	silent := errors.Is(context.Cause(ctx), errSilent)
	fl.logAttempt(up, rcmetric.AttemptBroken, 0, err)
	return rcfleet.Broken, !silent && !errors.Is(err, radishcrank.ErrNotSent)
}

// learn takes in what a reply says of its upstream.
func (fl *flight) learn(up radishcrank.Upstream, choice rcaffinity.Choice, reply *radishcrank.Reply) {
	fleet := fl.f.cfg.Fleet
	if reply.Load != nil {
		fleet.SetQueueReport(up.ID, *reply.Load)
	}
	if fl.x.Generates() && reply.Weights != "" && reply.Class == radishcrank.ReplyAnswered {
		fleet.SetWeights(up.ID, fl.x.Model, reply.Weights)
	}
}

// whole passes on an answer that is not a stream of events. A failure of a
// repeatable exchange is kept while another upstream may do better.
func (fl *flight) whole(ctx context.Context, reply *radishcrank.Reply, up radishcrank.Upstream) (done bool, o rcfleet.Outcome, crashed bool) {
	body, err := io.ReadAll(io.LimitReader(reply.Body, maxWholeBody+1))
	if err == nil && len(body) > maxWholeBody {
		err = errors.New("answer is too large")
	}
	if err != nil {
		o, crashed = fl.failed(ctx, up, err)
		return false, o, crashed
	}
	if reply.Status >= http.StatusInternalServerError {
		fl.logAttempt(up, rcmetric.AttemptUpstreamFailure, reply.Status, nil)
		fl.last, fl.lastBody = reply, body
		if fl.x.Route.Retry != radishcrank.RetryNever && !fl.answer.begun && fl.mayTryAgain() {
			return false, rcfleet.Failed, false
		}
		if fl.answer.begun {
			return false, rcfleet.Failed, false
		}
		fl.writeWhole(reply, body)
		return true, rcfleet.Failed, false
	}
	if fl.answer.begun {
		return false, rcfleet.Failed, false
	}
	fl.writeWhole(reply, body)
	fl.f.cfg.Metrics.Add(rcmetric.Answered, 1)
	fl.f.cfg.Metrics.Record(rcmetric.AnswerTime, time.Since(fl.x.ReceivedAt))
	return true, rcfleet.Succeeded, false
}

func (fl *flight) writeWhole(reply *radishcrank.Reply, body []byte) {
	copyHeader(fl.w.Header(), reply.Header)
	fl.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	fl.w.WriteHeader(reply.Status)
	fl.w.Write(body) // A caller that is gone needs no answer.
}

func copyHeader(to, from http.Header) {
	for name, values := range from {
		to[name] = values
	}
	if _, ok := from["Content-Type"]; !ok {
		to["Content-Type"] = nil // Keeps the HTTP server from guessing one.
	}
}

// answer is what the caller has got of a stream.
type answer struct {
	begun  bool
	lastID string // Id of the last whole event.
}

// stream passes events on as they arrive. Of a stream that may be resumed, only
// whole events are passed on, so that another upstream can continue it.
func (fl *flight) stream(ctx context.Context, reply *radishcrank.Reply, run *rcfleet.Exchange, patience *watchdog, choice rcaffinity.Choice) (done bool, o rcfleet.Outcome, crashed bool) {
	up := choice.Upstream.Upstream
	resumable := fl.x.Route.Retry == radishcrank.RetryResume
	flusher := http.NewResponseController(fl.w)
	buf := make([]byte, 4<<10)
	var pending []byte // An event that is not complete yet.
	first := true
	var pause longest
	defer func() {
		if o == rcfleet.Succeeded && fl.x.Route.MaxEventGap > 0 {
			fl.f.pauses.add(pause.wait > fl.x.Route.MaxEventGap)
		}
	}()
	for {
		n, err := reply.Body.Read(buf)
		if n > 0 {
			pause.event(time.Now())
			if first {
				first = false
				run.FirstEventReceived()
				fl.hold(choice)
			}
			patience.reset(fl.eventWait())
			out := buf[:n]
			if resumable {
				pending = append(pending, out...)
				var skip bool
				out, pending, skip = fl.takeEvents(pending)
				if skip {
					err = errors.New("stream continues at the wrong event")
				}
			}
			if len(out) > 0 {
				if !fl.answer.begun {
					copyHeader(fl.w.Header(), reply.Header)
					fl.w.WriteHeader(reply.Status)
					fl.answer.begun = true
					fl.f.cfg.Metrics.Record(rcmetric.FirstEventTime, time.Since(fl.x.ReceivedAt))
				}
				_, werr := fl.w.Write(out)
				if werr == nil {
					werr = flusher.Flush()
				}
				if werr != nil {
					fl.cause = werr
					fl.logAttempt(up, rcmetric.AttemptCallerGone, reply.Status, werr)
					return true, rcfleet.Canceled, false
				}
			}
		}
		switch {
		case err == io.EOF && len(pending) == 0:
			if !fl.answer.begun {
				copyHeader(fl.w.Header(), reply.Header)
				fl.w.WriteHeader(reply.Status)
			}
			fl.f.cfg.Metrics.Add(rcmetric.Answered, 1)
			fl.f.cfg.Metrics.Record(rcmetric.LongestPause, pause.wait)
			return true, rcfleet.Succeeded, false
		case err != nil:
			if err == io.EOF {
				err = io.ErrUnexpectedEOF
			}
			o, crashed = fl.failed(ctx, up, err)
			return false, o, crashed
		}
	}
}

// eventWait is the longest pause between two events before the upstream counts
// as silent.
func (fl *flight) eventWait() time.Duration {
	x := fl.x
	if x.Route.Retry != radishcrank.RetryResume || fl.runs >= x.Route.MaxAttempts {
		return 0
	}
	return silentStream * max(x.Route.MaxEventGap, 100*time.Millisecond)
}

var (
	eventEnd = []byte("\n\n")
	idField  = []byte("id:")
)

// takeEvents cuts the whole events off the front of pending. wrong reports an
// event that does not come after those the caller has.
func (fl *flight) takeEvents(pending []byte) (events, rest []byte, wrong bool) {
	end := 0
	for {
		i := bytes.Index(pending[end:], eventEnd)
		if i < 0 {
			break
		}
		event := pending[end : end+i]
		end += i + len(eventEnd)
		if id, ok := eventID(event); ok {
			if !follows(fl.answer.lastID, id) {
				return nil, nil, true
			}
			fl.answer.lastID = id
		}
	}
	return pending[:end:end], bytes.Clone(pending[end:]), false
}

func eventID(event []byte) (id string, ok bool) {
	for line := range bytes.Lines(event) {
		if rest, found := bytes.CutPrefix(line, idField); found {
			return string(bytes.TrimSpace(rest)), true
		}
	}
	return "", false
}

// follows reports whether event id may come after last. Ids that are not
// numbers can't be compared.
func follows(last, id string) bool {
	a, errA := strconv.ParseInt(last, 10, 64)
	b, errB := strconv.ParseInt(id, 10, 64)
	return errA != nil || errB != nil || b > a
}

// logPlacement writes what a dispatch was decided on.
func (fl *flight) logPlacement(c rcaffinity.Choice) {
	x, s := fl.x, &c.Upstream
	e := fl.f.cfg.Log.Info().Str("Event", "Placed").Str("Request", string(x.ID)).Str("Upstream", string(s.ID)).
		Str("Route", x.Route.Name).Str("Service", x.Service).Int("Arrival", fl.arrivals).
		Int64("CostMS", c.Cost.Milliseconds()).Int("Running", s.Running).Int("OthersRunning", s.PeerLoad.Running).
		Int64("AgeMS", time.Since(x.ReceivedAt).Milliseconds()).Int64("LeftMS", time.Until(x.Deadline).Milliseconds())
	if x.Generates() {
		e = e.Str("Weights", string(c.Weights)).Int64("ReplacedAgeMS", c.ReplacedFor.Milliseconds()).
			Bool("Owner", c.Owner).Int("Missing", c.UncachedTokens).
			Int("Prefilling", s.Prefilling).Int("OthersPrefilling", s.PeerLoad.Prefilling).Bool("Copied", c.KVSource.IsValid())
	}
	if !s.ReportedAt.IsZero() {
		e = e.Int("ReportedWaiting", s.Reported.Waiting).Int64("ReportAgeMS", time.Since(s.ReportedAt).Milliseconds())
	}
	e.Send()
}

// attemptOutcomes are the outcomes in log lines by their counters.
var attemptOutcomes = map[rcmetric.Name]string{
	rcmetric.AttemptRefused: "Refused", rcmetric.AttemptBroken: "Broken", rcmetric.AttemptInvalid: "Invalid",
	rcmetric.AttemptAbandoned: "Abandoned", rcmetric.AttemptUpstreamFailure: "UpstreamFailure", rcmetric.AttemptCallerGone: "CallerGone",
}

// logAttempt writes and counts an attempt that was not a plain success.
func (fl *flight) logAttempt(up radishcrank.Upstream, outcome rcmetric.Name, status int, err error) {
	fl.f.cfg.Metrics.Add(outcome, 1)
	e := fl.f.cfg.Log.Info().Str("Event", "AttemptEnded").Str("Request", string(fl.x.ID)).Str("Upstream", string(up.ID)).
		Str("UpstreamZone", string(up.Zone)).
		Str("Outcome", attemptOutcomes[outcome]).Int("Status", status).Int("Arrival", fl.arrivals).Bool("Begun", fl.answer.begun).
		Int64("AgeMS", time.Since(fl.x.ReceivedAt).Milliseconds())
	if err != nil {
		e = e.Str("Cause", err.Error())
	}
	e.Send()
}
