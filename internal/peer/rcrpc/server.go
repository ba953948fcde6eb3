package rcrpc

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/radishcrank/radishcrank/internal/state/rcwait"
)

const (
	// maxConnections allows for the connections of a zone of 34 instances while all
	// of them are being replaced, and of instances in other zones.
	maxConnections = 512
	// maxHandshakes bounds the connections that have not proved yet that they know the key, so
	// that clients without it leave room for instances.
	maxHandshakes = 128
	// maxConcurrentCalls bounds the calls that run concurrently for one connection.
	maxConcurrentCalls = 32
	// acceptRetryDelay is the delay after a failed accept. It avoids a busy loop
	// while file descriptors are exhausted.
	acceptRetryDelay = 50 * time.Millisecond
)

// Server accepts connections from other instances and serves their calls.
type Server struct {
	cfg      Config
	listener net.Listener
	slots    chan struct{}
	// handshakes has a place for each connection that is not authenticated yet.
	handshakes chan struct{}
}

// NewServer returns a server on listener, which Run closes.
func NewServer(listener net.Listener, cfg Config) *Server {
	return &Server{cfg: cfg.withDefaults(), listener: listener, slots: make(chan struct{}, maxConnections), handshakes: make(chan struct{}, maxHandshakes)}
}

// Run serves connections until ctx is done, then closes all of them.
func (s *Server) Run(ctx context.Context) (err error) {
	defer func() {
		if err != nil {
			err = trace.Wrap(err, "peer listener %s", s.listener.Addr())
		}
	}()
	var running sync.WaitGroup
	defer running.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(ctx, func() { s.listener.Close() })()
	for {
		conn, err := s.listener.Accept()
		switch {
		case ctx.Err() != nil:
			if conn != nil {
				conn.Close()
			}
			return ctx.Err()
		case errors.Is(err, net.ErrClosed):
			return err
		case err != nil:
			rcwait.Sleep(ctx, acceptRetryDelay)
			continue
		}
		select {
		case s.handshakes <- struct{}{}:
		default:
			conn.Close()
			continue
		}
		select {
		case s.slots <- struct{}{}:
			running.Go(func() { s.serve(ctx, conn) })
		default:
			<-s.handshakes
			conn.Close()
		}
	}
}

func (s *Server) serve(ctx context.Context, conn net.Conn) {
	defer func() { <-s.slots }()
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	peer, err := handshake(conn, s.cfg.Identity, s.cfg.Keys(), false, s.cfg.DialTimeout)
	select {
	case <-s.handshakes:
	default: // Called without a place.
	}
	if err != nil {
		conn.Close()
		return
	}
	rpc := newConn(conn, peer, s.cfg)
	<-rpc.DisconnectNotify()
}

// newConn starts JSON-RPC on an authenticated connection, for calls in both
// directions.
func newConn(conn net.Conn, peer Identity, cfg Config) *jsonrpc2.Conn {
	d := &dispatcher{handlers: cfg.Handlers, peer: peer, slots: make(chan struct{}, maxConcurrentCalls)}
	s := &stream{conn: conn, memory: cfg.Handlers.memory, idleTimeout: cfg.IdleTimeout, writeTimeout: cfg.WriteTimeout}
	return jsonrpc2.NewConn(context.Background(), s, d, jsonrpc2.SetLogger(discardLogger{}))
}

// discardLogger discards the log lines that jsonrpc2 would write to standard
// error; the errors are returned to the callers.
type discardLogger struct{}

// Printf implements jsonrpc2.Logger.
func (discardLogger) Printf(string, ...any) {}

// dispatcher runs the handlers of the calls received on one connection.
type dispatcher struct {
	handlers *Handlers
	peer     Identity
	slots    chan struct{}
}

// Handle implements jsonrpc2.Handler.
func (d *dispatcher) Handle(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	select {
	case d.slots <- struct{}{}:
		size := int64(0)
		if req.Params != nil {
			size = int64(len(*req.Params))
		}
		d.handlers.memory.Take(size)
		go func() {
			defer func() {
				d.handlers.memory.Return(size)
				<-d.slots
			}()
			d.run(ctx, conn, req)
		}()
	default:
		d.replyError(ctx, conn, req, &RemoteError{Code: CodeBusy, Message: "too many calls are running"})
	}
}

func (d *dispatcher) run(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	var params json.RawMessage
	if req.Params != nil {
		params = *req.Params
	}
	result, err := d.handlers.Serve(ctx, d.peer, req.Method, params)
	if err != nil {
		d.replyError(ctx, conn, req, err)
		return
	}
	if req.Notif {
		return
	}
	raw, err := json.Marshal(result)
	if err != nil || len(raw) > MaxMessageBytes-envelopeBytes {
		d.replyError(ctx, conn, req, &RemoteError{Code: CodeFailed, Message: "the answer does not fit a message"})
		return
	}
	if err := conn.Reply(ctx, req.ID, json.RawMessage(raw)); err != nil {
		conn.Close()
	}
}

func (d *dispatcher) replyError(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request, err error) {
	if req.Notif {
		return
	}
	rpcErr := &jsonrpc2.Error{Code: CodeFailed, Message: err.Error()}
	var remote *RemoteError
	if errors.As(err, &remote) {
		rpcErr.Code, rpcErr.Message = remote.Code, remote.Message
	}
	if err := conn.ReplyWithError(ctx, req.ID, rpcErr); err != nil {
		conn.Close()
	}
}
