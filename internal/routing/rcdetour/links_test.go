package rcdetour

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/radishcrank/radishcrank"
)

func addrOf(n int) netip.AddrPort { return netip.MustParseAddrPort(fmt.Sprintf("10.0.0.%d:80", n)) }

// linksTo returns links to upstreams 1 to n of a service, the first of which is in the same
// zone, and to upstream 100 of another service.
func linksTo(n int, connect func(ctx context.Context, to netip.AddrPort) error) *Links {
	ups := []radishcrank.Upstream{{Addr: addrOf(100), Service: "other"}}
	for i := range n {
		ups = append(ups, radishcrank.Upstream{Addr: addrOf(i + 1), Service: "s", Zone: radishcrank.AvailabilityZone(fmt.Sprint("z", min(i, 1)))})
	}
	return NewLinks(LinksConfig{Zone: "z0", Upstreams: func() []radishcrank.Upstream { return ups }, Connect: connect})
}

// TestCutIsTakenForFailures guards against an instance that takes a cut of its own links for
// failures of many upstreams, and against one that takes failed upstreams, or those of other
// zones, for a cut.
func TestCutIsTakenForFailures(t *testing.T) {
	for _, c := range []struct {
		name      string
		upstreams int
		outcomes  []int // Numbers of upstreams; negative if they could not be reached.
		want      bool
	}{
		{"three fail", 60, []int{-1, -2, -3}, true},
		{"one fails often", 60, []int{-1, -1, -1, -1}, false},
		{"one is reached in between", 60, []int{-1, -2, 4, -3}, false},
		{"only those of other zones fail", 60, []int{-2, -3, -4, -5}, false},
		{"some that are not listed fail", 2, []int{-1, -7, -8}, false},
		{"one that is not listed is reached", 60, []int{-1, -2, 61, -3}, true},
		{"all of few fail", 2, []int{-1, -2}, true},
		{"another service is reached", 60, []int{-1, -2, 100, -3}, true},
		{"another service fails", 60, []int{-1, -2, -100}, false},
		{"one is reached again", 60, []int{-1, -2, -3, 3}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := linksTo(c.upstreams, nil)
			for _, n := range c.outcomes {
				l.Observe(addrOf(max(n, -n)), n > 0)
			}
			require.Equal(t, c.want, l.Cut("s"))
		})
	}
	require.False(t, (*Links)(nil).Cut("s"))
}

// TestEndOfCutIsMissed guards against an instance that sends nothing to upstreams during a
// cut and so never learns that it has ended, and against one that goes on probing.
func TestEndOfCutIsMissed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var l *Links
		var mu sync.Mutex
		healed, probes := false, 0
		l = linksTo(60, func(_ context.Context, to netip.AddrPort) error {
			mu.Lock()
			probes++
			reached := healed
			mu.Unlock()
			time.Sleep(time.Millisecond)
			l.Observe(to, reached)
			return nil
		})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error)
		go func() { done <- l.Run(ctx) }()
		l.Observe(addrOf(2), false)
		l.Observe(addrOf(3), false)
		time.Sleep(10 * probeInterval)
		require.True(t, l.Cut("s"), "found by probes")
		mu.Lock()
		healed = true
		mu.Unlock()
		time.Sleep(2 * probeInterval)
		require.False(t, l.Cut("s"))
		mu.Lock()
		before := probes
		mu.Unlock()
		time.Sleep(time.Minute)
		require.Equal(t, before, probes)
		cancel()
		<-done
	})
}
