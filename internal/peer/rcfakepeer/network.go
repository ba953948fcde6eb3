// Package rcfakepeer is a stand-in of the network between instances. Calls are
// encoded as on the wire and counted in bytes, but carried in memory, so tests
// can run a whole fleet in virtual time.
package rcfakepeer

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
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
	Latency time.Duration // Of one message.
}

// Network connects hosts.
type Network struct {
	mu    sync.Mutex
	hosts map[netip.AddrPort]*Host
	link  func(from, to *Host) Link
}

// New returns a network without hosts.
func New() *Network {
	return &Network{
		hosts: make(map[netip.AddrPort]*Host),
		link:  func(*Host, *Host) Link { return Link{} },
	}
}

// SetLinkFunc replaces the function that gives the state of each path.
func (n *Network) SetLinkFunc(link func(from, to *Host) Link) {
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
}

// NewHost returns a host that can make calls and serves them after Listen.
func (n *Network) NewHost(id rcrpc.Identity, addr netip.AddrPort, handlers *rcrpc.Handlers) *Host {
	return &Host{Identity: id, Addr: addr, net: n, handlers: handlers}
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

// SentBytes returns how much the host has sent since it was made.
func (h *Host) SentBytes() int {
	h.net.mu.Lock()
	defer h.net.mu.Unlock()
	return h.sent
}

// Call implements rcrpc.Caller. A lost message makes the call last until its deadline.
func (h *Host) Call(ctx context.Context, to netip.AddrPort, method string, question, answer any) error {
	h.net.mu.Lock()
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
	h.net.mu.Lock()
	link := h.net.link(h, to)
	h.sent += len(frame)
	h.net.mu.Unlock()
	if link.Down {
		<-ctx.Done()
		return ctx.Err()
	}
	if !rcwait.Sleep(ctx, link.Latency) {
		return ctx.Err()
	}
	h.net.mu.Lock()
	attached := h.net.hosts[to.Addr] == to
	h.net.mu.Unlock()
	if !attached {
		return ErrUnreachable
	}
	return rcrpc.Decode(bytes.NewReader(frame), rcrpc.MaxMessageBytes, arrived)
}
