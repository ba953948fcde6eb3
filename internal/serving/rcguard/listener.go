// Package rcguard guards the HTTP listeners of an instance against clients that use up its
// memory or its descriptors. Its connections reserve memory (rcmemory) for what they read
// before net/http parses it, bound the size of request heads, and are closed when the memory
// is needed for others.
package rcguard

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/radishcrank/radishcrank/internal/limits/rcmemory"
	"github.com/radishcrank/radishcrank/internal/state/rcmetric"
)

const (
	// receiveBufferBytes and sendBufferBytes bound what the kernel holds for a connection.
	// By default it holds up to 6 MB of what an instance has not read yet, and 4 MB of what
	// a client has not.
	receiveBufferBytes = 64 << 10
	sendBufferBytes    = 32 << 10
	// crowdedBufferBytes replaces receiveBufferBytes while there are many connections. With
	// 64 KB, the kernel held 79 MB for 800 of them.
	crowdedBufferBytes = 8 << 10
	// backlog bounds the connections that wait to be accepted, for which the kernel holds
	// bytes, too.
	backlog = 128
	// ConnBytes is what a connection holds by itself: buffers, stacks and a part of the
	// buffers in the kernel.
	ConnBytes = 32 << 10
	// lineBytes is what a header line holds beside its text, parsed, with the copies that
	// are forwarded. A parsed line of 6 bytes was measured with 165 bytes.
	lineBytes = 512
	// encryptedCopies replaces both for heads that cannot be read. Heads of lines of 4 bytes
	// were measured with 41 bytes for each of them.
	encryptedCopies = 41
	// textCopies is how often the text of a head is held.
	textCopies = 3
	// headMargin is added to the configured limit of heads, so that a client that counts
	// them in another way does not meet it.
	headMargin = 4 << 10
	// DefaultHeadBytes bounds heads where the configuration sets no limit.
	DefaultHeadBytes = 64 << 10
	// lingerTime and lingerBytes bound how long and how much of what a refused client
	// sends is read: it would not receive the response if its connection were closed with
	// bytes unread.
	lingerTime  = 300 * time.Millisecond
	lingerBytes = 64 << 10
)

var (
	errHeadTooLong = errors.New("request head exceeds its limit")
	// ErrNoMemory reports that the memory for requests is used up.
	ErrNoMemory = errors.New("memory for requests is used up")
)

// Config configures a Listener.
type Config struct {
	Budget *rcmemory.Budget
	// MaxHeadBytes returns the limit of request heads; 0 selects DefaultHeadBytes.
	MaxHeadBytes func() int
	// CrowdedAt is the number of connections from which on the kernel holds less for each
	// new one. 0 means that it never does.
	CrowdedAt int
	// Encrypted tells that the listener is used below TLS, so that heads cannot be told
	// from other bytes. Their size has to be bounded by the HTTP server.
	Encrypted bool
	// Timeouts returns how long connections wait for requests. Nil leaves that to the HTTP
	// server, whose own timeouts must be 0 otherwise. It has no effect below TLS.
	Timeouts func() Timeouts
	Metrics  *rcmetric.Set
}

// Listener is a net.Listener whose connections are guarded.
type Listener struct {
	net.Listener
	cfg     Config
	raw     syscall.RawConn
	crowded bool
}

// Listen listens on a TCP address.
func Listen(addr string, cfg Config) (*Listener, error) {
	l, err := Open(addr)
	if err != nil {
		return nil, err
	}
	return Wrap(l, cfg), nil
}

// Open opens a listener whose connections hold little in the kernel. The bounds have to be set
// before it listens, since they decide how much a client is told that it may send.
func Open(addr string) (net.Listener, error) {
	lc := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var sockErr error
		err := raw.Control(func(fd uintptr) {
			sockErr = errors.Join(
				unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBufferBytes),
				unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, sendBufferBytes),
			)
		})
		return errors.Join(err, sockErr)
	}}
	l, err := lc.Listen(context.Background(), "tcp", addr)
	if err != nil {
		return nil, err
	}
	if raw, err := l.(*net.TCPListener).SyscallConn(); err == nil {
		// Fails only on a closed listener.
		_ = raw.Control(func(fd uintptr) { _ = unix.Listen(int(fd), backlog) })
	}
	return l, nil
}

