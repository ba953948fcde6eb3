package rcforward

import (
	"bytes"
	"io"
	"sync/atomic"
)

// bodyBuffers bounds the memory of all responses that are being buffered.
type bodyBuffers struct {
	used atomic.Int64 // Bytes beyond freeBodyBytes of each response.
}

// read reads a response body to its end.
func (b *bodyBuffers) read(r io.Reader) (body []byte, err error) {
	var buf bytes.Buffer
	var reserved int64
	defer func() { b.used.Add(-reserved) }()
	for {
		// A buffer doubles when it grows, so that twice its length is reserved.
		n, err := io.CopyN(&buf, r, freeBodyBytes)
		if err == io.EOF {
			return buf.Bytes(), nil
		}
		if err != nil {
			return nil, err
		}
		reserved += 2 * n
		if b.used.Add(2*n) > maxBufferedBodies || buf.Len() > maxBufferedBody {
			return nil, errBodyTooLarge
		}
	}
}
