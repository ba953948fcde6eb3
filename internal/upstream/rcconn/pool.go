// Package rcconn pools HTTP/1.1 connections to upstreams, without pipelining. It
// never retries a request itself, and it reports whether a failed request may
// have reached the upstream.
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
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/upstream/rcframing"
)

const (
	// defaultDialTimeout is about 100 times the round trip between availability
	// zones; an address that takes longer is considered unreachable. Where connections open
	// faster, dialTimes shortens it.
	defaultDialTimeout = 300 * time.Millisecond
	// tcpUserTimeout is the time after which a connection with unacknowledged data is
	// closed. It exceeds the second for which sound upstreams may fall silent; partitions
	// are detected earlier by attempts to connect. On Linux it also decides when keep-alive
	// probes give up, whatever their count.
	tcpUserTimeout = 1500 * time.Millisecond
	// keepAlivePeriod and keepAliveCount detect a peer that died while a response
	// is pending.
	keepAlivePeriod = time.Second
	keepAliveCount  = 2
	// maxIdleTime bounds the idle time of a connection. It also applies if the
	// upstream announces no idle timeout.
	maxIdleTime = 4 * time.Second
	// maxFreshIdleTime bounds the idle time of a connection for a request that
	// must not run twice: after a reset on a stale connection it would be unknown
	// whether the request ran.
	maxFreshIdleTime = 800 * time.Millisecond
	// maxIdlePerAddr bounds the idle connections to an address.
	maxIdlePerAddr = 32
	readBufferSize = 4 << 10
	// maxHeadBytes bounds the status line and headers of a response, together with those
	// of interim responses before it.
	maxHeadBytes = 64 << 10
)

// errHeadTooLong reports a response whose head exceeds maxHeadBytes.
var errHeadTooLong = errors.New("response head exceeds 64 KiB")

// Config configures a Pool. Zero values select the defaults.
type Config struct {
	DialTimeout time.Duration
	// MaxIdle bounds the idle connections to all addresses, each of which takes a descriptor;
	// 0 means no limit.
	MaxIdle int
	// Dial replaces the TCP dialer in tests.
	Dial func(ctx context.Context, to netip.AddrPort) (net.Conn, error)
}

// Pool is a pool of idle connections by address. It is safe for concurrent use.
type Pool struct {
	cfg Config

	observer  atomic.Pointer[Observer]
	dialTimes dialTimes

	mu   sync.Mutex
	idle map[netip.AddrPort][]*conn
	// idleCount is the number of connections in idle.
	idleCount int
}

// Observer is called when an upstream was reached, by a new connection or a reply, or when
// no connection to it could be opened. It must not block.
type Observer func(addr netip.AddrPort, reached bool)

// SetObserver replaces the observer.
func (p *Pool) SetObserver(o Observer) { p.observer.Store(&o) }

func (p *Pool) observe(addr netip.AddrPort, reached bool) {
	if o := p.observer.Load(); o != nil {
		(*o)(addr, reached)
	}
}

type conn struct {
	net.Conn
	r           *bufio.Reader
	head        headLimit
	openedAt    time.Time
	idleSince   time.Time
	idleTimeout time.Duration // Idle time that the upstream allows, less a margin.
	incarnation atomic.Uint64 // Of the upstream; 0 if it has not been confirmed.
	responded   bool          // A response has arrived on it.
}

// headLimit reads from a connection. While it is limited, it fails after a number of
// bytes: net/http reads the head of a response into memory without a bound.
type headLimit struct {
	r       io.Reader
	limited bool
	left    int
}

func (l *headLimit) Read(p []byte) (n int, err error) {
	if !l.limited {
		return l.r.Read(p)
	}
	if l.left <= 0 {
		return 0, errHeadTooLong
	}
	n, err = l.r.Read(p[:min(len(p), l.left)])
	l.left -= n
	return n, err
}

