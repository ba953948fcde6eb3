// Package rcfront is the callers' HTTP listener: the OpenAI-compatible API and
// the plain services.
package rcfront

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/rs/zerolog"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/state/rcconfig"
	"github.com/radishcrank/radishcrank/internal/state/rcmetric"
)

// Config holds the parts that a Server works with.
type Config struct {
	Document      func() *rcconfig.Document // The configuration in force.
	InstanceTag   string                    // Part of request identifiers, see InstanceTag.
	Generator     radishcrank.Generator
	Replayer      Replayer
	ServedWeights func(model radishcrank.ModelID) []radishcrank.WeightsVersion // Versions that engines serve.
	Admitter      radishcrank.Admitter
	CallRunner    radishcrank.CallRunner
	Metrics       *rcmetric.Set
	Ready         func() bool // False from the start of a shutdown on.
	Log           zerolog.Logger
}

// Server serves callers.
type Server struct {
	cfg  Config
	echo *echo.Echo
}

// New returns a Server.
func New(cfg Config) *Server {
	s := &Server{cfg: cfg, echo: echo.New()}
	s.echo.HideBanner = true
	s.echo.HTTPErrorHandler = s.handleError
	s.echo.Use(s.identify)
	s.echo.GET(pathReady, s.serveReady)
	s.echo.POST("/v1/chat/completions", s.serveChat)
	s.echo.POST("/v1/completions", s.serveCompletion)
	s.echo.GET("/v1/models", s.serveModels)
	s.echo.Any("/services/:name/*", s.serveService)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.echo.ServeHTTP(w, r) }

const pathReady = "/readyz"

// serveReady tells the balancer whether the instance takes new work.
func (s *Server) serveReady(c echo.Context) error {
	if !s.cfg.Ready() {
		return c.NoContent(http.StatusServiceUnavailable)
	}
	return c.NoContent(http.StatusNoContent)
}

// call is one caller's request on its way through the server.
type call struct {
	id       radishcrank.RequestID
	account  rcconfig.Account
	doc      *rcconfig.Document
	settings rcconfig.Settings
}

const callKey = "call"

// identify names the request and authenticates its account. The balancer's
// readiness check needs no key.
func (s *Server) identify(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		if c.Request().URL.Path == pathReady {
			return next(c)
		}
		k := &call{id: newRequestID(s.cfg.InstanceTag), doc: s.cfg.Document()}
		c.Set(callKey, k)
		c.Response().Header().Set(radishcrank.HeaderRequestID, string(k.id))
		if size := headerBytes(c.Request()); size > k.doc.Defaults.MaxHeaderBytes {
			return invalid(http.StatusRequestHeaderFieldsTooLarge, "header_too_large",
				fmt.Sprintf("the header has %d bytes, at most %d are allowed", size, k.doc.Defaults.MaxHeaderBytes))
		}
		key, _ := strings.CutPrefix(c.Request().Header.Get("Authorization"), "Bearer ")
		account, ok := k.doc.Authenticate(key)
		if !ok {
			return &radishcrank.Refusal{
				Status:  http.StatusUnauthorized,
				Code:    "invalid_api_key",
				Message: "the bearer key is missing or wrong",
				Outcome: radishcrank.OutcomeNotRun,
			}
		}
		k.account = account
		k.settings = k.doc.AccountSettings(account.ID)
		start := time.Now()
		err := next(c)
		s.log(c, k, start, err)
		return err
	}
}

// headerBytes returns the size of a request's header as it was sent in HTTP/1.1.
func headerBytes(r *http.Request) int64 {
	const separators = 4 // Colon, space and line end.
	size := len(r.Method) + len(r.RequestURI) + len(r.Proto) + separators
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value) + separators
		}
	}
	return int64(size)
}

func (s *Server) log(c echo.Context, k *call, start time.Time, err error) {
	event := s.cfg.Log.Info()
	switch {
	case err == nil:
	case c.Request().Context().Err() != nil:
		event.Str("Code", "caller_gone")
	default:
		refusal := asRefusal(err)
		event = s.cfg.Log.Warn().Err(err).Str("Code", refusal.Code).Str("Outcome", string(refusal.Outcome))
	}
	event.Str("RequestID", string(k.id)).
		Str("Account", string(k.account.ID)).
		Str("Path", c.Request().URL.Path).
		Dur("Duration", time.Since(start)).
		Msg("request")
}

// newRequestID returns an identifier that names the instance, followed by 96
// random bits, which make identifiers of other accounts impossible to guess.
func newRequestID(origin string) radishcrank.RequestID {
	var b [randomBytes]byte
	rand.Read(b[:])
	return radishcrank.RequestID(origin + hex.EncodeToString(b[:]))
}

func invalid(status int, code, message string) error {
	return &radishcrank.Refusal{Status: status, Code: code, Message: message, Outcome: radishcrank.OutcomeNotRun}
}
