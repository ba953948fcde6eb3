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

// Defaults of Config. The dial and write timeouts are below the 5 s within which
// a new configuration must be in force on all instances.
const (
	defaultDialTimeout  = 2 * time.Second
	defaultWriteTimeout = 2 * time.Second
	defaultIdleTimeout  = 2 * time.Minute
	defaultMinBackoff   = 100 * time.Millisecond
	defaultMaxBackoff   = 10 * time.Second
)

// minUnresponsiveWait is how long a call must have waited before its deadline
// closes the connection. It keeps a call with little time left from closing a
// connection that other calls use. It is below the timeouts of all methods.
const minUnresponsiveWait = 400 * time.Millisecond

// ErrBackoff reports that a call was not attempted because the last connection
// attempt to the address failed and its backoff delay has not passed.
var ErrBackoff = errors.New("connection attempt delayed by backoff")

// Config configures clients and servers.
type Config struct {
	Identity Identity
	Keys     func() Keys // Returns the keys for the next connection.
	Handlers *Handlers   // Serves calls received on incoming and outgoing connections.

	// Dial opens connections; the default uses net.Dialer. Tests replace it.
	Dial func(ctx context.Context, to netip.AddrPort) (net.Conn, error)

	// Zero durations select the defaults.
	DialTimeout  time.Duration // Limit for connecting and authenticating.
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

// Client calls other instances over one persistent connection to each of them.
type Client struct {
	cfg Config

	mu     sync.Mutex
	conns  map[netip.AddrPort]*peerConn
	closed bool
}

// peerConn is the state of the connection to one address. Concurrent calls share
// one connection attempt: dialSlot admits one caller at a time, and the others
// then find the open connection or its backoff delay.
type peerConn struct {
	dialSlot chan struct{} // Holds a token unless a call is connecting.
	conn     *jsonrpc2.Conn
	failures int
	retryAt  time.Time
}

// NewClient returns a client without connections.
func NewClient(cfg Config) *Client {
	return &Client{cfg: cfg.withDefaults(), conns: make(map[netip.AddrPort]*peerConn)}
}

// Call implements Caller. A call that reaches its deadline after waiting for at
// least minUnresponsiveWait closes the connection, because an established
// connection can stop delivering data for good while new connections work.
func (c *Client) Call(ctx context.Context, to netip.AddrPort, method string, params, result any) (err error) {
	defer func() { err = remoteError(err) }()
	conn, err := c.connect(ctx, to)
	if err != nil {
		return err
	}
	raw, err := EncodeParams(params)
	if err != nil {
		return err
	}
	start := time.Now()
	err = conn.Call(ctx, method, json.RawMessage(raw), result)
	if errors.Is(err, context.DeadlineExceeded) && time.Since(start) >= minUnresponsiveWait {
		c.closeConn(to, conn)
	}
	return err
}

// Params are encoded parameters. A caller that sends the same parameters to many
// instances encodes them once.
type Params json.RawMessage

// EncodeParams encodes the parameters of a call. It returns a *FrameSizeError if they do
// not fit into a message, because writing an oversized message would make jsonrpc2 close
// the connection.
func EncodeParams(params any) (encoded Params, err error) {
	encoded, ok := params.(Params)
	if !ok {
		if encoded, err = json.Marshal(params); err != nil {
			return nil, err
		}
	}
	if limit := MaxMessageBytes - envelopeBytes; len(encoded) > limit {
		return nil, &FrameSizeError{Size: len(encoded), Limit: limit}
	}
	return encoded, nil
}

// envelopeBytes is the space reserved for the members of a JSON-RPC message
// other than its parameters or result.
const envelopeBytes = 256

// Close closes all connections. Later calls fail with net.ErrClosed.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for to, pc := range c.conns {
		if pc.conn != nil {
			pc.conn.Close()
		}
		delete(c.conns, to)
	}
}

// RetainConnections closes and removes the connections to all addresses for which
// keep returns false, so that connections to replaced instances do not accumulate.
func (c *Client) RetainConnections(keep func(netip.AddrPort) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for to, pc := range c.conns {
		if keep(to) {
			continue
		}
		if pc.conn != nil {
			pc.conn.Close()
		}
		delete(c.conns, to)
	}
}

func (c *Client) connect(ctx context.Context, to netip.AddrPort) (*jsonrpc2.Conn, error) {
	pc, err := c.connFor(to)
	if err != nil {
		return nil, err
	}
	select {
	case <-pc.dialSlot:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	defer func() { pc.dialSlot <- struct{}{} }()
	conn, retryAt := c.connOrRetryTime(pc)
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
		c.backOff(pc)
		return nil, err
	}
	if c.closed {
		conn.Close()
		return nil, net.ErrClosed
	}
	pc.conn, pc.failures = conn, 0
	return conn, nil
}

func (c *Client) connFor(to netip.AddrPort) (*peerConn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, net.ErrClosed
	}
	pc, ok := c.conns[to]
	if !ok {
		pc = &peerConn{dialSlot: make(chan struct{}, 1)}
		pc.dialSlot <- struct{}{}
		c.conns[to] = pc
	}
	return pc, nil
}

// connOrRetryTime returns the open connection, or nil and the time before which
// no new connection may be attempted.
func (c *Client) connOrRetryTime(pc *peerConn) (*jsonrpc2.Conn, time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if pc.conn != nil {
		select {
		case <-pc.conn.DisconnectNotify():
			pc.conn = nil
		default:
		}
	}
	return pc.conn, pc.retryAt
}

// backOff delays the next connection attempt by a random duration below a limit
// that doubles with each failure, up to MaxBackoff. The caller must hold c.mu.
func (c *Client) backOff(pc *peerConn) {
	limit := c.cfg.MinBackoff << min(pc.failures, 16)
	limit = min(limit, c.cfg.MaxBackoff)
	pc.failures++
	pc.retryAt = time.Now().Add(time.Duration(rand.Int64N(int64(limit)) + 1))
}

func (c *Client) open(ctx context.Context, to netip.AddrPort) (conn *jsonrpc2.Conn, err error) {
	defer func() {
		if err != nil {
			err = trace.Wrap(err, "connecting to %s", to)
		}
	}()
	ctx, cancel := context.WithTimeout(ctx, c.cfg.DialTimeout)
	defer cancel()
	rawConn, err := c.cfg.Dial(ctx, to)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { rawConn.Close() })
	peer, err := handshake(rawConn, c.cfg.Identity, c.cfg.Keys(), true, c.cfg.DialTimeout)
	if err != nil || !stop() {
		rawConn.Close()
		return nil, errors.Join(err, ctx.Err())
	}
	return newConn(rawConn, peer, c.cfg), nil
}

func (c *Client) closeConn(to netip.AddrPort, conn *jsonrpc2.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if pc := c.conns[to]; pc != nil && pc.conn == conn {
		pc.conn = nil
	}
	conn.Close()
}

// remoteError converts a JSON-RPC error response to a *RemoteError and returns
// other errors unchanged.
func remoteError(err error) error {
	var e *jsonrpc2.Error
	if errors.As(err, &e) {
		return &RemoteError{Code: e.Code, Message: e.Message}
	}
	return err
}
