package rcinstance

import (
	"context"
	"time"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/peer/rcrpc"
	"github.com/radishcrank/radishcrank/internal/state/rcfleet"
	"github.com/radishcrank/radishcrank/internal/state/rcorigin"
	"github.com/radishcrank/radishcrank/internal/state/rcwait"
)

const (
	// originTimeout bounds the search for the origin of a stream that a client takes up,
	// which waits meanwhile.
	originTimeout = 400 * time.Millisecond
	// originRetryDelay is the time after which the instances are asked once more, and
	// relayOriginRetryDelay that for relays: an upstream takes some milliseconds to
	// confirm an origin, and its record reaches relays within two of their intervals.
	originRetryDelay      = 50 * time.Millisecond
	relayOriginRetryDelay = 2 * relayUpdateInterval
	// maxQueuedOrigins bounds the records that wait for the next messages, of which each
	// holds maxSentOrigins from each queue.
	maxQueuedOrigins = 2000
	maxSentOrigins   = 120
)

type originAnswer struct {
	Known  bool
	Origin rcorigin.Origin
}

var originMethod = rcrpc.Method[rcorigin.Query, originAnswer]{Name: "StreamOrigin", Timeout: originTimeout}

// streamOrigins shares the origins of streams among the instances. Without relays each
// instance gets the records of all others. With relays, only relays get them, so that
// the messages of other instances do not grow with the fleet, and are asked by them.
type streamOrigins struct {
	registry *rcorigin.Registry
	fleet    *rcfleet.Fleet
	peers    *peerGroup
	// newerEntries returns what the store lists of upstreams that fleet does not know yet.
	newerEntries func(ctx context.Context) (entries []rcfleet.Entry, gone []radishcrank.UpstreamID, err error)
	// recordedAsOnly reports whether a service has had one software version for some time, by
	// the record in the store. An instance that started lately does not know itself.
	recordedAsOnly func(ctx context.Context, service string, version radishcrank.SoftwareVersion, within time.Duration) bool
	// incarnation asks an upstream which incarnation it is.
	incarnation func(ctx context.Context, up radishcrank.Upstream) (radishcrank.Incarnation, error)
}

// Record implements rcforward.Origins.
func (s *streamOrigins) Record(rec rcorigin.Record) {
	s.registry.AddOwn(rec)
	s.peers.mu.Lock()
	defer s.peers.mu.Unlock()
	if len(s.peers.queued.Streams) < maxQueuedOrigins {
		s.peers.queued.Streams = append(s.peers.queued.Streams, rec) // Sent with the next report of loads.
	}
}

// Find implements rcforward.Origins.
func (s *streamOrigins) Find(ctx context.Context, q rcorigin.Query) (o rcorigin.Origin, known bool) {
	return s.find(ctx, q, s.registry.Add)
}

// Inspect implements rcforward.Origins.
func (s *streamOrigins) Inspect(ctx context.Context, q rcorigin.Query) (o rcorigin.Origin, known bool) {
	return s.find(ctx, q, func(...rcorigin.Record) {})
}

// find finds an origin, and keeps what other instances know.
func (s *streamOrigins) find(ctx context.Context, q rcorigin.Query, keep func(...rcorigin.Record)) (o rcorigin.Origin, known bool) {
	ctx, cancel := context.WithTimeout(ctx, originTimeout)
	defer cancel()
	if o, known = s.get(ctx, q); !known {
		if o, known = s.findElsewhere(ctx, q); known && q.Attempt != "" {
			keep(rcorigin.Record{Attempt: q.Attempt, Origin: o})
		}
	}
	if !known {
		o, known = s.getRecorded(ctx, q)
	}
	if known && o.Listed() {
		known = s.Verify(ctx, o)
		o.Upstream, o.Incarnation = "", 0
	}
	return o, known
}

// findElsewhere asks the other instances.
func (s *streamOrigins) findElsewhere(ctx context.Context, q rcorigin.Query) (o rcorigin.Origin, known bool) {
	if versions, _ := s.fleet.SoftwareVersions(q.Service, q.Within); q.Service != "" && len(versions) != 1 {
		q.Service = "" // Other instances have not heard yet that it has several.
	}
	if q.Attempt == "" && q.Service == "" {
		return o, false
	}
	if o, known = s.ask(ctx, q); !known && q.Attempt != "" && rcwait.Sleep(ctx, s.retryDelay()) {
		if o, known = s.get(ctx, q); !known {
			o, known = s.ask(ctx, q)
		}
	}
	return o, known
}

func (s *streamOrigins) retryDelay() time.Duration {
	if s.peers.usesRelays() {
		return relayOriginRetryDelay
	}
	return originRetryDelay
}

