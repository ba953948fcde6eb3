package rcrpc

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/sourcegraph/jsonrpc2"
)

// Defaults of Config. They stay below the 5 s in which a configuration is to be in force.
const (
	defaultDialTimeout  = 2 * time.Second
	defaultWriteTimeout = 2 * time.Second
	defaultIdleTimeout  = 2 * time.Minute
	defaultMinBackoff   = 100 * time.Millisecond
	defaultMaxBackoff   = 10 * time.Second
)

// silentAfter keeps a caller with little time left from closing a connection
// that others use. It is below the timeouts of all methods.
const silentAfter = 400 * time.Millisecond

// ErrBackoff says that the last attempt to reach an address failed a moment ago.
var ErrBackoff = errors.New("waiting before the next attempt to connect")

// Config holds what both ends of connections need.
type Config struct {
	Identity Identity
	Keys     Keys
	Handlers *Handlers // Serves calls that arrive on connections of either direction.

	// Dial replaces net.Dialer in tests.
	Dial func(ctx context.Context, to netip.AddrPort) (net.Conn, error)

	// Zero durations stand for the defaults.
	DialTimeout  time.Duration // For connecting and authenticating.
	WriteTimeout time.Duration
	IdleTimeout  time.Duration
	MinBackoff   time.Duration
	MaxBackoff   time.Duration
}

func (c Config) withDefaults() Config {
	set := func(d *time.Duration, value time.Duration) {
		if *d == 0 {
			*d = value
		}
	}
	set(&c.DialTimeout, defaultDialTimeout)
	set(&c.WriteTimeout, defaultWriteTimeout)
	set(&c.IdleTimeout, defaultIdleTimeout)
	set(&c.MinBackoff, defaultMinBackoff)
	set(&c.MaxBackoff, defaultMaxBackoff)
	if c.Handlers == nil {
		c.Handlers = NewHandlers()
	}
	if c.Dial == nil {
		c.Dial = func(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
			return (&net.Dialer{}).DialContext(ctx, "tcp", to.String())
		}
	}
	return c
}

// Client keeps one connection to each instance that it calls.
type Client struct {
	cfg Config

	mu     sync.Mutex
	links  map[netip.AddrPort]*link
	closed bool
}

// link is the connection to one address. Its lock is held while it connects,
// so that concurrent calls share the attempt.
type link struct {
	connecting chan struct{} // Holds one token while nobody connects.
	conn       *jsonrpc2.Conn
	failures   int
	retryAt    time.Time
}

// NewClient returns a client without connections.
func NewClient(cfg Config) *Client {
	return &Client{cfg: cfg.withDefaults(), links: make(map[netip.AddrPort]*link)}
}

// Call implements Caller. A call that ends by its deadline after it has waited
// for silentAfter closes the connection, because an open connection can go
// silent for good while new ones work.
func (c *Client) Call(ctx context.Context, to netip.AddrPort, method string, question, answer any) (err error) {
	defer func() { err = remoteError(err) }()
	conn, err := c.connect(ctx, to)
	if err != nil {
		return err
	}
	raw, err := json.Marshal(question)
	if err != nil {
		return err
	}
	// An oversized question would otherwise end the connection inside jsonrpc2.
	if len(raw) > MaxMessageBytes-envelopeBytes {
		return &FrameSizeError{Size: len(raw), Limit: MaxMessageBytes - envelopeBytes}
	}
	begin := time.Now()
	err = conn.Call(ctx, method, json.RawMessage(raw), answer)
	if errors.Is(err, context.DeadlineExceeded) && time.Since(begin) >= silentAfter {
		c.drop(to, conn)
	}
	return err
}

// envelopeBytes is room for the members of a JSON-RPC request besides its parameters.
const envelopeBytes = 256

// Close closes all connections. Later calls fail with net.ErrClosed.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for to, l := range c.links {
		if l.conn != nil {
			l.conn.Close()
		}
		delete(c.links, to)
	}
}

// RetainConnections closes and forgets the connections to addresses that keep refuses, so
// that replaced instances leave nothing behind.
func (c *Client) RetainConnections(keep func(netip.AddrPort) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for to, l := range c.links {
		if keep(to) {
			continue
		}
		if l.conn != nil {
			l.conn.Close()
		}
		delete(c.links, to)
	}
}

func (c *Client) connect(ctx context.Context, to netip.AddrPort) (*jsonrpc2.Conn, error) {
	l, err := c.link(to)
	if err != nil {
		return nil, err
	}
	select {
	case <-l.connecting:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	defer func() { l.connecting <- struct{}{} }()
	conn, retryAt := c.state(l)
	if conn != nil {
		return conn, nil
	}
	if time.Now().Before(retryAt) {
		return nil, ErrBackoff
	}
	conn, err = c.open(ctx, to)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		c.backOff(l)
		return nil, err
	}
	if c.closed {
		conn.Close()
		return nil, net.ErrClosed
	}
	l.conn, l.failures = conn, 0
	return conn, nil
}

func (c *Client) link(to netip.AddrPort) (*link, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, net.ErrClosed
	}
	l, ok := c.links[to]
	if !ok {
		l = &link{connecting: make(chan struct{}, 1)}
		l.connecting <- struct{}{}
		c.links[to] = l
	}
	return l, nil
}

// state returns the open connection of a link, or when it may be tried next.
func (c *Client) state(l *link) (*jsonrpc2.Conn, time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if l.conn != nil {
		select {
		case <-l.conn.DisconnectNotify():
			l.conn = nil
		default:
		}
	}
	return l.conn, l.retryAt
}

// backOff delays the next attempt by a random part of an interval that doubles
// with each failure. The caller holds the lock.
func (c *Client) backOff(l *link) {
	limit := c.cfg.MinBackoff << min(l.failures, 16)
	limit = min(limit, c.cfg.MaxBackoff)
	l.failures++
	l.retryAt = time.Now().Add(time.Duration(rand.Int64N(int64(limit)) + 1))
}

func (c *Client) open(ctx context.Context, to netip.AddrPort) (conn *jsonrpc2.Conn, err error) {
	defer func() {
		if err != nil {
			err = trace.Wrap(err, "connection to %s", to)
		}
	}()
	ctx, cancel := context.WithTimeout(ctx, c.cfg.DialTimeout)
	defer cancel()
	raw, err := c.cfg.Dial(ctx, to)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { raw.Close() })
	peer, err := handshake(raw, c.cfg.Identity, c.cfg.Keys, true, c.cfg.DialTimeout)
	if err != nil || !stop() {
		raw.Close()
		return nil, errors.Join(err, ctx.Err())
	}
	return newConn(raw, peer, c.cfg), nil
}

func (c *Client) drop(to netip.AddrPort, conn *jsonrpc2.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if l := c.links[to]; l != nil && l.conn == conn {
		l.conn = nil
	}
	conn.Close()
}

// remoteError turns an error answer into a *RemoteError.
func remoteError(err error) error {
	var e *jsonrpc2.Error
	if errors.As(err, &e) {
		return &RemoteError{Code: e.Code, Message: e.Message}
	}
	return err
}
