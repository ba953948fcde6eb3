// Package rcfakepeer is a fake of the network between instances for tests. Messages
// are encoded as on the wire and their bytes are counted, but they are delivered in
// memory, so a test can run a whole fleet in virtual time.
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

// ErrUnreachable is returned when no host listens at the address.
var ErrUnreachable = errors.New("connection refused")

// typicalCallID has as many digits as the call IDs of a connection after a day, which
// makes the byte counts realistic.
const typicalCallID = 86400

// Link is the state of the path from one host to another.
type Link struct {
	Down    bool          // All messages are lost.
	Latency time.Duration // Of each message.
}

// Network connects hosts in memory.
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

// NewHost returns a host that can make calls. It serves calls after Listen.
func (n *Network) NewHost(id rcrpc.Identity, addr netip.AddrPort, handlers *rcrpc.Handlers) *Host {
	return &Host{Identity: id, Addr: addr, net: n, handlers: handlers}
}

// Listen makes the host reachable, in place of any host at the same address. All
// handlers must be registered before.
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

// SentBytes returns the number of bytes that the host has sent.
func (h *Host) SentBytes() int {
	h.net.mu.Lock()
	defer h.net.mu.Unlock()
	return h.sent
}

// Call implements rcrpc.Caller. After a lost message, it blocks until ctx ends.
func (h *Host) Call(ctx context.Context, to netip.AddrPort, method string, params, answer any) error {
	h.net.mu.Lock()
	peer := h.net.hosts[to]
	h.net.mu.Unlock()
	if peer == nil {
		return ErrUnreachable
	}
	request := &jsonrpc2.Request{Method: method, ID: jsonrpc2.ID{Num: typicalCallID}}
	if err := request.SetParams(params); err != nil {
		return err
	}
	var received jsonrpc2.Request
	if err := h.transfer(ctx, peer, request, &received); err != nil {
		return err
	}
	response := &jsonrpc2.Response{ID: received.ID}
	result, err := peer.handlers.Serve(ctx, h.Identity, received.Method, *received.Params)
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
	var reply jsonrpc2.Response
	if err := peer.transfer(ctx, h, response, &reply); err != nil {
		return err
	}
	if reply.Error != nil {
		return &rcrpc.RemoteError{Code: reply.Error.Code, Message: reply.Error.Message}
	}
	return json.Unmarshal(*reply.Result, answer)
}

// transfer encodes a message, applies the state of the link and decodes the message
// into received.
func (h *Host) transfer(ctx context.Context, to *Host, message, received any) error {
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
	return rcrpc.Decode(bytes.NewReader(frame), rcrpc.MaxMessageBytes, received)
}
