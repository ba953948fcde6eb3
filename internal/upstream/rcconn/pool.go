// Package rcconn keeps HTTP/1.1 connections to upstreams and sends one request
// at a time on each. It never repeats a request by itself, and it reports
// whether a request that failed may have reached the upstream.
package rcconn

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/radishcrank/radishcrank"
)

const (
	// defaultDialTimeout exceeds the round trip between availability zones a
	// hundredfold; an address that takes longer is cut off.
	defaultDialTimeout = 300 * time.Millisecond
	// unackedTimeout closes a connection whose peer has acknowledged nothing for
	// this long, so that a partition shows long before a caller's deadline.
	unackedTimeout = 700 * time.Millisecond
	// keepAlivePeriod finds a peer that died while the answer was awaited.
	keepAlivePeriod = time.Second
	keepAliveCount  = 2
	// maxIdle is used where the upstream names no idle timeout of its own.
	maxIdle = 4 * time.Second
	// freshIdle bounds the idle time of a connection for a request that may not
	// run twice: a reset on a stale connection would leave its outcome open.
	freshIdle = 800 * time.Millisecond
	// idlePerAddr bounds the idle connections to one address.
	idlePerAddr = 32
	readBuffer  = 4 << 10
)

// Config holds the parts of a Pool. Zero values take the defaults.
type Config struct {
	DialTimeout time.Duration
	// Dial replaces net.Dialer in tests.
	Dial func(ctx context.Context, to netip.AddrPort) (net.Conn, error)
}

// Pool keeps idle connections by address. It is safe for concurrent use.
type Pool struct {
	cfg Config

	mu   sync.Mutex
	idle map[netip.AddrPort][]*conn
}

type conn struct {
	net.Conn
	r         *bufio.Reader
	idleSince time.Time
	idleFor   time.Duration // Idle time that the upstream grants.
}

// New returns an empty Pool.
func New(cfg Config) *Pool {
	if cfg.DialTimeout <= 0 {
		cfg.DialTimeout = defaultDialTimeout
	}
	if cfg.Dial == nil {
		cfg.Dial = dialTCP
	}
	return &Pool{cfg: cfg, idle: map[netip.AddrPort][]*conn{}}
}

func dialTCP(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
	d := net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAlivePeriod, Interval: keepAlivePeriod, Count: keepAliveCount},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var failed error
			err := raw.Control(func(fd uintptr) {
				failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout/time.Millisecond))
			})
			return errors.Join(err, failed)
		},
	}
	return d.DialContext(ctx, "tcp", to.String())
}

// Request is one request to send. Head holds the request line and all headers,
// with the empty line that ends them.
type Request struct {
	Addr      netip.AddrPort
	Method    string
	Head      []byte
	Body      []byte
	FreshConn bool // Use only a connection that has been idle for a moment at most.
}

// Do sends a request and reads the head of its answer. The answer's body must be
// closed; closing it before its end closes the connection, which cancels the
// run. ctx bounds the exchange until the body is closed. An error that wraps
// ErrNotSent means that the upstream did not get the request.
func (p *Pool) Do(ctx context.Context, req Request) (resp *http.Response, err error) {
	c := p.take(req.Addr, req.FreshConn)
	if c == nil {
		if c, err = p.dial(ctx, req.Addr); err != nil {
			return nil, err
		}
	}
	stop := context.AfterFunc(ctx, func() { c.SetDeadline(time.Unix(1, 0)) })
	fail := func(err error) (*http.Response, error) {
		stop()
		c.Close()
		if ctx.Err() != nil {
			err = ctx.Err()
		}
		return nil, fmt.Errorf("upstream %s: %w", req.Addr, err)
	}
	buffers := net.Buffers{req.Head}
	if len(req.Body) > 0 {
		buffers = append(buffers, req.Body)
	}
	// An upstream may answer before it has read a long body, so a failed write
	// does not end the exchange: the answer may already be there.
	_, writeErr := buffers.WriteTo(c.Conn)
	resp, err = http.ReadResponse(c.r, &http.Request{Method: req.Method})
	for err == nil && resp.StatusCode >= 100 && resp.StatusCode < 200 {
		resp, err = http.ReadResponse(c.r, &http.Request{Method: req.Method})
	}
	if err != nil {
		return fail(errors.Join(writeErr, err))
	}
	if writeErr != nil {
		resp.Close = true
	}
	c.idleFor = idleTimeout(resp.Header)
	resp.Body = &body{ReadCloser: resp.Body, pool: p, conn: c, addr: req.Addr, stop: stop, reuse: !resp.Close}
	return resp, nil
}

func (p *Pool) dial(ctx context.Context, addr netip.AddrPort) (*conn, error) {
	dialCtx, cancel := context.WithTimeout(ctx, p.cfg.DialTimeout)
	defer cancel()
	nc, err := p.cfg.Dial(dialCtx, addr)
	if err != nil {
		return nil, fmt.Errorf("connect to %s: %w: %w", addr, radishcrank.ErrNotSent, err)
	}
	return &conn{Conn: nc, r: bufio.NewReaderSize(nc, readBuffer)}, nil
}

// take returns an idle connection that is still open, or nil.
func (p *Pool) take(addr netip.AddrPort, fresh bool) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	idle := p.idle[addr]
	for len(idle) > 0 {
		c := idle[len(idle)-1] // The one used last stays warm; the others age out.
		idle = idle[:len(idle)-1]
		p.idle[addr] = idle
		age := time.Since(c.idleSince)
		if age > c.idleFor || fresh && age > freshIdle || !c.quiet() {
			c.Close()
			continue
		}
		return c
	}
	delete(p.idle, addr)
	return nil
}

// quiet reports whether an idle connection is open and nothing has arrived on
// it. Bytes that arrive without a request belong to none.
func (c *conn) quiet() bool {
	if c.r.Buffered() > 0 {
		return false
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, err := syscall.Read(int(fd), b[:])
		quiet = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}

func (p *Pool) put(addr netip.AddrPort, c *conn) {
	if c.idleFor <= 0 || c.r.Buffered() > 0 || c.SetDeadline(time.Time{}) != nil {
		c.Close()
		return
	}
	c.idleSince = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[addr]) >= idlePerAddr {
		c.Close()
		return
	}
	p.idle[addr] = append(p.idle[addr], c)
}

// CloseIdle closes the idle connections to an address that no longer leads to the
// upstream that it did.
func (p *Pool) CloseIdle(addr netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[addr] {
		c.Close()
	}
	delete(p.idle, addr)
}

// Close closes all idle connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, idle := range p.idle {
		for _, c := range idle {
			c.Close()
		}
		delete(p.idle, addr)
	}
}

// body returns its connection to the pool once it was read to its end.
type body struct {
	io.ReadCloser
	pool  *Pool
	conn  *conn
	addr  netip.AddrPort
	stop  func() bool
	reuse bool
	ended bool
	once  sync.Once
}

func (b *body) Read(p []byte) (n int, err error) {
	n, err = b.ReadCloser.Read(p)
	if err == io.EOF {
		b.ended = true
	}
	return n, err
}

// Close implements io.Closer.
func (b *body) Close() error {
	b.once.Do(func() {
		if b.stop() && b.ended && b.reuse {
			b.pool.put(b.addr, b.conn)
			return
		}
		b.conn.Close()
	})
	return nil
}

// idleTimeout is the time that the upstream keeps an idle connection, less a
// margin for a request that crosses its close.
func idleTimeout(h http.Header) time.Duration {
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if s, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			return min(maxIdle, time.Duration(s)*time.Second*3/4)
		}
	}
	return maxIdle
}
