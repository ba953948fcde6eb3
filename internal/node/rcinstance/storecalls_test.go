package rcinstance

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/peer/rcrpc"
	"github.com/radishcrank/radishcrank/internal/standin/rcfakestore"
	"github.com/radishcrank/radishcrank/internal/state/rcera"
	"github.com/radishcrank/radishcrank/internal/state/rcfeed"
	"github.com/radishcrank/radishcrank/internal/state/rcwait"
	"github.com/radishcrank/radishcrank/platform"
)

const (
	fleetStart    = 1500 * time.Millisecond // In which the instances start.
	upstreamStart = 6 * time.Second         // In which the upstreams register.
)

// storeFleet is a number of instances on a fake store, without callers. The rows of
// upstreams are written, but nothing listens on their addresses.
type storeFleet struct {
	store     *rcfakestore.Store
	instances []*Instance
	stops     []func()
}

// startStoreFleet starts instances at even intervals within fleetStart, while upstreams
// register within upstreamStart.
func startStoreFleet(t *testing.T, n, zones, upstreams int) *storeFleet {
	s := &storeFleet{store: rcfakestore.New()}
	server := httptest.NewServer(s.store)
	t.Cleanup(server.Close)
	s.store.PutBytes("op", "config", fmt.Appendf(nil, configTemplate, 1, ""))
	s.store.Put("op", "version/m", map[string]any{"Model": "m", "Version": 1})
	go func() {
		for u := range upstreams {
			time.Sleep(upstreamStart / time.Duration(upstreams))
			s.store.Put("servers", fmt.Sprint("u", u), map[string]any{
				"Service": "llm", "Address": "127.0.0.1:9", "Zone": fmt.Sprint("z", u%zones), "State": "ready", "Slots": 8, "born": 1, "Version": "v1",
				"Models": []any{map[string]any{"Name": "m", "Version": 1}},
			})
		}
	}()
	ports := freePorts(t, 4*n)
	for k := range n {
		i := New(platform.Settings{
			Instance: fmt.Sprintf("i%02d", k), Zone: fmt.Sprint("z", k%zones),
			ClientAddr: ports[4*k], ReadinessAddr: ports[4*k+1], PeerAddr: ports[4*k+2], MetricsAddr: ports[4*k+3],
			StoreAddr: netip.MustParseAddrPort(server.Listener.Addr().String()), LeaseGap: 3 * time.Second, UpstreamHeartbeat: 1200 * time.Millisecond,
			OldWeightsTTL: 10 * time.Second, TerminationGracePeriod: 3500 * time.Millisecond, RetryBudgetRatio: 0.2, RetryBudgetWindow: 10 * time.Second,
		}, zerolog.Nop())
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = i.Run(ctx) // Fails only if another process has taken one of the ports.
		}()
		s.instances = append(s.instances, i)
		s.stops = append(s.stops, func() { cancel(); <-done })
		time.Sleep(fleetStart / time.Duration(n))
	}
	return s
}

// stop stops all instances at the same time.
func (s *storeFleet) stop() {
	var wg sync.WaitGroup
	for _, stop := range s.stops {
		wg.Go(stop)
	}
	wg.Wait()
}

func total(calls map[string]int) (n int) {
	for _, c := range calls {
		n += c
	}
	return n
}

// TestStoreCalls guards against an instance that reads a table more than once when it starts.
// It prints all calls of a quiet day by cause: those of the start, and those of a calm time
// extrapolated to 34 s. How often instances poll depends on the load of the machine here;
// TestFleetPollsOnce checks it.
func TestStoreCalls(t *testing.T) {
	const instances, start, calm, wholeCalm = 88, 14 * time.Second, 5 * time.Second, 34 * time.Second
	s := startStoreFleet(t, instances, 3, 63)
	defer s.stop()
	time.Sleep(start - fleetStart)
	atStart := s.store.CallsBy()
	time.Sleep(calm)
	all := s.store.CallsBy()
	for _, cause := range slices.Sorted(maps.Keys(all)) {
		t.Logf("%-32s start %5d, calm %.2f/s", cause, atStart[cause], float64(all[cause]-atStart[cause])/calm.Seconds())
	}
	t.Logf("start %d, day %d", total(atStart), total(atStart)+(total(all)-total(atStart))*int(wholeCalm)/int(calm))
	for _, i := range s.instances {
		require.True(t, i.fleet.Synced())
	}
	for _, table := range []string{"op", "servers", verdictsTable} {
		require.Equal(t, instances, all["rows-get "+table], table)
	}
	// The whole table once, and the key once or, before it is written, twice.
	require.LessOrEqual(t, all["rows-get "+membersTable], 3*instances)
	require.LessOrEqual(t, all["rows-tx "+membersTable], instances*11/10)
}

// pollCounter reads a fake store and counts the calls for changes by table.
type pollCounter struct {
	store *rcfakestore.Store
	mu    sync.Mutex
	polls map[string]int
}

