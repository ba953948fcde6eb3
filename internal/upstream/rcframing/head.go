package rcframing

import (
	"errors"
	"fmt"
	"net/http"
)

// ErrMalformed reports a response that net/http accepts although HTTP does not allow it.
var ErrMalformed = errors.New("malformed response")

// minStatus is the lowest status of HTTP.
const minStatus = 100

// CheckHead returns ErrMalformed for the head of a response that is none in HTTP: net/http takes
// any three characters that are a number for a status, and panics when it is passed on.
func CheckHead(resp *http.Response) error {
	if resp.StatusCode < minStatus {
		return fmt.Errorf("%w: status %q", ErrMalformed, resp.Status)
	}
	return nil
}
