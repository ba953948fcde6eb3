package rcsoak

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// linkFault is a fault of a network link.
type linkFault int

// Faults of links.
const (
	linkHealthy    linkFault = iota
	linkSlow                 // Every chunk is delayed.
	linkReset                // Open and new connections are reset.
	linkOneWay               // Data from the target is held back until the fault ends.
	linkBlackhole            // No data passes. Connections used meanwhile never recover.
	linkFaultCount           // Number of values.
)

// slowLinkDelay is the delay of each chunk on a slow link.
const slowLinkDelay = 60 * time.Millisecond

// connOrigins holds where the connections of proxies come from, by the address from which the
// proxy opened them: an instance or, of a proxy behind others, the address of the connection
// that it serves. An entry is written before any data passes.
var connOrigins sync.Map

// connOrigin returns the instance from which a connection comes, through any number of
// proxies. It returns nil if that is not known.
func connOrigin(remoteAddr string) *instance {
	for {
		switch origin, _ := connOrigins.Load(remoteAddr); o := origin.(type) {
		case *instance:
			return o
		case string:
			remoteAddr = o
		default:
			return nil
		}
	}
}

// proxy is a TCP proxy on loopback that injects link faults.
type proxy struct {
	listener net.Listener
	address  string // Of the listener.
	target   string
	// origin is the instance whose links it is part of. A proxy behind others has none.
	origin *instance

	mu      sync.Mutex
	fault   linkFault
	changed chan struct{} // Closed and replaced when fault changes.
	conns   map[*net.TCPConn]bool
}

func newProxy(target string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	return serveProxy(l, target, nil), nil
}

// The ports of proxies that refuse connections at times lie below the system's ephemeral
// port range and above the ports of instances, which nothing else occupies while they are
// not in use.
const (
	firstProxyPort = lastPort + portsPerInstance
	lastProxyPort  = 32_767
)

// newStableProxy returns a proxy that may refuse connections.
func newStableProxy(target string, origin *instance) (*proxy, error) {
	for {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", firstProxyPort+rand.IntN(lastProxyPort-firstProxyPort)))
		if errors.Is(err, syscall.EADDRINUSE) {
			continue
		}
		if err != nil {
			return nil, err
		}
		return serveProxy(l, target, origin), nil
	}
}

func serveProxy(l net.Listener, target string, origin *instance) *proxy {
	p := &proxy{listener: l, address: l.Addr().String(), target: target, origin: origin, changed: make(chan struct{}), conns: map[*net.TCPConn]bool{}}
	go p.accept(l)
	return p
}

func (p *proxy) addr() string { return p.address }

// refuse resets all connections and refuses new ones until accepting is called. The socket
// keeps its port meanwhile, which other processes would take.
func (p *proxy) refuse() {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.controlListener(func(fd int) error { // Fails only after close.
		// Others may bind the port of a socket that does not listen unless this is off.
		return errors.Join(unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 0), unix.Shutdown(fd, unix.SHUT_RD))
	})
	p.resetLocked()
}

// accepting makes the socket listen again after refuse.
func (p *proxy) accepting() error {
	if err := p.controlListener(func(fd int) error {
		return errors.Join(unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1), unix.Listen(fd, listenBacklog))
	}); err != nil {
		return err
	}
	go p.accept(p.listener)
	return nil
}

const listenBacklog = 128

func (p *proxy) controlListener(f func(fd int) error) error {
	raw, err := p.listener.(*net.TCPListener).SyscallConn()
	if err != nil {
		return err
	}
	var callErr error
	err = raw.Control(func(fd uintptr) { callErr = f(int(fd)) })
	return errors.Join(err, callErr)
}

// setFault changes the fault of the link.
func (p *proxy) setFault(f linkFault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
	close(p.changed)
	p.changed = make(chan struct{})
	if f == linkReset {
		p.resetLocked()
	}
}

// reset resets all open connections.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.resetLocked()
}

func (p *proxy) resetLocked() {
	for c := range p.conns {
		c.SetLinger(0)
		c.Close()
		delete(p.conns, c)
	}
}

func (p *proxy) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listener.Close()
	p.resetLocked()
}

func (p *proxy) state() (linkFault, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault, p.changed
}

func (p *proxy) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return // Closed.
		}
		go p.handle(c.(*net.TCPConn))
	}
}

func (p *proxy) handle(client *net.TCPConn) {
	if fault, _ := p.state(); fault == linkReset {
		client.SetLinger(0)
		client.Close()
		return
	}
	c, err := net.Dial("tcp", p.target)
	if err != nil {
		client.SetLinger(0)
		client.Close()
		return
	}
	server := c.(*net.TCPConn)
	if p.origin != nil {
		connOrigins.Store(server.LocalAddr().String(), p.origin)
	} else {
		connOrigins.Store(server.LocalAddr().String(), client.RemoteAddr().String())
	}
	p.mu.Lock()
	p.conns[client], p.conns[server] = true, true
	p.mu.Unlock()
	go p.forward(server, client, false)
	go p.forward(client, server, true)
}

// forward copies data in one direction until either connection ends. fromTarget is set
// for data from the target.
func (p *proxy) forward(to, from *net.TCPConn, fromTarget bool) {
	reset := false
	defer func() { p.closePair(to, from, reset) }()
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		reset = errors.Is(err, syscall.ECONNRESET)
		if n > 0 && !p.awaitFault(fromTarget) {
			return
		}
		if _, werr := to.Write(buf[:n]); err != nil || werr != nil {
			return
		}
	}
}

// awaitFault applies the current fault to a chunk and returns once the chunk may be
// forwarded. It returns false for a connection that the fault made unusable.
func (p *proxy) awaitFault(fromTarget bool) bool {
	fault, changed := p.state()
	switch {
	case fault == linkSlow:
		<-time.After(slowLinkDelay)
	case fault == linkOneWay && fromTarget:
		<-changed
		return p.awaitFault(fromTarget)
	case fault == linkBlackhole:
		<-changed
		<-time.After(maxFaultDuration) // Keeps the connection open but silent, as a lost route does.
		return false
	}
	return true
}

// closePair closes both connections. If one was reset, the other one is reset too.
func (p *proxy) closePair(a, b *net.TCPConn, reset bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range []*net.TCPConn{a, b} {
		if reset {
			c.SetLinger(0)
		}
		c.Close()
		delete(p.conns, c)
	}
}
