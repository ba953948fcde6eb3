// Package rcsse reads and writes server-sent events.
package rcsse

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

// MaxLine is the longest accepted line in bytes.
const MaxLine = 1 << 20

// ErrLineTooLong says that a line exceeds MaxLine.
var ErrLineTooLong = errors.New("event stream line too long")

// Event is one server-sent event.
type Event struct {
	ID   string
	Data []byte // Data lines joined by newlines; valid until the next call of Next.
}

// Reader reads events from a stream.
type Reader struct {
	s    *bufio.Scanner
	data []byte
}

// NewReader returns a Reader of r.
func NewReader(r io.Reader) *Reader {
	s := bufio.NewScanner(r)
	s.Buffer(make([]byte, 0, 4096), MaxLine)
	return &Reader{s: s}
}

// Next returns the next event that carries data. It returns io.EOF at the end
// of the stream; an unfinished event at the end is dropped, as the standard demands.
func (r *Reader) Next() (Event, error) {
	var e Event
	r.data = r.data[:0]
	hasData := false
	for r.s.Scan() {
		line := r.s.Bytes()
		if len(line) == 0 {
			if hasData {
				e.Data = r.data
				return e, nil
			}
			e = Event{}
			continue
		}
		field, value, _ := bytes.Cut(line, []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		switch string(field) {
		case "data":
			if hasData {
				r.data = append(r.data, '\n')
			}
			r.data = append(r.data, value...)
			hasData = true
		case "id":
			e.ID = string(value)
		}
	}
	err := r.s.Err()
	if errors.Is(err, bufio.ErrTooLong) {
		return Event{}, ErrLineTooLong
	}
	if err != nil {
		return Event{}, err
	}
	return Event{}, io.EOF
}
