package rcfakeupstream

import (
	"bytes"
	"cmp"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// Framing is how a response marks the end of its body.
type Framing int

// Framings of a response.
const (
	Chunked  Framing = iota
	Sized            // With a Content-Length.
	Unframed         // The body ends with the connection.
)

// Cut is where a response is broken off.
type Cut int

// Cuts of a response.
const (
	Whole         Cut = iota
	InsideEvent       // Inside an event or, in a plain response, inside the body.
	BetweenEvents     // Between two events, or before the body of a plain response.
)

// Closing is what the upstream does with the connection after the last byte.
type Closing int

// Closings of a connection.
const (
	Finish Closing = iota
	Abort          // The connection is reset.
	Hang           // It stays open until the other side closes it.
)

// Delivery is how a response is delivered.
type Delivery struct {
	Framing Framing
	Cut     Cut
	Closing Closing
	JSON    bool // A plain response is a JSON object.
	// Unread leaves the rest of the request unread, so that it is still being written when the
	// connection is closed, which resets it.
	Unread  bool
	Status  string // Of the status line; empty means 200 OK.
	Field   string // A line that is added to the head.
	Trailer string // A line that follows the last chunk.
}

// unreadPause is long enough for the other side to fill the buffers of the connection.
const unreadPause = 20 * time.Millisecond

// deliver writes a response by hand and closes the connection.
func (u *Upstream) deliver(w http.ResponseWriter, r *http.Request, d Delivery) {
	if !d.Unread {
		io.Copy(io.Discard, r.Body) // Unread data would turn the end of the connection into a reset.
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err) // Cannot fail for HTTP/1.1.
	}
	defer conn.Close()
	pieces, cut := u.pieces(r, d)
	h := w.Header()
	switch {
	case u.cfg.Model != "":
		h.Set("Content-Type", "text/event-stream")
	case d.JSON:
		h.Set("Content-Type", "application/json")
	}
	h.Set("Connection", "close")
	switch d.Framing {
	case Chunked:
		h.Set("Transfer-Encoding", "chunked")
	case Sized:
		h.Set("Content-Length", fmt.Sprint(len(strings.Join(pieces, ""))))
	}
	var head bytes.Buffer
	fmt.Fprintf(&head, "HTTP/1.1 %s\r\n", cmp.Or(d.Status, "200 OK"))
	h.Write(&head) // Cannot fail.
	if d.Field != "" {
		head.WriteString(d.Field + "\r\n")
	}
	head.WriteString("\r\n")
	conn.Write(head.Bytes()) // A failed write means that the other side has left, as below.
	for n, piece := range pieces {
		if d.Cut != Whole && n == len(pieces)/2 {
			break
		}
		d.write(conn, piece)
		if u.cfg.Model != "" {
			time.Sleep(u.cfg.Delay)
		}
	}
	if d.Cut == InsideEvent {
		d.write(conn, cut)
	}
	if d.Cut == Whole && d.Framing == Chunked {
		if d.Trailer != "" {
			d.Trailer += "\r\n"
		}
		io.WriteString(conn, "0\r\n"+d.Trailer+"\r\n")
	}
	if d.Unread {
		time.Sleep(unreadPause)
	}
	d.end(conn)
}

// pieces returns the parts of a response, and the beginning of one to end a cut response
// with.
func (u *Upstream) pieces(r *http.Request, d Delivery) (pieces []string, cut string) {
	if u.cfg.Model == "" {
		body := "done " + r.Header.Get("Radishcrank-Attempt-Id")
		if d.JSON {
			body = fmt.Sprintf(`{"Done":%q}`, body)
		}
		return []string{body}, body[:len(body)/2]
	}
	mark := u.softwareMark()
	for n := lastEventID(r) + 1; n <= u.cfg.EventCount; n++ {
		pieces = append(pieces, event(n, mark))
	}
	if len(pieces) == 0 {
		return nil, "id: "
	}
	cut = pieces[len(pieces)/2]
	return pieces, cut[:len(cut)/2]
}

func (d Delivery) write(w io.Writer, text string) {
	if d.Framing == Chunked {
		text = fmt.Sprintf("%x\r\n%s\r\n", len(text), text)
	}
	io.WriteString(w, text)
}

// end closes the connection in the way of d.
func (d Delivery) end(conn net.Conn) {
	switch d.Closing {
	case Abort:
		conn.(*net.TCPConn).SetLinger(0)
	case Hang:
		io.Copy(io.Discard, conn)
	}
}
