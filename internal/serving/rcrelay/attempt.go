package rcrelay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/radishcrank/radishcrank"
)

// maxFirstTokenTimeout is the timeout of the first token if there is no prediction and
// the request has no earlier deadline.
const maxFirstTokenTimeout = 30 * time.Second

// idleCloser is implemented by engine clients that can close their idle connections.
type idleCloser interface {
	CloseIdle()
}

// attempt is a run of a request on one engine.
type attempt struct {
	gen         *generation
	req         radishcrank.Request // Request as dispatched.
	placement   radishcrank.Placement
	ctx         context.Context
	cancel      context.CancelCauseFunc
	watchdog    *watchdog
	start       time.Time
	engine      radishcrank.Engine
	stream      radishcrank.TokenStream
	endRun      func(crashed, finished bool) // Ends the run's registration with the CrashTracker.
	first       radishcrank.Token
	lastText    string // Text of the last token delivered before the attempt; valid if hasLastText is set.
	hasLastText bool
	err         error // Error before the first token; io.EOF means that the first event was the finish.
}

// startAttempt starts an attempt. The attempt is sent to opened once its first event
// has arrived or it has failed.
func (g *generation) startAttempt(p radishcrank.Placement, opened chan<- *attempt) *attempt {
	a := &attempt{gen: g, req: g.req, lastText: g.lastText, hasLastText: g.hasLastText, placement: p, start: time.Now()}
	a.ctx, a.cancel = context.WithCancelCause(g.ctx)
	a.watchdog = &watchdog{expired: func() { a.cancel(radishcrank.ErrNoProgress) }}
	a.engine = g.relay.cfg.Dialer.Engine(p.Upstream)
	g.relay.watchdogs.add(p.Upstream.ID, a.watchdog)
	go func() {
		a.err = a.open()
		opened <- a
	}()
	return a
}

// open starts the generation and waits for its first event.
func (a *attempt) open() (err error) {
	a.endRun, err = a.startRun()
	if err != nil {
		return fmt.Errorf("%w: %w", radishcrank.ErrUpstreamBusy, err)
	}
	timeout, minimum := a.firstTokenTimeout()
	a.watchdog.arm(timeout, minimum)
	req := a.req
	if a.repeatsLastToken() {
		req.ResumeFrom--
	}
	stream, err := a.engine.Generate(a.ctx, radishcrank.GenerateRequest{
		Request:   req,
		CacheKeys: a.placement.CacheKeys,
		Weights:   a.placement.Weights,
	})
	if err != nil {
		return a.withCause(err)
	}
	a.stream = stream
	if a.repeatsLastToken() {
		if err := a.checkRepeatedToken(); err != nil {
			return err
		}
		a.watchdog.arm(a.progressTimeout(), 0)
	}
	a.first, err = a.recv()
	return err
}

// repeatsLastToken reports whether the engine generates the last delivered token again.
// Otherwise an engine that fails with an empty finish could not be distinguished from
// one that has nothing left to generate.
func (a *attempt) repeatsLastToken() bool { return a.req.ResumeFrom > 0 }

// checkRepeatedToken receives the token that has already been delivered and checks that
// the engine continues the same response.
func (a *attempt) checkRepeatedToken() error {
	t, err := a.recv()
	switch {
	case err == io.EOF:
		return fmt.Errorf("%w: stream finished before the repeated token", radishcrank.ErrTruncated)
	case err != nil:
		return err
	case t.Index != a.req.ResumeFrom-1 || (a.hasLastText && t.Text != a.lastText):
		return fmt.Errorf("%w: token %d differs from the delivered token", radishcrank.ErrMismatch, t.Index)
	}
	return nil
}

// startRun registers the run with the CrashTracker. The wait for isolation ends at the
// request's deadline, after which a first token is of no use to the client.
func (a *attempt) startRun() (endRun func(crashed, finished bool), err error) {
	ctx, cancel := a.ctx, func() {}
	if !a.req.Deadline.IsZero() && a.req.ResumeFrom == 0 {
		ctx, cancel = context.WithDeadline(a.ctx, a.req.Deadline)
	}
	defer cancel()
	return a.gen.relay.cfg.CrashTracker.StartRun(ctx, a.req, a.placement.Upstream)
}

// upstreamReserved reports whether the CrashTracker rejected the attempt because its
// upstream is reserved, and there is still time for another attempt.
func (a *attempt) upstreamReserved() bool {
	return a.endRun == nil && a.gen.ctx.Err() == nil && !errors.Is(a.err, context.DeadlineExceeded)
}

