package rcguard

import (
	"context"
	"errors"
	"net/http"
	"os"
	"time"

	"github.com/radishcrank/radishcrank/internal/state/rcmetric"
)

const (
	// timeoutMargin is added to both timeouts. A client counts the time for its head from the
	// first byte that it sends and idle time from the last byte that it receives, and bytes
	// that have arrived wait while the process gets no core.
	timeoutMargin = 500 * time.Millisecond
	// lastReadTime is how long a read takes at most after a timeout has passed, to find bytes
	// that have arrived before.
	lastReadTime = 5 * time.Millisecond
	// recheckInterval bounds how long a waiting connection takes to notice that a timeout has
	// been lowered.
	recheckInterval = 5 * time.Second
)

// Timeouts bound how long a connection waits for a client.
type Timeouts struct {
	Header time.Duration // From the first byte of a request head to its end.
	Idle   time.Duration // Until the first byte of a request.
}

// waiting is the state of a connection that waits for a request head.
type waiting struct {
	since    time.Time // When the connection became idle, or the head began.
	begun    bool      // The head has begun.
	lastRead bool      // A read after the timeout has been made.
}

// begin records that bytes of a head have arrived.
func (w *waiting) begin(now time.Time) {
	if !w.begun {
		*w = waiting{since: now, begun: true}
	}
}

// left returns how long the connection may wait. It is not positive once the time is over.
func (w *waiting) left(t Timeouts, now time.Time) time.Duration {
	limit := t.Idle
	if w.begun {
		limit = t.Header
	}
	return w.since.Add(limit + timeoutMargin).Sub(now)
}

// readHead reads bytes of a request head within the timeouts, which may change meanwhile.
// Where they pass, the client is told 408: a request that is on its way has not run and never
// will, and clients that send none take the response for the end of the connection.
func (c *Conn) readHead(p []byte) (n int, err error) {
	for {
		now := time.Now()
		left := c.waiting.left(c.cfg.Timeouts(), now)
		if left <= 0 && c.waiting.lastRead {
			if c.waiting.begun {
				c.cfg.Metrics.Add(rcmetric.HeadsTooSlow, 1)
			}
			return 0, c.refuse(http.StatusRequestTimeout, "", context.DeadlineExceeded)
		}
		if c.waiting.lastRead = left <= 0; c.waiting.lastRead {
			left = lastReadTime
		}
		if err := c.SetReadDeadline(now.Add(min(left, recheckInterval))); err != nil {
			return 0, err
		}
		if n, err = c.TCPConn.Read(p); n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
	}
}
