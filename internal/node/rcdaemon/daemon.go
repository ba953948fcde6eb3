// Package rcdaemon assembles a router instance from its components and runs them
// as a group whose members start and stop together.
package rcdaemon

import (
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"github.com/rs/zerolog"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/limits/rclimit"
	"github.com/radishcrank/radishcrank/internal/limits/rcpoison"
	"github.com/radishcrank/radishcrank/internal/limits/rcretry"
	"github.com/radishcrank/radishcrank/internal/peer/rcmember"
	"github.com/radishcrank/radishcrank/internal/peer/rcrpc"
	"github.com/radishcrank/radishcrank/internal/record/rcidem"
	"github.com/radishcrank/radishcrank/internal/record/rcorder"
	"github.com/radishcrank/radishcrank/internal/routing/rcdecision"
	"github.com/radishcrank/radishcrank/internal/serving/rcfront"
	"github.com/radishcrank/radishcrank/internal/serving/rcguard"
	"github.com/radishcrank/radishcrank/internal/serving/rcops"
	"github.com/radishcrank/radishcrank/internal/serving/rcrelay"
	"github.com/radishcrank/radishcrank/internal/state/rcboard"
	"github.com/radishcrank/radishcrank/internal/state/rcconfig"
	"github.com/radishcrank/radishcrank/internal/state/rcmetric"
	"github.com/radishcrank/radishcrank/internal/state/rcrevision"
	"github.com/radishcrank/radishcrank/internal/state/rcsnapshot"
	"github.com/radishcrank/radishcrank/internal/upstream/rcengine"
	"github.com/radishcrank/radishcrank/internal/upstream/rcservice"
	"github.com/radishcrank/radishcrank/internal/upstream/rcwatch"
)

const (
	reportInterval = 250 * time.Millisecond
	maxAttempts    = 4

	// headerReadTimeout bounds the time in which a client must send a request
	// header. The HTTP server needs this value and maxHeaderBytes before the first
	// configuration document is available; rcfront enforces the setting
	// MaxHeaderBytes within that limit.
	headerReadTimeout = 5 * time.Second
	maxHeaderBytes    = 1 << 20
	// operatorHeaderBytes is far more than the operators' command sends.
	operatorHeaderBytes = 64 << 10
	// operatorReadTimeout bounds the time in which a request of an operator must arrive. Its
	// body has at most 1 MB.
	operatorReadTimeout = 30 * time.Second
	// idleTimeout closes idle connections, later than clients and proxies usually do.
	idleTimeout = 2 * time.Minute
)

// Config holds the settings, listeners and platform clients of an instance.
type Config struct {
	BootSettings   *rcconfig.BootSettings
	Listeners      Listeners // Closed by Run.
	Table          radishcrank.TableService
	Objects        radishcrank.ObjectStore
	InstanceLister radishcrank.InstanceLister
	WeightStore    rcorder.WeightStore // If nil, weights are not checked before they are loaded.
	// NoticeDelay is how long a stopping instance keeps accepting requests after
	// it reports not ready, so that the load balancer can remove it.
	NoticeDelay time.Duration
	Log         zerolog.Logger
}

// Daemon is a router instance.
type Daemon struct {
	cfg            Config
	incarnation    radishcrank.Incarnation
	startedAt      time.Time
	board          *rcboard.Board
	metrics        *rcmetric.Set
	dialer         *rcengine.Dialer
	chooser        *rcdecision.Chooser
	watcher        *rcwatch.Watcher
	callRunner     *rcidem.Runner
	handlers       *rcrpc.Handlers
	peerClient     *rcrpc.Client
	peerServer     *rcrpc.Server
	members        *rcmember.Tracker
	syncer         *rcrevision.Syncer
	snapshots      *rcsnapshot.Snapshotter
	limiter        *rclimit.Limiter
	cachedCapacity cachedCapacity
	retrier        *rcretry.Retrier
	poisonTracker  *rcpoison.Tracker
	warmUpSource   atomic.Value // An rcsnapshot.Source; set when the warm-up ends.
	clientServer   *http.Server
	clientGuard    rcguard.Config // Limits of the clients' listener.
	operatorServer *http.Server

	ready          atomic.Bool // Set when the warm-up ends.
	draining       atomic.Bool
	drainOnce      sync.Once
	drainRequested chan struct{} // Closed by Drain.
}

