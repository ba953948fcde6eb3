package rcdetour

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/radishcrank/radishcrank"
)

// zonesOf returns zones z0 to z2 with n upstreams each: 1, 4, 7 ... are in z1.
func zonesOf(n int, connect func(ctx context.Context, to netip.AddrPort) error) *Zones {
	var ups []radishcrank.Upstream
	for i := range 3 * n {
		ups = append(ups, radishcrank.Upstream{Addr: addrOf(i), Zone: radishcrank.AvailabilityZone(fmt.Sprint("z", i%3))})
	}
	return NewZones(ZonesConfig{Upstreams: func() []radishcrank.Upstream { return ups }, Connect: connect})
}

// TestZoneIsCutOff guards against an instance that tries each upstream of a zone that is cut
// off, and against one that gives up a zone in which only some upstreams have failed.
func TestZoneIsCutOff(t *testing.T) {
	for _, c := range []struct {
		name     string
		size     int
		outcomes []int // Numbers of upstreams; negative if they could not be reached.
		want     bool
	}{
		{"three of the zone fail", 20, []int{-1, -4, -7}, true},
		{"one fails often", 20, []int{-1, -1, -1}, false},
		{"one is reached in between", 20, []int{-1, -4, 10, -7}, false},
		{"those of other zones fail", 20, []int{-3, -6, -9}, false},
		{"other zones are reached", 20, []int{-1, 2, -4, 3, -7}, true},
		{"one is reached again", 20, []int{-1, -4, -7, 4}, false},
		{"all of few fail", 2, []int{-1, -4}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			z := zonesOf(c.size, nil)
			for _, n := range c.outcomes {
				z.Observe(addrOf(max(n, -n)), n > 0)
			}
			require.Equal(t, c.want, z.Cut("z1"))
		})
	}
	require.False(t, (*Zones)(nil).Cut("z1"))
}

// TestZoneIsFoundAgain guards against a zone that stays unused after its partition has
// ended, since no exchange is sent there.
func TestZoneIsFoundAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var healed atomic.Bool
		var z *Zones
		z = zonesOf(20, func(_ context.Context, to netip.AddrPort) error {
			z.Observe(to, healed.Load())
			return errors.New("partitioned")
		})
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = z.Run(ctx) }()
		for _, n := range []int{1, 4, 7} {
			z.Observe(addrOf(n), false)
		}
		time.Sleep(5 * time.Second)
		require.True(t, z.Cut("z1"))
		healed.Store(true)
		time.Sleep(2 * zoneProbeInterval)
		require.False(t, z.Cut("z1"))
		cancel()
		synctest.Wait()
	})
}
