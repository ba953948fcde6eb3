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

// boardUpdateInterval is the number of tokens between updates of the board's Streams
// table. Updating it for each token would contend for a lock that all streams share.
const boardUpdateInterval = 16

// generation produces one response, on several engines if needed.
type generation struct {
	relay       *Relay
	ctx         context.Context
	req         radishcrank.Request // ResumeFrom and PinnedWeights are updated as tokens are delivered.
	sink        radishcrank.StreamSink
	stream      *stream
	settings    Settings
	tried       []radishcrank.UpstreamID
	lastText    string // Text of the last delivered token; valid if hasLastText is set.
	hasLastText bool
	busy        busyEngines
	reached     bool // An attempt may have reached an engine.
	sinkErr     error
}

// run tries engines until one completes the response. A rejection without a run, for
// example by an engine whose weights have changed since its last load report, does not
// count as an attempt.
func (g *generation) run() (finish radishcrank.Finish, err error) {
	for n := 0; n < g.relay.cfg.MaxAttempts; {
		if n > 0 {
			if err := g.prepareRetry(n - 1); err != nil {
				return finish, err
			}
		}
		finish, err = g.runAttempt(n > 0)
		if err == nil || g.ctx.Err() != nil {
			break
		}
		var refusal *radishcrank.Refusal
		switch {
		case errors.As(err, &refusal):
			if !g.waitForBusyEngines() {
				return finish, correctOutcome(err, g.reached)
			}
		case errors.Is(err, radishcrank.ErrUpstreamBusy) && g.recordBusy():
		default:
			n++
		}
	}
	if err == nil {
		return finish, nil
	}
	return finish, g.clientError(err)
}

// prepareRetry checks that the content is not known to crash engines, and backs off.
func (g *generation) prepareRetry(n int) error {
	if err := g.relay.cfg.CrashTracker.Check(g.req); err != nil {
		return correctOutcome(err, g.reached)
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
		return g.clientError(context.Cause(g.ctx))
	}
}

// clientError returns the error that is reported to the client after the last attempt
// failed with err.
func (g *generation) clientError(err error) error {
	cause := context.Cause(g.ctx)
	switch {
	case cause == nil:
	case errors.Is(cause, errStreamTimeout):
		return fmt.Errorf("%w: %w", timeoutRefusal(g.reached), err)
	default:
		return fmt.Errorf("%w: %w", cause, err)
	}
	if err := g.relay.cfg.CrashTracker.Check(g.req); err != nil {
		return correctOutcome(err, g.reached)
	}
	return fmt.Errorf("%w: %w", failureRefusal(g.reached), err)
}

// runAttempt runs one attempt, or two if the first token is hedged. An error that
// contains a *Refusal ends the request unless busy engines can be tried again.
func (g *generation) runAttempt(retry bool) (finish radishcrank.Finish, err error) {
	p, err := g.chooseEngine()
	if err != nil {
		return finish, err
	}
	if !g.allowAttempt(p, retry) {
		g.relay.cfg.Chooser.Observe(g.req, p, radishcrank.Observation{Kind: radishcrank.ObservedFailure, Err: radishcrank.ErrUpstreamBusy})
		return finish, failureRefusal(g.reached)
	}
	a := g.openHedged(p)
	for a.upstreamReserved() {
		// The upstream was reserved for a suspect between the choice and the run, which
		// does not count as an attempt.
		g.endAttempt(a, finish, a.err)
		if p, err = g.chooseEngine(); err != nil {
			return finish, err
		}
		a = g.openHedged(p)
	}
	if a.err != nil && a.stream == nil {
		err = a.err
	} else {
		finish, err = a.relayTokens()
	}
	g.endAttempt(a, finish, err)
	return finish, err
}

// endAttempt closes an attempt and records whether it may have reached an engine.
func (g *generation) endAttempt(a *attempt, finish radishcrank.Finish, err error) {
	if err == nil || mayHaveReached(err) {
		g.reached = true
	}
	if a.endRun == nil {
		// The upstream was reserved for another request and may serve this one later.
		g.tried = slices.DeleteFunc(g.tried, func(id radishcrank.UpstreamID) bool { return id == a.placement.Upstream.ID })
	}
	a.close(finish, err)
}

