package rcengine

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/serving/rcsse"
	"github.com/radishcrank/radishcrank/internal/upstream/rcwire"
)

// tokenStream implements radishcrank.TokenStream. It checks that each event
// belongs to the request and directly follows the previous one.
type tokenStream struct {
	ctx         context.Context
	body        io.ReadCloser
	cancel      func(finished bool)
	events      *rcsse.Reader
	parser      chunkParser
	chunk       chunk
	req         radishcrank.GenerateRequest
	incarnation radishcrank.Incarnation // 0 until the first event.
	nextIndex   int
	finish      radishcrank.Finish
	finished    bool
	closed      bool
	failure     error // Error of a failed stream; returned by all later calls to Recv.
}

func newTokenStream(ctx context.Context, body io.ReadCloser, cancel func(finished bool), req radishcrank.GenerateRequest, incarnation radishcrank.Incarnation) *tokenStream {
	return &tokenStream{
		ctx:         ctx,
		body:        body,
		cancel:      cancel,
		events:      rcsse.NewReader(body),
		req:         req,
		incarnation: incarnation,
		nextIndex:   req.ResumeFrom,
	}
}

// Recv implements radishcrank.TokenStream.
func (s *tokenStream) Recv() (radishcrank.Token, error) {
	if s.finished {
		return radishcrank.Token{}, io.EOF
	}
	if s.failure != nil {
		return radishcrank.Token{}, s.failure
	}
	t, err := s.recv()
	if err != nil && !s.finished {
		s.failure = err
	}
	return t, err
}

func (s *tokenStream) recv() (radishcrank.Token, error) {
	event, err := s.events.Next()
	if err != nil {
		return radishcrank.Token{}, s.streamEndError(err)
	}
	if err := s.parser.parse(event.Data, &s.chunk); err != nil {
		return radishcrank.Token{}, fmt.Errorf("%w: %w", radishcrank.ErrMismatch, err)
	}
	if err := s.check(&s.chunk); err != nil {
		return radishcrank.Token{}, err
	}
	if s.chunk.reason != "" {
		return radishcrank.Token{}, s.setFinish(s.chunk.reason, s.chunk.usage)
	}
	t := radishcrank.Token{Index: s.nextIndex, Text: string(s.chunk.text)}
	s.nextIndex++
	return t, nil
}

// streamEndError returns the error for a stream that ended without a finish event
// because of err: the cancellation cause of the context, if any, which the relay
// sets, ErrMismatch for an oversized event, and ErrTruncated otherwise.
func (s *tokenStream) streamEndError(err error) error {
	if cause := context.Cause(s.ctx); cause != nil {
		return cause
	}
	if errors.Is(err, rcsse.ErrLineTooLong) || errors.Is(err, rcsse.ErrEventTooLong) {
		return fmt.Errorf("%w: %w", radishcrank.ErrMismatch, err)
	}
	if errors.Is(err, io.EOF) {
		return radishcrank.ErrTruncated
	}
	return fmt.Errorf("%w: %w", radishcrank.ErrTruncated, err)
}

// check returns an error if the chunk does not continue this request's stream.
func (s *tokenStream) check(c *chunk) error {
	if s.incarnation == 0 {
		s.incarnation = c.incarnation
	}
	switch {
	case string(c.id) != string(s.req.ID) || string(c.requestID) != string(s.req.ID):
		return fmt.Errorf("%w: chunk has id %q, RequestID %q", radishcrank.ErrMismatch, c.id, c.requestID)
	case c.index != s.nextIndex:
		return fmt.Errorf("%w: token index %d, want %d", radishcrank.ErrMismatch, c.index, s.nextIndex)
	case string(c.weights) != string(s.req.Weights):
		return fmt.Errorf("%w: weights %q, want %q", radishcrank.ErrMismatch, c.weights, s.req.Weights)
	case c.incarnation != s.incarnation:
		return fmt.Errorf("%w: incarnation %d, want %d", radishcrank.ErrMismatch, c.incarnation, s.incarnation)
	}
	return nil
}

// isCompleteFinish reports whether reason marks a complete response. Engines
// report aborted generations with other reasons.
func isCompleteFinish(reason string) bool {
	switch reason {
	case "stop", "length", "content_filter", "tool_calls":
		return true
	}
	return false
}

// setFinish handles a finish event. It returns io.EOF for a complete response and
// ErrTruncated for a response without tokens, with a finish reason of an aborted
// generation or with a different token count.
func (s *tokenStream) setFinish(reason string, usage *rcwire.Usage) error {
	switch {
	case s.nextIndex == s.req.ResumeFrom:
		return fmt.Errorf("%w: empty answer", radishcrank.ErrTruncated)
	case !isCompleteFinish(reason):
		return fmt.Errorf("%w: finish reason %q", radishcrank.ErrTruncated, reason)
	case usage != nil && usage.CompletionTokens != s.nextIndex:
		return fmt.Errorf("%w: usage reports %d completion tokens, received %d", radishcrank.ErrTruncated, usage.CompletionTokens, s.nextIndex)
	}
	s.finished = true
	s.finish.Reason = reason
	if usage != nil {
		s.finish.Usage = radishcrank.Usage{
			PromptTokens:     usage.PromptTokens,
			CachedTokens:     usage.PromptTokensDetails.CachedTokens,
			CompletionTokens: usage.CompletionTokens,
		}
	}
	return io.EOF
}

// Finish implements radishcrank.TokenStream.
func (s *tokenStream) Finish() radishcrank.Finish { return s.finish }

// Close implements radishcrank.TokenStream. For an unfinished generation, it
// closes the connection, which makes the engine cancel the generation.
func (s *tokenStream) Close() error {
	if s.closed {
		return nil
	}
	s.closed = true
	if s.finished {
		go s.drain()
		return nil
	}
	s.cancel(false)
	return s.body.Close()
}

// maxDrainBytes bounds the bytes read after the finish event.
const maxDrainBytes = 4096

// drainTimeout bounds the wait for the end of the body after the finish event.
const drainTimeout = time.Second

// drain reads the rest of the body so that the connection returns to the pool.
func (s *tokenStream) drain() {
	timer := time.AfterFunc(drainTimeout, func() { s.cancel(true) })
	defer timer.Stop()
	io.CopyN(io.Discard, s.body, maxDrainBytes)
	s.body.Close()
	s.cancel(true)
}
