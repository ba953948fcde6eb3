package rcinstance

import (
	"context"
	"time"

	"github.com/radishcrank/radishcrank/internal/peer/rcrpc"
	"github.com/radishcrank/radishcrank/internal/state/rcorigin"
	"github.com/radishcrank/radishcrank/internal/state/rcwait"
)

// Records of streams are sent once, to the instances that respond at that moment. An instance
// that has just started, has become a relay or could not be reached asks for those it has
// missed, so that they outlive the instances at which the streams began.

const (
	missedOriginsInterval = 200 * time.Millisecond
	// missedOriginsRetryDelay is how long an instance that did not answer is not asked again.
	// Older versions do not know the method.
	missedOriginsRetryDelay = 2 * time.Second
)

type originsPage struct {
	Records []rcorigin.Record
	More    bool
}

var originsPageMethod = rcrpc.Method[rcorigin.Selection, originsPage]{Name: "StreamOrigins", Timeout: updateTimeout}

func (s *streamOrigins) handlePage(_ context.Context, from rcrpc.Identity, sel rcorigin.Selection) (page originsPage, err error) {
	if !sel.InReturn && sel.After == "" {
		s.peers.expectMissedOriginsOf(string(from.Instance))
	}
	page.Records, page.More = s.registry.Page(sel, maxSentOrigins)
	return page, nil
}

// fetchMissed asks the other instances for records that this one has missed, until ctx is
// done.
func (s *streamOrigins) fetchMissed(ctx context.Context, client *rcrpc.Client) {
	complete, wasHolder := false, false
	for rcwait.Sleep(ctx, missedOriginsInterval) {
		holder := s.peers.holdsOrigins()
		if holder && !wasHolder {
			complete = false
			s.peers.expectMissedOrigins()
		}
		if wasHolder = holder; !holder {
			continue
		}
		for _, from := range s.peers.missedOriginHolders() {
			err := s.fetch(ctx, client, from.member, rcorigin.Selection{Own: complete, InReturn: from.fetchInReturn})
			s.peers.recordFetch(from, err)
			complete = complete || err == nil
		}
	}
}

// fetch gets the selected records of one instance.
func (s *streamOrigins) fetch(ctx context.Context, client *rcrpc.Client, from member, sel rcorigin.Selection) error {
	sel.MaxAge = s.peers.instance.maxStreamTime()
	for {
		page, err := rcrpc.Call(ctx, client, from.Peer, originsPageMethod, sel)
		if err != nil {
			return err
		}
		s.registry.Add(page.Records...)
		if !page.More || len(page.Records) == 0 {
			return nil
		}
		sel.After = page.Records[len(page.Records)-1].Attempt
	}
}

// maxStreamTime returns how long a stream that can be taken up may last.
func (i *Instance) maxStreamTime() (longest time.Duration) {
	if t := i.routes.Load(); t != nil {
		for _, r := range t.Routes {
			if r.Stream {
				longest = max(longest, r.Timeout)
			}
		}
	}
	if longest == 0 {
		return time.Minute
	}
	return longest
}

// holdsOrigins reports whether this instance gets the records of the others: all instances do
// without relays, and only relays with them.
func (p *peerGroup) holdsOrigins() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.membersRead && (!p.usesRelaysLocked() || p.relayForLocked(p.instance.settings.Zone) == nil)
}

// expectMissedOrigins makes this instance ask all others again.
func (p *peerGroup) expectMissedOrigins() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range p.members {
		m.fetchedOrigins, m.fetchInReturn = false, false
	}
}

// expectMissedOriginsOf makes this instance ask one other that has just asked it: either may
// not have reached the other one for a while.
func (p *peerGroup) expectMissedOriginsOf(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if m, ok := p.members[name]; ok && m.fetchedOrigins {
		m.fetchedOrigins, m.fetchInReturn = false, true
	}
}

// missedOriginHolders returns the instances whose records may have been missed and that
// respond: all or, of a relay, those of its zone and the other relays. Those that have all
// records come first.
func (p *peerGroup) missedOriginHolders() (holders []peer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	relays := map[*peer]bool{}
	for _, m := range p.members {
		if relay := p.relayForLocked(m.Zone); relay != nil && m.Zone != p.instance.settings.Zone {
			relays[relay] = true
		}
	}
	now := time.Now()
	var others []peer
	for _, m := range p.members {
		asked := !p.usesRelaysLocked() || m.Zone == p.instance.settings.Zone || relays[m]
		switch {
		case !asked || m.fetchedOrigins || !m.failedAt.IsZero() || now.Before(m.fetchOriginsAt):
		case relays[m]:
			holders = append(holders, *m)
		default:
			others = append(others, *m)
		}
	}
	return append(holders, others...)
}

// recordFetch records whether an instance has sent its records.
func (p *peerGroup) recordFetch(from peer, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if m, ok := p.members[from.Name]; ok && m.member == from.member {
		m.fetchedOrigins, m.fetchInReturn = err == nil, false
		m.fetchOriginsAt = time.Now().Add(missedOriginsRetryDelay)
	}
}
