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
	if err := decode(c, &req); err != nil {
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
	if err := decode(c, &req); err != nil {
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
	limit, err := numberParam(c, "limit", defaultHistory)
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
	s.cfg.Log.Info().Msg("drain ordered by an operator")
	s.cfg.Drain()
	return c.JSONPretty(http.StatusOK, s.cfg.Status(), "  ")
}

func numberParam(c echo.Context, name string, fallback uint64) (uint64, error) {
	text := c.QueryParam(name)
	if text == "" {
		return fallback, nil
	}
	n, err := strconv.ParseUint(text, 10, 31)
	if err != nil {
		return 0, echo.NewHTTPError(http.StatusBadRequest, fmt.Sprintf("%s: %q is not a number", name, text))
	}
	return n, nil
}

func decode(c echo.Context, v any) error {
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
	status, problem := describe(err)
	if err := c.JSONPretty(status, problem, "  "); err != nil {
		s.cfg.Log.Debug().Err(err).Msg("error answer was not delivered")
	}
}

func describe(err error) (status int, problem ErrorResponse) {
	var conflict *ConflictError
	var he *echo.HTTPError
	switch {
	case errors.As(err, &conflict):
		return http.StatusConflict, ErrorResponse{Error: conflict.Error(), Newest: conflict.Newest, Diff: conflict.Diff}
	case errors.As(err, &he):
		return he.Code, ErrorResponse{Error: fmt.Sprint(he.Message)}
	case errors.Is(err, radishcrank.ErrNotFound):
		return http.StatusNotFound, ErrorResponse{Error: err.Error()}
	case errors.Is(err, radishcrank.ErrUnavailable), errors.Is(err, radishcrank.ErrUnknownOutcome):
		return http.StatusServiceUnavailable, ErrorResponse{Error: err.Error()}
	}
	return http.StatusUnprocessableEntity, ErrorResponse{Error: err.Error()}
}
