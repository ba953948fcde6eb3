package rcforward

import (
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/routing/rcdetour"
	"github.com/radishcrank/radishcrank/internal/state/rcfleet"
	"github.com/radishcrank/radishcrank/internal/state/rcmetric"
)

// maxDetours limits the instances that do not respond to one exchange, and maxRefusedDetours
// those that refuse it because they cannot serve it either, which takes little time.
const (
	maxDetours        = 3
	maxRefusedDetours = 10
)

// errNoSlots reports that the upstreams are brittle, and that no instance that owns slots of
// them helped.
var errNoSlots = errors.New("upstreams are brittle, and no instance with a share of them took it")

// errNoDetour reports that the upstreams were out of reach and no other instance helped.
var errNoDetour = errors.New("upstreams are out of reach, also through other instances")

// outOfReach reports whether this instance cannot send the exchange: it reaches no upstream
// of the service, or none of those that it has tried.
func (d *dispatch) outOfReach(states []rcfleet.State) bool {
	return d.unreached > 0 && d.unreached == d.attempts || d.cutOff(states)
}

// saysOutOfReach reports whether a refusal tells the instance that sent the exchange here that
// this one is cut off, too. Upstreams that have failed for another reason are busy.
func (d *dispatch) saysOutOfReach() bool {
	return d.x.Detoured && (d.f.cfg.Links.Cut(d.x.Service) || d.unreached > 0 && (d.noneHealthy || d.unreached == d.attempts))
}

// cutOff reports whether this instance reaches no upstream of the service.
func (d *dispatch) cutOff(states []rcfleet.State) bool {
	return d.f.cfg.Links.Cut(d.x.Service) || rcdetour.OutOfReach(states)
}

// Reasons for which an exchange takes no detour, or no further one.
const (
	detoursUnused    = "Unused" // There are no other instances.
	detourOfDetour   = "Detoured"
	detourTaken      = "Taken"
	detourBegun      = "Begun" // The client has part of the response.
	detourOutOfTime  = "OutOfTime"
	detourMayHaveRun = "MayHaveRun"
	detourInReach    = "InReach" // The upstreams count as within reach.
)

// mayDetour reports whether the exchange may be sent through another instance: the client
// has nothing yet, and the exchange has not run or may run again.
func (d *dispatch) mayDetour() bool { return d.detourObstacle() == "" }

// detourObstacle returns why the exchange may not be sent through another instance, or ""
// if it may.
func (d *dispatch) detourObstacle() string {
	x := d.x
	switch {
	case d.f.cfg.Detours == nil:
		return detoursUnused
	case x.Detoured:
		return detourOfDetour
	case d.detoured:
		return detourTaken
	case d.response.started || d.failure != nil:
		return detourBegun
	case d.ctx.Err() != nil || time.Until(x.Deadline) < minSendTime:
		return detourOutOfTime
	case d.runs > 0 && (x.Route.Retry == radishcrank.RetryNever || d.runs >= max(1, x.Route.MaxAttempts)):
		return detourMayHaveRun
	}
	return ""
}

// giveUp ends an exchange that this instance cannot send to any further upstream.
func (d *dispatch) giveUp() error {
	if d.mayDetour() && d.outOfReach(d.states()) {
		if done, err := d.detour(); done {
			return err
		}
	}
	return d.finishWithoutAnswer()
}

// states returns the upstreams to which the exchange may be sent.
func (d *dispatch) states() []rcfleet.State {
	return d.eligible(d.f.appendStates(d.x.Service, nil))
}

// detour sends the exchange through other instances, one after the other, until it may have
// run. done reports that the client has its final response.
func (d *dispatch) detour() (done bool, err error) {
	done, err = d.detourThroughAny(func(tried []radishcrank.InstanceID) (rcdetour.Instance, bool) {
		return d.f.cfg.Detours.Pick(d.x.Service, tried)
	})
	if !done && (d.runs == 0 || d.x.Route.Retry != radishcrank.RetryNever) {
		d.cause = errors.Join(errNoDetour, d.cause)
	}
	return done, err
}

// detourToOwner sends the exchange through instances that own slots of the upstreams, which
// are brittle.
func (d *dispatch) detourToOwner(states []rcfleet.State) (done bool, err error) {
	owners := d.slotOwners(states)
	done, err = d.detourThroughAny(func(tried []radishcrank.InstanceID) (rcdetour.Instance, bool) {
		return d.f.cfg.Detours.PickOwner(d.x.Service, owners, tried)
	})
	if !done {
		d.cause = errors.Join(errNoSlots, d.cause)
	}
	return done, err
}

