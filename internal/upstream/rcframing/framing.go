// Package rcframing tells whole responses from malformed ones and from those that were broken
// off. A body without a length and chunks ends with its connection, and a process that is killed
// closes its connections like one that has sent everything.
package rcframing

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"mime"
	"net/http"
	"strings"

	"github.com/radishcrank/radishcrank/internal/serving/rcsse"
)

// ErrBrokenOff reports a body that ended with its connection before it was complete.
var ErrBrokenOff = errors.New("response broke off: its connection ended inside the body")

// Unframed reports whether the body of a response has neither a length nor chunks. The
// checksum of a compressed body proves its end.
func Unframed(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && !resp.Uncompressed
}

// CheckBody returns ErrBrokenOff for the body of an unframed response that is shown to
// be incomplete by its content. The content of other bodies shows nothing.
func CheckBody(h http.Header, body []byte) error {
	switch {
	case IsEventStream(h):
		var s rcsse.Splitter
		events := 0
		for len(body) > 0 {
			n, ended := s.Split(body)
			body = body[n:]
			if ended {
				events++
			}
		}
		if events == 0 || !s.BetweenEvents() {
			return ErrBrokenOff
		}
	case IsJSON(h):
		if values, truncated := scanJSON(body); truncated || values == 0 && len(bytes.TrimSpace(body)) == 0 {
			return ErrBrokenOff
		}
	default:
		if text := bytes.TrimLeft(body, " \t\r\n"); len(text) > 0 && (text[0] == '{' || text[0] == '[') {
			if _, truncated := scanJSON(body); truncated {
				return ErrBrokenOff
			}
		}
	}
	return nil
}

// scanJSON returns the number of JSON values at the start of body, and whether it ends
// inside one.
func scanJSON(body []byte) (values int, truncated bool) {
	for d := json.NewDecoder(bytes.NewReader(body)); ; values++ {
		var v json.RawMessage
		if err := d.Decode(&v); err != nil {
			return values, errors.Is(err, io.ErrUnexpectedEOF)
		}
	}
}

// IsJSON reports whether the content type of a response is JSON.
func IsJSON(h http.Header) bool {
	t := mediaType(h)
	return t == "application/json" || strings.HasSuffix(t, "+json")
}

// IsEventStream reports whether the content type of a response is that of server-sent
// events.
func IsEventStream(h http.Header) bool { return mediaType(h) == "text/event-stream" }

func mediaType(h http.Header) string {
	t, _, err := mime.ParseMediaType(h.Get("Content-Type"))
	if err != nil {
		return ""
	}
	return t
}
