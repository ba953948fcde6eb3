package rcengine

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/serving/rcsse"
	"github.com/radishcrank/radishcrank/internal/upstream/rcwire"
)

// tokenStream checks that each event belongs to its request and follows the one before.
type tokenStream struct {
	body        io.ReadCloser
	cancel      context.CancelFunc
	events      *rcsse.Reader
	req         radishcrank.GenerateRequest
	incarnation radishcrank.Incarnation // 0 until known.
	next        int
	finish      radishcrank.Finish
	finished    bool
}

func newTokenStream(body io.ReadCloser, cancel context.CancelFunc, req radishcrank.GenerateRequest, incarnation radishcrank.Incarnation) *tokenStream {
	return &tokenStream{
		body:        body,
		cancel:      cancel,
		events:      rcsse.NewReader(body),
		req:         req,
		incarnation: incarnation,
		next:        req.Resume,
	}
}

// Recv implements radishcrank.TokenStream.
func (s *tokenStream) Recv() (radishcrank.Token, error) {
	if s.finished {
		return radishcrank.Token{}, io.EOF
	}
	event, err := s.events.Next()
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return radishcrank.Token{}, radishcrank.ErrTruncated
	}
	if err != nil {
		return radishcrank.Token{}, fmt.Errorf("%w: %w", radishcrank.ErrTruncated, err)
	}
	var chunk rcwire.CompletionChunk
	if err := json.Unmarshal(event.Data, &chunk); err != nil {
		return radishcrank.Token{}, fmt.Errorf("%w: %w", radishcrank.ErrMismatch, err)
	}
	if err := s.check(chunk); err != nil {
		return radishcrank.Token{}, err
	}
	choice := chunk.Choices[0]
	if choice.FinishReason != "" {
		return radishcrank.Token{}, s.end(choice.FinishReason, chunk.Usage)
	}
	t := radishcrank.Token{Index: s.next, Text: choice.Text}
	s.next++
	return t, nil
}

// check rejects a chunk that does not continue this request's stream.
func (s *tokenStream) check(chunk rcwire.CompletionChunk) error {
	x := chunk.Extension
	if s.incarnation == 0 {
		s.incarnation = x.Incarnation
	}
	switch {
	case len(chunk.Choices) != 1:
		return fmt.Errorf("%w: %d choices", radishcrank.ErrMismatch, len(chunk.Choices))
	case x.RequestID != s.req.ID:
		return fmt.Errorf("%w: event of request %q", radishcrank.ErrMismatch, x.RequestID)
	case x.Index != s.next:
		return fmt.Errorf("%w: index %d, want %d", radishcrank.ErrMismatch, x.Index, s.next)
	case x.Weights != s.req.Weights:
		return fmt.Errorf("%w: weights %q, want %q", radishcrank.ErrMismatch, x.Weights, s.req.Weights)
	case x.Incarnation != s.incarnation:
		return fmt.Errorf("%w: incarnation %d, want %d", radishcrank.ErrMismatch, x.Incarnation, s.incarnation)
	}
	return nil
}

// end records the finish. An answer without a single token is a failure.
func (s *tokenStream) end(reason string, usage *rcwire.Usage) error {
	if s.next == 0 {
		return fmt.Errorf("%w: empty answer", radishcrank.ErrTruncated)
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
	s.cancel()
	return s.body.Close()
}
