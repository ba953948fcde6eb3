package rcforward

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/routing/rcaffinity"
	"github.com/radishcrank/radishcrank/internal/state/rcfleet"
)

// selectUpstream chooses an upstream. While all of them load weights or are
// excluded, it waits for part of the latency target, so that a request that
// cannot be served is refused early.
func (d *dispatch) selectUpstream() (choice rcaffinity.Choice, ok bool) {
	f, x := d.f, d.x
	limit := d.queueDeadline()
	var buf []rcfleet.State
	for {
		changed := f.cfg.Fleet.Changed()
		buf = d.eligible(f.appendStates(x.Service, buf[:0]))
		excluded, _, released := f.cfg.Guard.ExcludedUpstreams(d.guardRequest)
		now := time.Now()
		choice, ok, wait := d.place(buf, d.affinityRequest(excluded), now)
		if ok || wait <= 0 || now.Add(wait).After(limit) {
			return choice, ok
		}
		timer := time.NewTimer(wait)
		select {
		case <-changed:
		case <-released:
		case <-timer.C:
		case <-d.ctx.Done():
			timer.Stop()
			return choice, false
		}
		timer.Stop()
	}
}

// place decides on one look at the upstreams. If none is usable, wait is how long until one is
// expected to be; 0 means that waiting is of no use. It may reorder states.
func (d *dispatch) place(states []rcfleet.State, req rcaffinity.Request, now time.Time) (choice rcaffinity.Choice, ok bool, wait time.Duration) {
	if d.x.Detoured && d.f.cfg.Links.Cut(d.x.Service) || d.mayDetour() && d.cutOff(states) {
		return choice, false, 0 // Other instances may reach an upstream now.
	}
	if d.ownsNoSlots(states) {
		return choice, false, 0
	}
	d.awaitPlace(states, now, d.queueDeadline())
	if choice, ok = d.choose(req, states, now); ok {
		return choice, true, 0
	}
	untried := slices.DeleteFunc(states, func(s rcfleet.State) bool { return d.tried[s.ID] })
	return choice, false, untilUsable(untried, now)
}

// appendStates appends the states of a service's upstreams, with those throttled that
// may get no request from this instance now.
func (f *Forwarder) appendStates(service string, buf []rcfleet.State) []rcfleet.State {
	return f.appendStatesWith(service, buf, f.cfg.Quota.Throttled)
}

func (f *Forwarder) appendStatesWith(service string, buf []rcfleet.State, throttled throttledFunc) []rcfleet.State {
	buf = f.cfg.Fleet.AppendStates(service, buf)
	for i := range buf {
		_, buf[i].Throttled = throttled(buf[i].Upstream)
		buf[i].Full = buf[i].Brittle > 0 && buf[i].Running >= f.slotShare(&buf[i])
	}
	f.avoidCutZones(buf)
	return buf
}

// avoidCutZones marks the upstreams of zones that are out of reach as suspect. If no other one
// is within reach, this instance itself may be cut off, which Links decides.
func (f *Forwarder) avoidCutZones(states []rcfleet.State) {
	reachable := slices.ContainsFunc(states, func(s rcfleet.State) bool {
		return s.Zone == f.cfg.Zone && !s.Leaving && !s.Suspect && !s.Probing
	})
	for i := range states {
		s := &states[i]
		s.Suspect = s.Suspect || reachable && s.Zone != f.cfg.Zone && f.cfg.Zones.Cut(s.Zone)
	}
}

const (
	// busyPollInterval and fullPollInterval are how often a waiting exchange looks whether
	// an upstream has become usable that is excluded, or full.
	busyPollInterval = 50 * time.Millisecond
	fullPollInterval = 5 * time.Millisecond
)

// queueDeadline returns until when an exchange may wait for an upstream: for
// part of the latency target or, once the client has part of the response,
// until the deadline.
func (d *dispatch) queueDeadline() time.Time {
	if d.response.started {
		return d.x.Deadline
	}
	return d.x.ReceivedAt.Add(d.x.Route.LatencyTarget * 3 / 4)
}

// untilUsable returns how long until an upstream is expected to be usable
// again; 0 means that there is none.
func untilUsable(states []rcfleet.State, now time.Time) (wait time.Duration) {
	for i := range states {
		s := &states[i]
		if s.Leaving || s.Throttled {
			continue // A request beyond a rate limit must not wait.
		}
		d := busyPollInterval // An upstream that is excluded or runs a suspect may become usable at any moment.
		if s.Full {
			d = fullPollInterval
		}
		if s.Loading(now) {
			d = s.LoadingUntil.Sub(now)
		}
		if s.Suspect {
			d = max(d, s.SuspectUntil.Sub(now))
		}
		if s.Paused(now) {
			d = max(d, s.PausedUntil.Sub(now))
		}
		if wait == 0 || d < wait {
			wait = d
		}
	}
	return wait
}

func (d *dispatch) affinityRequest(excluded []radishcrank.UpstreamID) rcaffinity.Request {
	f, x := d.f, d.x
	return rcaffinity.Request{
		Zone:  f.cfg.Zone,
		Model: x.Model,
		Parts: x.PromptParts,
		Salt:  func(w radishcrank.WeightsVersion) string { return CacheSalt(x, w) },
		CachedPrefixes: func(salt string) map[rcfleet.UpstreamKey]rcfleet.CachedPrefix {
			return f.cfg.Fleet.CachedPrefixes(salt, x.PromptParts)
		},
		KVStores:       f.cfg.KVStores(),
		TargetHistory:  f.cfg.Weights(x.Model),
		MaxReplacedAge: d.oldWeightsLimit(oldWeightsMargin),
		Exclude: func(id radishcrank.UpstreamID) bool {
			if d.tried[id] {
				return true
			}
			for _, m := range excluded {
				if m == id {
					return true
				}
			}
			return false
		},
		Spread:        xxhash.Sum64String(string(x.ID)),
		LatencyTarget: x.Route.LatencyTarget,
		MaxEventGap:   x.Route.MaxEventGap,
		PauseRatio:    f.longGapRatio.value(),
		MaxWait:       d.admissionParams(0).MaxWait(),
	}
}

// CacheSalt returns the scope in which cached prompt parts may be reused: the
// model and weights and, for an isolated account, that account alone. Account
// names contain no slash after their last character, so scopes are unambiguous.
func CacheSalt(x *radishcrank.Exchange, w radishcrank.WeightsVersion) string {
	salt := string(x.Model) + "/" + string(w)
	if x.Isolated {
		salt += "/" + string(x.Account)
	}
	return salt
}
