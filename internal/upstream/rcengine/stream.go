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

// tokenStream checks that each event belongs to its request and follows the one before.
type tokenStream struct {
	ctx         context.Context
	body        io.ReadCloser
	cancel      func(finished bool)
	events      *rcsse.Reader
	parser      chunkParser
	chunk       chunk
	req         radishcrank.GenerateRequest
	incarnation radishcrank.Incarnation // 0 until known.
	next        int
	finish      radishcrank.Finish
	finished    bool
	closed      bool
	err         error // Set once the stream has failed; every later Recv returns it.
}

func newTokenStream(ctx context.Context, body io.ReadCloser, cancel func(finished bool), req radishcrank.GenerateRequest, incarnation radishcrank.Incarnation) *tokenStream {
	return &tokenStream{
		ctx:         ctx,
		body:        body,
		cancel:      cancel,
		events:      rcsse.NewReader(body),
		req:         req,
		incarnation: incarnation,
		next:        req.ResumeFrom,
	}
}

// Recv implements radishcrank.TokenStream.
func (s *tokenStream) Recv() (radishcrank.Token, error) {
	if s.finished {
		return radishcrank.Token{}, io.EOF
	}
	if s.err != nil {
		return radishcrank.Token{}, s.err
	}
	t, err := s.recv()
	if err != nil && !s.finished {
		s.err = err
	}
	return t, err
}

func (s *tokenStream) recv() (radishcrank.Token, error) {
	event, err := s.events.Next()
	if err != nil {
		return radishcrank.Token{}, s.ended(err)
	}
	if err := s.parser.parse(event.Data, &s.chunk); err != nil {
		return radishcrank.Token{}, fmt.Errorf("%w: %w", radishcrank.ErrMismatch, err)
	}
	if err := s.check(&s.chunk); err != nil {
		return radishcrank.Token{}, err
	}
	if s.chunk.reason != "" {
		return radishcrank.Token{}, s.end(s.chunk.reason, s.chunk.usage)
	}
	t := radishcrank.Token{Index: s.next, Text: string(s.chunk.text)}
	s.next++
	return t, nil
}

// ended names the reason why no further event came: the cause of the context's
// end, which the relay sets, or the engine.
func (s *tokenStream) ended(err error) error {
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

// check rejects a chunk that does not continue this request's stream.
func (s *tokenStream) check(c *chunk) error {
	if s.incarnation == 0 {
		s.incarnation = c.incarnation
	}
	switch {
	case string(c.id) != string(s.req.ID) || string(c.requestID) != string(s.req.ID):
		return fmt.Errorf("%w: event of request %q, %q", radishcrank.ErrMismatch, c.id, c.requestID)
	case c.index != s.next:
		return fmt.Errorf("%w: index %d, want %d", radishcrank.ErrMismatch, c.index, s.next)
	case string(c.weights) != string(s.req.Weights):
		return fmt.Errorf("%w: weights %q, want %q", radishcrank.ErrMismatch, c.weights, s.req.Weights)
	case c.incarnation != s.incarnation:
		return fmt.Errorf("%w: incarnation %d, want %d", radishcrank.ErrMismatch, c.incarnation, s.incarnation)
	}
	return nil
}

// trueFinish tells the reasons that end a complete answer from those with which
// engines report an aborted one.
func trueFinish(reason string) bool {
	switch reason {
	case "stop", "length", "content_filter", "tool_calls":
		return true
	}
	return false
}

// end records the finish. An answer without a single token is a failure.
func (s *tokenStream) end(reason string, usage *rcwire.Usage) error {
	switch {
	case s.next == s.req.ResumeFrom:
		return fmt.Errorf("%w: empty answer", radishcrank.ErrTruncated)
	case !trueFinish(reason):
		return fmt.Errorf("%w: finish reason %q", radishcrank.ErrTruncated, reason)
	case usage != nil && usage.CompletionTokens != s.next:
		return fmt.Errorf("%w: usage counts %d tokens, got %d", radishcrank.ErrTruncated, usage.CompletionTokens, s.next)
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

// Close implements radishcrank.TokenStream. Closing the connection of an
// unfinished generation makes the engine cancel it.
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

// maxTail bounds what is read after the finish event, in bytes.
const maxTail = 4096

// drainTimeout bounds the wait for the end of the body after the finish event.
const drainTimeout = time.Second

// drain reads the end of the body, so that the connection returns to the pool.
func (s *tokenStream) drain() {
	timer := time.AfterFunc(drainTimeout, func() { s.cancel(true) })
	defer timer.Stop()
	io.CopyN(io.Discard, s.body, maxTail)
	s.body.Close()
	s.cancel(true)
}
