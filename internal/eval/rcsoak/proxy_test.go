package rcsoak

import (
	"io"
	"net"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestConnectionIsAttributedToAnother guards against a request that is attributed to the
// instance that had the port of a connection before.
func TestConnectionIsAttributedToAnother(t *testing.T) {
	target, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer target.Close()
	remotes := make(chan string)
	go func() {
		for {
			c, err := target.Accept()
			if err != nil {
				return
			}
			_, _ = io.ReadFull(c, make([]byte, 1)) // The request has arrived.
			remotes <- c.RemoteAddr().String()
			c.Close()
		}
	}()
	shared, err := newProxy(target.Addr().String())
	require.NoError(t, err)
	defer shared.close()
	instances := []*instance{{number: 0}, {number: 1}}
	for n := range 100 {
		i := instances[n%2]
		link, err := newStableProxy(shared.addr(), i)
		require.NoError(t, err)
		c, err := net.Dial("tcp", link.addr())
		require.NoError(t, err)
		_, err = c.Write([]byte("r"))
		require.NoError(t, err)
		remote := <-remotes
		require.Same(t, i, connOrigin(remote))
		// The next connection finds the entry of this one, as if it had the same port.
		connOrigins.Range(func(addr, _ any) bool {
			connOrigins.Store(addr, instances[(n+1)%2])
			return true
		})
		c.Close()
		link.close()
	}
}

// TestRefusingProxyLosesPort guards against a link that cannot be restored because another
// process has taken its port, and against one that does not refuse connections.
func TestRefusingProxyLosesPort(t *testing.T) {
	target, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer target.Close()
	p, err := newStableProxy(target.Addr().String(), &instance{})
	require.NoError(t, err)
	defer p.close()
	dial := func() error {
		c, err := net.Dial("tcp", p.addr())
		if err == nil {
			c.Close()
		}
		return err
	}
	for range 3 {
		require.NoError(t, dial())
		p.refuse()
		require.ErrorIs(t, dial(), syscall.ECONNREFUSED)
		_, err := net.Listen("tcp", p.addr())
		require.ErrorIs(t, err, syscall.EADDRINUSE)
		require.NoError(t, p.accepting())
	}
	require.NoError(t, dial())
	c, err := net.Dial("tcp", p.addr())
	require.NoError(t, err)
	defer c.Close()
	_, err = target.Accept()
	require.NoError(t, err)
}
