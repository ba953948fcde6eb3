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

// Ends of a request.
const (
	EndCompleted  = "Completed"
	EndRefused    = "Refused"    // An error status.
	EndFailed     = "Failed"     // An error event in the stream.
	EndTruncated  = "Truncated"  // The stream ended without [DONE].
	EndOutOfOrder = "OutOfOrder" // An event repeats or skips an index or is of another request.
	EndMalformed  = "Malformed"  // An event that is not understood, or one after [DONE].
	EndTimeout    = "Timeout"
	EndTransport  = "Transport" // The connection failed.
	EndCancelled  = "Cancelled" // The run was interrupted.
)

// outcome is what became of a request.
type outcome struct {
	end         string
	status      int                 // 0 if there was no answer.
	outcome     radishcrank.Outcome // As the fleet stated it with a refusal or failure.
	ttft        time.Duration       // From the intended send time; 0 if no token arrived.
	total       time.Duration       // From the intended send time to the end.
	gaps        []time.Duration     // Between two tokens.
	tokens      int
	prompt      int // Prompt tokens as counted by the fleet.
	cached      int
	intendedFor time.Time
}

// generation is one streamed generation.
type generation struct {
	load    *load
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
	g.load.record.add(o, false)
	g.load.record.addSecond(int(g.request.At/time.Second), o)
}

func (g generation) exchange(ctx context.Context, body []byte, o *outcome) error {
	resp, err := g.load.post(ctx, g.addr, "/v1/completions", g.key, "", body)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	o.status = resp.StatusCode
	if resp.StatusCode != http.StatusOK {
		o.refused(resp)
		return nil
	}
	s := streamCheck{out: o, last: o.intendedFor, requestID: resp.Header.Get(radishcrank.HeaderRequestID)}
	return s.read(rcsse.NewReader(resp.Body))
}

func (l *load) post(ctx context.Context, addr uint64, path, key, idempotency string, body []byte) (*http.Response, error) {
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

func (o *outcome) refused(resp *http.Response) {
	o.end = EndRefused
	o.outcome = radishcrank.Outcome(resp.Header.Get(radishcrank.HeaderOutcome))
	io.Copy(io.Discard, resp.Body) // Lets the connection be used again.
}

// finish notes the end of a request whose exchange returned err.
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

// streamCheck reads a stream and checks that it is complete and in order.
type streamCheck struct {
	out       *outcome
	requestID string // As the answer's header says; empty if it has none.
	name      string // Of the stream, as its first event says.
	next      int    // Index of the next event.
	last      time.Time
	finished  bool // The finish chunk was seen.
	counted   bool // The chunk with the usage was seen.
}

// chunk holds the fields of a stream's events that are checked.
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

func (s *streamCheck) read(r *rcsse.Reader) error {
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
			if !s.finished && s.out.end == "" {
				s.out.end = EndTruncated // The finish chunk is missing.
			}
		default:
			if s.event(e); s.out.end != "" {
				return nil
			}
		}
	}
}

// event checks one event and sets the end if it is wrong.
func (s *streamCheck) event(e rcsse.Event) {
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
		s.takeUsage(c, e.ID)
		return
	}
	if !s.inOrder(e.ID) {
		s.out.end = EndOutOfOrder
		return
	}
	switch {
	case c.Choices[0].FinishReason != nil:
		s.finished = true
	case s.finished:
		s.out.end = EndMalformed // A token after the finish.
	default:
		s.token()
	}
}

// takeUsage reads the chunk with the token counts. It comes once, after the
// finish, and has no identifier, since a caller never reconnects at it.
func (s *streamCheck) takeUsage(c chunk, id string) {
	if c.Usage == nil || !s.finished || s.counted || id != "" {
		s.out.end = EndMalformed
		return
	}
	s.counted = true
	s.out.prompt, s.out.cached = c.Usage.PromptTokens, c.Usage.PromptDetails.CachedTokens
}

// inOrder checks an identifier: the stream's name, which begins with the
// request's identifier and stays the same, and the event's index.
func (s *streamCheck) inOrder(id string) bool {
	name, index, ok := strings.Cut(id, "/")
	n, err := strconv.Atoi(index)
	request, _, _ := strings.Cut(name, ".")
	if !ok || err != nil || n != s.next {
		return false
	}
	if (s.requestID != "" && request != s.requestID) || (s.name != "" && name != s.name) {
		return false
	}
	s.name = name
	s.next++
	return true
}

func (s *streamCheck) token() {
	now := time.Now()
	if s.out.tokens == 0 {
		s.out.ttft = now.Sub(s.out.intendedFor)
	} else {
		s.out.gaps = append(s.out.gaps, now.Sub(s.last))
	}
	s.out.tokens++
	s.last = now
}

// serviceCall is one non-repeatable call of a plain service.
type serviceCall struct {
	load        *load
	key         string
	addr        uint64
	idempotency string
}

func (c serviceCall) run(ctx context.Context, intended time.Time) {
	o := outcome{intendedFor: intended}
	body := fmt.Appendf(nil, `{"Reference":%q}`, c.idempotency)
	resp, err := c.load.post(ctx, c.addr, c.load.cfg.CallPath, c.key, c.idempotency, body)
	if err == nil {
		defer resp.Body.Close()
		o.status = resp.StatusCode
		if resp.StatusCode >= http.StatusMultipleChoices {
			o.refused(resp)
		} else {
			_, err = io.Copy(io.Discard, resp.Body)
		}
	}
	o.finish(ctx, err)
	c.load.record.add(o, true)
}
