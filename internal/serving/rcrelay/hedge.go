package rcrelay

import (
	"io"
	"time"

	"github.com/radishcrank/radishcrank"
)

// minHedgeDelay prevents hedging on predictions that are shorter than the variation of
// network and scheduling delays.
const minHedgeDelay = 50 * time.Millisecond

// openHedged starts an attempt and, if its first token is late, a second one on another
// engine. It returns the attempt to continue with, which has received its first event
// or failed. The other attempt is closed.
func (g *generation) openHedged(p radishcrank.Placement) *attempt {
	opened := make(chan *attempt, 2)
	g.recordAttempt(p)
	first := g.startAttempt(p, opened)
	timer := g.hedgeTimer(p)
	if timer == nil {
		return <-opened
	}
	defer timer.Stop()
	select {
	case a := <-opened:
		return a
	case <-timer.C:
	}
	second := g.startHedge(opened)
	if second == nil {
		return <-opened
	}
	return g.awaitWinner(first, second, opened)
}

// awaitWinner waits for the first usable one of two attempts. If both fail, it returns
// the one that failed last.
func (g *generation) awaitWinner(first, second *attempt, opened <-chan *attempt) *attempt {
	a := <-opened
	other := first
	if a == first {
		other = second
	}
	if !a.usable() {
		g.endAttempt(a, radishcrank.Finish{}, a.err)
		return <-opened
	}
	other.cancel(errSuperseded)
	// The other attempt is closed in the background so that it does not delay the first
	// token.
	go func() {
		loser := <-opened
		err := loser.err
		if loser.usable() {
			err = errSuperseded
		}
		loser.close(radishcrank.Finish{}, err)
	}()
	g.reached = true
	return a
}

// usable reports whether an opened attempt can deliver the rest of the response.
func (a *attempt) usable() bool { return a.stream != nil && (a.err == nil || a.hasValidFinish()) }

// hasValidFinish reports whether the first event was the finish of a response whose
// tokens had all been delivered before the attempt.
func (a *attempt) hasValidFinish() bool {
	if a.err != io.EOF {
		return false
	}
	_, err := a.validateFinish(a.req.ResumeFrom)
	return err == nil
}

// hedgeTimer returns a timer that fires when the first token is late, or nil if the
// request must not be hedged. Requests suspected of crashing engines are not hedged,
// since they could crash two engines instead of one.
func (g *generation) hedgeTimer(p radishcrank.Placement) *time.Timer {
	if p.PredictedTTFT <= 0 || g.relay.cfg.CrashTracker.CrashCount(g.req) > 0 {
		return nil
	}
	delay := time.Duration(g.settings.HedgeDelayFactor * float64(p.PredictedTTFT))
	return time.NewTimer(max(delay, minHedgeDelay))
}

// startHedge starts the second attempt. It returns nil if the hedging budget is empty or
// no other engine is available.
func (g *generation) startHedge(opened chan<- *attempt) *attempt {
	required, _, _ := g.relay.cfg.CrashTracker.ExcludedUpstreams(g.req)
	exclude := append(g.tried[:len(g.tried):len(g.tried)], required...)
	p, err := g.relay.cfg.Chooser.Choose(g.ctx, g.req, exclude)
	if err != nil {
		return nil
	}
	if p, err = g.checkWeights(p); err != nil {
		return nil
	}
	if !g.relay.cfg.Retrier.AllowHedge() {
		g.tried = g.tried[:len(g.tried)-1]
		g.relay.cfg.Chooser.Observe(g.req, p, radishcrank.Observation{Kind: radishcrank.ObservedFailure, Err: radishcrank.ErrUpstreamBusy})
		return nil
	}
	g.recordAttempt(p)
	return g.startAttempt(p, opened)
}
