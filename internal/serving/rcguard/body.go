package rcguard

import (
	"io"

	"github.com/radishcrank/radishcrank/internal/limits/rcmemory"
)

// firstBodyBytes is the first size of the buffer for a body. It grows as bytes arrive, and not
// by what the client announces.
const firstBodyBytes = 2 << 10

// ReadBody reads the body of a request. length is its length, or below 0 if it is unknown.
// ErrNoMemory means that there is no memory for it; the request has not run.
func ReadBody(src io.Reader, length int64, memory rcmemory.Reserver) (body []byte, err error) {
	body = make([]byte, 0, firstBodyBytes)
	for {
		if len(body) == cap(body) {
			size := int64(2 * cap(body))
			if length > int64(cap(body)) {
				size = min(size, length)
			}
			if !memory.Reserve(size) {
				return nil, ErrNoMemory
			}
			grown := make([]byte, len(body), size)
			copy(grown, body)
			if cap(body) > firstBodyBytes {
				memory.Return(int64(cap(body)))
			}
			body = grown
		}
		n, err := src.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case err == io.EOF && int64(len(body)) < length:
			return nil, io.ErrUnexpectedEOF
		case err == io.EOF, err == nil && int64(len(body)) == length:
			return body, nil
		case err != nil:
			return nil, err
		}
	}
}
