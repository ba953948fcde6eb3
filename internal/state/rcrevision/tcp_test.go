package rcrevision

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/peer/rcmember"
	"github.com/radishcrank/radishcrank/internal/peer/rcrpc"
	"github.com/radishcrank/radishcrank/internal/standin/rcfaketable"
	"github.com/radishcrank/radishcrank/internal/state/rcboard"
	"github.com/radishcrank/radishcrank/internal/state/rcconfig"
)

// Guards against code that works on the fake network but not over TCP. Three
// instances with one bootstrap address must find each other and apply the
// configuration, although two of them cannot reach the table service.
func TestOverTCP(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	defer running.Wait()
	defer cancel()
	table, unreachable := rcfaketable.New(), rcfaketable.New()
	unreachable.SetFaults(rcfaketable.Faults{Down: true})
	keys := rcrpc.FixedKeys(rcrpc.Keys{Current: []byte("0123456789abcdef0123456789abcdef")})
	inForce := make(chan radishcrank.InstanceID, 3)
	var bootstrap []netip.AddrPort
	var first *Syncer
	for i := range 3 {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		self := radishcrank.Instance{
			ID: radishcrank.InstanceID(fmt.Sprintf("router-%d", i)), Zone: "zone-1",
			Peer: listener.Addr().(*net.TCPAddr).AddrPort(), Incarnation: radishcrank.Incarnation(time.Now().UnixMilli()),
		}
		handlers := rcrpc.NewHandlers()
		rpc := rcrpc.Config{Identity: rcrpc.Identity{Instance: self.ID, Zone: self.Zone}, Keys: keys, Handlers: handlers}
		client, server := rcrpc.NewClient(rpc), rcrpc.NewServer(listener, rpc)
		defer client.Close()
		var tracker *rcmember.Tracker
		cfg := Config{
			Self: self.ID, Table: unreachable, Caller: client, Handlers: handlers, Log: zerolog.Nop(),
			IsReader:    func() bool { return tracker.IsAmongFirst(2) },
			SourcePeers: func() []netip.AddrPort { return tracker.SourcePeers(2) },
			OnChange:    func(*rcconfig.Document) { inForce <- self.ID },
		}
		if i == 0 {
			cfg.Table = table
		}
		syncer := New(cfg)
		tracker = rcmember.New(rcmember.Config{
			Self: self, Board: rcboard.New(), Caller: client, Handlers: handlers, Bootstrap: bootstrap,
		})
		if i == 0 {
			first, bootstrap = syncer, []netip.AddrPort{self.Peer}
		}
		running.Go(func() { server.Run(ctx) })
		running.Go(func() { tracker.Run(ctx) })
		running.Go(func() { syncer.Run(ctx) })
	}
	_, err := first.Push(ctx, PushRequest{Text: text(500, 1)})
	require.NoError(t, err)
	seen := make(map[radishcrank.InstanceID]bool)
	for len(seen) < 3 {
		select {
		case id := <-inForce:
			seen[id] = true
		case <-time.After(20 * time.Second):
			t.Fatalf("in force only on %v", seen)
		}
	}
}
