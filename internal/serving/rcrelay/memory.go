package rcrelay

const (
	// reserveBytes is the least that a replay buffer reserves at once.
	reserveBytes = 4 << 10
	// refusedTokens is for how many tokens no memory is asked for after there was none, since a
	// refusal looks at all connections.
	refusedTokens = 64
)

// reserve reserves memory for the next token of a stream. Where there is none, streams that
// have ended make room, the oldest first, since their clients have most likely received them.
// A stream that still gets none keeps only its newest tokens.
func (r *Relay) reserve(s *stream, text string) {
	n := s.unreserved(len(text) + tokenOverhead)
	if n <= 0 {
		return
	}
	n = max(n, reserveBytes)
	for !r.cfg.ReplayMemory.Reserve(int64(n)) {
		if !r.evictOldestEnded() {
			s.limitToReserved()
			return
		}
	}
	s.addReserved(n)
}

// evictOldestEnded removes the oldest ended stream, if there is one.
func (r *Relay) evictOldestEnded() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.ended) == 0 {
		return false
	}
	r.evictOldest()
	return true
}

// unreserved returns how many of n more bytes exceed what is reserved. Tokens beyond the size
// limit are dropped, so that nothing is reserved for them.
func (s *stream) unreserved(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.untried > 0 {
		s.untried--
		return 0
	}
	return min(s.bytes+n, max(n, s.settings.MaxReplayBytes)) - s.reserved
}

// limitToReserved makes the stream keep no more than memory is reserved for.
func (s *stream) limitToReserved() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limit, s.untried = s.reserved, refusedTokens
}

func (s *stream) addReserved(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reserved += n
	s.limit = s.settings.MaxReplayBytes
}

// takeReserved returns what is reserved and forgets it.
func (s *stream) takeReserved() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.reserved
	s.reserved = 0
	return int64(n)
}

// unlimitedMemory is the default ReplayMemory.
type unlimitedMemory struct{}

func (unlimitedMemory) Reserve(int64) bool { return true }
func (unlimitedMemory) Return(int64)       {}