// Wrap guards an open listener. Connections other than those of TCP are not guarded.
func Wrap(l net.Listener, cfg Config) *Listener {
	guarded := &Listener{Listener: l, cfg: cfg}
	if tcp, ok := l.(*net.TCPListener); ok {
		if raw, err := tcp.SyscallConn(); err == nil {
			guarded.raw = raw
		}
	}
	return guarded
}

// adapt sets how much the kernel holds for each connection that is opened from now on.
func (l *Listener) adapt() {
	_, n := l.cfg.Budget.Used()
	crowded := l.cfg.CrowdedAt > 0 && n >= l.cfg.CrowdedAt
	if crowded == l.crowded || l.raw == nil {
		return
	}
	size := receiveBufferBytes
	if crowded {
		size = crowdedBufferBytes
	}
	// Fails only on a closed listener.
	_ = l.raw.Control(func(fd uintptr) { _ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, size) })
	l.crowded = crowded
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		tcp, ok := nc.(*net.TCPConn)
		if !ok {
			return nc, nil
		}
		c := &Conn{TCPConn: tcp, cfg: &l.cfg, waiting: waiting{since: time.Now()}}
		c.inHead.Store(true)
		h, evicted := l.cfg.Budget.Open(c, time.Now())
		l.cfg.closeAll(evicted)
		if h == nil {
			l.cfg.Metrics.Add(rcmetric.ConnectionsRefused, 1)
			nc.Close()
			continue
		}
		c.holder = h
		l.adapt()
		return c, nil
	}
}

// Configure makes a server use the connections of a Listener.
func Configure(s *http.Server) {
	s.ConnContext = func(ctx context.Context, nc net.Conn) context.Context {
		if c := guardedConn(nc); c != nil {
			return rcmemory.WithReserver(ctx, c)
		}
		return ctx
	}
	s.ConnState = func(nc net.Conn, state http.ConnState) {
		if c := guardedConn(nc); c != nil {
			c.setState(state)
		}
	}
}

// guardedConn returns the guarded connection that a server uses, below TLS as well, or nil.
func guardedConn(nc net.Conn) *Conn {
	if t, ok := nc.(interface{ NetConn() net.Conn }); ok {
		nc = t.NetConn()
	}
	c, _ := nc.(*Conn)
	return c
}

// Conn is a guarded connection. It implements rcmemory.Reserver.
type Conn struct {
	*net.TCPConn
	cfg      *Config
	holder   *rcmemory.Holder
	inHead   atomic.Bool
	accepted atomic.Bool
	// head and waiting are used only while the server waits for a head.
	head    headScanner
	waiting waiting
}

