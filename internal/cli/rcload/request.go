package rcload

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/eval/rceval"
	"github.com/radishcrank/radishcrank/internal/serving/rcsse"
)

// Values of EndCount.End.
const (
	EndCompleted  = "Completed"
	EndRefused    = "Refused"    // The response has an error status.
	EndFailed     = "Failed"     // The stream contains an error event.
	EndTruncated  = "Truncated"  // The stream ended without [DONE] or a finish chunk.
	EndOutOfOrder = "OutOfOrder" // An event repeats or skips an index or belongs to another request.
	EndMalformed  = "Malformed"  // An event is invalid or follows [DONE].
	EndTimeout    = "Timeout"
	EndTransport  = "Transport" // The connection failed.
	EndCancelled  = "Cancelled" // The run was interrupted.
)

// outcome is the result of one request.
type outcome struct {
	end          string
	status       int                 // 0 if there was no response.
	outcome      radishcrank.Outcome // As reported by the fleet with a refusal or failure.
	ttft         time.Duration       // From the intended send time; 0 if no token arrived.
	total        time.Duration       // From the intended send time to the end.
	gaps         []time.Duration     // Times between two tokens.
	tokens       int
	promptTokens int // Prompt tokens as reported by the fleet.
	cachedTokens int
	intendedFor  time.Time
}

// generation is one request for a streamed generation.
type generation struct {
	load    *loadRun
	trace   *rceval.Trace
	request *rceval.TraceRequest
	key     string
	addr    uint64
}

