package rcfront

import (
	"net/http"
	"strings"

	"github.com/labstack/echo/v4"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/state/rcmetric"
)

// serveService passes a call on to a plain service.
func (s *Server) serveService(c echo.Context) error {
	k := c.Get(callKey).(*call)
	service, ok := k.doc.Service(c.Param("name"))
	if !ok {
		return invalid(http.StatusNotFound, "service_not_found", "the service does not exist")
	}
	r := c.Request()
	// The path goes on as the caller encoded it, so that the upstream reads the
	// same path as the check of repeatability.
	path := strings.TrimPrefix(r.URL.EscapedPath(), "/services/"+c.Param("name"))
	if !strings.HasPrefix(path, "/") {
		return invalid(http.StatusBadRequest, "malformed_path", "the service's name must not be encoded")
	}
	key := r.Header.Get(radishcrank.HeaderIdempotencyKey)
	if service.RunsAtMostOnce(r.Method, path) && key == "" {
		return invalid(http.StatusBadRequest, "missing_idempotency_key", "this call needs an Idempotency-Key header")
	}
	body, err := readBody(c)
	if err != nil {
		return err
	}
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	s.cfg.Metrics.Add(rcmetric.ServiceCalls, 1)
	answer, err := s.cfg.CallRunner.Run(r.Context(), radishcrank.ServiceCall{
		Account:        k.account.ID,
		Service:        service.Name,
		Method:         r.Method,
		Path:           path,
		ContentType:    r.Header.Get("Content-Type"),
		Body:           body,
		IdempotencyKey: key,
	})
	if err != nil {
		return err
	}
	return c.Blob(answer.Status, answer.ContentType, answer.Body)
}