func (d *dispatch) detourThroughAny(pick func(tried []radishcrank.InstanceID) (rcdetour.Instance, bool)) (done bool, err error) {
	d.detoured = true
	var tried []radishcrank.InstanceID
	for d.refusedDetours < maxRefusedDetours && len(tried)-d.refusedDetours < maxDetours && d.ctx.Err() == nil {
		if d.runs > 0 && !d.f.cfg.Budget.AllowRetry(d.x.Service) {
			d.f.cfg.Metrics.Add(rcmetric.RepeatsDenied, 1)
			return false, nil
		}
		through, ok := pick(tried)
		if !ok {
			break
		}
		tried = append(tried, through.ID)
		if done, err = d.detourThrough(through); done || err != nil {
			return true, err
		}
		if d.runs > 0 && d.x.Route.Retry == radishcrank.RetryNever {
			return false, nil
		}
	}
	return false, nil
}

// detourThrough sends the exchange through one instance.
func (d *dispatch) detourThrough(through rcdetour.Instance) (done bool, err error) {
	cfg, x := &d.f.cfg, d.x
	cfg.Metrics.Add(rcmetric.Detours, 1)
	d.sentAt = time.Now()
	reply, err := cfg.DetourSender.SendThrough(d.ctx, through.Addr, x, time.Until(x.Deadline))
	if err != nil {
		d.cause = err
		if !errors.Is(err, radishcrank.ErrNotSent) {
			d.runs++
			d.runsElsewhere++
		}
		if d.ctx.Err() == nil {
			cfg.Detours.Avoid(through.ID)
		}
		d.logDetour(through, 0, err)
		return false, nil
	}
	defer reply.Body.Close()
	d.logDetour(through, reply.Status, nil)
	if reply.Class != radishcrank.ReplyInvalid {
		d.setBrittle(x.Service, reply.Brittle)
	}
	switch {
	case reply.Class == radishcrank.ReplyMisdirected && reply.Header.Get(rcdetour.Header) == rcdetour.OutOfReachValue:
		cfg.Detours.AvoidOutOfReach(through, d.x.Service)
		d.refusedDetours++
		return false, nil
	case reply.Class == radishcrank.ReplyMisdirected && reply.Header.Get(rcdetour.Header) == rcdetour.NoSlotsValue:
		d.refusedDetours++
		return false, nil
	case reply.Class == radishcrank.ReplyMisdirected:
		cfg.Detours.Avoid(through.ID)
		return false, nil
	case reply.Class == radishcrank.ReplyInvalid:
		d.runs++
		d.runsElsewhere++
		return false, nil
	case reply.Class == radishcrank.ReplyBusy && d.runs > 0:
		return false, nil // This attempt has not run, and an earlier one may have.
	}
	return true, d.forwardDetoured(reply)
}

// forwardDetoured forwards the reply of another instance, as it arrives.
func (d *dispatch) forwardDetoured(reply *radishcrank.Reply) error {
	copyHeader(d.w.Header(), reply.Header)
	d.w.WriteHeader(reply.Status)
	d.response.started = true
	flusher := http.NewResponseController(d.w)
	buf := make([]byte, 4<<10)
	for {
		n, err := reply.Body.Read(buf)
		if n > 0 {
			if _, werr := d.w.Write(buf[:n]); werr != nil {
				return ErrTruncated
			}
			if d.x.Route.Stream && flusher.Flush() != nil {
				return ErrTruncated
			}
		}
		switch {
		case err == io.EOF:
			return nil
		case err != nil:
			d.cause = err
			d.logEnd(rcmetric.Cut, reply.Status)
			return ErrTruncated
		}
	}
}

func (d *dispatch) logDetour(through rcdetour.Instance, status int, err error) {
	e := d.f.cfg.Log.Info().Str("Event", "Detour").Str("Request", string(d.x.ID)).Str("Through", string(through.ID)).Str("ThroughZone", string(through.Zone)).
		Int("Status", status).Int64("AgeMS", time.Since(d.x.ReceivedAt).Milliseconds())
	if err != nil {
		e = e.Str("Cause", err.Error())
	}
	e.Send()
}
