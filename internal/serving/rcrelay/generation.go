package rcrelay

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/state/rcboard"
)

// boardInterval is the number of tokens between updates of the Streams table.
// An update for each token would take a lock that all streams share.
const boardInterval = 16

// generation produces one answer over as many engines as it takes.
type generation struct {
	relay    *Relay
	ctx      context.Context
	req      radishcrank.Request // Resume and PinnedWeights follow the delivered tokens.
	sink     radishcrank.StreamSink
	stream   *stream
	settings Settings
	tried    []radishcrank.UpstreamID
	last     string // Text of the last delivered token.
	hasLast  bool
	busy     busyEngines
	reached  bool // Some attempt may have reached an engine.
	sinkErr  error
}

// run tries engines until one completes the answer. An engine that refuses the
// request without running it, as one whose weights have changed since its last
// report, costs no attempt.
func (g *generation) run() (finish radishcrank.Finish, err error) {
	for n := 0; n < g.relay.cfg.MaxAttempts; {
		if n > 0 {
			if err := g.beforeRetry(n - 1); err != nil {
				return finish, err
			}
		}
		finish, err = g.try(n > 0)
		if err == nil || g.ctx.Err() != nil {
			break
		}
		var refusal *radishcrank.Refusal
		switch {
		case errors.As(err, &refusal):
			if !g.waitForBusy() {
				return finish, withReach(err, g.reached)
			}
		case errors.Is(err, radishcrank.ErrUpstreamBusy) && g.noteBusy():
		default:
			n++
		}
	}
	if err == nil {
		return finish, nil
	}
	return finish, g.failure(err)
}

// beforeRetry checks that another attempt may help, and backs off.
func (g *generation) beforeRetry(n int) error {
	if err := g.relay.cfg.CrashTracker.Check(g.req); err != nil {
		return withReach(err, g.reached)
	}
	wait := g.relay.cfg.Retrier.Backoff(n)
	if wait <= 0 {
		return nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-g.ctx.Done():
		return g.failure(context.Cause(g.ctx))
	}
}

// failure says what the caller is told of the last error.
func (g *generation) failure(err error) error {
	cause := context.Cause(g.ctx)
	switch {
	case cause == nil:
	case errors.Is(cause, errStreamTimeout):
		return fmt.Errorf("%w: %w", timedOut(g.reached), err)
	default:
		return fmt.Errorf("%w: %w", cause, err)
	}
	if err := g.relay.cfg.CrashTracker.Check(g.req); err != nil {
		return withReach(err, g.reached)
	}
	return fmt.Errorf("%w: %w", incomplete(g.reached), err)
}

// try runs one attempt, or two where the first token is hedged. A *Refusal in
// the error ends the request.
func (g *generation) try(retry bool) (finish radishcrank.Finish, err error) {
	p, err := g.choose()
	if err != nil {
		return finish, err
	}
	if !g.allowed(p, retry) {
		g.relay.cfg.Chooser.Observe(g.req, p, radishcrank.Observation{Kind: radishcrank.ObservedFailure, Err: radishcrank.ErrUpstreamBusy})
		return finish, incomplete(g.reached)
	}
	a := g.race(p)
	for a.turnedAway() {
		// The upstream was reserved for a suspect between the choice and the run.
		// That is no attempt.
		g.noteEnd(a, finish, a.err)
		if p, err = g.choose(); err != nil {
			return finish, err
		}
		a = g.race(p)
	}
	if a.err != nil && a.stream == nil {
		err = a.err
	} else {
		finish, err = a.pump()
	}
	g.noteEnd(a, finish, err)
	return finish, err
}

// noteEnd closes an attempt and remembers whether it may have run.
func (g *generation) noteEnd(a *attempt, finish radishcrank.Finish, err error) {
	if err == nil || reached(err) {
		g.reached = true
	}
	if a.leave == nil {
		// The upstream was reserved for another request; it may serve this one later.
		g.tried = slices.DeleteFunc(g.tried, func(id radishcrank.UpstreamID) bool { return id == a.placement.Upstream.ID })
	}
	a.close(finish, err)
}

