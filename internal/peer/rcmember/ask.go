package rcmember

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/peer/rcrpc"
)

const (
	askTimeout = time.Second
	// maxInquiries bounds the instances asked at once for their incarnation.
	maxInquiries = 16
	// maxMembers keeps an answer, about 190 bytes for each, within a message of
	// rcrpc. Larger fleets are learned over several answers.
	maxMembers = 250
)

// membersRequest asks an instance for its own description, and with All also
// for others that it holds alive.
type membersRequest struct {
	All bool `json:",omitempty"`
}

// membersAnswer describes instances, the one that answers first.
type membersAnswer struct{ Instances []radishcrank.Instance }

var methodMembers = rcrpc.Method[membersRequest, membersAnswer]{Name: "Members", Timeout: askTimeout}

func (t *Tracker) answerMembers(_ context.Context, _ rcrpc.Identity, q membersRequest) (membersAnswer, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	answer := membersAnswer{Instances: []radishcrank.Instance{t.cfg.Self}}
	if !q.All {
		return answer, nil
	}
	for _, m := range t.members {
		if !m.dead && len(answer.Instances) < maxMembers {
			answer.Instances = append(answer.Instances, m.instance)
		}
	}
	return answer, nil
}

// join asks the bootstrap addresses for members while the list was never read:
// an instance that starts while it is out of reach would otherwise count itself
// alone and use the whole of each limit.
func (t *Tracker) join(ctx context.Context) {
	t.mu.Lock()
	listed := !t.listedAt.IsZero()
	t.mu.Unlock()
	if listed {
		return
	}
	var running sync.WaitGroup
	for _, addr := range t.cfg.Bootstrap {
		if addr != t.cfg.Self.Peer {
			running.Go(func() { t.ask(ctx, addr, membersRequest{All: true}) })
		}
	}
	running.Wait()
}

// inquire asks instances for the incarnations that IsDead wanted to know.
func (t *Tracker) inquire(ctx context.Context) {
	var running sync.WaitGroup
	for _, addr := range t.inquiries(time.Now()) {
		running.Go(func() { t.ask(ctx, addr, membersRequest{}) })
	}
	running.Wait()
}

func (t *Tracker) inquiries(now time.Time) (addrs []netip.AddrPort) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, m := range t.members {
		if m.question && !m.dead && now.Sub(m.inquired) >= inquireInterval && len(addrs) < maxInquiries {
			m.question, m.inquired = false, now
			addrs = append(addrs, m.instance.Peer)
		}
	}
	return addrs
}

// ask takes in what one instance answers. Of no answer nothing follows: the
// next round asks again.
func (t *Tracker) ask(ctx context.Context, addr netip.AddrPort, q membersRequest) {
	answer, err := rcrpc.Call(ctx, t.cfg.Caller, addr, methodMembers, q)
	if err != nil {
		t.cfg.Log.Debug().Err(err).Stringer("Peer", addr).Msg("instance does not tell its members")
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, i := range answer.Instances {
		t.add(i)
	}
}
