package rcfront

import (
	"net/http"
	"strings"

	"github.com/labstack/echo/v4"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/limits/rcmemory"
	"github.com/radishcrank/radishcrank/internal/state/rcmetric"
)

// serveService forwards a call to a plain service.
func (s *Server) serveService(c echo.Context) error {
	info := c.Get(requestInfoKey).(*requestInfo)
	service, ok := info.doc.Service(c.Param("name"))
	if !ok {
		return invalidRequest(http.StatusNotFound, "service_not_found", "the service does not exist")
	}
	r := c.Request()
	// The path is forwarded as the client encoded it, so that the upstream interprets
	// the same path as the RunsAtMostOnce check.
	path := strings.TrimPrefix(r.URL.EscapedPath(), "/services/"+c.Param("name"))
	if !strings.HasPrefix(path, "/") {
		return invalidRequest(http.StatusBadRequest, "malformed_path", "the service's name must not be encoded")
	}
	key := r.Header.Get(radishcrank.HeaderIdempotencyKey)
	atMostOnce := service.RunsAtMostOnce(r.Method, path)
	if atMostOnce && key == "" {
		return invalidRequest(http.StatusBadRequest, "missing_idempotency_key", "this call needs an Idempotency-Key header")
	}
	body, err := readBody(c)
	if err != nil {
		return err
	}
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	s.cfg.Metrics.Add(rcmetric.ServiceCalls, 1)
	response, err := s.cfg.CallRunner.Run(r.Context(), radishcrank.ServiceCall{
		Account:        info.account.ID,
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
	// The response of a call that must not be repeated is read for its record, whatever becomes
	// of the client. A repeat of the request gets it.
	if atMostOnce && !rcmemory.ReserverFrom(r.Context()).Reserve(int64(len(response.Body))) {
		return responseWithoutMemory()
	}
	return c.Blob(response.Status, response.ContentType, response.Body)
}
