package rcengine

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"
	"unicode/utf8"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/upstream/rcwire"
)

// chunk is a decoded event of a stream. Its byte slices are valid until the next
// call to parse.
type chunk struct {
	id          []byte
	requestID   []byte
	index       int
	weights     []byte
	incarnation radishcrank.Incarnation
	text        []byte
	reason      string
	usage       *rcwire.Usage
}

// chunkParser decodes the events of a stream.
type chunkParser struct {
	text []byte // Buffer for text that contains escapes.
}

// parse decodes an event. It falls back to encoding/json for events that
// parseFast does not support.
func (p *chunkParser) parse(data []byte, c *chunk) error {
	if p.parseFast(data, c) {
		return nil
	}
	return parseJSON(data, c)
}

// parseJSON decodes any valid encoding of a chunk with encoding/json.
func parseJSON(data []byte, c *chunk) error {
	var wire rcwire.CompletionChunk
	if err := json.Unmarshal(data, &wire); err != nil {
		return err
	}
	if len(wire.Choices) != 1 {
		return fmt.Errorf("chunk has %d choices, want 1", len(wire.Choices))
	}
	*c = chunk{
		id:          []byte(wire.ID),
		requestID:   []byte(wire.Extension.RequestID),
		index:       wire.Extension.Index,
		weights:     []byte(wire.Extension.Weights),
		incarnation: wire.Extension.Incarnation,
		text:        []byte(wire.Choices[0].Text),
		reason:      wire.Choices[0].FinishReason,
		usage:       wire.Usage,
	}
	return nil
}

// The JSON between the values of a token event, as encoding/json writes it for
// the types of rcwire.
var (
	partID          = []byte(`{"id":`)
	partText        = []byte(`,"choices":[{"index":0,"text":`)
	partRequestID   = []byte(`}],"radishcrank":{"RequestID":`)
	partIndex       = []byte(`,"Index":`)
	partWeights     = []byte(`,"Weights":`)
	partIncarnation = []byte(`,"Incarnation":`)
	partEnd         = []byte(`}}`)
)

// parseFast decodes a token event without allocations. It reports false for any
// input, valid or not, that deviates from the encoding that encoding/json
// writes for the types of rcwire.
func (p *chunkParser) parseFast(data []byte, c *chunk) bool {
	s := scanner{rest: data}
	s.literal(partID)
	id := s.plainString()
	s.literal(partText)
	text := s.text(p)
	s.literal(partRequestID)
	requestID := s.plainString()
	s.literal(partIndex)
	index := s.number()
	s.literal(partWeights)
	weights := s.plainString()
	s.literal(partIncarnation)
	incarnation := s.number()
	s.literal(partEnd)
	if s.failed || len(s.rest) != 0 || index > math.MaxInt {
		return false
	}
	*c = chunk{
		id: id, requestID: requestID, index: int(index), weights: weights,
		incarnation: radishcrank.Incarnation(incarnation), text: text,
	}
	return true
}

// scanner consumes an event from the front. failed is set at the first mismatch.
type scanner struct {
	rest   []byte
	failed bool
}

func (s *scanner) literal(part []byte) {
	if s.failed || !bytes.HasPrefix(s.rest, part) {
		s.failed = true
		return
	}
	s.rest = s.rest[len(part):]
}

// plainString consumes an ASCII string without escapes or control characters.
func (s *scanner) plainString() []byte {
	if s.failed || len(s.rest) == 0 || s.rest[0] != '"' {
		s.failed = true
		return nil
	}
	for i := 1; i < len(s.rest); i++ {
		c := s.rest[i]
		if c == '"' {
			value := s.rest[1:i]
			s.rest = s.rest[i+1:]
			return value
		}
		if c < ' ' || c == '\\' || c >= utf8.RuneSelf {
			break
		}
	}
	s.failed = true
	return nil
}

// text consumes a string without \u escapes. The result is a copy only if the
// string contains other escapes.
func (s *scanner) text(p *chunkParser) []byte {
	if s.failed || len(s.rest) == 0 || s.rest[0] != '"' {
		s.failed = true
		return nil
	}
	p.text = p.text[:0]
	start := 1
	for i := 1; i < len(s.rest); i++ {
		switch c := s.rest[i]; {
		case c == '"':
			value := s.rest[start:i]
			if len(p.text) > 0 {
				p.text = append(p.text, value...)
				value = p.text
			}
			s.rest = s.rest[i+1:]
			s.failed = !utf8.Valid(value)
			return value
		case c < ' ':
			s.failed = true
			return nil
		case c == '\\':
			if i+1 == len(s.rest) || unescape(s.rest[i+1]) == 0 {
				s.failed = true
				return nil
			}
			p.text = append(p.text, s.rest[start:i]...)
			p.text = append(p.text, unescape(s.rest[i+1]))
			i++
			start = i + 1
		}
	}
	s.failed = true
	return nil
}

// unescape returns the character that a backslash followed by c stands for, or 0
// if that is not a two-character escape.
func unescape(c byte) byte {
	switch c {
	case '"', '\\', '/':
		return c
	case 'b':
		return '\b'
	case 'f':
		return '\f'
	case 'n':
		return '\n'
	case 'r':
		return '\r'
	case 't':
		return '\t'
	}
	return 0
}

// maxDigits is the largest number of decimal digits that cannot overflow a uint64.
const maxDigits = 19

// number consumes an unsigned decimal integer of at most maxDigits digits.
func (s *scanner) number() uint64 {
	if s.failed {
		return 0
	}
	n, i := uint64(0), 0
	for i < len(s.rest) && s.rest[i] >= '0' && s.rest[i] <= '9' {
		n = n*10 + uint64(s.rest[i]-'0')
		i++
		if i > maxDigits {
			break
		}
	}
	if i == 0 || i > maxDigits || (i > 1 && s.rest[0] == '0') {
		s.failed = true
		return 0
	}
	s.rest = s.rest[i:]
	return n
}
