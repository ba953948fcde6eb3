package rcconn

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/radishcrank/radishcrank"
)

// TestDialTimeoutFollowsConnections guards against requests that spend most of their latency
// target on a dead upstream although connections open within milliseconds, and against
// time-outs where connections are slow for all upstreams.
func TestDialTimeoutFollowsConnections(t *testing.T) {
	dead := netip.MustParseAddrPort("127.0.0.1:1")
	for name, c := range map[string]struct {
		takes   func(n int) time.Duration // Of the n-th connection.
		opened  int
		timeout time.Duration
	}{
		"unknown":         {takes: func(int) time.Duration { return 2 * time.Millisecond }, opened: 7, timeout: 300 * time.Millisecond},
		"fast":            {takes: func(int) time.Duration { return 2 * time.Millisecond }, opened: 20, timeout: 100 * time.Millisecond},
		"slow everywhere": {takes: func(int) time.Duration { return 250 * time.Millisecond }, opened: 20, timeout: 300 * time.Millisecond},
		"some are slow":   {takes: func(n int) time.Duration { return time.Duration(n%4) * 40 * time.Millisecond }, opened: 40, timeout: 300 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := 0
				p := New(Config{Dial: func(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
					if to == dead {
						<-ctx.Done()
						return nil, ctx.Err()
					}
					time.Sleep(c.takes(n))
					n++
					client, server := net.Pipe()
					t.Cleanup(func() { client.Close(); server.Close() })
					return client, nil
				}})
				for range c.opened {
					require.NoError(t, p.Connect(t.Context(), netip.MustParseAddrPort("127.0.0.1:2")))
				}
				start := time.Now()
				require.ErrorIs(t, p.Connect(t.Context(), dead), radishcrank.ErrNotSent)
				require.Equal(t, c.timeout, time.Since(start))
			})
		})
	}
}
