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

	"github.com/labstack/echo/v4"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/limits/rcmemory"
	"github.com/radishcrank/radishcrank/internal/serving/rcguard"
)

// decodedCopies is how often the text of a body is held besides the body itself, decoded.
const decodedCopies = 2

// maxDiscardedBytes limits how much of a body that is too large is read and discarded.
const maxDiscardedBytes = 64 << 20

// readBody reads the request body within the account's size and time limits.
func readBody(c echo.Context) (body []byte, err error) {
	info := c.Get(requestInfoKey).(*requestInfo)
	rc := http.NewResponseController(c.Response())
	// Response writers in tests do not support deadlines; connections always do.
	if err := rc.SetReadDeadline(time.Now().Add(info.settings.BodyReadTimeout)); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return nil, err
	}
	defer rc.SetReadDeadline(time.Time{})
	memory := rcmemory.ReserverFrom(c.Request().Context())
	body, err = rcguard.ReadBody(http.MaxBytesReader(c.Response(), c.Request().Body, info.settings.MaxBodyBytes), c.Request().ContentLength, memory)
	if err == nil && !memory.Reserve(decodedCopies*int64(len(body))) {
		err = rcguard.ErrNoMemory
	}
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		memory.Accept()
		return body, nil
	case errors.Is(err, rcguard.ErrNoMemory):
		c.Response().Header().Set("Connection", "close") // The rest of the body is not awaited.
		return nil, &radishcrank.Refusal{
			Status: http.StatusServiceUnavailable, Code: "no_memory", Message: "the memory for requests is used up",
			Outcome: radishcrank.OutcomeNotRun, RetryAfter: time.Second,
		}
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
	var raw []json.RawMessage
	if err := json.Unmarshal(data, &raw); err != nil {
		return err
	}
	var b strings.Builder
	for i, part := range raw {
		text, err := partText(part)
		if err != nil {
			return fmt.Errorf("part %d: %w", i, err)
		}
		b.WriteString(text)
	}
	*t = messageText(b.String())
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
