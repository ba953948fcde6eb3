// Package rcfront implements the HTTP API for clients: the OpenAI-compatible API and
// calls to plain services.
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

// Config holds the dependencies of a Server.
type Config struct {
	Document      func() *rcconfig.Document // Returns the configuration in force.
	InstanceTag   string                    // Prefix of new request identifiers, see the function InstanceTag.
	Generator     radishcrank.Generator
	Replayer      Replayer
	ServedWeights func(model radishcrank.ModelID) []radishcrank.WeightsVersion // Returns the versions that engines currently serve.
	Admitter      radishcrank.Admitter
	CallRunner    radishcrank.CallRunner
	Metrics       *rcmetric.Set
	Ready         func() bool // Returns false once a shutdown has started.
	Log           zerolog.Logger
}

// Server is the HTTP handler of the API for clients.
type Server struct {
	cfg  Config
	echo *echo.Echo
	// largeDecodes has a place for each large body that is being decoded.
	largeDecodes chan struct{}
}

// New returns a Server that uses the dependencies in cfg.
func New(cfg Config) *Server {
	s := &Server{cfg: cfg, echo: echo.New(), largeDecodes: make(chan struct{}, maxLargeDecodes)}
	s.echo.HideBanner = true
	s.echo.HTTPErrorHandler = s.handleError
	s.echo.Use(boundUnreadBody, s.authenticate)
	s.echo.GET(pathReady, s.serveReady)
	s.echo.POST("/v1/chat/completions", s.serveChat)
	s.echo.POST("/v1/completions", s.serveCompletion)
	s.echo.GET("/v1/models", s.serveModels)
	s.echo.Any("/services/:name/*", s.serveService)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.echo.ServeHTTP(w, r) }

// lingerTime bounds how long net/http awaits the rest of a body that no handler has read. The
// client would not receive the response if the connection were closed at once.
const lingerTime = 500 * time.Millisecond

// boundUnreadBody is middleware that bounds how long the body of a request is awaited that is
// refused before its body has been read.
func boundUnreadBody(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		err := next(c)
		if c.Request().ContentLength != 0 && c.Get(bodyReadKey) == nil {
			// Fails only on response writers in tests and closed connections.
			_ = http.NewResponseController(c.Response()).SetReadDeadline(time.Now().Add(lingerTime))
		}
		return err
	}
}

const pathReady = "/readyz"

// serveReady tells the load balancer whether the instance accepts new requests.
func (s *Server) serveReady(c echo.Context) error {
	if !s.cfg.Ready() {
		return c.NoContent(http.StatusServiceUnavailable)
	}
	return c.NoContent(http.StatusNoContent)
}

// requestInfo is the state of a request that handlers share through the echo context.
type requestInfo struct {
	id       radishcrank.RequestID
	account  rcconfig.Account
	doc      *rcconfig.Document
	settings rcconfig.Settings
}

// Keys of the echo context.
const (
	requestInfoKey = "call"
	bodyReadKey    = "body read" // Set once the whole body has been read.
)

// authenticate is middleware that assigns the request identifier, checks the size of
// the header and authenticates the account. The load balancer's readiness check needs
// no key.
func (s *Server) authenticate(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		if c.Request().URL.Path == pathReady {
			return next(c)
		}
		info := &requestInfo{id: newRequestID(s.cfg.InstanceTag), doc: s.cfg.Document()}
		c.Set(requestInfoKey, info)
		c.Response().Header().Set(radishcrank.HeaderRequestID, string(info.id))
		if size := headerBytes(c.Request()); size > info.doc.Defaults.MaxHeaderBytes {
			return invalidRequest(http.StatusRequestHeaderFieldsTooLarge, "header_too_large",
				fmt.Sprintf("the header has %d bytes, at most %d are allowed", size, info.doc.Defaults.MaxHeaderBytes))
		}
		key, _ := strings.CutPrefix(c.Request().Header.Get("Authorization"), "Bearer ")
		account, ok := info.doc.Authenticate(key)
		if !ok {
			return &radishcrank.Refusal{
				Status:  http.StatusUnauthorized,
				Code:    "invalid_api_key",
				Message: "the bearer key is missing or wrong",
				Outcome: radishcrank.OutcomeNotRun,
			}
		}
		info.account = account
		info.settings = info.doc.AccountSettings(account.ID)
		start := time.Now()
		err := next(c)
		s.logRequest(c, info, start, err)
		return err
	}
}

// headerBytes returns the size of a request's header in HTTP/1.1 encoding.
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

// logRequest logs the result of a request.
func (s *Server) logRequest(c echo.Context, info *requestInfo, start time.Time, err error) {
	event := s.cfg.Log.Info()
	switch {
	case err == nil:
	case c.Request().Context().Err() != nil:
		event.Str("Code", "caller_gone")
	default:
		refusal := asRefusal(err)
		event = s.cfg.Log.Warn().Err(err).Str("Code", refusal.Code).Str("Outcome", string(refusal.Outcome))
	}
	event.Str("RequestID", string(info.id)).
		Str("Account", string(info.account.ID)).
		Str("Path", c.Request().URL.Path).
		Dur("Duration", time.Since(start)).
		Msg("request")
}

// newRequestID returns an identifier of the instance tag and 96 random bits, which
// make the identifiers of other accounts impossible to guess.
func newRequestID(instanceTag string) radishcrank.RequestID {
	var b [randomBytes]byte
	rand.Read(b[:])
	return radishcrank.RequestID(instanceTag + hex.EncodeToString(b[:]))
}

// invalidRequest returns the refusal of a request that is not run.
func invalidRequest(status int, code, message string) error {
	return &radishcrank.Refusal{Status: status, Code: code, Message: message, Outcome: radishcrank.OutcomeNotRun}
}
