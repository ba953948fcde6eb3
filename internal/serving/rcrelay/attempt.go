package rcrelay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/radishcrank/radishcrank"
)

// maxFirstTokenWait is the deadline of the first token when nothing predicts it
// and the request sets no deadline of its own.
const maxFirstTokenWait = 30 * time.Second

// idleCloser is implemented by clients that can give up their idle connections.
type idleCloser interface {
	CloseIdle()
}

// attempt is one run of a request on one engine.
type attempt struct {
	g         *generation
	req       radishcrank.Request // As it was dispatched.
	placement radishcrank.Placement
	ctx       context.Context
	cancel    context.CancelCauseFunc
	dog       *watchdog
	start     time.Time
	engine    radishcrank.Engine
	stream    radishcrank.TokenStream
	leave     func(crashed, finished bool) // Ends the guard's registration.
	first     radishcrank.Token
	last      string // Text of the last token delivered before the attempt, if known.
	hasLast   bool
	err       error // Of the attempt up to its first event; io.EOF is a finish.
}

// begin dispatches an attempt. It sends itself to opened once its first event
// or its failure is there.
func (g *generation) begin(p radishcrank.Placement, opened chan<- *attempt) *attempt {
	a := &attempt{g: g, req: g.req, last: g.last, hasLast: g.hasLast, placement: p, start: time.Now()}
	a.ctx, a.cancel = context.WithCancelCause(g.ctx)
	a.dog = &watchdog{expired: func() { a.cancel(radishcrank.ErrNoProgress) }}
	a.engine = g.relay.cfg.Dialer.Engine(p.Upstream)
	g.relay.watchers.add(p.Upstream.ID, a.dog)
	go func() {
		a.err = a.open()
		opened <- a
	}()
	return a
}

// open starts the generation and waits for its first event.
func (a *attempt) open() (err error) {
	a.leave, err = a.enter()
	if err != nil {
		return fmt.Errorf("%w: %w", radishcrank.ErrUpstreamBusy, err)
	}
	wait, floor := a.firstTokenWait()
	a.dog.arm(wait, floor)
	req := a.req
	if a.overlaps() {
		req.ResumeFrom--
	}
	stream, err := a.engine.Generate(a.ctx, radishcrank.GenerateRequest{
		Request:   req,
		CacheKeys: a.placement.CacheKeys,
		Weights:   a.placement.Weights,
	})
	if err != nil {
		return a.cause(err)
	}
	a.stream = stream
	if a.overlaps() {
		if err := a.recvOverlap(); err != nil {
			return err
		}
		a.dog.arm(a.progressTimeout(), 0)
	}
	a.first, err = a.recv()
	return err
}

// overlaps reports whether the engine generates the last delivered token again.
// Without it, an engine that fails with an empty finish could not be told from
// one that has nothing left to generate.
func (a *attempt) overlaps() bool { return a.req.ResumeFrom > 0 }

// recvOverlap drops the token that was delivered before, after a check that the
// engine continues the same answer.
func (a *attempt) recvOverlap() error {
	t, err := a.recv()
	switch {
	case err == io.EOF:
		return fmt.Errorf("%w: finish without a token", radishcrank.ErrTruncated)
	case err != nil:
		return err
	case t.Index != a.req.ResumeFrom-1 || (a.hasLast && t.Text != a.last):
		return fmt.Errorf("%w: token %d differs from the one that was delivered", radishcrank.ErrMismatch, t.Index)
	}
	return nil
}

// enter registers the run with the guard. The wait for isolation ends when the
// caller would gain nothing from a first token.
func (a *attempt) enter() (leave func(crashed, finished bool), err error) {
	ctx, cancel := a.ctx, func() {}
	if !a.req.Deadline.IsZero() && a.req.ResumeFrom == 0 {
		ctx, cancel = context.WithDeadline(a.ctx, a.req.Deadline)
	}
	defer cancel()
	return a.g.relay.cfg.CrashTracker.StartRun(ctx, a.req, a.placement.Upstream)
}

// turnedAway reports whether the guard kept an opened attempt from its upstream
// though there is still time for another one.
func (a *attempt) turnedAway() bool {
	return a.leave == nil && a.g.ctx.Err() == nil && !errors.Is(a.err, context.DeadlineExceeded)
}

