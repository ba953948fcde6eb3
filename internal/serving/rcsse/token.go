package rcsse

import (
	"strconv"
	"strings"
	"unicode/utf8"
)

// TokenEncoder encodes the tokens of one response as events in the streaming format
// of the OpenAI API, without reflection. Its output is identical to that of
// encoding/json for the same chunk; TestTokenEncoderMatchesJSON compares the two.
type TokenEncoder struct {
	id          string
	prefix      string // Chunk up to the token's text.
	firstPrefix string // Prefix of the first token, which in a chat also contains the role.
	suffix      string
}

// NewTokenEncoder returns an encoder for the response to a request. created is in
// Unix seconds; chat selects the chat completion format.
func NewTokenEncoder(id, model string, created int64, chat bool) *TokenEncoder {
	var b []byte
	b = append(b, `data: {"id":`...)
	b = AppendJSONString(b, id)
	b = append(b, `,"object":"`...)
	if chat {
		b = append(b, "chat.completion.chunk"...)
	} else {
		b = append(b, "text_completion"...)
	}
	b = append(b, `","created":`...)
	b = strconv.AppendInt(b, created, 10)
	b = append(b, `,"model":`...)
	b = AppendJSONString(b, model)
	b = append(b, `,"choices":[{"index":0,`...)
	common := string(b)
	e := &TokenEncoder{id: id}
	if chat {
		e.prefix = common + `"delta":{"content":`
		e.firstPrefix = common + `"delta":{"role":"assistant","content":`
		e.suffix = `},"finish_reason":null}]}` + "\n\n"
		return e
	}
	e.prefix = common + `"text":`
	e.firstPrefix = e.prefix
	e.suffix = `,"finish_reason":null}]}` + "\n\n"
	return e
}

// Append appends the event for the token at index to dst.
func (e *TokenEncoder) Append(dst []byte, index int, text string) []byte {
	dst = appendID(dst, e.id, index)
	if index == 0 {
		dst = append(dst, e.firstPrefix...)
	} else {
		dst = append(dst, e.prefix...)
	}
	dst = AppendJSONString(dst, text)
	return append(dst, e.suffix...)
}

const hexDigits = "0123456789abcdef"

// AppendJSONString appends s as a JSON string, escaped as by encoding/json.
func AppendJSONString(dst []byte, s string) []byte {
	dst = append(dst, '"')
	start := 0
	for i := 0; i < len(s); {
		c := s[i]
		if c < utf8.RuneSelf {
			if isUnescaped(c) {
				i++
				continue
			}
			dst = append(dst, s[start:i]...)
			dst = appendEscaped(dst, c)
			i++
			start = i
			continue
		}
		r, size := utf8.DecodeRuneInString(s[i:])
		switch {
		case r == utf8.RuneError && size == 1:
			dst = append(dst, s[start:i]...)
			dst = append(dst, `\ufffd`...)
			start = i + size
		case r == '\u2028' || r == '\u2029':
			dst = append(dst, s[start:i]...)
			dst = append(dst, `\u202`...)
			dst = append(dst, hexDigits[r&0xf])
			start = i + size
		}
		i += size
	}
	dst = append(dst, s[start:]...)
	return append(dst, '"')
}

// isUnescaped reports whether an ASCII character appears unescaped in a JSON string.
func isUnescaped(c byte) bool {
	return c >= ' ' && !strings.ContainsRune(`"\<>&`, rune(c))
}

func appendEscaped(dst []byte, c byte) []byte {
	switch c {
	case '"', '\\':
		return append(dst, '\\', c)
	case '\b':
		return append(dst, `\b`...)
	case '\f':
		return append(dst, `\f`...)
	case '\n':
		return append(dst, `\n`...)
	case '\r':
		return append(dst, `\r`...)
	case '\t':
		return append(dst, `\t`...)
	}
	return append(dst, '\\', 'u', '0', '0', hexDigits[c>>4], hexDigits[c&0xf])
}