// readHead reads the head of the final response.
func (c *conn) readHead(method string) (resp *http.Response, err error) {
	c.head.limited, c.head.left = true, maxHeadBytes
	defer func() { c.head.limited = false }()
	for {
		resp, err = http.ReadResponse(c.r, &http.Request{Method: method})
		if err != nil && c.head.left <= 0 {
			return nil, errHeadTooLong
		}
		if err == nil {
			err = rcframing.CheckHead(resp)
		}
		if err != nil || resp.StatusCode >= 200 {
			return resp, err
		}
	}
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
			var sockErr error
			err := raw.Control(func(fd uintptr) {
				sockErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout/time.Millisecond))
			})
			return errors.Join(err, sockErr)
		},
	}
	return d.DialContext(ctx, "tcp", to.String())
}

// Request is a request to send. Head holds the request line, all headers and the
// empty line that terminates them.
type Request struct {
	Addr      netip.AddrPort
	Method    string
	Head      []byte
	Body      []byte
	FreshConn bool // Use only a new connection or one idle for at most maxFreshIdleTime.
	// OwnConn uses a new connection, and closes it afterwards. Responses that do not name
	// their request need it: on a connection that is kept, a faulty upstream may write an
	// earlier response once more.
	OwnConn bool
}

// Do sends a request and reads the status and headers of its response. The
// caller must close the response body; closing it before EOF closes the
// connection, which cancels the run. ctx applies until the body is closed. An
// error that wraps ErrNotSent means that the upstream did not receive the request.
func (p *Pool) Do(ctx context.Context, req Request) (resp *http.Response, err error) {
	var c *conn
	if !req.OwnConn {
		c = p.takeIdle(req.Addr, req.FreshConn)
	}
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
	// An upstream may respond before it has read the whole body, so a failed
	// write does not end the exchange: the response may already have arrived. The read
	// after it meets no reset, so that an unframed body seems to end properly.
	_, writeErr := buffers.WriteTo(c.Conn)
	resp, err = c.readHead(req.Method)
	if err != nil {
		return fail(errors.Join(writeErr, err))
	}
	p.observe(req.Addr, true)
	c.idleTimeout = parseIdleTimeout(resp.Header)
	resp.Body = &body{
		ReadCloser: resp.Body, resp: resp, pool: p, conn: c, addr: req.Addr, stopCancel: stop, done: ctx.Done(),
		reuse: !resp.Close && !req.OwnConn && writeErr == nil, first: !c.responded,
		unframed: resp.Body != http.NoBody && rcframing.Unframed(resp), writeErr: writeErr,
	}
	c.responded = true
	return resp, nil
}

// Connect opens a connection for a later request.
func (p *Pool) Connect(ctx context.Context, addr netip.AddrPort) error {
	c, err := p.dial(ctx, addr)
	if err != nil {
		return err
	}
	c.idleTimeout = maxIdleTime
	p.putIdle(addr, c)
	return nil
}

func (p *Pool) dial(ctx context.Context, addr netip.AddrPort) (*conn, error) {
	started := time.Now()
	dialCtx, cancel := context.WithTimeout(ctx, p.dialTimes.timeout(p.cfg.DialTimeout))
	defer cancel()
	nc, err := p.cfg.Dial(dialCtx, addr)
	if err == nil {
		p.dialTimes.add(time.Since(started))
	}
	if err == nil || ctx.Err() == nil { // Otherwise the caller has given up.
		p.observe(addr, err == nil)
	}
	if err != nil {
		return nil, fmt.Errorf("connect to %s: %w: %w", addr, radishcrank.ErrNotSent, err)
	}
	c := &conn{Conn: nc, openedAt: time.Now(), head: headLimit{r: nc}}
	c.r = bufio.NewReaderSize(&c.head, readBufferSize)
	return c, nil
}

// takeIdle removes a usable idle connection from the pool, or returns nil.
func (p *Pool) takeIdle(addr netip.AddrPort, fresh bool) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	idle := p.idle[addr]
	for len(idle) > 0 {
		c := idle[len(idle)-1] // Reuse the most recently used one, so that surplus connections expire.
		idle = idle[:len(idle)-1]
		p.idleCount--
		p.idle[addr] = idle
		age := time.Since(c.idleSince)
		if age > c.idleTimeout || fresh && age > maxFreshIdleTime || !c.usable() {
			c.Close()
			continue
		}
		return c
	}
	delete(p.idle, addr)
	return nil
}

