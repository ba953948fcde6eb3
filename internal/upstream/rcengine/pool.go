package rcengine

import (
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/upstream/rcframing"
)

const (
	dialTimeout      = time.Second
	idleTimeout      = 30 * time.Second
	maxIdlePerEngine = 64
	// poolExpiry is the time after its last use at which the pool of an upstream
	// is dropped; its idle connections have timed out by then.
	poolExpiry = 2 * idleTimeout
)

// Dialer creates engine clients. Each upstream has its own connection pool, so
// that its connections can be closed without affecting other upstreams.
type Dialer struct {
	mu    sync.Mutex
	pools map[radishcrank.UpstreamID]*pool
}

func NewDialer() *Dialer {
	return &Dialer{pools: make(map[radishcrank.UpstreamID]*pool)}
}

// Engine implements radishcrank.EngineDialer.
func (d *Dialer) Engine(up radishcrank.Upstream) radishcrank.Engine {
	return &client{pool: d.pool(up), up: up}
}

func (d *Dialer) pool(up radishcrank.Upstream) *pool {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	p, ok := d.pools[up.ID]
	if ok && p.addr == up.Addr {
		p.lastUsed = now
		return p
	}
	if ok {
		p.CloseIdle()
	}
	for id, other := range d.pools {
		if now.Sub(other.lastUsed) > poolExpiry {
			other.CloseIdle()
			delete(d.pools, id)
		}
	}
	p = &pool{addr: up.Addr, lastUsed: now, http: newHTTPClient()}
	d.pools[up.ID] = p
	return p
}

// pool holds the connections to one upstream.
type pool struct {
	addr     netip.AddrPort
	lastUsed time.Time // Guarded by Dialer.mu.

	mu   sync.Mutex
	http *http.Client
}

func newHTTPClient() *http.Client {
	return &http.Client{
		Transport: rcframing.NewTransport(&http.Transport{
			DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
			MaxIdleConnsPerHost: maxIdlePerEngine,
			IdleConnTimeout:     idleTimeout,
			DisableCompression:  true,
		}),
		// Following a redirect would send the prompt to an address that the
		// platform did not list.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

func (p *pool) client() *http.Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.http
}

// CloseIdle closes the idle connections and makes later requests open new ones.
// The client is replaced because running requests return their connections to it
// when they end.
func (p *pool) CloseIdle() {
	p.mu.Lock()
	old := p.http
	p.http = newHTTPClient()
	p.mu.Unlock()
	old.CloseIdleConnections()
}
