package rcfront

import (
	"context"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/labstack/echo/v4"

	"github.com/radishcrank/radishcrank"
)

// Replayer delivers the rest of streams that some instance still holds.
type Replayer interface {
	// Replay delivers what follows the event at index after. The error wraps
	// ErrUnknownStream if no instance in reach holds the rest for the account.
	Replay(ctx context.Context, account radishcrank.ClientAccountID, id radishcrank.RequestID, after int, sink radishcrank.StreamSink) error
}

const (
	originBytes = 4
	randomBytes = 12
	tagBytes    = 4
	idLength    = 2 * (originBytes + randomBytes)
)

// position is a place in a stream that a caller reconnects at.
type position struct {
	id    radishcrank.RequestID
	tag   string // Of the weights.
	after int    // Index of the last event that the caller has.
}

// parsePosition reads a Last-Event-ID of the form ID.TAG/INDEX.
func parsePosition(text string) (p position, err error) {
	name, index, ok := strings.Cut(text, "/")
	id, tag, hasTag := strings.Cut(name, ".")
	after, numErr := strconv.Atoi(index)
	if !ok || !hasTag || numErr != nil || after < 0 || !isHex(id, idLength) || !isHex(tag, 2*tagBytes) {
		return p, fmt.Errorf("%s %q does not name an event of a stream", radishcrank.HeaderLastEventID, text)
	}
	return position{id: radishcrank.RequestID(id), tag: tag, after: after}, nil
}

func isHex(s string, length int) bool {
	_, err := hex.DecodeString(s)
	return err == nil && len(s) == length
}

// InstanceTag returns the part of request identifiers that names the instance that
// made them. It only finds the instance again, so collisions cost a lookup.
func InstanceTag(id radishcrank.InstanceID) string { return shortHash(string(id), originBytes) }

// InstanceTagOf returns the origin of a request identifier.
func InstanceTagOf(id radishcrank.RequestID) string {
	return string(id)[:min(len(id), 2*originBytes)]
}

// weightsTag identifies the weights version of a stream to other instances.
func weightsTag(w radishcrank.WeightsVersion) string { return shortHash(string(w), tagBytes) }

func shortHash(s string, bytes int) string {
	var sum [8]byte
	binary.BigEndian.PutUint64(sum[:], xxhash.Sum64String(s))
	return hex.EncodeToString(sum[:bytes])
}

// reconnect continues a stream whose caller lost its connection: from the
// instance that still holds the rest, else by generating the rest on an engine
// that serves the same weights.
func (s *Server) reconnect(ctx context.Context, c echo.Context, req radishcrank.Request, usage bool) error {
	p, err := parsePosition(c.Request().Header.Get(radishcrank.HeaderLastEventID))
	if err != nil {
		return invalid(http.StatusBadRequest, "invalid_last_event_id", err.Error())
	}
	sink := newStreamSink(c, req, usage)
	sink.id, sink.tag, sink.after, sink.next = p.id, p.tag, p.after, p.after+1
	err = s.cfg.Replayer.Replay(ctx, req.Account, p.id, p.after, sink)
	if err == nil || c.Response().Committed || ctx.Err() != nil {
		return sink.end(err)
	}
	weights, ok := s.weightsOf(req.Model, p.tag)
	if !ok {
		return &radishcrank.Refusal{
			Status:  http.StatusGone,
			Code:    "stream_lost",
			Message: "no instance holds the rest of the stream and no engine serves its weights any more",
			Outcome: radishcrank.OutcomeMayHaveRun,
		}
	}
	// The last event is generated again and dropped by the sink: if it was the
	// finish, there is no token after it to start from.
	req.ResumeFrom, req.PinnedWeights = p.after, weights
	return s.stream(ctx, req, sink)
}

func (s *Server) weightsOf(model radishcrank.ModelID, tag string) (radishcrank.WeightsVersion, bool) {
	for _, w := range s.cfg.ServedWeights(model) {
		if weightsTag(w) == tag {
			return w, true
		}
	}
	return "", false
}
