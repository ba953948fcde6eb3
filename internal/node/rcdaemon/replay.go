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

// fetchWait is how long a peer waits for the next token before it answers with
// an empty part; fetchTimeout leaves time for the answer.
const (
	fetchWait    = 2 * time.Second
	fetchTimeout = 3 * time.Second
)

// streamFetchRequest asks a peer for the rest of a stream.
type streamFetchRequest struct {
	Account radishcrank.ClientAccountID
	ID      radishcrank.RequestID
	After   int
}

// streamPart is the answer to a streamFetch.
type streamPart struct {
	rcrelay.Part
	Unknown bool // The peer cannot give exactly the rest.
}

var methodStreamFetch = rcrpc.Method[streamFetchRequest, streamPart]{Name: "StreamFetch", Timeout: fetchTimeout}

// replayer implements rcfront.Replayer on the own relay and the peers'.
type replayer struct {
	d     *Daemon
	relay *rcrelay.Relay
}

// handleStreamFetch serves a peer whose caller reconnected there.
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

// originPeer finds the peer that made a request identifier.
func (r replayer) originPeer(id radishcrank.RequestID) (addr netip.AddrPort, ok bool) {
	for _, i := range r.d.board.Instances.Snapshot() {
		if i.ID != r.d.cfg.BootSettings.ID && rcfront.InstanceTag(i.ID) == rcfront.InstanceTagOf(id) {
			return i.Peer, true
		}
	}
	return addr, false
}

// replayFromPeer fetches parts until the stream's end.
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
