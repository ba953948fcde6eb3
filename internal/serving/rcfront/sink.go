package rcfront

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/limits/rcmemory"
	"github.com/radishcrank/radishcrank/internal/serving/rcsse"
)

// completion is a response, or one chunk of a streamed response, in the chat or text
// format of the API.
type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

type choice struct {
	Index        int      `json:"index"`
	Text         *string  `json:"text,omitempty"`
	Message      *message `json:"message,omitempty"`
	Delta        *delta   `json:"delta,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

type delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

type usage struct {
	PromptTokens        int           `json:"prompt_tokens"`
	CompletionTokens    int           `json:"completion_tokens"`
	TotalTokens         int           `json:"total_tokens"`
	PromptTokensDetails promptDetails `json:"prompt_tokens_details"`
}

type promptDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

func newUsage(u radishcrank.Usage) *usage {
	return &usage{
		PromptTokens:        u.PromptTokens,
		CompletionTokens:    u.CompletionTokens,
		TotalTokens:         u.PromptTokens + u.CompletionTokens,
		PromptTokensDetails: promptDetails{CachedTokens: u.CachedTokens},
	}
}

// streamSink writes a response as server-sent events. The identifier of an event
// consists of the stream's identifier, the tag of the weights version and the token's
// index, which is all that another instance needs to continue the stream.
type streamSink struct {
	c            echo.Context
	id           radishcrank.RequestID // Identifier of the stream; after a reconnect, that of the original request.
	req          radishcrank.Request
	tag          string // Tag of the weights version; empty until it is known.
	out          *rcsse.Writer
	enc          *rcsse.TokenEncoder
	created      int64
	includeUsage bool // Send the token counts in a separate last chunk.
	after        int  // Index of the last event that the client received; -1 if there is none.
	next         int  // Index of the next token.
	finish       radishcrank.Finish
	done         bool
}

func newStreamSink(c echo.Context, req radishcrank.Request, includeUsage bool) *streamSink {
	return &streamSink{
		c: c, id: req.ID, req: req, out: rcsse.NewWriter(c.Response()),
		created: time.Now().Unix(), includeUsage: includeUsage, after: -1,
	}
}

// SetWeights implements radishcrank.WeightsSink.
func (s *streamSink) SetWeights(w radishcrank.WeightsVersion) { s.tag = weightsTag(w) }

// publicID returns the identifier used in chunks and events.
func (s *streamSink) publicID() string { return string(s.id) + "." + s.tag }

// Token implements radishcrank.StreamSink.
func (s *streamSink) Token(t radishcrank.Token) error {
	if t.Index <= s.after {
		return nil
	}
	if s.enc == nil {
		s.enc = rcsse.NewTokenEncoder(s.publicID(), string(s.req.Model), s.created, s.req.Chat)
	}
	s.next = t.Index + 1
	s.writeHeader()
	return s.out.WriteToken(s.enc, t.Index, t.Text)
}

// Finish implements radishcrank.StreamSink.
func (s *streamSink) Finish(f radishcrank.Finish) error {
	s.finish = f
	s.writeHeader()
	index := s.next
	if f.Usage.CompletionTokens > 0 {
		index = f.Usage.CompletionTokens
	}
	if index > s.after {
		if err := s.sendFinish(index, f.Reason); err != nil {
			return err
		}
	}
	if s.includeUsage {
		if err := s.send("", 0, []choice{}, newUsage(f.Usage)); err != nil {
			return err
		}
	}
	s.done = true
	return s.out.WriteEvent("", 0, []byte("[DONE]"))
}

func (s *streamSink) sendFinish(index int, reason string) error {
	ch := choice{FinishReason: &reason}
	if s.req.Chat {
		ch.Delta = &delta{}
	} else {
		ch.Text = new(string)
	}
	return s.send(s.publicID(), index, []choice{ch}, nil)
}

// send writes a chunk that is not a token. If eventID is empty, the chunk has no
// identifier and the client's Last-Event-ID does not change.
func (s *streamSink) send(eventID string, index int, choices []choice, u *usage) error {
	object := "text_completion"
	if s.req.Chat {
		object = "chat.completion.chunk"
	}
	data, err := json.Marshal(completion{
		ID: s.publicID(), Object: object, Created: s.created, Model: string(s.req.Model),
		Choices: choices, Usage: u,
	})
	if err != nil {
		return err
	}
	return s.out.WriteEvent(eventID, index, data)
}

// writeHeader writes the response header unless it has been written. It is called
// with the first event, so that a request that fails earlier still gets an HTTP status.
func (s *streamSink) writeHeader() {
	if s.c.Response().Committed {
		return
	}
	s.c.Response().Header().Set("Content-Type", "text/event-stream")
	s.c.Response().Header().Set("Cache-Control", "no-store")
	s.c.Response().WriteHeader(http.StatusOK)
}

// reportError reports a failure after the response header as an error event, without
// [DONE]. It returns err.
func (s *streamSink) reportError(err error) error {
	if err == nil || !s.c.Response().Committed || s.done {
		return err
	}
	refusal := *radishcrank.AsRefusal(err)
	if refusal.Outcome == radishcrank.OutcomeNotRun {
		// Tokens have already been delivered, whatever the last attempt reports.
		refusal.Outcome = radishcrank.OutcomeMayHaveRun
	}
	data, jsonErr := json.Marshal(newErrorBody(&refusal))
	if jsonErr == nil {
		s.out.WriteEvent("", 0, data)
	}
	return err
}

// bufferSink collects a response that is not streamed.
type bufferSink struct {
	text     strings.Builder
	finish   radishcrank.Finish
	memory   rcmemory.Reserver
	reserved int // Bytes of text for which memory is reserved.
}

const (
	// sinkBytes is the part of a buffered response for which memory is reserved at once.
	sinkBytes = 16 << 10
	// bufferedCopies is how often its text is held: in the buffer, which grows, and in the
	// response that is written.
	bufferedCopies = 3
)

// Token implements radishcrank.StreamSink.
func (s *bufferSink) Token(t radishcrank.Token) error {
	for s.text.Len()+len(t.Text) > s.reserved {
		if !s.memory.Reserve(bufferedCopies * sinkBytes) {
			return responseWithoutMemory()
		}
		s.reserved += sinkBytes
	}
	s.text.WriteString(t.Text)
	return nil
}

// Finish implements radishcrank.StreamSink.
func (s *bufferSink) Finish(f radishcrank.Finish) error {
	s.finish = f
	return nil
}

// newCompletion returns the response that s has collected.
func newCompletion(req radishcrank.Request, s *bufferSink) completion {
	text := s.text.String()
	ch := choice{Text: &text, FinishReason: &s.finish.Reason}
	object := "text_completion"
	if req.Chat {
		object = "chat.completion"
		ch = choice{Message: &message{Role: "assistant", Content: messageText(text)}, FinishReason: &s.finish.Reason}
	}
	return completion{
		ID: string(req.ID), Object: object, Created: time.Now().Unix(), Model: string(req.Model),
		Choices: []choice{ch}, Usage: newUsage(s.finish.Usage),
	}
}