// New returns an instance that is not running yet. It fails if the TLS files
// cannot be loaded.
func New(cfg Config) (d *Daemon, err error) {
	defer func() {
		if err != nil {
			err = trace.Wrap(err, "instance %s", cfg.BootSettings.ID)
		}
	}()
	now := time.Now()
	d = &Daemon{
		cfg: cfg,
		// The start time increases with each restart without needing storage.
		incarnation:    radishcrank.Incarnation(now.UnixNano()),
		startedAt:      now,
		board:          rcboard.New(),
		metrics:        &rcmetric.Set{},
		drainRequested: make(chan struct{}),
	}
	d.clientGuard = d.newClientGuard()
	if d.cfg.Listeners, err = cfg.Listeners.guarded(cfg.BootSettings, d.clientGuard, d.operatorGuard(), cfg.Log); err != nil {
		return nil, err
	}
	d.newPeers()
	d.newRetryAndPoison()
	d.newSnapshots()
	d.newLimiter()
	d.dialer = rcengine.NewDialer()
	d.chooser = rcdecision.New(d.chooserConfig())
	d.watcher = rcwatch.New(rcwatch.Config{
		Board:     d.board,
		Lister:    cfg.InstanceLister,
		Dialer:    d.dialer,
		Interval:  reportInterval,
		Instance:  cfg.BootSettings.ID,
		Zone:      cfg.BootSettings.Zone,
		Index:     d.chooser.Index(),
		PlanMoves: d.chooser.PlanMigrations,
		Log:       cfg.Log,

		OnInstances: d.members.Merge,
	})
	d.callRunner = rcidem.New(d.callRunnerConfig())
	d.clientServer = d.newClientServer()
	d.operatorServer = d.newOperatorServer()
	return d, nil
}

// BootSettings returns the instance's boot settings.
func (d *Daemon) BootSettings() *rcconfig.BootSettings { return d.cfg.BootSettings }

// Board returns the tables that the components of the instance share.
func (d *Daemon) Board() *rcboard.Board { return d.board }

// settings returns the settings in effect in the instance's availability zone.
func (d *Daemon) settings() rcconfig.Settings {
	return d.document().EffectiveSettings(rcconfig.Scope{Zone: d.cfg.BootSettings.Zone})
}

func (d *Daemon) chooserConfig() rcdecision.Config {
	return rcdecision.Config{
		Board:    d.board,
		Instance: d.cfg.BootSettings.ID,
		Zone:     d.cfg.BootSettings.Zone,
		BlockBytes: func() int {
			s := d.document().Defaults
			return s.BlockTokens * s.BytesPerToken
		},
		BytesPerToken:   func() int { return d.document().Defaults.BytesPerToken },
		RecomputeWeight: func() float64 { return d.settings().RecomputeWeight },
		Breaker:         d.retrier,
		CrossZoneCost: func(zone radishcrank.AvailabilityZone) time.Duration {
			return d.document().EffectiveSettings(rcconfig.Scope{Zone: zone}).CrossZoneCost
		},
	}
}

func (d *Daemon) callRunnerConfig() rcidem.Config {
	return rcidem.Config{
		Instance:    d.cfg.BootSettings.ID,
		Incarnation: d.incarnation,
		Zone:        d.cfg.BootSettings.Zone,
		Board:       d.board,
		Table:       d.cfg.Table,
		Client:      rcservice.New(),
		RunsAtMostOnce: func(call radishcrank.ServiceCall) bool {
			service, ok := d.document().Service(call.Service)
			path, _, _ := strings.Cut(call.Path, "?")
			return ok && service.RunsAtMostOnce(call.Method, path)
		},
		IsLeaving: d.isLeaving,
		IsDead:    d.members.IsDead,
		Retention: func() time.Duration { return d.settings().RecordRetention },
	}
}

func (d *Daemon) newClientServer() *http.Server {
	relay := rcrelay.New(rcrelay.Config{
		Board:           d.board,
		Chooser:         meteredChooser{Chooser: d.chooser, metrics: d.metrics},
		Dialer:          d.dialer,
		MaxAttempts:     maxAttempts,
		ProgressTimeout: d.progressTimeout,
		Retrier:         d.retrier,
		CrashTracker:    d.poisonTracker,
		RefreshLoad:     d.watcher.PollSoon,
		ReplayMemory:    rcguard.NewShare(d.clientGuard),
	})
	replay := replayer{d: d, relay: relay}
	rcrpc.Handle(d.handlers, methodStreamFetch, replay.handleStreamFetch)
	front := rcfront.New(rcfront.Config{
		Document:      d.document,
		InstanceTag:   rcfront.InstanceTag(d.cfg.BootSettings.ID),
		Generator:     relay,
		Replayer:      replay,
		ServedWeights: d.servedWeights,
		Admitter:      d.limiter,
		CallRunner:    d.callRunner,
		Metrics:       d.metrics,
		Ready:         d.isReady,
		Log:           d.cfg.Log,
	})
	server := &http.Server{
		Handler:           front,
		ReadHeaderTimeout: headerReadTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	rcguard.Configure(server)
	return server
}

func (d *Daemon) newOperatorServer() *http.Server {
	ops := rcops.New(rcops.Config{
		Authorize:   d.authorizeOperator,
		Status:      d.Status,
		Dump:        d.dump,
		Explain:     d.explain,
		Drain:       d.Drain,
		ConfigStore: d.ConfigStore(),
		Metrics:     d.metrics,
		Log:         d.cfg.Log,
	})
	server := &http.Server{Handler: ops, ReadHeaderTimeout: operatorHeaderTimeout, ReadTimeout: operatorReadTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: operatorHeaderBytes}
	rcguard.Configure(server)
	return server
}
