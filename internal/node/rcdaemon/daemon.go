// Package rcdaemon assembles one router instance as a run group whose members
// stop together.
package rcdaemon

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"github.com/oklog/run"
	"github.com/rs/zerolog"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/limits/rclimit"
	"github.com/radishcrank/radishcrank/internal/record/rcidem"
	"github.com/radishcrank/radishcrank/internal/routing/rcdecision"
	"github.com/radishcrank/radishcrank/internal/serving/rcfront"
	"github.com/radishcrank/radishcrank/internal/serving/rcrelay"
	"github.com/radishcrank/radishcrank/internal/state/rcboard"
	"github.com/radishcrank/radishcrank/internal/state/rcconfig"
	"github.com/radishcrank/radishcrank/internal/upstream/rcengine"
	"github.com/radishcrank/radishcrank/internal/upstream/rcservice"
	"github.com/radishcrank/radishcrank/internal/upstream/rcwatch"
)

const (
	reportInterval    = 250 * time.Millisecond
	shutdownTimeout   = 30 * time.Second
	headerReadTimeout = 5 * time.Second
	maxHeaderBytes    = 64 << 10
	maxAttempts       = 4
)

// Config holds the settings and platform clients of one instance.
type Config struct {
	ID       radishcrank.InstanceID
	Zone     radishcrank.AvailabilityZone
	Callers  net.Listener // Accepts callers' connections.
	Document *rcconfig.Document
	Table    radishcrank.TableService
	Objects  radishcrank.ObjectStore
	Lister   radishcrank.InstanceLister
	Log      zerolog.Logger
}

// Daemon is one router instance.
type Daemon struct {
	cfg   Config
	board *rcboard.Board
	watch *rcwatch.Watcher
	http  *http.Server
}

// New assembles an instance.
func New(cfg Config) *Daemon {
	board := rcboard.New()
	dialer := rcengine.NewDialer()
	document := func() *rcconfig.Document { return cfg.Document }
	chooser := rcdecision.New(rcdecision.Config{
		Board:      board,
		BlockBytes: func() int { return cfg.Document.Defaults.BlockTokens * cfg.Document.Defaults.BytesPerToken },
	})
	front := rcfront.New(rcfront.Config{
		Document:  document,
		Generator: rcrelay.New(rcrelay.Config{Board: board, Chooser: chooser, Dialer: dialer, MaxAttempts: maxAttempts}),
		Admitter:  rclimit.New(rclimit.Config{Board: board}),
		Calls:     newCalls(cfg, board),
		Log:       cfg.Log,
	})
	return &Daemon{
		cfg:   cfg,
		board: board,
		watch: rcwatch.New(rcwatch.Config{Board: board, Lister: cfg.Lister, Dialer: dialer, Interval: reportInterval}),
		http:  &http.Server{Handler: front, ReadHeaderTimeout: headerReadTimeout, MaxHeaderBytes: maxHeaderBytes},
	}
}

// newCalls assembles the runner of plain services' calls.
func newCalls(cfg Config, board *rcboard.Board) *rcidem.Runner {
	return rcidem.New(rcidem.Config{
		Instance: cfg.ID,
		// Instances have no disk; the start time grows with each start.
		Incarnation: radishcrank.Incarnation(time.Now().UnixMilli()),
		Zone:        cfg.Zone,
		Board:       board,
		Table:       cfg.Table,
		Client:      rcservice.New(),
		RunsAtMostOnce: func(call radishcrank.ServiceCall) bool {
			service, ok := cfg.Document.Service(call.Service)
			path, _, _ := strings.Cut(call.Path, "?")
			return ok && service.RunsAtMostOnce(call.Method, path)
		},
		Retention: func() time.Duration { return cfg.Document.Defaults.RecordRetention },
	})
}

// Board returns the instance's shared tables.
func (d *Daemon) Board() *rcboard.Board { return d.board }

// Run serves until ctx ends, then shuts down gracefully.
func (d *Daemon) Run(ctx context.Context) (err error) {
	defer func() {
		if err != nil {
			err = trace.Wrap(err, "instance %s", d.cfg.ID)
		}
	}()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	d.watch.Refresh(ctx)
	var g run.Group
	g.Add(func() error { <-ctx.Done(); return nil }, func(error) { cancel() })
	watchCtx, stopWatch := context.WithCancel(context.WithoutCancel(ctx))
	g.Add(func() error { return d.watch.Run(watchCtx) }, func(error) { stopWatch() })
	g.Add(d.serve, func(error) { d.shutdown() })
	err = g.Run()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

func (d *Daemon) serve() error {
	err := d.http.Serve(d.cfg.Callers)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// shutdown lets running requests finish, up to the timeout.
func (d *Daemon) shutdown() {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if err := d.http.Shutdown(ctx); err != nil {
		d.cfg.Log.Error().Err(err).Int("Streams", d.board.Streams.Len()).Msg("shutdown deadline passed")
		d.http.Close()
	}
}
