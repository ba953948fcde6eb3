package rcframing

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestCheckBody guards against broken-off bodies that are taken for whole ones, and
// against whole ones that are refused.
func TestCheckBody(t *testing.T) {
	for _, c := range []struct {
		contentType, body string
		whole             bool
	}{
		{"application/json", `{"a":1}`, true},
		{"application/json; charset=utf-8", "{\"a\":1}\n", true},
		{"application/problem+json", `[1,2`, false},
		{"application/json", `{"a":"x`, false},
		{"application/json", ``, false},
		{"application/json", `nul`, false},
		{"application/json", `not JSON`, true}, // What the upstream meant to send.
		{"", `{"a":`, false},
		{"", "{\"a\":1}\n{\"a\"", false},
		{"", `{}}`, true},
		{"text/plain", "[draft] of a letter", true},
		{"text/plain", "", true},
		{"text/event-stream", "data: x\n\n", true},
		{"text/event-stream", "data: x\r\n\r\n: end\r\n", true},
		{"text/event-stream", "data: x\n\nda", false},
		{"text/event-stream", "data: x\n", false},
		{"text/event-stream", "", false},
	} {
		err := CheckBody(http.Header{"Content-Type": {c.contentType}}, []byte(c.body))
		if c.whole {
			require.NoError(t, err, "%s: %s", c.contentType, c.body)
		} else {
			require.ErrorIs(t, err, ErrBrokenOff, "%s: %s", c.contentType, c.body)
		}
	}
}
