// Package rcfakepeer is a stand-in of the network between instances. Calls are
// encoded as on the wire and counted in bytes, but carried in memory, so tests
// can run a whole fleet in virtual time.
package rcfakepeer

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/radishcrank/radishcrank/internal/peer/rcrpc"
	"github.com/radishcrank/radishcrank/internal/state/rcwait"
)

// ErrUnreachable says that no instance listens at an address.
var ErrUnreachable = errors.New("connection refused")

// typicalCallID has as many digits as the ids of a connection that is a day old.
const typicalCallID = 86400

// Link is the state of the path between two hosts.
type Link struct {
	Down    bool          // Everything is lost.
	Loss    float64       // Share of messages that are lost.
	Latency time.Duration // Of one message.
}

// Network connects hosts.
type Network struct {
	mu    sync.Mutex
	rand  *rand.Rand
	hosts map[netip.AddrPort]*Host
	link  func(from, to *Host) Link
}

// New returns a network without hosts whose losses follow from a seed.
func New(seed uint64) *Network {
	return &Network{
		rand:  rand.New(rand.NewPCG(seed, seed)),
		hosts: make(map[netip.AddrPort]*Host),
		link:  func(*Host, *Host) Link { return Link{} },
	}
}

// SetLinks replaces the function that gives the state of each path.
func (n *Network) SetLinks(link func(from, to *Host) Link) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.link = link
}

// Host is one instance on the network. It implements rcrpc.Caller.
type Host struct {
	Identity rcrpc.Identity
	Addr     netip.AddrPort

	net      *Network
	handlers *rcrpc.Handlers
	sent     int
	received int
	calls    map[string]int
	resume   chan struct{} // Closed when a pause ends; nil while the host runs.
}

// NewHost returns a host that can make calls and serves them after Listen.
func (n *Network) NewHost(id rcrpc.Identity, addr netip.AddrPort, handlers *rcrpc.Handlers) *Host {
	return &Host{Identity: id, Addr: addr, net: n, handlers: handlers, calls: make(map[string]int)}
}

// Listen makes the host reachable, once all handlers are registered. It
// replaces the host at the same address.
func (h *Host) Listen() {
	h.net.mu.Lock()
	defer h.net.mu.Unlock()
	h.net.hosts[h.Addr] = h
}

// Detach removes the host, as a crash does.
func (h *Host) Detach() {
	h.net.mu.Lock()
	defer h.net.mu.Unlock()
	if h.net.hosts[h.Addr] == h {
		delete(h.net.hosts, h.Addr)
	}
}

// Pause stops all calls from and to the host until Resume.
func (h *Host) Pause() {
	h.net.mu.Lock()
	defer h.net.mu.Unlock()
	if h.resume == nil {
		h.resume = make(chan struct{})
	}
}

// Resume ends a pause.
func (h *Host) Resume() {
	h.net.mu.Lock()
	defer h.net.mu.Unlock()
	if h.resume != nil {
		close(h.resume)
		h.resume = nil
	}
}

// Traffic counts what a host has sent and received since it was made.
type Traffic struct {
	SentBytes     int
	ReceivedBytes int
	Calls         map[string]int // Calls made, by method.
}

// Traffic returns the counts.
func (h *Host) Traffic() Traffic {
	h.net.mu.Lock()
	defer h.net.mu.Unlock()
	t := Traffic{SentBytes: h.sent, ReceivedBytes: h.received, Calls: make(map[string]int)}
	for method, calls := range h.calls {
		t.Calls[method] = calls
	}
	return t
}

// Call implements rcrpc.Caller. A lost message makes the call last until its deadline.
func (h *Host) Call(ctx context.Context, to netip.AddrPort, method string, question, answer any) error {
	h.net.mu.Lock()
	h.calls[method]++
	peer := h.net.hosts[to]
	h.net.mu.Unlock()
	if peer == nil {
		return ErrUnreachable
	}
	request := &jsonrpc2.Request{Method: method, ID: jsonrpc2.ID{Num: typicalCallID}}
	if err := request.SetParams(question); err != nil {
		return err
	}
	var arrived jsonrpc2.Request
	if err := h.transfer(ctx, peer, request, &arrived); err != nil {
		return err
	}
	response := &jsonrpc2.Response{ID: arrived.ID}
	result, err := peer.handlers.Serve(ctx, h.Identity, arrived.Method, *arrived.Params)
	var remote *rcrpc.RemoteError
	switch {
	case errors.As(err, &remote):
		response.Error = &jsonrpc2.Error{Code: remote.Code, Message: remote.Message}
	case err != nil:
		return err
	default:
		if err := response.SetResult(result); err != nil {
			return err
		}
	}
	var back jsonrpc2.Response
	if err := peer.transfer(ctx, h, response, &back); err != nil {
		return err
	}
	if back.Error != nil {
		return &rcrpc.RemoteError{Code: back.Error.Code, Message: back.Error.Message}
	}
	return json.Unmarshal(*back.Result, answer)
}

// transfer carries one message in the encoding of the wire.
func (h *Host) transfer(ctx context.Context, to *Host, message, arrived any) error {
	frame, err := rcrpc.Encode(message)
	if err != nil {
		return err
	}
	if err := h.waitResumed(ctx); err != nil {
		return err
	}
	h.net.mu.Lock()
	link := h.net.link(h, to)
	lost := link.Down || h.net.rand.Float64() < link.Loss
	h.sent += len(frame)
	h.net.mu.Unlock()
	if lost {
		<-ctx.Done()
		return ctx.Err()
	}
	if !rcwait.For(ctx, link.Latency) {
		return ctx.Err()
	}
	if err := to.waitResumed(ctx); err != nil {
		return err
	}
	h.net.mu.Lock()
	attached := h.net.hosts[to.Addr] == to
	to.received += len(frame)
	h.net.mu.Unlock()
	if !attached {
		return ErrUnreachable
	}
	return rcrpc.Decode(bytes.NewReader(frame), rcrpc.MaxMessageBytes, arrived)
}

func (h *Host) waitResumed(ctx context.Context) error {
	h.net.mu.Lock()
	resume := h.resume
	h.net.mu.Unlock()
	if resume == nil {
		return nil
	}
	select {
	case <-resume:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
