package rcforward

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/limits/rcpoison"
	"github.com/radishcrank/radishcrank/internal/routing/rcaffinity"
	"github.com/radishcrank/radishcrank/internal/state/rcboard"
	"github.com/radishcrank/radishcrank/internal/state/rcfleet"
	"github.com/radishcrank/radishcrank/internal/state/rcmetric"
	"github.com/radishcrank/radishcrank/internal/state/rcweights"
)

// plainServers simulates servers with slots, a short queue, and rejections beyond it.
type plainServers struct {
	mu                sync.Mutex
	held              map[radishcrank.UpstreamID]int
	slots             map[radishcrank.UpstreamID]chan struct{}
	rejected, arrived int
}

const plainSlots, plainQueue, plainTime = 6, 4, 45 * time.Millisecond

func (p *plainServers) Send(_ context.Context, up radishcrank.Upstream, _ *radishcrank.Exchange, _ radishcrank.SendOptions) (*radishcrank.Reply, error) {
	p.mu.Lock()
	p.arrived++
	if p.slots[up.ID] == nil {
		p.slots[up.ID] = make(chan struct{}, plainSlots)
	}
	slots := p.slots[up.ID]
	if p.held[up.ID] >= plainSlots+plainQueue {
		p.rejected++
		p.mu.Unlock()
		return &radishcrank.Reply{
			Class: radishcrank.ReplyBusy, Status: http.StatusServiceUnavailable, Body: http.NoBody,
			Load: &radishcrank.QueueReport{Running: plainSlots, Waiting: plainQueue, Slots: plainSlots},
		}, nil
	}
	p.held[up.ID]++
	p.mu.Unlock()
	slots <- struct{}{}
	time.Sleep(plainTime)
	<-slots
	p.mu.Lock()
	p.held[up.ID]--
	held := p.held[up.ID]
	p.mu.Unlock()
	reply := okReply()
	reply.Load = &radishcrank.QueueReport{Running: min(held, plainSlots), Waiting: max(0, held-plainSlots), Slots: plainSlots}
	reply.Body = io.NopCloser(strings.NewReader("ok"))
	return &reply, nil
}

// TestFullServersAreAwaited sends calls to three servers of a plain service: bursts that these
// can take within the latency target, but not into their queues, and 1.7 times what they can
// take for 3 s. It guards against calls that are rejected by all servers within milliseconds
// although a slot is about to be free, and against waits that leave servers idle.
func TestFullServersAreAwaited(t *testing.T) {
	for _, c := range []struct {
		instances, bursts, calls int
		interval                 time.Duration
		inTime                   int // At least.
	}{
		{3, 10, 60, 500 * time.Millisecond, 10 * 60 * 9 / 10}, // 150 ms of work for 18 slots, of which 30 calls fit at once.
		{12, 10, 60, 500 * time.Millisecond, 10 * 60 * 9 / 10},
		{12, 2040, 1, 3 * time.Second / 2040, 1200 * 9 / 10},
	} {
		instances, bursts, calls := c.instances, c.bursts, c.calls
		synctest.Test(t, func(t *testing.T) {
			servers := &plainServers{held: map[radishcrank.UpstreamID]int{}, slots: map[radishcrank.UpstreamID]chan struct{}{}}
			var forwarders []*Forwarder
			for range instances {
				fleet := rcfleet.New()
				for i := range 3 {
					fleet.Put(rcfleet.Entry{Upstream: radishcrank.Upstream{ID: radishcrank.UpstreamID(fmt.Sprint("u", i)), Service: "s", Software: "v1"}, Slots: plainSlots})
				}
				forwarders = append(forwarders, New(Config{
					Fleet: fleet, Sender: servers, Budget: stubBudget{}, Guard: rcpoison.New(rcpoison.Config{Board: rcboard.New()}),
					Weights:       func(radishcrank.ModelID) rcweights.History { return rcweights.History{} },
					OldWeightsTTL: func() time.Duration { return 0 },
					KVStores:      func() []rcaffinity.KVStore { return nil },
					RecordCached:  func(radishcrank.UpstreamID, string, []radishcrank.PromptPart) {},
					Origins:       stubOrigins{}, Incarnation: listedIncarnation,
					Metrics: &rcmetric.Set{}, Log: zerolog.Nop(),
				}))
			}
			var mu sync.Mutex
			inTime, served := 0, 0
			var wg sync.WaitGroup
			for burst := range bursts {
				for n := range calls {
					wg.Go(func() {
						x := nonIdempotent()
						x.ID, x.Service, x.Method, x.Target = "r", "s", http.MethodPost, "/p"
						x.ReceivedAt, x.Deadline = time.Now(), time.Now().Add(2500*time.Millisecond)
						x.Route.LatencyTarget = 300 * time.Millisecond
						w := httptest.NewRecorder()
						require.NoError(t, forwarders[(burst+n)%instances].Serve(t.Context(), w, &x))
						mu.Lock()
						defer mu.Unlock()
						if w.Code == http.StatusOK {
							served++
							if time.Since(x.ReceivedAt) <= x.Route.LatencyTarget {
								inTime++
							}
						}
					})
				}
				time.Sleep(c.interval)
			}
			wg.Wait()
			t.Logf("%d instances: served %d of %d, in time %d; %d of %d attempts rejected", instances, served, bursts*calls, inTime, servers.rejected, servers.arrived)
			require.GreaterOrEqual(t, inTime, c.inTime)
		})
	}
}
