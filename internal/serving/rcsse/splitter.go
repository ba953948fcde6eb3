package rcsse

// Splitter finds the ends of events in a stream that is forwarded unchanged. The zero
// value is at the start of a stream.
type Splitter struct {
	inEvent bool // A field has begun since the last event ended.
	inLine  bool // The current line is not empty.
	comment bool // The current line is a comment, which belongs to no event.
	skipLF  bool // The last line ended with CR; an LF that follows is part of its line end.
}

// Split returns the number of bytes of p up to the end of the first event that ends in
// it. Without such an event, it returns len(p) and false.
func (s *Splitter) Split(p []byte) (n int, ended bool) {
	for i, c := range p {
		skip := s.skipLF && c == '\n'
		s.skipLF = c == '\r'
		switch {
		case skip:
		case c != '\r' && c != '\n':
			if !s.inLine {
				s.inLine, s.comment = true, c == ':'
			}
			s.inEvent = s.inEvent || !s.comment
		case s.inLine:
			s.inLine = false
		case s.inEvent:
			s.inEvent = false
			if s.skipLF && i+1 < len(p) && p[i+1] == '\n' {
				s.skipLF = false
				i++
			}
			return i + 1, true
		}
	}
	return len(p), false
}

// BetweenEvents reports whether no event has begun that has not ended. What follows the
// last event, such as a comment, is complete as well.
func (s *Splitter) BetweenEvents() bool { return !s.inEvent && !s.inLine }
