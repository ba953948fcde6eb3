package rcforward

import (
	"cmp"
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/state/rcfleet"
	"github.com/radishcrank/radishcrank/internal/state/rcmetric"
	"github.com/radishcrank/radishcrank/internal/state/rcorigin"
)

// confirmTimeout bounds how long the confirmation of an origin may take after the client
// has left.
const confirmTimeout = time.Second

// defaultStreamTime is how long streams may last on routes without a timeout.
const defaultStreamTime = time.Minute

// Origins knows where streams began.
type Origins interface {
	// Record records the origin of the stream whose first event an attempt has brought.
	Record(rec rcorigin.Record)
	// Find returns the origin of a stream if it is certain, and asks the other instances if
	// this one does not know it.
	Find(ctx context.Context, q rcorigin.Query) (o rcorigin.Origin, known bool)
	// Inspect returns what Find would, and does not keep what other instances know.
	Inspect(ctx context.Context, q rcorigin.Query) (o rcorigin.Origin, known bool)
	// Verify reports whether an origin that only the list of upstreams says is certain by now.
	Verify(ctx context.Context, o rcorigin.Origin) bool
}

// streamOrigin is where the stream of a dispatch began. What two software versions write
// does not fit together, so it goes on only at the same one, and only if that is certain.
type streamOrigin struct {
	rcorigin.Origin
	pinned  bool          // The client has events of the stream.
	known   atomic.Bool   // The software version is certain.
	settled chan struct{} // Closed when that has been found out; nil if it needs no time.
}

// originKnown reports whether it is certain where the stream began. It waits for an
// upstream that has been asked, or for the newest list.
func (d *dispatch) originKnown() bool {
	if d.origin.settled != nil {
		select {
		case <-d.origin.settled:
		case <-d.ctx.Done():
		}
	}
	if d.origin.known.Load() && d.origin.Listed() {
		d.origin.known.Store(d.f.cfg.Origins.Verify(d.ctx, d.origin.Origin))
		d.origin.Upstream = ""
	}
	return d.origin.known.Load()
}

// unknownOrigin is why a stream that a client takes up is refused.
const unknownOrigin = "it is unknown on which software version the stream began"

// takesUp reports whether the client takes up a stream of which it has a part.
func (d *dispatch) takesUp() bool { return d.x.Route.Stream && d.x.LastEventID != "" }

// originQuery asks where the stream began that a client takes up.
func (d *dispatch) originQuery() rcorigin.Query {
	q := rcorigin.Query{Attempt: d.x.Resumes}
	if len(d.x.Services) == 1 {
		q.Service, q.Within = d.x.Service, cmp.Or(d.x.Route.Timeout, defaultStreamTime)
	}
	return q
}

// pinTo lets the stream that a client takes up go on only where it began. It reports false if
// that is unknown, or is not on the route.
func (d *dispatch) pinTo(o rcorigin.Origin, known bool) bool {
	d.origin.pinned = true
	if !known || !slices.Contains(d.x.Services, o.Service) {
		return false
	}
	d.origin.Origin, d.x.Service = o, o.Service
	d.origin.known.Store(true)
	return true
}

// findOrigin finds out where the stream began that a client takes up. It reports false
// if that is unknown.
func (d *dispatch) findOrigin() bool {
	x := d.x
	o, known := d.f.cfg.Origins.Find(d.ctx, d.originQuery())
	known = d.pinTo(o, known)
	d.f.cfg.Metrics.Add(rcmetric.StreamsTakenUp, 1)
	if !known {
		d.f.cfg.Metrics.Add(rcmetric.StreamsUnknown, 1)
	}
	d.f.cfg.Log.Info().Str("Event", "StreamTakenUp").Str("Request", string(x.ID)).Str("Resumes", string(x.Resumes)).
		Str("LastEvent", x.LastEventID).Str("Software", string(o.Software)).Bool("Known", known).Send()
	return known
}

// eligible drops the upstreams at which the stream must not go on.
func (d *dispatch) eligible(states []rcfleet.State) []rcfleet.State {
	if !d.origin.pinned {
		return states
	}
	return slices.DeleteFunc(states, func(s rcfleet.State) bool { return !d.mayHold(&s) })
}

// mayHold reports whether the stream may begin or go on at an upstream.
func (d *dispatch) mayHold(s *rcfleet.State) bool {
	return !d.origin.pinned || s.Software == d.origin.Software
}

// pinOrigin records where the stream begins, right before its first event is forwarded. The
// listed version is uncertain, since the upstream may have restarted with another one. While
// a service has one version, it is verified when the stream is to go on elsewhere; otherwise,
// and while the list cannot be read, the upstream has to confirm it now.
func (d *dispatch) pinOrigin(up radishcrank.Upstream, conn radishcrank.Connection) {
	if d.origin.pinned {
		return
	}
	d.origin.pinned = true
	d.origin.Origin = rcorigin.Origin{Service: d.x.Service, Software: up.Software}
	if d.x.Route.Retry != radishcrank.RetryResume || up.Software == "" {
		return
	}
	record := func() {
		d.origin.known.Store(true)
		d.f.cfg.Origins.Record(rcorigin.Record{Attempt: d.x.ID, Origin: d.origin.Origin})
	}
	if confirmed(up, conn) {
		record()
		return
	}
	if versions, _ := d.f.cfg.Fleet.SoftwareVersions(d.x.Service, defaultStreamTime); len(versions) == 1 && d.f.cfg.Fleet.Reachable() {
		d.origin.Upstream, d.origin.Incarnation = up.ID, up.Incarnation
		record()
		return
	}
	// The client may leave before the upstream confirms, and then take the stream up.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(d.ctx), confirmTimeout)
	d.origin.settled = make(chan struct{})
	go func() {
		defer close(d.origin.settled)
		defer cancel()
		if d.confirm(ctx, up, conn) {
			record()
		}
	}()
}

// confirmed reports whether a connection is known to lead to the listed incarnation of an
// upstream.
func confirmed(up radishcrank.Upstream, conn radishcrank.Connection) bool {
	return conn != nil && conn.Incarnation() != 0 && conn.Incarnation() == up.Incarnation
}

// confirm reports whether an upstream runs the software that is listed, by asking it for
// its incarnation. If that is the one that was listed before the stream was sent, it has
// been running all the time since, also if the stream has ended meanwhile.
func (d *dispatch) confirm(ctx context.Context, up radishcrank.Upstream, conn radishcrank.Connection) bool {
	if confirmed(up, conn) {
		return true
	}
	incarnation, err := d.f.cfg.Incarnation(ctx, up)
	if err != nil && ctx.Err() == nil {
		incarnation, err = d.f.cfg.Incarnation(ctx, up) // The connection may have been stale.
	}
	if err != nil || incarnation != up.Incarnation {
		return false
	}
	if conn != nil {
		conn.SetIncarnation(incarnation)
	}
	return true
}
