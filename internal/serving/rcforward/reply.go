package rcforward

import (
	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/routing/rcaffinity"
	"github.com/radishcrank/radishcrank/internal/state/rcmetric"
)

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
