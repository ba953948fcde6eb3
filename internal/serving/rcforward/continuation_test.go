package rcforward

import (
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/radishcrank/radishcrank"
)

// TestErrorIsForwardedIntoStream guards against the text or the head of an error that a client
// finds in the middle of its stream, and against a stream that an error ends as if it were
// complete, when the next upstream fails, too.
func TestErrorIsForwardedIntoStream(t *testing.T) {
	const (
		begun  = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
		rest   = "id: 3\ndata: c\n\n"
		stream = "text/event-stream"
	)
	for name, c := range map[string]struct {
		first, second string // Content types.
		status        int
		body          string
	}{
		"status":               {stream, stream, 500, "data: failed\n\n"},
		"status, no body":      {stream, "", 500, ""},
		"no content":           {stream, "", 204, ""},
		"partial content":      {stream, stream, 206, rest},
		"text":                 {stream, "text/plain", 200, "upstream failed\n\n"},
		"text with an ID":      {stream, "text/plain", 200, rest},
		"empty text":           {stream, "text/plain", 200, ""},
		"no type":              {stream, "", 200, "upstream failed\n\n"},
		"empty, no type":       {stream, "", 200, ""},
		"JSON":                 {stream, "application/json", 200, `{"Error":"failed"}` + "\n\n"},
		"JSON, none before":    {"", "application/json", 200, `{}`},
		"head in the stream":   {stream, stream, 200, "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 8\r\n\r\nfailed\n\n"},
		"text in the stream":   {stream, stream, 200, "upstream failed\n\n"},
		"error event":          {stream, stream, 200, "event: error\ndata: failed\n\n"},
		"head, types unknown":  {"", "", 200, "HTTP/1.1 500 Internal Server Error\r\n\r\n"},
		"text without its end": {stream, stream, 200, "upstream failed"},
	} {
		t.Run(name, func(t *testing.T) {
			reply := func(status int, contentType string) radishcrank.Reply {
				r := okReply()
				r.Status = status
				if contentType != "" {
					r.Header.Set("Content-Type", contentType)
				}
				return r
			}
			sender := func() *scriptedSender {
				return &scriptedSender{steps: []step{
					{reply: reply(200, c.first), body: failingBody(begun)},
					{reply: reply(c.status, c.second), body: strings.NewReader(c.body)},
					{reply: reply(200, c.first), body: strings.NewReader(rest)},
				}}
			}
			x := streaming(radishcrank.RetryResume)
			got := serve(sender(), 3, stubBudget{}, x)
			require.ErrorIs(t, got.err, ErrTruncated, "looks complete")
			require.Equal(t, begun, got.Body.String())
			require.Equal(t, http.StatusOK, got.Code)

			x.Route.MaxAttempts = 3
			got = serve(sender(), 3, stubBudget{}, x)
			require.NoError(t, got.err, "a third upstream can continue the stream")
			require.Equal(t, begun+rest, got.Body.String())
		})
	}
}
