package rcinstance

import (
	"context"
	"time"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/peer/rcrpc"
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
	// maxQueuedOrigins bounds the records that wait for the next message.
	maxQueuedOrigins = 2000
)

// originQuery asks an instance where the stream began whose first event an attempt
// brought.
type originQuery struct{ Attempt radishcrank.RequestID }

type originAnswer struct {
	Known  bool
	Origin rcorigin.Origin
}

var originMethod = rcrpc.Method[originQuery, originAnswer]{Name: "StreamOrigin", Timeout: originTimeout}

// streamOrigins shares the origins of streams among the instances. Without relays each
// instance gets the records of all others. With relays, only relays get them, so that
// the messages of other instances do not grow with the fleet, and are asked by them.
type streamOrigins struct {
	registry *rcorigin.Registry
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
func (s *streamOrigins) Find(ctx context.Context, attempt radishcrank.RequestID) (o rcorigin.Origin, known bool) {
	if o, known = s.registry.Get(attempt); known {
		return o, true
	}
	ctx, cancel := context.WithTimeout(ctx, originTimeout)
	defer cancel()
	delay := originRetryDelay
	if s.peers.usesRelays() {
		delay = relayOriginRetryDelay
	}
	if o, known = s.ask(ctx, attempt); !known && rcwait.Sleep(ctx, delay) {
		if o, known = s.registry.Get(attempt); !known {
			o, known = s.ask(ctx, attempt)
		}
	}
	if known {
		s.registry.Add(rcorigin.Record{Attempt: attempt, Origin: o})
	}
	return o, known
}

// ask asks all instances that get records, at the same time, and returns the first
// origin that one of them knows.
func (s *streamOrigins) ask(ctx context.Context, attempt radishcrank.RequestID) (o rcorigin.Origin, known bool) {
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
			answer, err := rcrpc.Call(ctx, client, to.Peer, originMethod, originQuery{attempt})
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

func (s *streamOrigins) handleQuery(_ context.Context, _ rcrpc.Identity, q originQuery) (a originAnswer, err error) {
	a.Origin, a.Known = s.registry.Get(q.Attempt)
	return a, nil
}