// allowAttempt reports whether the retry budgets allow an attempt. First attempts are
// always allowed and recorded.
func (g *generation) allowAttempt(p radishcrank.Placement, retry bool) bool {
	r := g.relay.cfg.Retrier
	if retry {
		return r.AllowRetry(g.req.Account, p.Upstream.ID)
	}
	r.RecordDispatch(g.req.Account, p.Upstream.ID)
	return true
}

// chooseEngine chooses an engine that has not been tried and is not reserved for
// another request. If only reserved engines are left, it waits for one to be released.
func (g *generation) chooseEngine() (radishcrank.Placement, error) {
	for {
		required, preferred, changed := g.relay.cfg.CrashTracker.ExcludedUpstreams(g.req)
		exclude := append(append(g.tried[:len(g.tried):len(g.tried)], required...), preferred...)
		p, err := g.relay.cfg.Chooser.Choose(g.ctx, g.req, exclude)
		if err != nil && len(preferred) > 0 {
			p, err = g.relay.cfg.Chooser.Choose(g.ctx, g.req, exclude[:len(exclude)-len(preferred)])
		}
		if err == nil {
			return g.checkWeights(p)
		}
		if len(required) == 0 {
			return p, err
		}
		if !g.waitForRelease(changed) {
			return p, err
		}
	}
}

// waitForRelease waits until the reserved upstreams change. It returns false if the
// request's deadline passes first, after which a first token is of no use to the
// client.
func (g *generation) waitForRelease(changed <-chan struct{}) bool {
	wait := maxFirstTokenTimeout
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

// checkWeights rejects a placement on weights other than those that generated the
// delivered tokens, regardless of the chooser's decision.
func (g *generation) checkWeights(p radishcrank.Placement) (radishcrank.Placement, error) {
	g.tried = append(g.tried, p.Upstream.ID)
	if g.req.PinnedWeights == "" || p.Weights == g.req.PinnedWeights {
		return p, nil
	}
	err := fmt.Errorf("%w: engine serves weights %q, want %q", radishcrank.ErrUpstreamBusy, p.Weights, g.req.PinnedWeights)
	g.relay.cfg.Chooser.Observe(g.req, p, radishcrank.Observation{Kind: radishcrank.ObservedFailure, Err: err})
	return p, err
}

// deliver passes the next token to the replay buffer and to the client.
func (g *generation) deliver(t radishcrank.Token, weights radishcrank.WeightsVersion) {
	if ws, ok := g.sink.(radishcrank.WeightsSink); ok && g.req.PinnedWeights != weights {
		ws.SetWeights(weights)
	}
	g.relay.reserve(g.stream, t.Text)
	g.stream.append(t.Text)
	g.lastText, g.hasLastText = t.Text, true
	g.req.ResumeFrom = t.Index + 1
	g.req.PinnedWeights = weights
	if g.sinkErr == nil && !g.stream.clientGone() {
		g.sinkErr = g.sink.Token(t)
		if g.sinkErr != nil {
			g.stream.setClientGone()
		}
	}
	if t.Index%boardUpdateInterval == 0 {
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

// recordAttempt updates the request's entry in the Streams table with a new attempt.
func (g *generation) recordAttempt(p radishcrank.Placement) {
	g.relay.cfg.Board.Streams.Update(g.req.ID, func(s rcboard.Stream, ok bool) (rcboard.Stream, bool) {
		s.Upstream = p.Upstream.ID
		s.Attempts++
		return s, ok
	})
}

// deliverFinish reports the end of the response to the client if it is still connected.
func (g *generation) deliverFinish(f radishcrank.Finish) error {
	if g.sinkErr != nil {
		return errors.Join(errClientGone, g.sinkErr)
	}
	if g.stream.clientGone() {
		return errClientGone
	}
	return g.sink.Finish(f)
}

func isNoProgress(err error) bool { return errors.Is(err, radishcrank.ErrNoProgress) }
