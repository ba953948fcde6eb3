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
	queryTimeout = time.Second
	// maxQueries bounds the concurrent queries for incarnations.
	maxQueries = 16
	// maxMembers keeps an answer, with about 190 bytes per member, within the message
	// size of rcrpc. Larger fleets are learned from several answers.
	maxMembers = 250
)

// membersRequest asks an instance for its own description. With All, the answer also
// has other instances that it does not consider dead.
type membersRequest struct {
	All bool `json:",omitempty"`
}

// membersAnswer describes instances, beginning with the one that answers.
type membersAnswer struct{ Instances []radishcrank.Instance }

var methodMembers = rcrpc.Method[membersRequest, membersAnswer]{Name: "Members", Timeout: queryTimeout}

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

// queryBootstrap queries the bootstrap addresses for members until the list has been
// read. Otherwise an instance that starts while the list is unreachable would see
// only itself and use the whole of each limit.
func (t *Tracker) queryBootstrap(ctx context.Context) {
	t.mu.Lock()
	listed := !t.listedAt.IsZero()
	t.mu.Unlock()
	if listed {
		return
	}
	var wg sync.WaitGroup
	for _, addr := range t.cfg.Bootstrap {
		if addr != t.cfg.Self.Peer {
			wg.Go(func() { t.query(ctx, addr, membersRequest{All: true}) })
		}
	}
	wg.Wait()
}

// queryIncarnations queries the instances whose incarnation IsDead needs.
func (t *Tracker) queryIncarnations(ctx context.Context) {
	var wg sync.WaitGroup
	for _, addr := range t.takeQueries(time.Now()) {
		wg.Go(func() { t.query(ctx, addr, membersRequest{}) })
	}
	wg.Wait()
}

// takeQueries returns the addresses of the instances to query now and clears their
// queryWanted flags.
func (t *Tracker) takeQueries(now time.Time) (addrs []netip.AddrPort) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, m := range t.members {
		if m.queryWanted && !m.dead && now.Sub(m.queriedAt) >= queryInterval && len(addrs) < maxQueries {
			m.queryWanted, m.queriedAt = false, now
			addrs = append(addrs, m.instance.Peer)
		}
	}
	return addrs
}

// query queries one instance and updates the members from its answer. A failure
// changes nothing.
func (t *Tracker) query(ctx context.Context, addr netip.AddrPort, q membersRequest) {
	answer, err := rcrpc.Call(ctx, t.cfg.Caller, addr, methodMembers, q)
	if err != nil {
		t.cfg.Log.Debug().Err(err).Stringer("Peer", addr).Msg("members request failed")
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, i := range answer.Instances {
		t.update(i)
	}
}
