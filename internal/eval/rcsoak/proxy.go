package rcsoak

import (
	"net"
	"sync"
	"time"
)

// linkFault is how a link misbehaves.
type linkFault int

// Faults of links.
const (
	linkSound  linkFault = iota
	linkSlow             // Every piece is late.
	linkReset            // Connections are reset, also new ones.
	linkOneWay           // Nothing comes back.
	linkSilent           // Nothing passes, and what is open then stays silent for good.
	linkFaults           // Number of them.
)

// slowBy delays each piece on a slow link.
const slowBy = 60 * time.Millisecond

// proxy is a link on loopback that can misbehave.
type proxy struct {
	listener net.Listener
	target   string

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
	p := &proxy{listener: l, target: target, changed: make(chan struct{}), conns: map[*net.TCPConn]bool{}}
	go p.accept()
	return p, nil
}

func (p *proxy) addr() string { return p.listener.Addr().String() }

// set changes how the link behaves.
func (p *proxy) set(f linkFault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
	close(p.changed)
	p.changed = make(chan struct{})
	if f == linkReset {
		p.resetLocked()
	}
}

func (p *proxy) resetLocked() {
	for c := range p.conns {
		c.SetLinger(0)
		c.Close()
		delete(p.conns, c)
	}
}

func (p *proxy) close() {
	p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.resetLocked()
}

func (p *proxy) state() (linkFault, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault, p.changed
}

func (p *proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return // Closed.
		}
		go p.link(c.(*net.TCPConn))
	}
}

func (p *proxy) link(near *net.TCPConn) {
	if fault, _ := p.state(); fault == linkReset {
		near.SetLinger(0)
		near.Close()
		return
	}
	c, err := net.Dial("tcp", p.target)
	if err != nil {
		near.SetLinger(0)
		near.Close()
		return
	}
	far := c.(*net.TCPConn)
	p.mu.Lock()
	p.conns[near], p.conns[far] = true, true
	p.mu.Unlock()
	go p.pump(far, near, false)
	go p.pump(near, far, true)
}

// pump copies one direction until either side ends.
func (p *proxy) pump(to, from *net.TCPConn, back bool) {
	defer p.end(to, from)
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 && !p.pass(back) {
			return
		}
		if _, werr := to.Write(buf[:n]); err != nil || werr != nil {
			return
		}
	}
}

// pass waits until a piece may go on. It reports false if the connection has
// fallen silent for good, once the link has recovered.
func (p *proxy) pass(back bool) bool {
	fault, changed := p.state()
	switch {
	case fault == linkSlow:
		<-time.After(slowBy)
	case fault == linkOneWay && back:
		<-changed
		return p.pass(back)
	case fault == linkSilent:
		<-changed
		<-time.After(longestFault) // Held open without a sign, as a lost route does.
		return false
	}
	return true
}

func (p *proxy) end(a, b *net.TCPConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range []*net.TCPConn{a, b} {
		c.Close()
		delete(p.conns, c)
	}
}
