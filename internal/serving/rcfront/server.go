// Package rcfront is the callers' HTTP listener: the OpenAI-compatible API and
// the plain services.
package rcfront

import (
	"crypto/rand"
	"encoding/hex"
	"net/http"
	"strings"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/rs/zerolog"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/state/rcconfig"
)

// Config holds the parts that a Server works with.
type Config struct {
	Document  func() *rcconfig.Document // The configuration in force.
	Generator radishcrank.Generator
	Admitter  radishcrank.Admitter
	Calls     radishcrank.CallRunner
	Log       zerolog.Logger
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
	api := s.echo.Group("", s.identify)
	api.POST("/v1/chat/completions", s.serveChat)
	api.POST("/v1/completions", s.serveCompletion)
	api.GET("/v1/models", s.serveModels)
	api.Any("/services/:name/*", s.serveService)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.echo.ServeHTTP(w, r) }

// call is one caller's request on its way through the server.
type call struct {
	id       radishcrank.RequestID
	account  rcconfig.Account
	doc      *rcconfig.Document
	settings rcconfig.Settings
}

const callKey = "call"

// identify names the request and authenticates its account.
func (s *Server) identify(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		k := &call{id: newRequestID(), doc: s.cfg.Document()}
		c.Set(callKey, k)
		c.Response().Header().Set(radishcrank.HeaderRequestID, string(k.id))
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
		k.settings = k.doc.SettingsFor(account.ID)
		start := time.Now()
		err := next(c)
		s.log(c, k, start, err)
		return err
	}
}

func (s *Server) log(c echo.Context, k *call, start time.Time, err error) {
	event := s.cfg.Log.Info()
	if err != nil {
		event = s.cfg.Log.Warn().Err(err)
	}
	event.Str("RequestID", string(k.id)).
		Str("Account", string(k.account.ID)).
		Str("Path", c.Request().URL.Path).
		Dur("Duration", time.Since(start)).
		Msg("request")
}

func newRequestID() radishcrank.RequestID {
	var b [12]byte
	rand.Read(b[:])
	return radishcrank.RequestID(hex.EncodeToString(b[:]))
}

func invalid(status int, code, message string) error {
	return &radishcrank.Refusal{Status: status, Code: code, Message: message, Outcome: radishcrank.OutcomeNotRun}
}
