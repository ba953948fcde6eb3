package rcframing

import (
	"errors"
	"fmt"
	"net/http"

	"golang.org/x/net/http/httpguts"
)

// ErrMalformed reports a response that net/http accepts although HTTP does not allow it.
var ErrMalformed = errors.New("malformed response")

// CheckHead returns ErrMalformed for the head of a response that is none in HTTP. net/http takes
// any three characters that are a number for a status, and panics when it is passed on. It takes
// names of fields with blanks, also before the colon, for those of other fields, so that a body
// does not end where its length says.
func CheckHead(resp *http.Response) error {
	if resp.StatusCode < http.StatusContinue {
		return fmt.Errorf("%w: status %q", ErrMalformed, resp.Status)
	}
	return checkNames(resp.Header)
}

// CheckTrailer returns ErrMalformed for the trailer of a response that is none in HTTP. It is
// called at the end of the body.
func CheckTrailer(resp *http.Response) error { return checkNames(resp.Trailer) }

// checkNames ignores fields without values: the response announces them for its trailer.
func checkNames(fields http.Header) error {
	for name, values := range fields {
		if len(values) > 0 && !httpguts.ValidHeaderFieldName(name) {
			return fmt.Errorf("%w: field name %q", ErrMalformed, name)
		}
	}
	return nil
}
