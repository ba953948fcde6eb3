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
)

// maxDiscarded bounds what is read, in bytes, of a body that is too large.
const maxDiscarded = 64 << 20

// readBody reads the whole request body within its size and time limits.
func readBody(c echo.Context) (body []byte, err error) {
	k := c.Get(callKey).(*call)
	rc := http.NewResponseController(c.Response())
	// Writers of tests have no deadlines; a real connection always has.
	if err := rc.SetReadDeadline(time.Now().Add(k.settings.BodyReadTimeout)); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return nil, err
	}
	defer rc.SetReadDeadline(time.Time{})
	body, err = io.ReadAll(http.MaxBytesReader(c.Response(), c.Request().Body, k.settings.MaxBodyBytes))
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		return body, nil
	case errors.As(err, &tooLarge):
		// A caller that sends all before it reads gets no answer from a connection
		// that is closed meanwhile. What it sends too slowly or beyond this is cut off.
		_, _ = io.CopyN(io.Discard, c.Request().Body, maxDiscarded)
		return nil, invalid(http.StatusRequestEntityTooLarge, "body_too_large", fmt.Sprintf("the request body exceeds %d bytes", tooLarge.Limit))
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, invalid(http.StatusRequestTimeout, "body_too_slow", fmt.Sprintf("the request body did not arrive within %v", k.settings.BodyReadTimeout))
	}
	return nil, invalid(http.StatusBadRequest, "incomplete_body", "the request body is incomplete")
}

// message is one message of a chat.
type message struct {
	Role    string     `json:"role"`
	Content promptText `json:"content"`
}

// promptText is a message's text in either form of the API: a string, or a list
// of text parts, which are joined.
type promptText string

type textPart struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

// UnmarshalJSON implements json.Unmarshaler.
func (t *promptText) UnmarshalJSON(data []byte) error {
	data = bytes.TrimSpace(data)
	if len(data) == 0 || data[0] != '[' {
		var s string
		if err := json.Unmarshal(data, &s); err != nil {
			return errors.New("text must be a string or a list of text parts")
		}
		*t = promptText(s)
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
	*t = promptText(b.String())
	return nil
}

// singlePrompt is a prompt in either form of the API: a string, or a list of
// one string. Several prompts in one request are not supported.
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
