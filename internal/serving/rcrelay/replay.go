package rcrelay

import (
	"context"
	"errors"
	"fmt"
	"net/http"

	"github.com/radishcrank/radishcrank"
)

// ErrUnknownStream means that this instance does not hold the remainder of a stream
// for the requesting account. Streams of other accounts are unknown as well.
var ErrUnknownStream = errors.New("stream is not known here")

// Limits of one Fetch. JSON escapes use up to six bytes for one byte of text, and the
// message must stay below 64 KiB.
const (
	maxFetchTokens = 256
	maxFetchBytes  = 6 << 10
)

// maxReplayTokens limits the tokens that Replay takes from the buffer at once.
const maxReplayTokens = 1024

// Replay delivers the tokens after index after to sink: buffered ones immediately and
// later ones as they are generated. It returns nil after it has delivered the finish.
// The error wraps ErrUnknownStream if this instance does not hold the complete
// remainder.
func (r *Relay) Replay(ctx context.Context, account radishcrank.ClientAccountID, id radishcrank.RequestID, after int, sink radishcrank.StreamSink) error {
	s, err := r.findStream(account, id)
	if err != nil {
		return err
	}
	s.addReader()
	defer s.removeReader()
	next := after + 1
	for {
		p, ok := s.read(next, maxReplayTokens, s.settings.MaxReplayBytes)
		if !ok {
			return unknownStreamError(id)
		}
		for _, t := range p.tokens {
			if err := sink.Token(t); err != nil {
				return errors.Join(errClientGone, err)
			}
			next = t.Index + 1
		}
		if p.done && p.err != nil {
			return streamFailure(p.err)
		}
		if p.done {
			return sink.Finish(p.finish)
		}
		if p.changed == nil {
			continue
		}
		select {
		case <-p.changed:
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
}

// Part is the response to a peer's StreamFetch request.
type Part struct {
	Tokens  []radishcrank.Token
	Done    bool                 // No tokens follow.
	Finish  radishcrank.Finish   // Set if Done and the response is complete.
	Failure *radishcrank.Refusal // Set if Done and the generation failed.
}

// Fetch returns the tokens after index after to a peer to which the client has
// reconnected. It waits until there is at least one token, the stream ends or ctx ends;
// in the last case the part is empty. The peer calls Fetch repeatedly until Done.
// Between the calls the stream has no reader, so that its grace period runs.
func (r *Relay) Fetch(ctx context.Context, account radishcrank.ClientAccountID, id radishcrank.RequestID, after int) (Part, error) {
	s, err := r.findStream(account, id)
	if err != nil {
		return Part{}, err
	}
	s.addReader()
	defer s.removeReader()
	for {
		p, ok := s.read(after+1, maxFetchTokens, maxFetchBytes)
		if !ok {
			return Part{}, unknownStreamError(id)
		}
		if len(p.tokens) > 0 || p.done {
			return newPart(p), nil
		}
		select {
		case <-p.changed:
		case <-ctx.Done():
			return Part{}, nil
		}
	}
}

func newPart(p streamPart) Part {
	out := Part{Tokens: p.tokens, Done: p.done, Finish: p.finish}
	if p.done && p.err != nil {
		out.Failure = radishcrank.AsRefusal(streamFailure(p.err))
	}
	return out
}

func (r *Relay) findStream(account radishcrank.ClientAccountID, id radishcrank.RequestID) (*stream, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s, ok := r.streams[id]
	if !ok || s.account != account {
		return nil, unknownStreamError(id)
	}
	return s, nil
}

func unknownStreamError(id radishcrank.RequestID) error {
	return fmt.Errorf("%w: %w", ErrUnknownStream, &radishcrank.Refusal{
		Status:  http.StatusNotFound,
		Code:    "stream_not_found",
		Message: fmt.Sprintf("no stream %q can be continued here", id),
		Outcome: radishcrank.OutcomeMayHaveRun,
	})
}

// streamFailure returns the refusal in the error of a failed generation. A generation
// that ended because its client disconnected has none, so that one is created.
func streamFailure(err error) error {
	var refusal *radishcrank.Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	return failureRefusal(true)
}
