package rcrelay

import (
	"context"
	"sync"
	"time"

	"github.com/radishcrank/radishcrank"
)

// tokenOverhead is the memory used by a buffered token in addition to its text, in
// bytes: the string header and rounding by the allocator.
const tokenOverhead = 32

// streamOverhead is the memory used by a stream in addition to its tokens, in bytes.
const streamOverhead = 1024

// stream is the replay buffer of one response. The generation appends to it, and any
// number of readers follow it.
type stream struct {
	id       radishcrank.RequestID
	account  radishcrank.ClientAccountID
	settings Settings
	cancel   context.CancelCauseFunc // Cancels the generation.

	mu         sync.Mutex
	firstIndex int      // Index of the first buffered token.
	texts      []string // Texts of the buffered tokens.
	bytes      int
	reserved   int // Bytes for which memory is reserved.
	limit      int // Limit on bytes.
	untried    int // Tokens until memory is asked for again after there was none.
	done       bool
	doneAt     time.Time
	finish     radishcrank.Finish
	err        error
	changed    chan struct{} // Closed on the next change; nil if there are no waiting readers.
	clientLeft bool          // The original client has disconnected.
	readers    int           // Number of reconnected clients and peers.
	graceTimer *time.Timer   // Runs while the stream has neither a client nor a reader.
}

func newStream(req radishcrank.Request, settings Settings, cancel context.CancelCauseFunc) *stream {
	return &stream{id: req.ID, account: req.Account, settings: settings, cancel: cancel, firstIndex: req.ResumeFrom, limit: settings.MaxReplayBytes}
}

// append adds the next token and drops the oldest ones that exceed the size limit or the
// memory that is reserved.
func (s *stream) append(text string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.texts = append(s.texts, text)
	s.bytes += len(text) + tokenOverhead
	drop := 0
	for s.bytes > s.limit && drop < len(s.texts) {
		s.bytes -= len(s.texts[drop]) + tokenOverhead
		s.texts[drop] = ""
		drop++
	}
	s.firstIndex += drop
	s.texts = s.texts[drop:]
	s.notifyLocked()
}

// setDone records the end of the generation.
func (s *stream) setDone(finish radishcrank.Finish, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.done, s.doneAt, s.finish, s.err = true, time.Now(), finish, err
	if s.graceTimer != nil {
		s.graceTimer.Stop()
	}
	s.notifyLocked()
}

// notifyLocked wakes the readers that wait for a change.
func (s *stream) notifyLocked() {
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
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

// setClientGone records that the original client has disconnected.
func (s *stream) setClientGone() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.clientLeft = true
	s.startGracePeriodLocked()
}

func (s *stream) clientGone() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.clientLeft
}

// addReader registers a reader, which must call removeReader at its end.
func (s *stream) addReader() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readers++
	if s.graceTimer != nil {
		s.graceTimer.Stop()
		s.graceTimer = nil
	}
}

func (s *stream) removeReader() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readers--
	s.startGracePeriodLocked()
}

// startGracePeriodLocked starts the grace period if the stream has neither a client nor
// a reader. At the end of the period the generation is canceled.
func (s *stream) startGracePeriodLocked() {
	if !s.clientLeft || s.readers > 0 || s.done || s.graceTimer != nil {
		return
	}
	if s.settings.ReconnectGrace < 0 {
		s.cancel(errClientGone)
		return
	}
	s.graceTimer = time.AfterFunc(s.settings.ReconnectGrace, s.gracePeriodEnded)
}

func (s *stream) gracePeriodEnded() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.clientLeft && s.readers == 0 && s.graceTimer != nil {
		s.cancel(errClientGone)
	}
}

// streamPart is a sequence of consecutive tokens of a stream.
type streamPart struct {
	tokens  []radishcrank.Token
	done    bool
	finish  radishcrank.Finish
	err     error
	changed <-chan struct{} // Closed when more may be available; nil if the part is full or the stream is done.
}

// read returns up to maxTokens tokens with about maxBytes of text, starting at index.
// ok is false if index is outside of the buffer.
func (s *stream) read(index, maxTokens, maxBytes int) (p streamPart, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := s.firstIndex + len(s.texts)
	if s.done && index == next+1 {
		index = next // The client has received the finish event, whose index is next.
	}
	if index < s.firstIndex || index > next {
		return streamPart{}, false
	}
	bytes := 0
	for i := index; i < next && len(p.tokens) < maxTokens && bytes < maxBytes; i++ {
		text := s.texts[i-s.firstIndex]
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
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	p.changed = s.changed
	return p, true
}