func (c *pollCounter) call(ctx context.Context, path string) (resp rcfeed.Response, err error) {
	w := httptest.NewRecorder()
	c.store.ServeHTTP(w, httptest.NewRequestWithContext(ctx, http.MethodGet, path, nil))
	var a struct {
		Rows []rcfakestore.Row
		Ver  uint64
	}
	if err := json.Unmarshal(w.Body.Bytes(), &a); err != nil {
		return resp, err
	}
	resp = rcfeed.Response{Version: a.Ver, At: c.store.Now(), Era: 1}
	for _, r := range a.Rows {
		resp.Rows = append(resp.Rows, rcfeed.Row{Key: r.Key, Value: r.Value, Version: r.Ver, Removed: r.Tombstone})
	}
	return resp, nil
}

func (c *pollCounter) Read(ctx context.Context, table string) (rcfeed.Response, error) {
	return c.call(ctx, "/radishcrank/rows-get?Table="+table)
}

func (c *pollCounter) Changes(ctx context.Context, table string, after uint64, wait, _ time.Duration) (rcfeed.Response, error) {
	c.mu.Lock()
	c.polls[table]++
	c.mu.Unlock()
	return c.call(ctx, fmt.Sprintf("/radishcrank/rows-feed?Table=%s&after=%d&WaitMs=%d", table, after, wait.Milliseconds()))
}

// TestFleetPollsOnce guards against a fleet in which each zone, or each instance, polls the
// store. The instances start within fleetStart and exchange batches as in a running fleet, but
// in memory. Before one relay read for all, 88 instances made 638 polls at the start and 466 in
// the 34 s after it (TestStoreCalls at commit 8222172); the target is half of that together.
func TestFleetPollsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const instances, maxPolls, day, messageTime = 88, (638 + 466) / 2, 48 * time.Second, 20 * time.Millisecond
		counter := &pollCounter{store: rcfakestore.New(), polls: map[string]int{}}
		all := newPeerGroups(instances, 3)
		byName := map[string]*peerGroup{}
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		for n, p := range all {
			known := p.members
			p.members = map[string]*peer{}
			byName[p.self.Name] = p
			p.instance.directory = &directory{fleet: p.instance.fleet, log: zerolog.Nop()}
			wg.Go(func() {
				time.Sleep(time.Duration(n*37%instances) * fleetStart / instances)
				eras := &rcera.Tracker{}
				p.instance.directory.initFollowers(rcfeed.Config{
					Source: counter, Eras: eras, IsRelay: p.isRelay, Publish: p.publishBatch, ReliesOnRelay: p.reliesOnStoreReader, Log: zerolog.Nop(),
				})
				wg.Go(func() { _ = p.instance.directory.followOperator(ctx) }) // Ends with ctx.
				wg.Go(func() { _ = p.instance.directory.followUpstreams(ctx) })
				registry := newMemberRegistry(&memberRegistry{
					source: counter, self: p.self.member, eras: eras, log: zerolog.Nop(), onFollow: p.instance.directory.members.Store,
					relays: relayRole{isRelay: p.isRelay, relies: p.reliesOnStoreReader, publish: p.publishBatch},
					onPut: func(m member) {
						p.mu.Lock()
						defer p.mu.Unlock()
						p.members[m.Name] = known[m.Name]
					},
					onRemove: func(string) {},
					onReset:  func() { p.mu.Lock(); defer p.mu.Unlock(); p.membersRead = true },
				})
				self := p.self.member
				self.Peer = netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(1000+n))
				registry.self = self
				counter.store.Put(membersTable, memberPrefix+self.Name, self)
				wg.Go(func() {
					if rcwait.Sleep(ctx, fleetStartWindow) {
						_ = registry.follow(ctx)
					}
				})
				for rcwait.Sleep(ctx, relayUpdateInterval) {
					p.mu.Lock()
					updates := p.updatesLocked()
					p.mu.Unlock()
					for to, u := range updates {
						if receiver := byName[to.Name]; !u.empty() && receiver.instance.directory.members.Load() != nil {
							time.AfterFunc(messageTime, func() {
								_, _ = receiver.handleUpdate(ctx, rcrpc.Identity{Instance: radishcrank.InstanceID(p.self.Name), Zone: radishcrank.AvailabilityZone(p.self.Zone)}, *u)
							})
						}
					}
				}
			})
		}
		for u := range 63 {
			time.Sleep(upstreamStart / 63)
			counter.store.Put("servers", fmt.Sprint("u", u), map[string]any{"Service": "llm", "Address": "127.0.0.1:9", "Zone": "z0", "State": "ready", "born": 1, "Models": []any{map[string]any{"Name": "m", "Version": 1}}})
		}
		time.Sleep(day - upstreamStart)
		cancel()
		wg.Wait()
		t.Logf("%v", counter.polls)
		require.LessOrEqual(t, total(counter.polls), maxPolls)
		for _, p := range all {
			require.Len(t, p.members, instances-1)
			require.Len(t, p.instance.fleet.All(), 63)
		}
	})
}
