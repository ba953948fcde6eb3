package rcsse

import (
	"net/http"
	"strconv"
)

// Writer writes events to an HTTP response and flushes each of them.
type Writer struct {
	w   http.ResponseWriter
	rc  *http.ResponseController
	buf []byte
}

// NewWriter returns a Writer of w.
func NewWriter(w http.ResponseWriter) *Writer {
	return &Writer{w: w, rc: http.NewResponseController(w)}
}

// Event writes one event whose identifier is id, a slash and index. Data must
// not hold newlines. An empty id is left out.
func (w *Writer) Event(id string, index int, data []byte) error {
	w.buf = w.buf[:0]
	if id != "" {
		w.buf = appendID(w.buf, id, index)
	}
	w.buf = append(w.buf, "data: "...)
	w.buf = append(w.buf, data...)
	w.buf = append(w.buf, "\n\n"...)
	return w.Raw(w.buf)
}

// Token writes the event of one token, which enc encodes.
func (w *Writer) Token(enc *TokenEncoder, index int, text string) error {
	w.buf = enc.Append(w.buf[:0], index, text)
	return w.Raw(w.buf)
}

// Raw writes a complete encoded event.
func (w *Writer) Raw(event []byte) error {
	if _, err := w.w.Write(event); err != nil {
		return err
	}
	return w.rc.Flush()
}

// appendID appends the line that identifies an event.
func appendID(dst []byte, id string, index int) []byte {
	dst = append(dst, "id: "...)
	dst = append(dst, id...)
	dst = append(dst, '/')
	dst = strconv.AppendInt(dst, int64(index), 10)
	return append(dst, '\n')
}
