// Package rcops is the operators' HTTP listener: status, state dump,
// explanation of placements, configuration, drain and metrics.
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

// Paths of the operators' API.
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
	maxBodyBytes   = 1 << 20
	defaultHistory = 20
)

// Status is the short state of an instance.
type Status struct {
	Instance       radishcrank.InstanceID
	Zone           radishcrank.AvailabilityZone
	Incarnation    radishcrank.Incarnation
	StartedAt      time.Time
	Ready          bool
	Draining       bool
	Warm           string // Where the instance warmed from: Peer, Object or None.
	ConfigRevision uint64
	ConfigHash     string
	ConfigAge      time.Duration // Since the revision was last confirmed as the newest one.
	ConfigProblem  string        // Why a newer document is not in force; empty when none is pending.
	Instances      int           // Live instances in view.
	Engines        int
	Services       int
	Streams        int
	OpenRecords    int // Calls that wait for their record to be settled.
}

// ConfigRevision is one committed configuration document.
type ConfigRevision struct {
	Revision    uint64
	Hash        string
	Author      string
	Note        string
	CommittedAt time.Time
	Text        string // Left out of histories.
}

// PushRequest asks to commit a document on top of the base revision.
type PushRequest struct {
	Base   uint64
	Author string
	Note   string
	Text   string
}

// ErrorResponse is the body of a failed answer.
type ErrorResponse struct {
	Error  string
	Newest uint64 // For a lost race: the newest revision.
	Diff   string // For a lost race: from the operator's base to the committed document.
}

// ExplainRequest describes a request that is not run.
type ExplainRequest struct {
	Account radishcrank.ClientAccountID
	Model   radishcrank.ModelID
	Adapter string
	Prompt  string
}

// Candidate is one engine that was considered for a request.
type Candidate struct {
	Upstream      radishcrank.UpstreamID
	Chosen        bool
	CachedBlocks  int
	PredictedTTFT time.Duration
	Score         time.Duration
	Terms         []radishcrank.CostTerm
}

// Explanation says where a request would go and why.
type Explanation struct {
	PromptBlocks int
	Candidates   []Candidate // Best first.
}

// ConflictError says that another operator committed first.
type ConflictError struct {
	Newest uint64
	Diff   string
}

// Error implements error.
func (e *ConflictError) Error() string {
	return "the base revision is not the newest one, which is " + strconv.FormatUint(e.Newest, 10)
}

// ConfigStore reads and commits configuration documents.
type ConfigStore interface {
	// Show returns a revision, or the one in force for 0.
	Show(ctx context.Context, revision uint64) (ConfigRevision, error)
	// Push commits a document. The error is a *ConflictError when the base is not the newest revision.
	Push(ctx context.Context, req PushRequest) (ConfigRevision, error)
	// History returns the newest revisions first, without their texts.
	History(ctx context.Context, limit int) ([]ConfigRevision, error)
}

// Config holds the parts that a Server works with.
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

// Server serves operators.
type Server struct {
	cfg  Config
	echo *echo.Echo
}

// New returns a Server.
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

// authorize refuses calls without an operator key.
func (s *Server) authorize(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		key, ok := strings.CutPrefix(c.Request().Header.Get("Authorization"), "Bearer ")
		if !ok || !s.cfg.Authorize(key) {
			return echo.NewHTTPError(http.StatusUnauthorized, "the operator key is missing or wrong")
		}
		return next(c)
	}
}