// recv returns the next token and ends the watchdog's wait.
func (a *attempt) recv() (radishcrank.Token, error) {
	t, err := a.stream.Recv()
	a.dog.progress()
	if err != nil && err != io.EOF {
		return t, a.cause(err)
	}
	return t, err
}

// cause names the reason for which the attempt was cancelled here, which the
// engine's client may have replaced by an error of its own.
func (a *attempt) cause(err error) error {
	if cause := context.Cause(a.ctx); cause != nil {
		return fmt.Errorf("%w: %w", cause, err)
	}
	return err
}

// progressTimeout returns how long the attempt may deliver nothing.
func (a *attempt) progressTimeout() time.Duration {
	if progress := a.g.relay.cfg.ProgressTimeout; progress != nil {
		return progress(a.req, a.placement.Upstream)
	}
	return a.g.settings.ProgressTimeout
}

// firstTokenWait returns the deadline of the first token and the part of it
// that holds even if the upstream is suspect.
func (a *attempt) firstTokenWait() (wait, floor time.Duration) {
	progress := a.progressTimeout()
	predicted := a.placement.PredictedTTFT
	if predicted > 0 || len(a.placement.Terms) > 0 { // A prediction of 0 has its terms.
		wait = time.Duration(a.g.settings.FirstTokenTimeoutFactor * float64(predicted))
		return max(wait, progress), 2 * predicted
	}
	if a.req.Deadline.IsZero() {
		return max(progress, maxFirstTokenWait), progress
	}
	return max(progress, min(time.Until(a.req.Deadline), maxFirstTokenWait)), progress
}

// pump relays the events from the first on. A nil error means that the answer
// is complete.
func (a *attempt) pump() (finish radishcrank.Finish, err error) {
	t, err := a.first, a.err
	if err == nil {
		a.g.relay.cfg.Chooser.Observe(a.req, a.placement, radishcrank.Observation{
			Kind: radishcrank.ObservedFirstToken,
			TTFT: time.Since(a.start),
		})
	}
	progress := a.progressTimeout()
	for err == nil {
		if t.Index != a.g.req.ResumeFrom {
			return finish, fmt.Errorf("%w: token %d, want %d", radishcrank.ErrMismatch, t.Index, a.g.req.ResumeFrom)
		}
		a.g.deliver(t, a.placement.Weights)
		a.dog.arm(progress, 0)
		t, err = a.recv()
	}
	if err != io.EOF {
		return finish, err
	}
	return a.finished(a.g.req.ResumeFrom)
}

// finished checks that the finish belongs to as many tokens as were delivered.
func (a *attempt) finished(delivered int) (finish radishcrank.Finish, err error) {
	finish = a.stream.Finish()
	count := finish.Usage.CompletionTokens
	switch {
	case delivered == 0:
		return finish, fmt.Errorf("%w: empty answer", radishcrank.ErrTruncated)
	case count != 0 && count != delivered:
		return finish, fmt.Errorf("%w: %d tokens counted, %d delivered", radishcrank.ErrTruncated, count, delivered)
	}
	return finish, nil
}

// close ends the attempt: the engine is told to stop if it still runs, and
// everyone who counts attempts learns the end.
func (a *attempt) close(finish radishcrank.Finish, err error) {
	cfg := &a.g.relay.cfg
	up := a.placement.Upstream.ID
	a.dog.stop()
	a.g.relay.watchers.remove(up, a.dog)
	if isSilence(err) {
		a.abandonConnections() // First, so that the cancellation uses a new connection.
	}
	if a.stream != nil {
		a.stream.Close()
	}
	a.cancel(context.Canceled)
	if a.leave != nil {
		a.leave(err != nil && crashed(err), err == nil)
	}
	cfg.Retrier.RecordResult(up, err)
	o := radishcrank.Observation{Kind: radishcrank.ObservedDone, Usage: finish.Usage}
	if err != nil {
		o = radishcrank.Observation{Kind: radishcrank.ObservedFailure, Err: err}
	}
	cfg.Chooser.Observe(a.req, a.placement, o)
}

// abandonConnections makes new requests use new connections and the running
// ones on this upstream suspect, since connections tend to go silent together.
func (a *attempt) abandonConnections() {
	if c, ok := a.engine.(idleCloser); ok {
		c.CloseIdle()
	}
	a.g.relay.watchers.doubt(a.placement.Upstream.ID)
}
