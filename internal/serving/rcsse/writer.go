package rcsse

import (
	"net/http"
	"strconv"
	"time"
)

// writeTimeout is the time after which a caller that accepts no data counts as
// gone. Without it such a caller would hold its engine for ever.
const writeTimeout = 10 * time.Second

// Writer writes events to an HTTP response and flushes each of them.
type Writer struct {
	w   http.ResponseWriter
	rc  *http.ResponseController
	buf []byte

	noDeadlines bool // The response writer does not support deadlines.
}

// NewWriter returns a Writer of w.
func NewWriter(w http.ResponseWriter) *Writer {
	return &Writer{w: w, rc: http.NewResponseController(w)}
}

// WriteEvent writes one event whose identifier is id, a slash and index. Data must
// not hold newlines. An empty id is left out.
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

// WriteToken writes the event of one token, which enc encodes.
func (w *Writer) WriteToken(enc *TokenEncoder, index int, text string) error {
	w.buf = enc.Append(w.buf[:0], index, text)
	return w.WriteRaw(w.buf)
}

// WriteRaw writes a complete encoded event. It fails if the caller accepts no data
// for 10 s.
func (w *Writer) WriteRaw(event []byte) error {
	w.setDeadline(time.Now().Add(writeTimeout))
	if _, err := w.w.Write(event); err != nil {
		return err
	}
	if err := w.rc.Flush(); err != nil {
		return err
	}
	// The deadline would otherwise outlast the response on a kept-alive connection.
	w.setDeadline(time.Time{})
	return nil
}

func (w *Writer) setDeadline(t time.Time) {
	if !w.noDeadlines {
		w.noDeadlines = w.rc.SetWriteDeadline(t) != nil
	}
}

// appendID appends the line that identifies an event.
func appendID(dst []byte, id string, index int) []byte {
	dst = append(dst, "id: "...)
	dst = append(dst, id...)
	dst = append(dst, '/')
	dst = strconv.AppendInt(dst, int64(index), 10)
	return append(dst, '\n')
}
