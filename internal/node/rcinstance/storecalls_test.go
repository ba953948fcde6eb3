package rcinstance

import (
	"context"
	"fmt"
	"maps"
	"net/http/httptest"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/radishcrank/radishcrank/internal/standin/rcfakestore"
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
	t.Cleanup(func() {
		for _, stop := range s.stops {
			go stop()
		}
		for _, stop := range s.stops {
			stop()
		}
	})
	return s
}

func total(calls map[string]int) (n int) {
	for _, c := range calls {
		n += c
	}
	return n
}

// TestStoreCalls guards against a fleet whose calls to the store grow again. It counts the
// calls of the start and of a calm time by cause, and extrapolates them to a quiet day. Before
// calls were shared by all zones, that was 1,843 calls; the target is half of them.
func TestStoreCalls(t *testing.T) {
	const (
		instances, maxCalls    = 88, 1843 / 2
		start, calm, wholeCalm = 14 * time.Second, 5 * time.Second, 34 * time.Second
	)
	s := startStoreFleet(t, instances, 3, 63)
	time.Sleep(start - fleetStart)
	atStart := s.store.CallsBy()
	time.Sleep(calm)
	all := s.store.CallsBy()
	for _, cause := range slices.Sorted(maps.Keys(all)) {
		t.Logf("%-32s start %5d, calm %.2f/s", cause, atStart[cause], float64(all[cause]-atStart[cause])/calm.Seconds())
	}
	day := total(atStart) + (total(all)-total(atStart))*int(wholeCalm/calm)
	t.Logf("start %d, day %d", total(atStart), day)
	for _, i := range s.instances {
		require.True(t, i.fleet.Synced())
	}
	require.LessOrEqual(t, day, maxCalls)
}