// usable reports whether an idle connection is open and no unread data has
// arrived on it. Data that arrives while idle belongs to no request.
func (c *conn) usable() bool {
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
	noData := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, err := syscall.Read(int(fd), b[:])
		noData = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && noData
}

func (p *Pool) putIdle(addr netip.AddrPort, c *conn) {
	if c.idleTimeout <= 0 || c.r.Buffered() > 0 || c.SetDeadline(time.Time{}) != nil {
		c.Close()
		return
	}
	c.idleSince = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[addr]) >= maxIdlePerAddr || p.cfg.MaxIdle > 0 && p.idleCount >= p.cfg.MaxIdle {
		c.Close()
		return
	}
	p.idle[addr] = append(p.idle[addr], c)
	p.idleCount++
}

// CloseIdle closes the idle connections to an address that now belongs to another
// upstream.
func (p *Pool) CloseIdle(addr netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[addr] {
		c.Close()
	}
	p.idleCount -= len(p.idle[addr])
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
	p.idleCount = 0
}

// body is a response body that returns its connection to the pool when it is
// closed after EOF.
type body struct {
	io.ReadCloser
	resp       *http.Response
	pool       *Pool
	conn       *conn
	addr       netip.AddrPort
	stopCancel func() bool
	done       <-chan struct{} // Closed when the request is cancelled.
	reuse      bool
	first      bool  // No response has arrived on the connection before.
	unframed   bool  // It ends with the connection.
	writeErr   error // Of the request.
	atEOF      bool
	once       sync.Once
}

// Connection returns the connection on which a response of Do arrives.
func Connection(resp *http.Response) radishcrank.Connection { return resp.Body.(*body).conn }

// First reports whether a response of Do is the first one on its connection, so that it cannot
// be an earlier one that the upstream has written once more. Other responses count as first.
func First(resp *http.Response) bool {
	b, ok := resp.Body.(*body)
	return !ok || b.first
}

// Discard closes the connection of a response of Do when its body is closed, also after EOF.
func Discard(resp *http.Response) { resp.Body.(*body).reuse = false }

// Incarnation implements radishcrank.Connection.
func (c *conn) Incarnation() radishcrank.Incarnation {
	return radishcrank.Incarnation(c.incarnation.Load())
}

// OpenedAt implements radishcrank.Connection.
func (c *conn) OpenedAt() time.Time { return c.openedAt }

// SetIncarnation implements radishcrank.Connection.
func (c *conn) SetIncarnation(i radishcrank.Incarnation) { c.incarnation.Store(uint64(i)) }

func (b *body) Read(p []byte) (n int, err error) {
	n, err = b.ReadCloser.Read(p)
	if err == io.EOF {
		if broken := b.checkEnd(); broken != nil {
			return n, broken
		}
		b.atEOF = true
	}
	return n, err
}

// checkEnd returns an error if the body is not whole although its end was read.
func (b *body) checkEnd() error {
	if b.unframed {
		return rcframing.ConfirmEnd(b.conn.Conn, b.writeErr, b.done)
	}
	return rcframing.CheckTrailer(b.resp)
}

// Close implements io.Closer.
func (b *body) Close() error {
	b.once.Do(func() {
		if b.stopCancel() && b.atEOF && b.reuse {
			b.pool.putIdle(b.addr, b.conn)
			return
		}
		b.conn.Close()
	})
	return nil
}

// parseIdleTimeout returns three quarters of the idle timeout in a Keep-Alive
// header, at most maxIdleTime. The margin avoids sending a request while the
// upstream closes the connection.
func parseIdleTimeout(h http.Header) time.Duration {
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if s, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			return min(maxIdleTime, time.Duration(s)*time.Second*3/4)
		}
	}
	return maxIdleTime
}
