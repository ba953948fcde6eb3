package rcfront

import (
	"errors"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/state/rcmetric"
)

// errorBody is the error response of the OpenAI API, extended by the outcome.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string              `json:"message"`
	Type    string              `json:"type"`
	Code    string              `json:"code"`
	Outcome radishcrank.Outcome `json:"outcome"`
}

func newErrorBody(r *radishcrank.Refusal) errorBody {
	kind := "server_error"
	if r.Status < http.StatusInternalServerError {
		kind = "invalid_request_error"
	}
	return errorBody{Error: errorDetail{Message: r.Message, Type: kind, Code: r.Code, Outcome: r.Outcome}}
}

// codeNoMemory is the code of errors for lack of memory.
const codeNoMemory = "no_memory"

// requestWithoutMemory returns the refusal of a request that there is no memory for.
func requestWithoutMemory() error {
	return &radishcrank.Refusal{
		Status: http.StatusServiceUnavailable, Code: codeNoMemory, Message: "the memory for requests is used up",
		Outcome: radishcrank.OutcomeNotRun, RetryAfter: time.Second,
	}
}

// responseWithoutMemory returns the error of a request whose response there is no memory for.
func responseWithoutMemory() error {
	return &radishcrank.Refusal{
		Status: http.StatusBadGateway, Code: codeNoMemory, Message: "the memory for responses is used up",
		Outcome: radishcrank.OutcomeMayHaveRun, RetryAfter: time.Second,
	}
}

// handleError implements echo.HTTPErrorHandler.
func (s *Server) handleError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	refusal := asRefusal(err)
	if refusal.Code == codeNoMemory && refusal.Outcome == radishcrank.OutcomeNotRun {
		s.cfg.Metrics.Add(rcmetric.RefusedForMemory, 1)
	}
	h := c.Response().Header()
	h.Set(radishcrank.HeaderOutcome, string(refusal.Outcome))
	if refusal.RetryAfter > 0 {
		h.Set("Retry-After", retryAfterSeconds(refusal.RetryAfter))
	}
	if err := c.JSON(refusal.Status, newErrorBody(refusal)); err != nil {
		s.cfg.Log.Debug().Err(err).Msg("error response was not delivered")
	}
}

// asRefusal returns the Refusal for err. Errors of the HTTP router, such as an
// unknown path, are converted as well.
func asRefusal(err error) *radishcrank.Refusal {
	var httpErr *echo.HTTPError
	if !errors.As(err, &httpErr) {
		return radishcrank.AsRefusal(err)
	}
	text := http.StatusText(httpErr.Code)
	return &radishcrank.Refusal{
		Status:  httpErr.Code,
		Code:    strings.ReplaceAll(strings.ToLower(text), " ", "_"),
		Message: strings.ToLower(text),
		Outcome: radishcrank.OutcomeNotRun,
	}
}

// retryAfterSeconds formats d for the Retry-After header, rounded up to whole seconds
// and at least 1.
func retryAfterSeconds(d time.Duration) string {
	return strconv.Itoa(max(1, int(math.Ceil(d.Seconds()))))
}
