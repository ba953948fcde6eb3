package rcforward

import (
	"bytes"
	"errors"
	"strconv"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/serving/rcsse"
	"github.com/radishcrank/radishcrank/internal/upstream/rcframing"
)

// maxEventBytes limits the size of an event, which is buffered until it is complete.
const maxEventBytes = 256 << 10

var (
	errEventTooLarge    = errors.New("event exceeds 256 KiB")
	errEventsOutOfOrder = errors.New("resumed stream is out of order")
	errEventWithoutID   = errors.New("resumed stream holds an event without an ID")
)

// eventBuffer follows the events of one reply.
type eventBuffer struct {
	splitter rcsse.Splitter
	pending  []byte // What follows the last event that was returned.
	count    int
	// continues means that the client has the events before, whose IDs tell what follows
	// them. What has no ID may be the text of an error.
	continues bool
	// filled is the number of events among them that hold more than comments, and
	// reported that of the last progress. since counts the bytes that came after it.
	filled, reported, since int
}

// minProgressBytes is how much of an event has to arrive to count as progress. A stalled
// upstream may send single bytes or comments now and then.
const minProgressBytes = 512

// progress reports whether the stream goes on with the n bytes that were added last: they
// completed an event, or brought much of one.
func (b *eventBuffer) progress(n int) bool {
	b.since += n
	if b.filled == b.reported && b.since < minProgressBytes {
		return false
	}
	b.reported, b.since = b.filled, 0
	return true
}

// observe follows events that are forwarded as they arrive.
func (b *eventBuffer) observe(p []byte) {
	for len(p) > 0 {
		n, ended := b.splitter.Split(p)
		if p = p[n:]; ended {
			b.count++
		}
	}
}

// add returns the events that p completes, and keeps the beginning of the next one.
// lastID is the ID of the last event that the client has. An event that does not follow
// it ends the stream; those before it are returned all the same.
func (b *eventBuffer) add(p []byte, lastID *string) (events []byte, err error) {
	scanned, end := len(b.pending), 0
	all := append(b.pending, p...)
	for scanned < len(all) {
		n, ended := b.splitter.Split(all[scanned:])
		scanned += n
		if !ended {
			break
		}
		filled := hasField(all[end:scanned])
		switch id, ok := eventID(all[end:scanned]); {
		case ok && !idFollows(*lastID, id):
			return all[:end:end], errEventsOutOfOrder
		case ok:
			*lastID = id
		case filled && b.continues && *lastID != "":
			return all[:end:end], errEventWithoutID
		}
		if filled {
			b.filled++
		}
		b.count++
		end = scanned
	}
	b.pending = bytes.Clone(all[end:])
	if len(b.pending) > maxEventBytes {
		err = errEventTooLarge
	}
	return all[:end:end], err
}

// whole reports whether a stream that its upstream has ended is complete. A stream that
// ends inside an event has been broken off, whatever its framing says. Without framing
// and events, nothing shows that the upstream has sent what it was going to send.
func (b *eventBuffer) whole(reply *radishcrank.Reply) bool {
	if reply.Header.Get("Content-Type") != "" && !rcframing.IsEventStream(reply.Header) {
		return len(b.pending) == 0
	}
	return b.splitter.BetweenEvents() && (!reply.Unframed || b.count > 0)
}

var idField = []byte("id:")

func eventID(event []byte) (id string, ok bool) {
	for line := range bytes.FieldsFuncSeq(event, isLineEnd) {
		if rest, found := bytes.CutPrefix(line, idField); found {
			return string(bytes.TrimSpace(rest)), true
		}
	}
	return "", false
}

// hasField reports whether an event holds more than comments.
func hasField(event []byte) bool {
	for line := range bytes.FieldsFuncSeq(event, isLineEnd) {
		if line[0] != ':' {
			return true
		}
	}
	return false
}

func isLineEnd(r rune) bool { return r == '\n' || r == '\r' }

// idFollows reports whether event id may follow last. IDs that are not numbers
// cannot be compared and are accepted.
func idFollows(last, id string) bool {
	a, errA := strconv.ParseInt(last, 10, 64)
	b, errB := strconv.ParseInt(id, 10, 64)
	return errA != nil || errB != nil || b > a
}