// recv returns the next token and disarms the watchdog.
func (a *attempt) recv() (radishcrank.Token, error) {
	t, err := a.stream.Recv()
	a.watchdog.progress()
	if err != nil && err != io.EOF {
		return t, a.withCause(err)
	}
	return t, err
}

// withCause adds the reason for which this instance canceled the attempt, since the
// engine's client may have returned another error.
func (a *attempt) withCause(err error) error {
	if cause := context.Cause(a.ctx); cause != nil {
		return fmt.Errorf("%w: %w", cause, err)
	}
	return err
}

// progressTimeout returns the maximum time between two tokens of the attempt.
func (a *attempt) progressTimeout() time.Duration {
	if progress := a.gen.relay.cfg.ProgressTimeout; progress != nil {
		return progress(a.req, a.placement.Upstream)
	}
	return a.gen.settings.ProgressTimeout
}

// firstTokenTimeout returns the timeout of the first token, and the minimum to which
// it may be reduced while the upstream's connections are suspect.
func (a *attempt) firstTokenTimeout() (timeout, minimum time.Duration) {
	progress := a.progressTimeout()
	predicted := a.placement.PredictedTTFT
	if predicted > 0 || len(a.placement.Terms) > 0 { // A prediction of 0 has cost terms.
		timeout = time.Duration(a.gen.settings.FirstTokenTimeoutFactor * float64(predicted))
		return max(timeout, progress), 2 * predicted
	}
	if a.req.Deadline.IsZero() {
		return max(progress, maxFirstTokenTimeout), progress
	}
	return max(progress, min(time.Until(a.req.Deadline), maxFirstTokenTimeout)), progress
}

// relayTokens delivers the tokens from the first one on. A nil error means that the
// response is complete.
func (a *attempt) relayTokens() (finish radishcrank.Finish, err error) {
	t, err := a.first, a.err
	if err == nil {
		a.gen.relay.cfg.Chooser.Observe(a.req, a.placement, radishcrank.Observation{
			Kind: radishcrank.ObservedFirstToken,
			TTFT: time.Since(a.start),
		})
	}
	progress := a.progressTimeout()
	for err == nil {
		if t.Index != a.gen.req.ResumeFrom {
			return finish, fmt.Errorf("%w: token %d, want %d", radishcrank.ErrMismatch, t.Index, a.gen.req.ResumeFrom)
		}
		a.gen.deliver(t, a.placement.Weights)
		a.watchdog.arm(progress, 0)
		t, err = a.recv()
	}
	if err != io.EOF {
		return finish, err
	}
	return a.validateFinish(a.gen.req.ResumeFrom)
}

// validateFinish checks that the token count of the finish event matches the number of
// delivered tokens.
func (a *attempt) validateFinish(delivered int) (finish radishcrank.Finish, err error) {
	finish = a.stream.Finish()
	count := finish.Usage.CompletionTokens
	switch {
	case delivered == 0:
		return finish, fmt.Errorf("%w: empty response", radishcrank.ErrTruncated)
	case count != 0 && count != delivered:
		return finish, fmt.Errorf("%w: %d tokens counted, %d delivered", radishcrank.ErrTruncated, count, delivered)
	}
	return finish, nil
}

// close ends the attempt: it cancels the run if it is still in progress and reports the
// result to the CrashTracker, the Retrier and the Chooser.
func (a *attempt) close(finish radishcrank.Finish, err error) {
	cfg := &a.gen.relay.cfg
	up := a.placement.Upstream.ID
	a.watchdog.stop()
	a.gen.relay.watchdogs.remove(up, a.watchdog)
	if isNoProgress(err) {
		a.markConnectionsSuspect() // Before Close, so that the cancellation uses a new connection.
	}
	if a.stream != nil {
		a.stream.Close()
	}
	a.cancel(context.Canceled)
	if a.endRun != nil {
		a.endRun(err != nil && isCrash(err), err == nil)
	}
	cfg.Retrier.RecordResult(up, err)
	o := radishcrank.Observation{Kind: radishcrank.ObservedDone, Usage: finish.Usage}
	if err != nil {
		o = radishcrank.Observation{Kind: radishcrank.ObservedFailure, Err: err}
	}
	cfg.Chooser.Observe(a.req, a.placement, o)
}

// markConnectionsSuspect closes idle connections, so that new requests use new ones,
// and shortens the timeouts of running attempts on the upstream, since its connections
// tend to become silent at the same time.
func (a *attempt) markConnectionsSuspect() {
	if c, ok := a.engine.(idleCloser); ok {
		c.CloseIdle()
	}
	a.gen.relay.watchdogs.markSuspect(a.placement.Upstream.ID)
}
