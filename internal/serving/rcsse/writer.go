package rcsse

import (
	"net/http"
	"strconv"
	"time"
)

// writeTimeout is the time after which a client that accepts no data is considered
// disconnected. Without it such a client would occupy an engine indefinitely.
const writeTimeout = 10 * time.Second

// Writer writes events to an HTTP response and flushes after each event.
type Writer struct {
	w   http.ResponseWriter
	rc  *http.ResponseController
	buf []byte

	noDeadlines bool // The response writer does not support deadlines.
}

// NewWriter returns a Writer that writes to w.
func NewWriter(w http.ResponseWriter) *Writer {
	return &Writer{w: w, rc: http.NewResponseController(w)}
}

// WriteEvent writes an event with the identifier id/index, or without an identifier
// if id is empty. data must not contain newlines.
func (w *Writer) WriteEvent(id string, index int, data []byte) error {
	w.buf = w.buf[:0]
	if id != "" {
		w.buf = appendID(w.buf, id, index)
	}
	w.buf = append(w.buf, "data: "...)
	w.buf = append(w.buf, data...)
	w.buf = append(w.buf, "\n\n"...)
	return w.WriteRaw(w.buf)
}

// WriteToken writes the event for a token, encoded by enc.
func (w *Writer) WriteToken(enc *TokenEncoder, index int, text string) error {
	w.buf = enc.Append(w.buf[:0], index, text)
	return w.WriteRaw(w.buf)
}

// WriteRaw writes an encoded event. It fails if the client accepts no data for 10 s.
func (w *Writer) WriteRaw(event []byte) error {
	w.setDeadline(time.Now().Add(writeTimeout))
	if _, err := w.w.Write(event); err != nil {
		return err
	}
	if err := w.rc.Flush(); err != nil {
		return err
	}
	// On a keep-alive connection the deadline would otherwise apply to later responses.
	w.setDeadline(time.Time{})
	return nil
}

func (w *Writer) setDeadline(t time.Time) {
	if !w.noDeadlines {
		w.noDeadlines = w.rc.SetWriteDeadline(t) != nil
	}
}

// appendID appends the id field of an event.
func appendID(dst []byte, id string, index int) []byte {
	dst = append(dst, "id: "...)
	dst = append(dst, id...)
	dst = append(dst, '/')
	dst = strconv.AppendInt(dst, int64(index), 10)
	return append(dst, '\n')
}
