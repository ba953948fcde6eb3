// Package rcops implements the HTTP API for operators and its client: status, state
// dump, explanation of placements, configuration, drain and metrics.
package rcops

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/rs/zerolog"

	"github.com/radishcrank/radishcrank"
)

// Paths of the API for operators.
const (
	PathStatus  = "/status"
	PathDump    = "/dump"
	PathExplain = "/explain"
	PathConfig  = "/config"
	PathHistory = "/config/history"
	PathDrain   = "/drain"
	PathMetrics = "/debug/vars"
)

const (
	maxBodyBytes        = 1 << 20
	defaultHistoryLimit = 20
)

// Status summarizes the state of an instance.
type Status struct {
	Instance       radishcrank.InstanceID
	Zone           radishcrank.AvailabilityZone
	Incarnation    radishcrank.Incarnation
	StartedAt      time.Time
	Ready          bool
	Draining       bool
	Warm           string // Source of the warm-up state: Peer, Object or None.
	ConfigRevision uint64
	ConfigHash     string
	ConfigAge      time.Duration // Time since the revision was last confirmed as the newest one.
	ConfigProblem  string        // Why a newer document is not in force; empty if none is pending.
	Instances      int           // Live instances known to this one.
	Engines        int
	Services       int
	Streams        int
	OpenRecords    int // Idempotency keys whose call is running or whose record is not settled yet.
}

// ConfigRevision is a committed configuration document.
type ConfigRevision struct {
	Revision    uint64
	Hash        string
	Author      string
	Note        string
	CommittedAt time.Time
	Text        string // Omitted in a history.
}

// PushRequest is a request to commit a document based on revision Base.
type PushRequest struct {
	Base   uint64
	Author string
	Note   string
	Text   string
}

// ErrorResponse is the body of an error response.
type ErrorResponse struct {
	Error  string
	Newest uint64 // On a conflict, the newest revision.
	Diff   string // On a conflict, the changes from the operator's base to the newest document.
}

// ExplainRequest describes a generation request that is placed but not run.
type ExplainRequest struct {
	Account radishcrank.ClientAccountID
	Model   radishcrank.ModelID
	Adapter string
	Prompt  string
}

// Candidate is an engine that was considered for a request.
type Candidate struct {
	Upstream      radishcrank.UpstreamID
	Chosen        bool
	CachedBlocks  int
	PredictedTTFT time.Duration
	Score         time.Duration
	Terms         []radishcrank.CostTerm
}

// Explanation states which engine a request would be placed on and why.
type Explanation struct {
	PromptBlocks int
	Candidates   []Candidate // Best first.
}

// ConflictError means that another operator committed a revision first.
type ConflictError struct {
	Newest uint64
	Diff   string
}

// Error implements error.
func (e *ConflictError) Error() string {
	return "the base revision is not the newest one, which is " + strconv.FormatUint(e.Newest, 10)
}

// ConfigStore reads and commits configuration revisions.
type ConfigStore interface {
	// Show returns a revision; 0 selects the one in force.
	Show(ctx context.Context, revision uint64) (ConfigRevision, error)
	// Push commits a document. The error is a *ConflictError if the base is not the newest revision.
	Push(ctx context.Context, req PushRequest) (ConfigRevision, error)
	// History returns up to limit revisions without their texts, newest first.
	History(ctx context.Context, limit int) ([]ConfigRevision, error)
}

// Config holds the dependencies of a Server.
type Config struct {
	Authorize   func(key string) bool
	Status      func() Status
	Dump        func() any
	Explain     func(ctx context.Context, req ExplainRequest) (Explanation, error)
	Drain       func()
	ConfigStore ConfigStore
	Metrics     http.Handler
	Log         zerolog.Logger
}

// Server is the HTTP handler of the API for operators.
type Server struct {
	cfg  Config
	echo *echo.Echo
}

// New returns a Server that uses the dependencies in cfg.
func New(cfg Config) *Server {
	s := &Server{cfg: cfg, echo: echo.New()}
	s.echo.HideBanner = true
	s.echo.HTTPErrorHandler = s.handleError
	api := s.echo.Group("", s.authorize)
	api.GET(PathStatus, func(c echo.Context) error { return c.JSONPretty(http.StatusOK, cfg.Status(), "  ") })
	api.GET(PathDump, func(c echo.Context) error { return c.JSONPretty(http.StatusOK, cfg.Dump(), "  ") })
	api.POST(PathExplain, s.serveExplain)
	api.GET(PathConfig, s.serveShow)
	api.POST(PathConfig, s.servePush)
	api.GET(PathHistory, s.serveHistory)
	api.POST(PathDrain, s.serveDrain)
	api.GET(PathMetrics, echo.WrapHandler(cfg.Metrics))
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.echo.ServeHTTP(w, r) }

// authorize is middleware that rejects requests without a valid operator key.
func (s *Server) authorize(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		key, ok := strings.CutPrefix(c.Request().Header.Get("Authorization"), "Bearer ")
		if !ok || !s.cfg.Authorize(key) {
			return echo.NewHTTPError(http.StatusUnauthorized, "the operator key is missing or wrong")
		}
		return next(c)
	}
}