type completionRequest struct {
	Model         string        `json:"model"`
	Prompt        string        `json:"prompt"`
	MaxTokens     int           `json:"max_tokens"`
	Stream        bool          `json:"stream"`
	StreamOptions streamOptions `json:"stream_options"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

func (g generation) run(ctx context.Context, intended time.Time) {
	o := outcome{intendedFor: intended}
	body, err := json.Marshal(completionRequest{
		Model:         g.load.cfg.Model,
		Prompt:        g.trace.Prompt(g.request),
		MaxTokens:     g.request.AnswerTokens,
		Stream:        true,
		StreamOptions: streamOptions{IncludeUsage: true},
	})
	if err == nil {
		err = g.exchange(ctx, body, &o)
	}
	o.finish(ctx, err)
	g.load.recorder.add(o, false)
	g.load.recorder.addSecond(int(g.request.At/time.Second), o)
}

func (g generation) exchange(ctx context.Context, body []byte, o *outcome) error {
	resp, err := g.load.post(ctx, g.addr, "/v1/completions", g.key, "", body)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	o.status = resp.StatusCode
	if resp.StatusCode != http.StatusOK {
		o.recordRefusal(resp)
		return nil
	}
	s := streamChecker{out: o, lastTokenAt: o.intendedFor, requestID: resp.Header.Get(radishcrank.HeaderRequestID)}
	return s.read(rcsse.NewReader(resp.Body))
}

func (l *loadRun) post(ctx context.Context, addr uint64, path, key, idempotency string, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, l.cfg.url(addr, path), bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set("Content-Type", "application/json")
	if idempotency != "" {
		req.Header.Set(radishcrank.HeaderIdempotencyKey, idempotency)
	}
	return l.client.Do(req)
}

func (o *outcome) recordRefusal(resp *http.Response) {
	o.end = EndRefused
	o.outcome = radishcrank.Outcome(resp.Header.Get(radishcrank.HeaderOutcome))
	io.Copy(io.Discard, resp.Body) // Allows the connection to be reused.
}

// finish records the end of a request whose exchange returned err.
func (o *outcome) finish(ctx context.Context, err error) {
	o.total = time.Since(o.intendedFor)
	switch {
	case o.end != "":
	case err == nil:
		o.end = EndCompleted
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		o.end = EndTimeout
	case ctx.Err() != nil:
		o.end = EndCancelled
	default:
		o.end = EndTransport
	}
}

// streamChecker reads a stream and checks that it is complete and in order.
type streamChecker struct {
	out         *outcome
	requestID   string // From the response header; empty if it has none.
	streamName  string // From the ID of the first event.
	nextIndex   int    // Index of the next event.
	lastTokenAt time.Time
	finishSeen  bool // The finish chunk was seen.
	usageSeen   bool // The chunk with the token counts was seen.
}

// chunk holds the checked fields of a stream event.
type chunk struct {
	Choices []struct {
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
	Usage *struct {
		PromptTokens  int `json:"prompt_tokens"`
		PromptDetails struct {
			CachedTokens int `json:"cached_tokens"`
		} `json:"prompt_tokens_details"`
	} `json:"usage"`
	Error *struct {
		Outcome radishcrank.Outcome `json:"outcome"`
	} `json:"error"`
}

const doneMarker = "[DONE]"

func (s *streamChecker) read(r *rcsse.Reader) error {
	done := false
	for {
		e, err := r.Next()
		if errors.Is(err, io.EOF) {
			if !done && s.out.end == "" {
				s.out.end = EndTruncated
			}
			return nil
		}
		if err != nil {
			return err
		}
		switch {
		case done:
			s.out.end = EndMalformed
			return nil
		case string(e.Data) == doneMarker:
			done = true
			if !s.finishSeen && s.out.end == "" {
				s.out.end = EndTruncated // The finish chunk is missing.
			}
		default:
			if s.checkEvent(e); s.out.end != "" {
				return nil
			}
		}
	}
}

// checkEvent checks one event and sets the end of the request if the event is
// invalid.
func (s *streamChecker) checkEvent(e rcsse.Event) {
	var c chunk
	if err := json.Unmarshal(e.Data, &c); err != nil {
		s.out.end = EndMalformed
		return
	}
	if c.Error != nil {
		s.out.end, s.out.outcome = EndFailed, c.Error.Outcome
		return
	}
	if len(c.Choices) == 0 {
		s.readUsage(c, e.ID)
		return
	}
	if !s.inOrder(e.ID) {
		s.out.end = EndOutOfOrder
		return
	}
	switch {
	case c.Choices[0].FinishReason != nil:
		s.finishSeen = true
	case s.finishSeen:
		s.out.end = EndMalformed // A token follows the finish chunk.
	default:
		s.recordToken()
	}
}

// readUsage reads the chunk with the token counts. It is sent once, after the
// finish chunk, and has no event ID, because a caller never reconnects at it.
func (s *streamChecker) readUsage(c chunk, id string) {
	if c.Usage == nil || !s.finishSeen || s.usageSeen || id != "" {
		s.out.end = EndMalformed
		return
	}
	s.usageSeen = true
	s.out.promptTokens, s.out.cachedTokens = c.Usage.PromptTokens, c.Usage.PromptDetails.CachedTokens
}

// inOrder checks an event ID: the name of the stream, which starts with the
// request ID and is the same in all events, and the index of the event.
func (s *streamChecker) inOrder(id string) bool {
	name, index, ok := strings.Cut(id, "/")
	n, err := strconv.Atoi(index)
	request, _, _ := strings.Cut(name, ".")
	if !ok || err != nil || n != s.nextIndex {
		return false
	}
	if (s.requestID != "" && request != s.requestID) || (s.streamName != "" && name != s.streamName) {
		return false
	}
	s.streamName = name
	s.nextIndex++
	return true
}

func (s *streamChecker) recordToken() {
	now := time.Now()
	if s.out.tokens == 0 {
		s.out.ttft = now.Sub(s.out.intendedFor)
	} else {
		s.out.gaps = append(s.out.gaps, now.Sub(s.lastTokenAt))
	}
	s.out.tokens++
	s.lastTokenAt = now
}

// serviceCall is one non-repeatable call to a plain service.
type serviceCall struct {
	load           *loadRun
	key            string
	addr           uint64
	idempotencyKey string
}

func (c serviceCall) run(ctx context.Context, intended time.Time) {
	o := outcome{intendedFor: intended}
	body := fmt.Appendf(nil, `{"Reference":%q}`, c.idempotencyKey)
	resp, err := c.load.post(ctx, c.addr, c.load.cfg.CallPath, c.key, c.idempotencyKey, body)
	if err == nil {
		defer resp.Body.Close()
		o.status = resp.StatusCode
		if resp.StatusCode >= http.StatusMultipleChoices {
			o.recordRefusal(resp)
		} else {
			_, err = io.Copy(io.Discard, resp.Body)
		}
	}
	o.finish(ctx, err)
	c.load.recorder.add(o, true)
}
