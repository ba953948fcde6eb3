package rcrelay

import (
	"context"
	"sync"
	"time"

	"github.com/radishcrank/radishcrank"
)

// tokenOverhead is the memory of a buffered token besides its text, in bytes:
// the string header and the allocator's rounding.
const tokenOverhead = 32

// streamOverhead is the memory of a stream besides its tokens, in bytes.
const streamOverhead = 1024

// stream is the replay buffer of one answer. The generation appends to it, and
// any number of readers follow it.
type stream struct {
	id       radishcrank.RequestID
	account  radishcrank.ClientAccountID
	settings Settings
	cancel   context.CancelCauseFunc // Ends the generation.

	mu       sync.Mutex
	base     int      // Index of the first buffered token.
	texts    []string // Texts of the tokens from base on.
	bytes    int
	done     bool
	doneAt   time.Time
	finish   radishcrank.Finish
	err      error
	wake     chan struct{} // Closed at the next change; nil when nobody waits.
	detached bool          // The first caller is gone.
	readers  int           // Callers that reconnected.
	grace    *time.Timer   // Runs while nobody reads.
}

func newStream(req radishcrank.Request, settings Settings, cancel context.CancelCauseFunc) *stream {
	return &stream{id: req.ID, account: req.Account, settings: settings, cancel: cancel, base: req.ResumeFrom}
}

// append adds the next token and drops the oldest ones beyond the bound.
func (s *stream) append(text string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.texts = append(s.texts, text)
	s.bytes += len(text) + tokenOverhead
	drop := 0
	for s.bytes > s.settings.MaxReplayBytes && drop < len(s.texts) {
		s.bytes -= len(s.texts[drop]) + tokenOverhead
		s.texts[drop] = ""
		drop++
	}
	s.base += drop
	s.texts = s.texts[drop:]
	s.wakeLocked()
}

func (s *stream) end(finish radishcrank.Finish, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.done, s.doneAt, s.finish, s.err = true, time.Now(), finish, err
	if s.grace != nil {
		s.grace.Stop()
	}
	s.wakeLocked()
}

func (s *stream) wakeLocked() {
	if s.wake != nil {
		close(s.wake)
		s.wake = nil
	}
}

func (s *stream) isDone() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.done
}

func (s *stream) endTime() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.doneAt
}

func (s *stream) size() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.bytes + streamOverhead
}

// detachCaller notes that the first caller is gone.
func (s *stream) detachCaller() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.detached = true
	s.startGraceLocked()
}

func (s *stream) callerGone() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.detached
}

// attach and leave bracket the reading of a reconnected caller.
func (s *stream) attach() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readers++
	if s.grace != nil {
		s.grace.Stop()
		s.grace = nil
	}
}

func (s *stream) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readers--
	s.startGraceLocked()
}

// startGraceLocked gives the generation its last time if nobody reads it.
func (s *stream) startGraceLocked() {
	if !s.detached || s.readers > 0 || s.done || s.grace != nil {
		return
	}
	if s.settings.ReconnectGrace < 0 {
		s.cancel(errCallerGone)
		return
	}
	s.grace = time.AfterFunc(s.settings.ReconnectGrace, s.graceOver)
}

func (s *stream) graceOver() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.detached && s.readers == 0 && s.grace != nil {
		s.cancel(errCallerGone)
	}
}

// part is a run of tokens of a stream.
type part struct {
	tokens []radishcrank.Token
	done   bool
	finish radishcrank.Finish
	err    error
	wake   <-chan struct{} // Closed when more may be there; nil once done.
}

// from returns up to maxTokens tokens and about maxBytes of text from index on.
// ok is false if the buffer no longer holds the index, or never did.
func (s *stream) from(index, maxTokens, maxBytes int) (p part, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := s.base + len(s.texts)
	if s.done && index == next+1 {
		index = next // The caller's last event was the finish event, whose index is next.
	}
	if index < s.base || index > next {
		return part{}, false
	}
	bytes := 0
	for i := index; i < next && len(p.tokens) < maxTokens && bytes < maxBytes; i++ {
		text := s.texts[i-s.base]
		p.tokens = append(p.tokens, radishcrank.Token{Index: i, Text: text})
		bytes += len(text)
	}
	if index+len(p.tokens) < next {
		return p, true
	}
	if s.done {
		p.done, p.finish, p.err = true, s.finish, s.err
		return p, true
	}
	if s.wake == nil {
		s.wake = make(chan struct{})
	}
	p.wake = s.wake
	return p, true
}
