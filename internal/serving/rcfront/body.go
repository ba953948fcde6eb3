package rcfront

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/labstack/echo/v4"

	"github.com/radishcrank/radishcrank/internal/limits/rcmemory"
	"github.com/radishcrank/radishcrank/internal/serving/rcguard"
)

const (
	// decodedCopies is how often the text of a body is held besides the body itself, decoded:
	// as the text of one message and as the prompt.
	decodedCopies = 2
	// encodedCopies is how often the text of a prompt is held as it is encoded for an engine:
	// in the buffer of the encoder, which doubles, and in the request.
	encodedCopies = 3
	// largeBodyBytes is the size beyond which at most maxLargeDecodes bodies are decoded at the
	// same time. Each leaves many times its size to the garbage collector if its elements are
	// very short. Ordinary bodies of up to 55 KB don't wait for large ones.
	largeBodyBytes  = 256 << 10
	maxLargeDecodes = 2
	// invalidTextGrowth is how many bytes a byte that is not UTF-8 becomes when it is decoded.
	invalidTextGrowth = 3
)

// maxDiscardedBytes limits how much of a body that is too large is read and discarded.
const maxDiscardedBytes = 64 << 20

// encodedBytes returns how much the encodings of a prompt for engines hold.
func encodedBytes(prompt string) int64 {
	size := len(prompt)
	for _, escaped := range []string{`"`, `\`, "\n"} {
		size += strings.Count(prompt, escaped)
	}
	return encodedCopies * int64(size)
}

// decodedBytes returns how much a body holds, besides itself, while it is decoded.
func decodedBytes(body []byte) int64 {
	if utf8.Valid(body) {
		return decodedCopies * int64(len(body))
	}
	return invalidTextGrowth * decodedCopies * int64(len(body))
}

// readBody reads the request body within the account's size and time limits. If it fails, the
// read deadline stays, since net/http reads the rest of the body before it closes the connection.
func readBody(c echo.Context) (body []byte, err error) {
	info := c.Get(requestInfoKey).(*requestInfo)
	rc := http.NewResponseController(c.Response())
	// Response writers in tests do not support deadlines; connections always do.
	if err := rc.SetReadDeadline(time.Now().Add(info.settings.BodyReadTimeout)); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return nil, err
	}
	memory := rcmemory.ReserverFrom(c.Request().Context())
	body, err = rcguard.ReadBody(http.MaxBytesReader(c.Response(), c.Request().Body, info.settings.MaxBodyBytes), c.Request().ContentLength, memory)
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		memory.Accept()
		if err := rc.SetReadDeadline(time.Time{}); err != nil && !errors.Is(err, http.ErrNotSupported) {
			return nil, err
		}
		c.Set(bodyReadKey, true)
		return body, nil
	case errors.Is(err, rcguard.ErrNoMemory):
		c.Response().Header().Set("Connection", "close") // The rest of the body is not awaited.
		return nil, requestWithoutMemory()
	case errors.As(err, &tooLarge):
		// A client that sends its whole body before it reads would not receive the
		// response if the connection were closed in between, so the rest of the body is
		// discarded, up to the read deadline and maxDiscardedBytes.
		_, _ = io.CopyN(io.Discard, c.Request().Body, maxDiscardedBytes)
		return nil, invalidRequest(http.StatusRequestEntityTooLarge, "body_too_large", fmt.Sprintf("the request body exceeds %d bytes", tooLarge.Limit))
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, invalidRequest(http.StatusRequestTimeout, "body_too_slow", fmt.Sprintf("the request body did not arrive within %v", info.settings.BodyReadTimeout))
	}
	return nil, invalidRequest(http.StatusBadRequest, "incomplete_body", "the request body is incomplete")
}

// message is a message of a chat.
type message struct {
	Role    string      `json:"role"`
	Content messageText `json:"content"`
}

// messageText is the text of a message in either form of the API: a string, or a
// list of text parts, which are concatenated.
type messageText string

type textPart struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

// UnmarshalJSON implements json.Unmarshaler.
func (t *messageText) UnmarshalJSON(data []byte) error {
	data = bytes.TrimSpace(data)
	if len(data) == 0 || data[0] != '[' {
		var s string
		if err := json.Unmarshal(data, &s); err != nil {
			return errors.New("text must be a string or a list of text parts")
		}
		*t = messageText(s)
		return nil
	}
	var b strings.Builder
	i := 0
	err := eachElement(data, func(part []byte) error {
		text, err := partText(part)
		if err != nil {
			return fmt.Errorf("part %d: %w", i, err)
		}
		b.WriteString(text)
		i++
		return nil
	})
	*t = messageText(b.String())
	return err
}

// eachElement calls f with each element of data, which is a valid JSON array. A decoded list
// would hold many times the bytes of very short elements.
func eachElement(data []byte, f func(element []byte) error) error {
	depth, start, inString := 0, 0, false
	for i := 0; i < len(data); i++ {
		switch c := data[i]; {
		case inString && c == '\\':
			i++
		case c == '"':
			inString = !inString
		case inString:
		case c == '[' || c == '{':
			if depth++; depth == 1 {
				start = i + 1
			}
		case depth == 1 && (c == ',' || c == ']'):
			element := bytes.TrimSpace(data[start:i])
			if len(element) == 0 {
				return nil // The array is empty.
			}
			if err := f(element); err != nil {
				return err
			}
			start = i + 1
		case c == ']' || c == '}':
			depth--
		}
	}
	return nil
}

// singlePrompt is a prompt in either form of the API: a string, or a list of one
// string. Requests with several prompts are not supported.
type singlePrompt string

// UnmarshalJSON implements json.Unmarshaler.
func (p *singlePrompt) UnmarshalJSON(data []byte) error {
	var s string
	if json.Unmarshal(data, &s) == nil {
		*p = singlePrompt(s)
		return nil
	}
	var list []string
	if err := json.Unmarshal(data, &list); err != nil || len(list) != 1 {
		return errors.New("prompt must be a string or a list of one string")
	}
	*p = singlePrompt(list[0])
	return nil
}

func partText(data []byte) (string, error) {
	var p textPart
	if err := json.Unmarshal(data, &p); err != nil {
		return "", err
	}
	if p.Type != "text" {
		return "", fmt.Errorf("type %q is not supported", p.Type)
	}
	return p.Text, nil
}
