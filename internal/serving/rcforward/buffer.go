package rcforward

import (
	"bytes"
	"io"
	"sync/atomic"

	"github.com/radishcrank/radishcrank/internal/limits/rcmemory"
)

// bodyBuffers bounds the memory of all responses that are being buffered.
type bodyBuffers struct {
	used atomic.Int64 // Bytes beyond freeBodyBytes of each response.
}

// read reads a response body to its end. Its memory is reserved until the end of the
// request.
func (b *bodyBuffers) read(memory rcmemory.Reserver, r io.Reader) (body []byte, err error) {
	var buf bytes.Buffer
	var reserved int64
	defer func() { b.used.Add(-reserved) }()
	for {
		switch _, err = io.CopyN(&buf, r, freeBodyBytes); {
		case err == io.EOF:
			return buf.Bytes(), nil
		case err != nil:
			return nil, err
		}
		// A buffer doubles when it grows.
		const grown = 2 * freeBodyBytes
		reserved += grown
		if b.used.Add(grown) > maxBufferedBodies || buf.Len() > maxBufferedBody || !memory.Reserve(grown) {
			return nil, errBodyTooLarge
		}
	}
}