func (g *generation) allowed(p radishcrank.Placement, retry bool) bool {
	r := g.relay.cfg.Retrier
	if retry {
		return r.AllowRetry(g.req.Account, p.Upstream.ID)
	}
	r.RecordDispatch(g.req.Account, p.Upstream.ID)
	return true
}

// choose asks for an engine that was not tried, keeps clear of upstreams that
// are reserved for others, and waits for one if nothing else is left.
func (g *generation) choose() (radishcrank.Placement, error) {
	for {
		must, rather, changed := g.relay.cfg.CrashTracker.ExcludedUpstreams(g.req)
		exclude := append(append(g.tried[:len(g.tried):len(g.tried)], must...), rather...)
		p, err := g.relay.cfg.Chooser.Choose(g.ctx, g.req, exclude)
		if err != nil && len(rather) > 0 {
			p, err = g.relay.cfg.Chooser.Choose(g.ctx, g.req, exclude[:len(exclude)-len(rather)])
		}
		if err == nil {
			return g.checkWeights(p)
		}
		if len(must) == 0 {
			return p, err
		}
		if !g.waitFor(changed) {
			return p, err
		}
	}
}

// waitFor waits until the reserved upstreams change. It reports false once the
// caller gains nothing from a first token.
func (g *generation) waitFor(changed <-chan struct{}) bool {
	wait := maxFirstTokenWait
	if !g.req.Deadline.IsZero() && g.req.ResumeFrom == 0 {
		wait = time.Until(g.req.Deadline)
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-changed:
		return true
	case <-timer.C:
	case <-g.ctx.Done():
	}
	return false
}

// checkWeights refuses a placement on other weights than those of the delivered
// tokens, whatever the chooser says.
func (g *generation) checkWeights(p radishcrank.Placement) (radishcrank.Placement, error) {
	g.tried = append(g.tried, p.Upstream.ID)
	if g.req.PinnedWeights == "" || p.Weights == g.req.PinnedWeights {
		return p, nil
	}
	err := fmt.Errorf("%w: placed on weights %q, want %q", radishcrank.ErrUpstreamBusy, p.Weights, g.req.PinnedWeights)
	g.relay.cfg.Chooser.Observe(g.req, p, radishcrank.Observation{Kind: radishcrank.ObservedFailure, Err: err})
	return p, err
}

// deliver hands the next token to the replay buffer and to the caller.
func (g *generation) deliver(t radishcrank.Token, weights radishcrank.WeightsVersion) {
	if ws, ok := g.sink.(radishcrank.WeightsSink); ok && g.req.PinnedWeights != weights {
		ws.SetWeights(weights)
	}
	g.stream.append(t.Text)
	g.last, g.hasLast = t.Text, true
	g.req.ResumeFrom = t.Index + 1
	g.req.PinnedWeights = weights
	if g.sinkErr == nil && !g.stream.callerGone() {
		g.sinkErr = g.sink.Token(t)
		if g.sinkErr != nil {
			g.stream.detachCaller()
		}
	}
	if t.Index%boardInterval == 0 {
		g.updateBoard()
	}
}

func (g *generation) updateBoard() {
	delivered := g.req.ResumeFrom
	g.relay.cfg.Board.Streams.Update(g.req.ID, func(s rcboard.Stream, ok bool) (rcboard.Stream, bool) {
		s.Delivered = delivered
		return s, ok
	})
}

func (g *generation) noteAttempt(p radishcrank.Placement) {
	g.relay.cfg.Board.Streams.Update(g.req.ID, func(s rcboard.Stream, ok bool) (rcboard.Stream, bool) {
		s.Upstream = p.Upstream.ID
		s.Attempts++
		return s, ok
	})
}

// finish tells the caller that the answer is complete, if it is still there.
func (g *generation) finish(f radishcrank.Finish) error {
	if g.sinkErr != nil {
		return errors.Join(errCallerGone, g.sinkErr)
	}
	if g.stream.callerGone() {
		return errCallerGone
	}
	return g.sink.Finish(f)
}

func isSilence(err error) bool { return errors.Is(err, radishcrank.ErrNoProgress) }
