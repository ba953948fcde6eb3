package rcdaemon

import (
	"context"
	"errors"
	"net/netip"
	"time"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/peer/rcrpc"
	"github.com/radishcrank/radishcrank/internal/serving/rcfront"
	"github.com/radishcrank/radishcrank/internal/serving/rcrelay"
)

// fetchWait is how long a peer waits for the next token before it returns an empty
// part. fetchTimeout is longer to allow for the response.
const (
	fetchWait    = 2 * time.Second
	fetchTimeout = 3 * time.Second
)

// streamFetchRequest requests the tokens of a stream after index After from a peer.
type streamFetchRequest struct {
	Account radishcrank.ClientAccountID
	ID      radishcrank.RequestID
	After   int
}

// streamPart is the response to a streamFetchRequest.
type streamPart struct {
	rcrelay.Part
	Unknown bool // The peer cannot continue the stream exactly after the requested index.
}

var methodStreamFetch = rcrpc.Method[streamFetchRequest, streamPart]{Name: "StreamFetch", Timeout: fetchTimeout}

// replayer implements rcfront.Replayer with the local relay and those of the peers.
type replayer struct {
	d     *Daemon
	relay *rcrelay.Relay
}

// handleStreamFetch handles the request of a peer to which a client reconnected.
func (r replayer) handleStreamFetch(ctx context.Context, _ rcrpc.Identity, req streamFetchRequest) (streamPart, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchWait)
	defer cancel()
	part, err := r.relay.Fetch(ctx, req.Account, req.ID, req.After)
	if errors.Is(err, rcrelay.ErrUnknownStream) {
		return streamPart{Unknown: true}, nil
	}
	return streamPart{Part: part}, err
}

// Replay implements rcfront.Replayer.
func (r replayer) Replay(ctx context.Context, account radishcrank.ClientAccountID, id radishcrank.RequestID, after int, sink radishcrank.StreamSink) error {
	err := r.relay.Replay(ctx, account, id, after, sink)
	if !errors.Is(err, rcrelay.ErrUnknownStream) {
		return err
	}
	addr, ok := r.originPeer(id)
	if !ok {
		return err
	}
	return r.replayFromPeer(ctx, addr, streamFetchRequest{Account: account, ID: id, After: after}, sink)
}

// originPeer returns the address of the peer that issued a request ID.
func (r replayer) originPeer(id radishcrank.RequestID) (addr netip.AddrPort, ok bool) {
	for _, i := range r.d.board.Instances.Snapshot() {
		if i.ID != r.d.cfg.BootSettings.ID && rcfront.InstanceTag(i.ID) == rcfront.InstanceTagOf(id) {
			return i.Peer, true
		}
	}
	return addr, false
}

// replayFromPeer fetches the parts of a stream from a peer until the stream ends.
func (r replayer) replayFromPeer(ctx context.Context, addr netip.AddrPort, req streamFetchRequest, sink radishcrank.StreamSink) error {
	for {
		part, err := rcrpc.Call(ctx, r.d.peerClient, addr, methodStreamFetch, req)
		if err != nil {
			return err
		}
		if part.Unknown {
			return rcrelay.ErrUnknownStream
		}
		for _, t := range part.Tokens {
			if err := sink.Token(t); err != nil {
				return err
			}
			req.After = t.Index
		}
		switch {
		case part.Done && part.Failure != nil:
			return part.Failure
		case part.Done:
			return sink.Finish(part.Finish)
		}
		if err := ctx.Err(); err != nil {
			return err
		}
	}
}
