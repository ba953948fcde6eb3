package rcfakeengine

import (
	"net"
	"sync"
)

// Listener accepts connections that can be made silent: what is written to a
// silent connection is lost, nothing is read from it, and neither side learns
// of it. Connections accepted later work.
type Listener struct {
	net.Listener

	mu    sync.Mutex
	conns map[*conn]bool
}

// NewListener wraps a listener.
func NewListener(l net.Listener) *Listener {
	return &Listener{Listener: l, conns: make(map[*conn]bool)}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: inner, listener: l, silent: make(chan struct{}), closed: make(chan struct{})}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = true
	return c, nil
}

// Blackhole makes all open connections silent for good and returns their number.
func (l *Listener) Blackhole() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := len(l.conns)
	for c := range l.conns {
		close(c.silent)
		delete(l.conns, c)
	}
	return n
}

type conn struct {
	net.Conn
	listener *Listener
	silent   chan struct{}
	once     sync.Once
	closed   chan struct{}
}

func (c *conn) isSilent() bool {
	select {
	case <-c.silent:
		return true
	default:
		return false
	}
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.isSilent() {
		<-c.closed
		return 0, net.ErrClosed
	}
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	if c.isSilent() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}
