package rcops

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"

	"github.com/labstack/echo/v4"

	"github.com/radishcrank/radishcrank"
)

func (s *Server) serveExplain(c echo.Context) error {
	var req ExplainRequest
	if err := decodeBody(c, &req); err != nil {
		return err
	}
	explanation, err := s.cfg.Explain(c.Request().Context(), req)
	if err != nil {
		return err
	}
	return c.JSONPretty(http.StatusOK, explanation, "  ")
}

func (s *Server) serveShow(c echo.Context) error {
	revision, err := numberParam(c, "revision", 0)
	if err != nil {
		return err
	}
	shown, err := s.cfg.ConfigStore.Show(c.Request().Context(), revision)
	if err != nil {
		return err
	}
	return c.JSONPretty(http.StatusOK, shown, "  ")
}

func (s *Server) servePush(c echo.Context) error {
	var req PushRequest
	if err := decodeBody(c, &req); err != nil {
		return err
	}
	committed, err := s.cfg.ConfigStore.Push(c.Request().Context(), req)
	if err != nil {
		return err
	}
	s.cfg.Log.Info().Uint64("Revision", committed.Revision).Str("Author", committed.Author).Msg("configuration committed")
	return c.JSONPretty(http.StatusOK, committed, "  ")
}

func (s *Server) serveHistory(c echo.Context) error {
	limit, err := numberParam(c, "limit", defaultHistoryLimit)
	if err != nil {
		return err
	}
	list, err := s.cfg.ConfigStore.History(c.Request().Context(), int(limit))
	if err != nil {
		return err
	}
	return c.JSONPretty(http.StatusOK, list, "  ")
}

func (s *Server) serveDrain(c echo.Context) error {
	s.cfg.Log.Info().Msg("drain requested by an operator")
	s.cfg.Drain()
	return c.JSONPretty(http.StatusOK, s.cfg.Status(), "  ")
}

// numberParam returns the value of a numeric query parameter, or defaultValue if it
// is absent.
func numberParam(c echo.Context, name string, defaultValue uint64) (uint64, error) {
	text := c.QueryParam(name)
	if text == "" {
		return defaultValue, nil
	}
	n, err := strconv.ParseUint(text, 10, 31)
	if err != nil {
		return 0, echo.NewHTTPError(http.StatusBadRequest, fmt.Sprintf("%s: %q is not a number", name, text))
	}
	return n, nil
}

func decodeBody(c echo.Context, v any) error {
	body := http.MaxBytesReader(c.Response(), c.Request().Body, maxBodyBytes)
	if err := json.NewDecoder(body).Decode(v); err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	return nil
}

// handleError implements echo.HTTPErrorHandler.
func (s *Server) handleError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	status, response := errorResponse(err)
	if err := c.JSONPretty(status, response, "  "); err != nil {
		s.cfg.Log.Debug().Err(err).Msg("error response was not delivered")
	}
}

// errorResponse returns the HTTP status and body that report err.
func errorResponse(err error) (status int, response ErrorResponse) {
	var conflict *ConflictError
	var httpErr *echo.HTTPError
	switch {
	case errors.As(err, &conflict):
		return http.StatusConflict, ErrorResponse{Error: conflict.Error(), Newest: conflict.Newest, Diff: conflict.Diff}
	case errors.As(err, &httpErr):
		return httpErr.Code, ErrorResponse{Error: fmt.Sprint(httpErr.Message)}
	case errors.Is(err, radishcrank.ErrNotFound):
		return http.StatusNotFound, ErrorResponse{Error: err.Error()}
	case errors.Is(err, radishcrank.ErrUnavailable), errors.Is(err, radishcrank.ErrUnknownOutcome):
		return http.StatusServiceUnavailable, ErrorResponse{Error: err.Error()}
	}
	return http.StatusUnprocessableEntity, ErrorResponse{Error: err.Error()}
}
