package rcforward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/limits/rcmemory"
	"github.com/radishcrank/radishcrank/internal/routing/rcaffinity"
	"github.com/radishcrank/radishcrank/internal/state/rcfleet"
	"github.com/radishcrank/radishcrank/internal/state/rcmetric"
	"github.com/radishcrank/radishcrank/internal/upstream/rcframing"
)

const (
	// maxBufferedBody limits the size of responses that are buffered before they are
	// forwarded.
	maxBufferedBody = 16 << 20
	// maxBufferedBodies limits the total size of the responses that are being buffered,
	// beyond freeBodyBytes of each: several upstreams whose responses do not end would
	// otherwise use up the memory of the instance.
	maxBufferedBodies = 40 << 20
	freeBodyBytes     = 64 << 10
)

var errBodyTooLarge = errors.New("response body exceeds 16 MiB, or the memory for responses is used up")

// forwardBuffered forwards a response that is not an event stream to a client that has
// received nothing yet. A failure of
// a retryable exchange is kept while another upstream may still succeed.
func (d *dispatch) forwardBuffered(ctx context.Context, reply *radishcrank.Reply, up radishcrank.Upstream) (done bool, o rcfleet.Outcome, crashed bool) {
	body, err := d.f.bodies.read(rcmemory.ReserverFrom(ctx), reply.Body)
	if err == nil && reply.Unframed {
		err = rcframing.CheckBody(reply.Header, body)
		d.logUnframed(up, reply, len(body), err == nil)
	}
	if err != nil {
		o, crashed = d.classifyFailure(ctx, up, err)
		return false, o, crashed
	}
	if reply.Status >= http.StatusInternalServerError {
		d.logAttempt(up, rcmetric.AttemptUpstreamFailure, reply.Status, nil)
		d.failure, d.failureBody = reply, body
		if d.x.Route.Retry != radishcrank.RetryNever && d.mayRetry() {
			return false, rcfleet.Failed, false
		}
		d.writeBuffered(reply, body)
		return true, rcfleet.Failed, false
	}
	d.writeBuffered(reply, body)
	d.f.cfg.Metrics.Add(rcmetric.Answered, 1)
	d.f.cfg.Metrics.Record(rcmetric.AnswerTime, time.Since(d.x.ReceivedAt))
	return true, rcfleet.Succeeded, false
}

func (d *dispatch) writeBuffered(reply *radishcrank.Reply, body []byte) {
	copyHeader(d.w.Header(), reply.Header)
	d.tellBrittle()
	d.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	d.w.WriteHeader(reply.Status)
	d.w.Write(body) // A write error means that the client has disconnected.
}

func copyHeader(to, from http.Header) {
	for name, values := range from {
		to[name] = values
	}
	if _, ok := from["Content-Type"]; !ok {
		to["Content-Type"] = nil // Prevents net/http from sniffing the content type.
	}
}

// clientResponse is the state of the response as the client has received it.
type clientResponse struct {
	started     bool
	lastEventID string // ID of the last complete event.
	contentType string
}

// continuedBy reports whether a reply may hold the rest of the stream that the client has
// begun to receive. An error of the upstream does not, whatever its status.
func (c *clientResponse) continuedBy(reply *radishcrank.Reply) bool {
	return reply.Status == http.StatusOK && (rcframing.IsEventStream(reply.Header) || reply.Header.Get("Content-Type") == c.contentType)
}

// forwardStream forwards events as they arrive. For a resumable stream it
// forwards only complete events, so that another upstream can continue it.
func (d *dispatch) forwardStream(ctx context.Context, reply *radishcrank.Reply, received func(first bool), watchdogTimer *watchdog, weights *weightsWatch, choice rcaffinity.Choice) (done bool, o rcfleet.Outcome, crashed bool) {
	up := choice.Upstream.Upstream
	resumable := d.x.Route.Retry == radishcrank.RetryResume
	flusher := http.NewResponseController(d.w)
	buf := make([]byte, 4<<10)
	events := eventBuffer{continues: d.response.started}
	size := 0
	first := true
	var gaps gapTracker
	defer func() {
		if o == rcfleet.Succeeded && d.x.Route.MaxEventGap > 0 {
			d.f.longGapRatio.add(gaps.longest > d.x.Route.MaxEventGap)
		}
	}()
	for {
		n, err := reply.Body.Read(buf)
		if n > 0 {
			gaps.event(time.Now())
			received(first)
			if first {
				first = false
				weights.stop()
				d.recordBeginning(choice, reply)
				d.recordCachedParts(choice)
			}
			out := buf[:n]
			size += n
			if resumable {
				var splitErr error
				if out, splitErr = events.add(out, &d.response.lastEventID); splitErr != nil {
					err = splitErr
				}
			} else {
				events.observe(out)
			}
			if events.progress(n) || !resumable {
				watchdogTimer.reset(d.idleTimeout())
			}
			if len(out) > 0 {
				if !d.response.started {
					d.begun.Store(true)
					d.pinOrigin(up, reply.Conn)
					copyHeader(d.w.Header(), reply.Header)
					d.tellBrittle()
					d.w.WriteHeader(reply.Status)
					d.response.started = true
					d.response.contentType = reply.Header.Get("Content-Type")
					d.f.cfg.Metrics.Record(rcmetric.FirstEventTime, time.Since(d.x.ReceivedAt))
				}
				_, werr := d.w.Write(out)
				if werr == nil {
					werr = flusher.Flush()
				}
				if werr != nil {
					d.cause = werr
					d.logAttempt(up, rcmetric.AttemptCallerGone, reply.Status, werr)
					return true, rcfleet.Canceled, false
				}
			}
		}
		whole := err == io.EOF && events.whole(reply)
		if err == io.EOF && reply.Unframed {
			d.logUnframed(up, reply, size, whole)
		}
		switch {
		case whole:
			if !d.response.started {
				copyHeader(d.w.Header(), reply.Header)
				d.tellBrittle()
				d.w.WriteHeader(reply.Status)
			}
			d.w.Write(events.pending) // Comments. A write error means that the client has disconnected.
			d.f.cfg.Metrics.Add(rcmetric.Answered, 1)
			d.f.cfg.Metrics.Record(rcmetric.LongestPause, gaps.longest)
			return true, rcfleet.Succeeded, false
		case err != nil:
			if err == io.EOF {
				err = io.ErrUnexpectedEOF
			}
			o, crashed = d.classifyFailure(ctx, up, err)
			return false, o, crashed
		}
	}
}

// recordCachedParts records that the upstream caches the shared parts of the
// prompt. It runs on the first event, which shows that the prompt has been
// read: other engines that learned of the parts earlier would fail to copy
// them, and a refused attempt would leave a record of parts that are not
// cached.
func (d *dispatch) recordCachedParts(choice rcaffinity.Choice) {
	if choice.Salt == "" || len(d.x.PromptParts) < 2 {
		return
	}
	shared := d.x.PromptParts[:len(d.x.PromptParts)-1]
	d.f.cfg.RecordCached(choice.Upstream.ID, choice.Salt, shared)
	if choice.KVStoreUsed != "" {
		d.f.cfg.RecordCached(choice.KVStoreUsed, choice.Salt, shared)
	}
}
