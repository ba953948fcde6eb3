// Package rcsse reads and writes server-sent events.
package rcsse

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

// MaxLineBytes is the longest accepted line in bytes.
const MaxLineBytes = 1 << 20

// MaxEventBytes is the largest accepted event in bytes of data.
const MaxEventBytes = 1 << 20

const readBuffer = 4096

// Errors of malformed streams.
var (
	// ErrLineTooLong says that a line exceeds MaxLine.
	ErrLineTooLong = errors.New("event stream line too long")
	// ErrEventTooLong says that the data of an event exceeds MaxEvent.
	ErrEventTooLong = errors.New("event data too long")
)

var (
	byteOrderMark = []byte("\xef\xbb\xbf")
	fieldData     = []byte("data")
	fieldID       = []byte("id")
)

// Event is one server-sent event.
type Event struct {
	ID   string
	Data []byte // Data lines joined by newlines; valid until the next call of Next.
}

// Reader reads events from a stream.
type Reader struct {
	r       *bufio.Reader
	data    []byte
	line    []byte
	lastID  string // Reused while the identifier stays the same.
	started bool
	skipLF  bool // The last line ended with CR; a following LF belongs to it.
}

// NewReader returns a Reader of r.
func NewReader(r io.Reader) *Reader {
	return &Reader{r: bufio.NewReaderSize(r, readBuffer)}
}

// Next returns the next event that carries data. It returns io.EOF at the end
// of the stream; an unfinished event at the end is dropped, as the standard demands.
func (r *Reader) Next() (Event, error) {
	var e Event
	r.data = r.data[:0]
	hasData := false
	for {
		line, err := r.readLine()
		if err != nil {
			return Event{}, err
		}
		if len(line) == 0 {
			if hasData {
				e.Data = r.data
				return e, nil
			}
			e = Event{}
			continue
		}
		field, value, _ := bytes.Cut(line, []byte{':'})
		value = bytes.TrimPrefix(value, []byte{' '})
		switch {
		case bytes.Equal(field, fieldData):
			if hasData {
				r.data = append(r.data, '\n')
			}
			if len(r.data)+len(value) > MaxEventBytes {
				return Event{}, ErrEventTooLong
			}
			r.data = append(r.data, value...)
			hasData = true
		case bytes.Equal(field, fieldID):
			if string(value) != r.lastID {
				r.lastID = string(value)
			}
			e.ID = r.lastID
		}
	}
}

// readLine returns the next line without its end, which is CR, LF or CRLF. An
// unfinished line at the end of the stream is dropped. The line is valid until
// the next call.
func (r *Reader) readLine() ([]byte, error) {
	r.line = r.line[:0]
	for {
		if r.r.Buffered() == 0 {
			if _, err := r.r.Peek(1); err != nil {
				return nil, err
			}
		}
		chunk, _ := r.r.Peek(r.r.Buffered())
		if r.skipLF {
			r.skipLF = false
			if chunk[0] == '\n' {
				r.r.Discard(1)
				continue
			}
		}
		end := lineEnd(chunk)
		if end < 0 {
			r.line = append(r.line, chunk...)
			r.r.Discard(len(chunk))
		} else {
			r.line = append(r.line, chunk[:end]...)
			r.skipLF = chunk[end] == '\r'
			r.r.Discard(end + 1)
		}
		if len(r.line) > MaxLineBytes {
			return nil, ErrLineTooLong
		}
		if end >= 0 {
			return r.withoutMark(), nil
		}
	}
}

// lineEnd returns the index of the first CR or LF, or -1.
func lineEnd(b []byte) int {
	end := bytes.IndexByte(b, '\n')
	if end >= 0 {
		b = b[:end]
	}
	if cr := bytes.IndexByte(b, '\r'); cr >= 0 {
		return cr
	}
	return end
}

// withoutMark strips the byte order mark that may precede the first line.
func (r *Reader) withoutMark() []byte {
	if r.started {
		return r.line
	}
	r.started = true
	return bytes.TrimPrefix(r.line, byteOrderMark)
}
