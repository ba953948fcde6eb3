package rcrelay

import (
	"context"
	"errors"
	"fmt"
	"net/http"

	"github.com/radishcrank/radishcrank"
)

// ErrUnknownStream says that this instance does not hold the rest of a stream
// for the account that asks. A stream of another account is unknown, too.
var ErrUnknownStream = errors.New("stream is not known here")

// Bounds of one fetch. The text is escaped in JSON, which takes up to six bytes
// for one, and the message must stay below 64 KiB.
const (
	fetchTokens = 256
	fetchBytes  = 6 << 10
)

const replayTokens = 1024

// Replay delivers to sink what follows the token at index after: buffered tokens
// at once and later ones as they are generated. It returns nil after the finish
// was delivered. The error wraps ErrUnknownStream if this instance cannot give
// exactly the rest.
func (r *Relay) Replay(ctx context.Context, account radishcrank.ClientAccountID, id radishcrank.RequestID, after int, sink radishcrank.StreamSink) error {
	s, err := r.find(account, id)
	if err != nil {
		return err
	}
	s.attach()
	defer s.leave()
	next := after + 1
	for {
		p, ok := s.from(next, replayTokens, s.settings.MaxReplayBytes)
		if !ok {
			return unknownStream(id)
		}
		for _, t := range p.tokens {
			if err := sink.Token(t); err != nil {
				return errors.Join(errCallerGone, err)
			}
			next = t.Index + 1
		}
		if p.done && p.err != nil {
			return failedStream(p.err)
		}
		if p.done {
			return sink.Finish(p.finish)
		}
		if p.wake == nil {
			continue
		}
		select {
		case <-p.wake:
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
}

// Part is the answer to a peer's StreamFetch.
type Part struct {
	Tokens  []radishcrank.Token
	Done    bool                 // Nothing follows the tokens.
	Finish  radishcrank.Finish   // Set if Done and the answer is complete.
	Failure *radishcrank.Refusal // Set if Done and the answer failed.
}

// Fetch returns tokens that follow the one at index after, for a peer whose
// caller reconnected there. It waits until there is at least one, the stream
// ends or ctx does; in the last case the part is empty. The peer calls it again
// until Done. Between the calls the generation counts as without a reader.
func (r *Relay) Fetch(ctx context.Context, account radishcrank.ClientAccountID, id radishcrank.RequestID, after int) (Part, error) {
	s, err := r.find(account, id)
	if err != nil {
		return Part{}, err
	}
	s.attach()
	defer s.leave()
	for {
		p, ok := s.from(after+1, fetchTokens, fetchBytes)
		if !ok {
			return Part{}, unknownStream(id)
		}
		if len(p.tokens) > 0 || p.done {
			return newPart(p), nil
		}
		select {
		case <-p.wake:
		case <-ctx.Done():
			return Part{}, nil
		}
	}
}

func newPart(p part) Part {
	out := Part{Tokens: p.tokens, Done: p.done, Finish: p.finish}
	if p.done && p.err != nil {
		out.Failure = radishcrank.AsRefusal(failedStream(p.err))
	}
	return out
}

func (r *Relay) find(account radishcrank.ClientAccountID, id radishcrank.RequestID) (*stream, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s, ok := r.streams[id]
	if !ok || s.account != account {
		return nil, unknownStream(id)
	}
	return s, nil
}

func unknownStream(id radishcrank.RequestID) error {
	return fmt.Errorf("%w: %w", ErrUnknownStream, &radishcrank.Refusal{
		Status:  http.StatusNotFound,
		Code:    "stream_not_found",
		Message: fmt.Sprintf("no stream %q can be continued here", id),
		Outcome: radishcrank.OutcomeMayHaveRun,
	})
}

// failedStream returns the refusal of a failed generation, or one for a
// generation that ended because its caller was gone.
func failedStream(err error) error {
	var refusal *radishcrank.Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	return incomplete(true)
}
