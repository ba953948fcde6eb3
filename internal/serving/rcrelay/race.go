package rcrelay

import (
	"io"
	"time"

	"github.com/radishcrank/radishcrank"
)

// minHedgeDelay keeps hedges away from engines whose predicted time is within
// the noise of the network and the scheduler.
const minHedgeDelay = 50 * time.Millisecond

// race starts an attempt and, if its first token is late, a second one on
// another engine. It returns the attempt that goes on, whose first event or
// failure is there; the other one has been closed.
func (g *generation) race(p radishcrank.Placement) *attempt {
	opened := make(chan *attempt, 2)
	g.noteAttempt(p)
	first := g.begin(p, opened)
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
	second := g.hedge(opened)
	if second == nil {
		return <-opened
	}
	return g.settle(first, second, opened)
}

// settle waits for the first of two attempts that works. If both fail, it
// returns the one that failed last.
func (g *generation) settle(first, second *attempt, opened <-chan *attempt) *attempt {
	a := <-opened
	other := first
	if a == first {
		other = second
	}
	if !a.works() {
		g.noteEnd(a, radishcrank.Finish{}, a.err)
		return <-opened
	}
	other.cancel(errSuperseded)
	// The loser is closed in the background: nothing may delay the first token.
	go func() {
		loser := <-opened
		err := loser.err
		if loser.works() {
			err = errSuperseded
		}
		loser.close(radishcrank.Finish{}, err)
	}()
	g.reached = true
	return a
}

// works reports whether an opened attempt can be pumped.
func (a *attempt) works() bool { return a.stream != nil && (a.err == nil || a.finishFits()) }

// finishFits reports whether the attempt ended at once with the finish of an
// answer whose tokens had all been delivered.
func (a *attempt) finishFits() bool {
	if a.err != io.EOF {
		return false
	}
	_, err := a.finished(a.req.ResumeFrom)
	return err == nil
}

// hedgeTimer returns a timer for the moment at which the first token is late,
// or nil if the request must not be hedged. A suspect is not hedged, since it
// would crash two engines instead of one.
func (g *generation) hedgeTimer(p radishcrank.Placement) *time.Timer {
	if p.PredictedTTFT <= 0 || g.relay.cfg.CrashTracker.CrashCount(g.req) > 0 {
		return nil
	}
	delay := time.Duration(g.settings.HedgeDelayFactor * float64(p.PredictedTTFT))
	return time.NewTimer(max(delay, minHedgeDelay))
}

// hedge starts the second attempt, or returns nil if there is no budget or no
// other engine.
func (g *generation) hedge(opened chan<- *attempt) *attempt {
	must, _, _ := g.relay.cfg.CrashTracker.ExcludedUpstreams(g.req)
	exclude := append(g.tried[:len(g.tried):len(g.tried)], must...)
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
	g.noteAttempt(p)
	return g.begin(p, opened)
}