func (c *Conn) setState(s http.ConnState) {
	switch s {
	case http.StateActive: // The head has been parsed.
		c.inHead.Store(false)
		c.head = headScanner{}
	case http.StateIdle:
		c.accepted.Store(false)
		c.holder.SetState(rcmemory.Idle, time.Now())
		c.waiting = waiting{since: time.Now()}
		c.inHead.Store(true)
	}
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (n int, err error) {
	if c.cfg.Timeouts != nil && !c.cfg.Encrypted && c.inHead.Load() {
		n, err = c.readHead(p)
	} else {
		n, err = c.TCPConn.Read(p)
	}
	if n == 0 || c.accepted.Load() {
		return n, err
	}
	c.holder.Received(n, time.Now())
	if !c.inHead.Load() {
		return n, err
	}
	if c.cfg.Encrypted {
		if !c.Reserve(int64(encryptedCopies * n)) {
			c.cfg.Metrics.Add(rcmetric.RefusedForMemory, 1)
			// net/http answers other errors that it gets through TLS with 400, which would be
			// untrue.
			return 0, &net.OpError{Op: "read", Net: "tcp", Addr: c.RemoteAddr(), Err: os.ErrDeadlineExceeded}
		}
		return n, err
	}
	c.waiting.begin(time.Now())
	text, lines := c.head.scan(p[:n])
	if text == 0 {
		return n, err
	}
	limit := DefaultHeadBytes
	if c.cfg.MaxHeadBytes != nil {
		if set := c.cfg.MaxHeadBytes(); set > 0 {
			limit = set
		}
	}
	switch {
	case c.head.bytes > limit+headMargin:
		c.cfg.Metrics.Add(rcmetric.HeadsTooLong, 1)
		return 0, c.refuse(http.StatusRequestHeaderFieldsTooLarge, "", errHeadTooLong)
	case !c.Reserve(int64(textCopies*text + lineBytes*lines)):
		c.cfg.Metrics.Add(rcmetric.RefusedForMemory, 1)
		return 0, c.refuse(http.StatusServiceUnavailable, "Retry-After: "+RetryAfter()+"\r\n", ErrNoMemory)
	}
	return n, err
}

// refuse answers a request whose head has not been parsed, so that it has not run and never
// will. The error makes net/http close the connection without a response of its own.
func (c *Conn) refuse(status int, header string, cause error) error {
	err := c.SetDeadline(time.Now().Add(lingerTime))
	if err == nil {
		_, err = io.WriteString(c.TCPConn, "HTTP/1.1 "+strconv.Itoa(status)+" "+http.StatusText(status)+"\r\n"+header+"Connection: close\r\nContent-Length: 0\r\n\r\n")
	}
	if err == nil && c.CloseWrite() == nil {
		_, _ = io.CopyN(io.Discard, c.TCPConn, lingerBytes)
	}
	return &net.OpError{Op: "read", Net: "tcp", Addr: c.RemoteAddr(), Err: cause}
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (n int, err error) {
	c.holder.SetState(rcmemory.Sending, time.Now())
	n, err = c.TCPConn.Write(p)
	after := rcmemory.Receiving // Its body may be awaited, also after a refusal.
	if c.accepted.Load() {
		after = rcmemory.Forwarding
	}
	c.holder.SetState(after, time.Now())
	return n, err
}

// ReadFrom implements io.ReaderFrom by Write, which tells the budget when a client does not
// read.
func (c *Conn) ReadFrom(r io.Reader) (n int64, err error) {
	return io.Copy(struct{ io.Writer }{c}, r)
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.holder.Close()
	return c.TCPConn.Close()
}

// Reserve implements rcmemory.Reserver.
func (c *Conn) Reserve(n int64) bool {
	ok, evicted := c.holder.Reserve(n, time.Now())
	c.cfg.closeAll(evicted)
	return ok
}

// Return implements rcmemory.Reserver.
func (c *Conn) Return(n int64) { c.holder.Return(n) }

// Accept implements rcmemory.Reserver.
func (c *Conn) Accept() {
	c.accepted.Store(true)
	c.holder.SetState(rcmemory.Forwarding, time.Now())
}

// RetryAfter returns the Retry-After value, in seconds, of a request that is refused for lack
// of memory. Clients that are refused together do not return together.
func RetryAfter() string { return strconv.FormatFloat(0.5+rand.Float64(), 'f', 2, 64) }

// headScanner finds the end of a request head.
type headScanner struct {
	bytes    int // So far.
	inLine   bool
	seenLine bool
	ended    bool
}

// scan returns how many bytes and lines of p belong to the head. Empty lines before the
// request line are none of it, as for net/http.
func (s *headScanner) scan(p []byte) (text, lines int) {
	if s.ended {
		return 0, 0
	}
	for i, b := range p {
		switch {
		case b == '\n' && s.inLine:
			lines++
			s.inLine, s.seenLine = false, true
		case b == '\n' && s.seenLine:
			s.ended = true
			s.bytes += i + 1
			return i + 1, lines
		case b != '\n' && b != '\r':
			s.inLine = true
		}
	}
	s.bytes += len(p)
	return len(p), lines
}
