package rcinstance

import (
	"slices"
	"time"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/state/rcfleet"
)

// findings are what an instance tells of upstreams that do not answer. Claims go
// to the relays, which judge, or to all instances where there are none; relays
// tell their zones verdicts. Times are Unix milliseconds of the store's clock, so
// that a message that lay in a frozen process shows its age.
type findings struct {
	Claims      []claim
	Verdicts    []verdict
	Refutations []refutation
}

type claim struct {
	Upstream  radishcrank.UpstreamID
	Born      radishcrank.Incarnation
	By        radishcrank.InstanceID
	Begun, At int64
}

type verdict struct {
	Upstream  radishcrank.UpstreamID
	Born      radishcrank.Incarnation
	Begun, At int64
}

type refutation struct {
	Upstream radishcrank.UpstreamID
	Born     radishcrank.Incarnation
	At       int64
}

func (f *findings) empty() bool {
	return len(f.Claims) == 0 && len(f.Verdicts) == 0 && len(f.Refutations) == 0
}

func (f findings) join(o findings) findings {
	joined := findings{Claims: slices.Concat(f.Claims, o.Claims), Verdicts: slices.Concat(f.Verdicts, o.Verdicts)}
	for _, r := range slices.Concat(f.Refutations, o.Refutations) {
		joined.refute(r)
	}
	return joined
}

// refute adds a refutation. Of those of one upstream the newest one is kept: a
// verdict may be contradicted by all instances of a zone at once.
func (f *findings) refute(r refutation) {
	for i := range f.Refutations {
		if o := &f.Refutations[i]; o.Upstream == r.Upstream && o.Born == r.Born {
			o.At = max(o.At, r.At)
			return
		}
	}
	f.Refutations = append(f.Refutations, r)
}

// collectFindings takes what this instance has found out since the last call.
// Nothing can be told before the store's clock is known.
func (p *peers) collectFindings() (out findings) {
	found := p.i.fleet.Findings()
	p.logJudged(found.Verdicts)
	now, stored := time.Now(), p.i.clock.Now()
	if stored.IsZero() {
		return findings{}
	}
	ms := func(t time.Time) int64 { return stored.Add(t.Sub(now)).UnixMilli() }
	by := radishcrank.InstanceID(p.i.settings.Instance)
	for _, c := range found.Claims {
		out.Claims = append(out.Claims, claim{Upstream: c.Upstream, Born: c.Incarnation, By: by, Begun: ms(c.Begun), At: ms(c.At)})
	}
	for _, v := range found.Verdicts {
		out.Verdicts = append(out.Verdicts, verdict{Upstream: v.Upstream, Born: v.Incarnation, Begun: ms(v.Begun), At: ms(v.At)})
	}
	for _, r := range found.Refutations {
		out.Refutations = append(out.Refutations, refutation{Upstream: r.Upstream, Born: r.Incarnation, At: ms(r.At)})
	}
	return out
}

// takeFindings takes in what another instance told and returns what of it a
// relay passes on: refutations of other zones only where they change something.
func (p *peers) takeFindings(told findings, ownZone bool) (pass findings) {
	now, stored := time.Now(), p.i.clock.Now()
	if told.empty() || stored.IsZero() {
		return findings{}
	}
	local := func(ms int64) time.Time { return now.Add(time.UnixMilli(ms).Sub(stored)) }
	for _, c := range told.Claims {
		p.i.fleet.Claim(rcfleet.Claim{Upstream: c.Upstream, Incarnation: c.Born, By: c.By, Begun: local(c.Begun), At: local(c.At)})
		if ownZone {
			pass.Claims = append(pass.Claims, c)
		}
	}
	for _, v := range told.Verdicts {
		judged := rcfleet.Verdict{Upstream: v.Upstream, Incarnation: v.Born, Begun: local(v.Begun), At: local(v.At)}
		if p.i.fleet.Judge(judged) {
			p.logJudged([]rcfleet.Verdict{judged})
		}
	}
	for _, r := range told.Refutations {
		if p.i.fleet.Refute(rcfleet.Refutation{Upstream: r.Upstream, Incarnation: r.Born, At: local(r.At)}) || ownZone {
			pass.Refutations = append(pass.Refutations, r)
		}
	}
	return pass
}

func (p *peers) logJudged(verdicts []rcfleet.Verdict) {
	for _, v := range verdicts {
		p.i.log.Info().Str("Event", "UpstreamLeftAlone").Str("Upstream", string(v.Upstream)).
			Int64("SilentMS", time.Since(v.Begun).Milliseconds()).Send()
	}
}
