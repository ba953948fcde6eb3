package rcfront

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/limits/rcmemory"
	"github.com/radishcrank/radishcrank/internal/state/rcconfig"
	"github.com/radishcrank/radishcrank/internal/state/rcmetric"
)

// completionRequest holds the fields of chat and text completion requests that the
// router uses.
type completionRequest struct {
	Model               string        `json:"model"`
	Prompt              singlePrompt  `json:"prompt"`
	Messages            chatPrompt    `json:"messages"`
	Stream              bool          `json:"stream"`
	StreamOptions       streamOptions `json:"stream_options"`
	MaxTokens           int           `json:"max_tokens"`
	MaxCompletionTokens int           `json:"max_completion_tokens"`
	Choices             *int          `json:"n"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// chatPrompt is the canonical text of a chat. Each message is rendered independently of
// the messages after it, so that chats with the same leading messages share a prefix.
type chatPrompt string

// UnmarshalJSON implements json.Unmarshaler for a list of messages.
func (p *chatPrompt) UnmarshalJSON(data []byte) error {
	if *p = ""; string(data) == "null" {
		return nil
	}
	if data[0] != '[' {
		return errors.New("messages must be a list")
	}
	var b strings.Builder
	b.Grow(len(data)) // A rendered message is shorter than its JSON, unless that is very short.
	err := eachElement(data, func(element []byte) error {
		var m message
		if err := json.Unmarshal(element, &m); err != nil {
			return err
		}
		b.WriteString("<|")
		b.WriteString(m.Role)
		b.WriteString("|>")
		b.WriteString(string(m.Content))
		b.WriteByte('\n')
		return nil
	})
	*p = chatPrompt(b.String())
	return err
}

func (s *Server) serveChat(c echo.Context) error {
	var body completionRequest
	if err := s.decodeBody(c, &body); err != nil {
		return err
	}
	if len(body.Messages) == 0 {
		return invalidRequest(http.StatusBadRequest, "missing_messages", "messages must not be empty")
	}
	return s.generate(c, body, string(body.Messages), true)
}

func (s *Server) serveCompletion(c echo.Context) error {
	var body completionRequest
	if err := s.decodeBody(c, &body); err != nil {
		return err
	}
	if body.Prompt == "" {
		return invalidRequest(http.StatusBadRequest, "missing_prompt", "prompt must not be empty")
	}
	return s.generate(c, body, string(body.Prompt), false)
}

// decodeBody decodes the JSON request body into v.
func (s *Server) decodeBody(c echo.Context, v any) error {
	body, err := readBody(c)
	if err != nil {
		return err
	}
	if !rcmemory.ReserverFrom(c.Request().Context()).Reserve(decodedBytes(body)) {
		return requestWithoutMemory()
	}
	if len(body) > largeBodyBytes {
		select {
		case s.largeDecodes <- struct{}{}:
			defer func() { <-s.largeDecodes }()
		case <-c.Request().Context().Done():
			return c.Request().Context().Err()
		}
	}
	if err := json.Unmarshal(body, v); err != nil {
		return invalidRequest(http.StatusBadRequest, "malformed_json", "the request body is not a valid request: "+err.Error())
	}
	return nil
}

func (s *Server) generate(c echo.Context, body completionRequest, prompt string, chat bool) error {
	info := c.Get(requestInfoKey).(*requestInfo)
	if !s.servesModel(info, body.Model) {
		return invalidRequest(http.StatusNotFound, "model_not_found", "the model does not exist")
	}
	if body.Choices != nil && *body.Choices != 1 {
		return invalidRequest(http.StatusBadRequest, "unsupported_n", "n must be 1")
	}
	if !rcmemory.ReserverFrom(c.Request().Context()).Reserve(encodedBytes(prompt)) {
		return requestWithoutMemory()
	}
	settings := info.doc.EffectiveSettings(rcconfig.Scope{Account: info.account.ID, Model: radishcrank.ModelID(body.Model)})
	req := radishcrank.Request{
		ID:        info.id,
		Account:   info.account.ID,
		Model:     radishcrank.ModelID(body.Model),
		Prompt:    prompt,
		Chat:      chat,
		Stream:    body.Stream,
		MaxTokens: min(max(body.MaxTokens, body.MaxCompletionTokens, 0), settings.MaxTokens),
		Priority:  radishcrank.Priority(settings.Priority),
		Deadline:  time.Now().Add(settings.FirstTokenDeadline),
	}
	ctx, cancel := context.WithTimeout(c.Request().Context(), settings.StreamTimeout)
	defer cancel()
	s.cfg.Metrics.Add(rcmetric.Requests, 1)
	if req.Stream && c.Request().Header.Get(radishcrank.HeaderLastEventID) != "" {
		return s.reconnect(ctx, c, req, body.StreamOptions.IncludeUsage)
	}
	if req.Stream {
		return s.stream(ctx, req, newStreamSink(c, req, body.StreamOptions.IncludeUsage))
	}
	sink := &bufferSink{memory: rcmemory.ReserverFrom(c.Request().Context())}
	if err := s.run(ctx, req, sink, func() radishcrank.Usage { return sink.finish.Usage }); err != nil {
		return err
	}
	return c.JSON(http.StatusOK, newCompletion(req, sink))
}

func (s *Server) stream(ctx context.Context, req radishcrank.Request, sink *streamSink) error {
	return sink.reportError(s.run(ctx, req, sink, func() radishcrank.Usage { return sink.finish.Usage }))
}

// run admits the request and generates its response. used returns the token counts
// of the response.
func (s *Server) run(ctx context.Context, req radishcrank.Request, sink radishcrank.StreamSink, used func() radishcrank.Usage) error {
	release, err := s.cfg.Admitter.Admit(ctx, req)
	if err != nil {
		s.cfg.Metrics.Add(rcmetric.RequestsRefused, 1)
		return err
	}
	err = s.cfg.Generator.Generate(ctx, req, sink)
	release(used())
	s.countResult(used(), err)
	return err
}

// countResult updates the metrics for a finished request.
func (s *Server) countResult(u radishcrank.Usage, err error) {
	if err != nil {
		s.cfg.Metrics.Add(rcmetric.RequestsFailed, 1)
		return
	}
	s.cfg.Metrics.Add(rcmetric.PromptTokens, int64(u.PromptTokens))
	s.cfg.Metrics.Add(rcmetric.CachedTokens, int64(u.CachedTokens))
	s.cfg.Metrics.Add(rcmetric.GeneratedTokens, int64(u.CompletionTokens))
}

func (s *Server) servesModel(info *requestInfo, model string) bool {
	for _, m := range info.doc.Models {
		if string(m.ID) == model {
			return true
		}
	}
	return false
}

type modelList struct {
	Object string      `json:"object"`
	Data   []modelInfo `json:"data"`
}

type modelInfo struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

func (s *Server) serveModels(c echo.Context) error {
	info := c.Get(requestInfoKey).(*requestInfo)
	list := modelList{Object: "list", Data: []modelInfo{}}
	for _, m := range info.doc.Models {
		list.Data = append(list.Data, modelInfo{ID: string(m.ID), Object: "model", OwnedBy: "radishcrank"})
	}
	return c.JSON(http.StatusOK, list)
}
