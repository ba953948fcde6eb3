package rcinstance

import (
	"context"
	"time"

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
}

// Record implements rcforward.Origins.
func (s *streamOrigins) Record(rec rcorigin.Record) {
	s.registry.Add(rec)
	s.peers.mu.Lock()
	defer s.peers.mu.Unlock()
	if len(s.peers.queued.Streams) < maxQueuedOrigins {
		s.peers.queued.Streams = append(s.peers.queued.Streams, rec) // Sent with the next report of loads.
	}
}

// Find implements rcforward.Origins.
func (s *streamOrigins) Find(ctx context.Context, q rcorigin.Query) (o rcorigin.Origin, known bool) {
	if o, known = s.get(q); known {
		return o, true
	}
	if versions, _ := s.fleet.SoftwareVersions(q.Service, q.Within); q.Service != "" && len(versions) != 1 {
		q.Service = "" // Other instances have not heard yet that it has several.
	}
	if q.Attempt == "" && q.Service == "" {
		return o, false
	}
	ctx, cancel := context.WithTimeout(ctx, originTimeout)
	defer cancel()
	if o, known = s.ask(ctx, q); !known && q.Attempt != "" && rcwait.Sleep(ctx, s.retryDelay()) {
		if o, known = s.get(q); !known {
			o, known = s.ask(ctx, q)
		}
	}
	if known && q.Attempt != "" {
		s.registry.Add(rcorigin.Record{Attempt: q.Attempt, Origin: o})
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
func (s *streamOrigins) get(q rcorigin.Query) (o rcorigin.Origin, known bool) {
	if o, known = s.registry.Get(q.Attempt); known || q.Service == "" {
		return o, known
	}
	versions, complete := s.fleet.SoftwareVersions(q.Service, q.Within)
	if !complete || len(versions) != 1 || versions[0] == "" {
		return o, false
	}
	return rcorigin.Origin{Service: q.Service, Software: versions[0]}, true
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

func (s *streamOrigins) handleQuery(_ context.Context, _ rcrpc.Identity, q rcorigin.Query) (a originAnswer, err error) {
	a.Origin, a.Known = s.get(q)
	return a, nil
}
