// Package rcsse reads and writes streams of server-sent events.
package rcsse

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

// MaxLineBytes is the maximum length of a line.
const MaxLineBytes = 1 << 20

// MaxEventBytes is the maximum size of an event's data.
const MaxEventBytes = 1 << 20

const readBuffer = 4096

// Errors for streams that exceed a limit.
var (
	// ErrLineTooLong means that a line exceeds MaxLineBytes.
	ErrLineTooLong = errors.New("event stream line too long")
	// ErrEventTooLong means that the data of an event exceeds MaxEventBytes.
	ErrEventTooLong = errors.New("event data too long")
)

var (
	byteOrderMark = []byte("\xef\xbb\xbf")
	fieldData     = []byte("data")
	fieldID       = []byte("id")
)

// Event is a server-sent event.
type Event struct {
	ID   string
	Data []byte // Data lines joined by newlines; valid until the next call to Next.
}

// Reader parses events from a stream.
type Reader struct {
	r       *bufio.Reader
	data    []byte
	line    []byte
	lastID  string // Avoids allocating a string for each event with the same identifier.
	started bool
	skipLF  bool // The last line ended with CR; an LF that follows is part of its line end.
}

// NewReader returns a Reader that reads from r.
func NewReader(r io.Reader) *Reader {
	return &Reader{r: bufio.NewReaderSize(r, readBuffer)}
}

// Next returns the next event that has data. At the end of the stream it returns
// io.EOF and discards an incomplete event, as the standard requires.
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

// readLine returns the next line without its terminator, which is CR, LF or CRLF.
// An unterminated line at the end of the stream is discarded. The line is valid
// until the next call.
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
			return r.trimByteOrderMark(), nil
		}
	}
}

// lineEnd returns the index of the first CR or LF in b, or -1.
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

// trimByteOrderMark returns the current line. It removes the byte order mark that
// may precede the first line.
func (r *Reader) trimByteOrderMark() []byte {
	if r.started {
		return r.line
	}
	r.started = true
	return bytes.TrimPrefix(r.line, byteOrderMark)
}
