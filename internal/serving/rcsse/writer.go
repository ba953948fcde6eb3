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
		w.buf = append(w.buf, "id: "...)
		w.buf = append(w.buf, id...)
		w.buf = append(w.buf, '/')
		w.buf = strconv.AppendInt(w.buf, int64(index), 10)
		w.buf = append(w.buf, '\n')
	}
	w.buf = append(w.buf, "data: "...)
	w.buf = append(w.buf, data...)
	w.buf = append(w.buf, "\n\n"...)
	if _, err := w.w.Write(w.buf); err != nil {
		return err
	}
	return w.rc.Flush()
}
