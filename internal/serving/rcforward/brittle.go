package rcforward

import (
	"time"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/routing/rcdetour"
	"github.com/radishcrank/radishcrank/internal/state/rcfleet"
	"github.com/radishcrank/radishcrank/internal/state/rcmetric"
)

// Upstreams that are brittle fall over if they have to turn away too many requests in a
// second. The instances therefore do not fill their queues: each uses only those slots that
// it owns, and an instance without any sends its requests through one that has some. This
// answers the load pattern of many instances that find the same upstream full at once.

// maxBrittlePause bounds how long an instance leaves a brittle upstream alone.
const maxBrittlePause = 10 * time.Second

// slotShare returns the number of requests that this instance may have at an upstream that
// is brittle.
func (f *Forwarder) slotShare(s *rcfleet.State) int {
	slots := slotsOf(s)
	if f.cfg.Slots == nil {
		return slots
	}
	return f.cfg.Slots.Share(s.ID, slots)
}

// slotsOf returns the number of slots of an upstream, as listed or else as reported.
func slotsOf(s *rcfleet.State) int {
	if s.Slots > 0 {
		return s.Slots
	}
	return max(1, s.Reported.Slots)
}

// ownsNoSlots reports whether this instance has no share of any upstream, because all of
// them are brittle and their slots belong to other instances.
func (d *dispatch) ownsNoSlots(states []rcfleet.State) bool {
	brittle := false
	for i := range states {
		s := &states[i]
		switch {
		case s.Leaving:
		case s.Brittle == 0 || d.f.slotShare(s) > 0:
			return false
		default:
			brittle = true
		}
	}
	return brittle
}

// slotOwners returns the other instances that own slots of upstreams, each as often as it
// owns one.
func (d *dispatch) slotOwners(states []rcfleet.State) (owners []radishcrank.InstanceID) {
	for i := range states {
		if s := &states[i]; !s.Leaving && !s.Suspect {
			owners = append(owners, d.f.cfg.Slots.Owners(s.ID, slotsOf(s))...)
		}
	}
	return owners
}

// brittlePause returns how long an instance leaves a brittle upstream alone after this has
// turned a request away, so that all senders together have no more than the tolerated number
// of requests turned away in a second.
func brittlePause(refusals, senders int) time.Duration {
	return min(maxBrittlePause, time.Duration(max(1, senders))*time.Second/time.Duration(max(1, refusals)))
}

// observeBrittle records whether an upstream says that it is brittle.
func (d *dispatch) observeBrittle(up radishcrank.Upstream, reply *radishcrank.Reply) {
	cfg := &d.f.cfg
	if !fromUpstream(up, reply) {
		return
	}
	d.setBrittle(up.Service, reply.Brittle)
	if reply.Brittle == 0 {
		return
	}
	cfg.Metrics.Add(rcmetric.BrittleReplies, 1)
	if reply.Class == radishcrank.ReplyBusy {
		senders := 1
		if s, ok := cfg.Fleet.Get(up.ID); ok && cfg.Slots != nil {
			senders = cfg.Slots.Senders(slotsOf(&s))
		}
		cfg.Fleet.Pause(up.ID, up.Incarnation, brittlePause(reply.Brittle, senders))
	}
}

// setBrittle records whether the upstreams of a service say that they are brittle.
func (d *dispatch) setBrittle(service string, refusals int) {
	if d.f.cfg.Fleet.SetBrittle(service, refusals, d.sentAt) {
		d.f.cfg.Log.Info().Str("Event", "ServiceBrittle").Str("Service", service).Int("Refusals", refusals).Send()
	}
}

// tellBrittle tells the instance that sent an exchange through this one whether the
// upstreams are brittle. It may have no other way to learn that.
func (d *dispatch) tellBrittle() {
	if n := d.f.cfg.Fleet.Brittle(d.x.Service); d.x.Detoured && n > 0 {
		rcdetour.SetBrittle(d.w.Header(), n)
	}
}
