package rcengine

import (
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/radishcrank/radishcrank"
)

const (
	dialTimeout      = time.Second
	idleTimeout      = 30 * time.Second
	maxIdlePerEngine = 64
	// unusedPool is the age at which the pool of an upstream that is no longer
	// asked for is dropped; its idle connections have timed out by then.
	unusedPool = 2 * idleTimeout
)

// Dialer makes clients. Each upstream has its own connection pool, so that the
// connections of one can be given up without touching the others.
type Dialer struct {
	mu    sync.Mutex
	pools map[radishcrank.UpstreamID]*pool
}

// NewDialer returns a Dialer.
func NewDialer() *Dialer {
	return &Dialer{pools: make(map[radishcrank.UpstreamID]*pool)}
}

// Engine returns the client of an upstream.
func (d *Dialer) Engine(up radishcrank.Upstream) radishcrank.Engine {
	return &client{pool: d.pool(up), up: up}
}

func (d *Dialer) pool(up radishcrank.Upstream) *pool {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	p, ok := d.pools[up.ID]
	if ok && p.addr == up.Addr {
		p.used = now
		return p
	}
	if ok {
		p.CloseIdle()
	}
	for id, other := range d.pools {
		if now.Sub(other.used) > unusedPool {
			other.CloseIdle()
			delete(d.pools, id)
		}
	}
	p = &pool{addr: up.Addr, used: now, http: newHTTP()}
	d.pools[up.ID] = p
	return p
}

// pool holds the connections to one upstream.
type pool struct {
	addr netip.AddrPort
	used time.Time // Guarded by the Dialer.

	mu   sync.Mutex
	http *http.Client
}

func newHTTP() *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
			MaxIdleConnsPerHost: maxIdlePerEngine,
			IdleConnTimeout:     idleTimeout,
			DisableCompression:  true,
		},
		// A redirect would send a prompt to an address that the platform did not list.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

func (p *pool) client() *http.Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.http
}

// CloseIdle closes the idle connections. Later requests get new ones even if a
// request that runs now ends and would return its connection.
func (p *pool) CloseIdle() {
	p.mu.Lock()
	old := p.http
	p.http = newHTTP()
	p.mu.Unlock()
	old.CloseIdleConnections()
}