// get answers a query from what this instance knows: the record of the attempt, or that
// the service has had one software version for as long as the stream may last.
func (s *streamOrigins) get(ctx context.Context, q rcorigin.Query) (o rcorigin.Origin, known bool) {
	if o, known = s.registry.Get(q.Attempt); known || q.Service == "" {
		return o, known
	}
	versions, complete := s.fleet.SoftwareVersions(q.Service, q.Within)
	if !complete || len(versions) != 1 || versions[0] == "" {
		return o, false
	}
	if !s.isOnlyVersion(ctx, q.Service, versions[0]) {
		return o, false
	}
	return rcorigin.Origin{Service: q.Service, Software: versions[0]}, true
}

// getRecorded answers a query from the record in the store, which also says what was listed
// before all instances restarted.
func (s *streamOrigins) getRecorded(ctx context.Context, q rcorigin.Query) (o rcorigin.Origin, known bool) {
	versions, _ := s.fleet.SoftwareVersions(q.Service, q.Within)
	if q.Service == "" || len(versions) != 1 || versions[0] == "" || s.recordedAsOnly == nil {
		return o, false
	}
	if !s.recordedAsOnly(ctx, q.Service, versions[0], q.Within) || !s.isOnlyVersion(ctx, q.Service, versions[0]) {
		return o, false
	}
	return rcorigin.Origin{Service: q.Service, Software: versions[0]}, true
}

// isOnlyVersion reports whether the newest list names no other software version of a service.
// The stream may have begun, at another instance, on an upstream that this one has not heard
// of.
func (s *streamOrigins) isOnlyVersion(ctx context.Context, service string, version radishcrank.SoftwareVersion) bool {
	if s.newerEntries == nil {
		return true
	}
	entries, gone, err := s.newerEntries(ctx)
	if err != nil {
		return false
	}
	for _, e := range entries {
		if e.Service == service && e.Software != version {
			return false
		}
	}
	for _, id := range gone {
		if _, ok := s.fleet.Get(id); !ok {
			return false // It came and went unseen.
		}
	}
	return true
}

// Verify implements rcforward.Origins. The listed incarnation is the one that began the stream
// if the newest list still names it, or no successor, or one with the same software. If the
// store cannot be read, the upstream itself may say that it has been running all the time.
func (s *streamOrigins) Verify(ctx context.Context, o rcorigin.Origin) bool {
	if s.newerEntries == nil {
		return true
	}
	entries, _, err := s.newerEntries(ctx)
	if listed, ok := s.fleet.Get(o.Upstream); ok {
		entries = append(entries, listed.Entry)
	}
	for _, e := range entries {
		if e.ID == o.Upstream && e.Incarnation != o.Incarnation && e.Software != o.Software {
			return false
		}
	}
	if err == nil {
		return true
	}
	s.peers.instance.log.Info().Str("Event", "OriginInDoubt").Str("Upstream", string(o.Upstream)).Err(err).Send()
	listed, ok := s.fleet.Get(o.Upstream)
	if !ok {
		return false
	}
	incarnation, err := s.incarnation(ctx, listed.Upstream)
	return err == nil && incarnation == o.Incarnation
}

// ask asks all instances that get records, at the same time, and returns the first
// origin that one of them knows.
func (s *streamOrigins) ask(ctx context.Context, q rcorigin.Query) (o rcorigin.Origin, known bool) {
	client := s.peers.client.Load()
	if client == nil {
		return o, false
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	holders := s.peers.originHolders()
	answers := make(chan originAnswer, len(holders))
	for _, to := range holders {
		go func() {
			answer, err := rcrpc.Call(ctx, client, to.Peer, originMethod, q)
			answers <- originAnswer{Known: err == nil && answer.Known, Origin: answer.Origin}
		}()
	}
	for range holders {
		if answer := <-answers; answer.Known {
			return answer.Origin, true
		}
	}
	return o, false
}

// originHolders returns the instances that get records of streams.
func (p *peerGroup) originHolders() (holders []member) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.usesRelaysLocked() {
		for _, m := range p.members {
			holders = append(holders, m.member)
		}
		return holders
	}
	zones := map[string]bool{}
	for _, m := range p.members {
		if zones[m.Zone] {
			continue
		}
		zones[m.Zone] = true
		if relay := p.relayForLocked(m.Zone); relay != nil {
			holders = append(holders, relay.member)
		}
	}
	return holders
}

func (s *streamOrigins) handleQuery(ctx context.Context, _ rcrpc.Identity, q rcorigin.Query) (a originAnswer, err error) {
	a.Origin, a.Known = s.get(ctx, q)
	return a, nil
}
