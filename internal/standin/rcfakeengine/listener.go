package rcfakeengine

import (
	"net"
	"sync"
)

// Listener accepts connections that can be turned into black holes, as when a
// network drops all packets: written data is lost, reads block until the connection
// is closed, and neither side gets an error. Connections accepted later work.
type Listener struct {
	net.Listener

	mu    sync.Mutex
	conns map[*conn]bool
}

// NewListener returns a Listener that accepts connections from l.
func NewListener(l net.Listener) *Listener {
	return &Listener{Listener: l, conns: make(map[*conn]bool)}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: inner, listener: l, blackholed: make(chan struct{}), closed: make(chan struct{})}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = true
	return c, nil
}

// Blackhole permanently turns all open connections into black holes and returns
// their number.
func (l *Listener) Blackhole() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := len(l.conns)
	for c := range l.conns {
		close(c.blackholed)
		delete(l.conns, c)
	}
	return n
}

type conn struct {
	net.Conn
	listener   *Listener
	blackholed chan struct{}
	closeOnce  sync.Once
	closed     chan struct{}
}

func (c *conn) isBlackholed() bool {
	select {
	case <-c.blackholed:
		return true
	default:
		return false
	}
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.isBlackholed() {
		<-c.closed
		return 0, net.ErrClosed
	}
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	if c.isBlackholed() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	c.closeOnce.Do(func() { close(c.closed) })
	return c.Conn.Close()
}
