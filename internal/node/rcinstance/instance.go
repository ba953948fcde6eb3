// Package rcinstance assembles one router instance on the users' platform as a run
// group, whose members stop together.
package rcinstance

import (
	"context"
	"errors"
	"net/http"
	"net/netip"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/oklog/run"
	"github.com/rs/zerolog"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/limits/rcblame"
	"github.com/radishcrank/radishcrank/internal/limits/rcbudget"
	"github.com/radishcrank/radishcrank/internal/limits/rclimit"
	"github.com/radishcrank/radishcrank/internal/limits/rcmemory"
	"github.com/radishcrank/radishcrank/internal/limits/rcpoison"
	"github.com/radishcrank/radishcrank/internal/limits/rcquota"
	"github.com/radishcrank/radishcrank/internal/limits/rcslots"
	"github.com/radishcrank/radishcrank/internal/limits/rcverdict"
	"github.com/radishcrank/radishcrank/internal/record/rclease"
	"github.com/radishcrank/radishcrank/internal/record/rcrollout"
	"github.com/radishcrank/radishcrank/internal/routing/rcaffinity"
	"github.com/radishcrank/radishcrank/internal/routing/rcdetour"
	"github.com/radishcrank/radishcrank/internal/routing/rcroute"
	"github.com/radishcrank/radishcrank/internal/serving/rcforward"
	"github.com/radishcrank/radishcrank/internal/serving/rcguard"
	"github.com/radishcrank/radishcrank/internal/state/rcboard"
	"github.com/radishcrank/radishcrank/internal/state/rcclock"
	"github.com/radishcrank/radishcrank/internal/state/rcera"
	"github.com/radishcrank/radishcrank/internal/state/rcfeed"
	"github.com/radishcrank/radishcrank/internal/state/rcfleet"
	"github.com/radishcrank/radishcrank/internal/state/rckvstore"
	"github.com/radishcrank/radishcrank/internal/state/rcmetric"
	"github.com/radishcrank/radishcrank/internal/state/rcsoftware"
	"github.com/radishcrank/radishcrank/internal/state/rcweights"
	"github.com/radishcrank/radishcrank/internal/upstream/rcconn"
	"github.com/radishcrank/radishcrank/platform"
)

// Tables of the store that the instances share, besides membersTable.
const (
	leaseTable    = "radishcrank-lease"
	weightsTable  = "radishcrank-weights"  // When which weights were requested.
	softwareTable = "radishcrank-software" // Which software versions upstreams run.
	// verdictsTable holds the request contents that crash upstreams.
	verdictsTable = "radishcrank-verdicts"
)

const (
	// leaseDuration is how long a renewal of the order lease is valid. Another instance
	// takes over once this time and the minimum gap between the orders of two holders
	// have passed, less leaseMargin.
	leaseDuration = 2200 * time.Millisecond
	leaseMargin   = 600 * time.Millisecond
	// drainNotice is how long a stopping instance keeps serving while it reports that
	// it is not ready. The load balancer needs two readiness checks, a second apart.
	drainNotice = 2500 * time.Millisecond
	// shutdownMargin completes a shutdown this long before the platform kills the
	// process.
	shutdownMargin = 700 * time.Millisecond
	// readHeaderTimeout bounds the time for a request header where the configuration sets no
	// bound.
	readHeaderTimeout = 5 * time.Second
	// idleTimeout closes idle connections where the configuration sets no timeout, somewhat
	// later than any asks for. Closing one that a client is about to use would fail its request.
	idleTimeout = 75 * time.Second
	// crashRecordDelay is longer than crash records take to reach all instances, relays
	// included.
	crashRecordDelay = 1500 * time.Millisecond
	// verdictReadInterval is long because only starting instances need the table of
	// verdicts. Running ones learn of verdicts from each other.
	verdictReadInterval = time.Hour
	// memoryLimitFraction is the fraction of the process's memory limit that is set as
	// the garbage collector's soft limit, beyond which it runs more often.
	memoryLimitFraction = 0.7
)

// Instance is one router process.
type Instance struct {
	settings      platform.Settings                 // Settings at startup.
	liveSettings  atomic.Pointer[platform.Settings] // Settings at the last reload.
	log           zerolog.Logger
	store         *platform.Store
	fleet         *rcfleet.Fleet
	board         *rcboard.Board
	pool          *rcconn.Pool // Of connections to upstreams.
	peerPool      *rcconn.Pool // Of connections to other instances for detours.
	poisonTracker *rcpoison.Tracker
	blame         *rcblame.Tracker
	peers         *peerGroup
	directory     *directory
	metrics       *rcmetric.Set
	startedAt     time.Time
	routes        atomic.Pointer[rcroute.Table]
	draining      atomic.Bool
	storeClock    rcclock.Clock
	storeEras     rcera.Tracker
	weights       *rcweights.Tracker
	software      *rcsoftware.Recorder
	kvWatcher     *rckvstore.Watcher
	quota         *rcquota.Quota
	links         *rcdetour.Links // To upstreams.
	zones         *rcdetour.Zones // Whose upstreams are within reach.
	// accountLimiter limits the rates of accounts. Its usage is that of the whole fleet.
	accountLimiter *rclimit.FleetLimiter
	clientMemory   *rcmemory.Budget
}

// New assembles an instance.
func New(s platform.Settings, log zerolog.Logger) *Instance {
	if s.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryLimitFraction * float64(s.MemoryMB) * (1 << 20)))
	}
	i := &Instance{
		settings:  s,
		log:       log.With().Str("Instance", s.Instance).Logger(),
		fleet:     rcfleet.New(),
		board:     rcboard.New(),
		pool:      rcconn.New(rcconn.Config{MaxIdle: machine(s).FDs(idleFDFraction)}),
		peerPool:  rcconn.New(rcconn.Config{MaxIdle: machine(s).FDs(idleFDFraction / 2)}),
		metrics:   &rcmetric.Set{},
		startedAt: time.Now(),
	}
	i.liveSettings.Store(&s)
	i.store = platform.NewStore(platform.StoreConfig{
		Addr: s.StoreAddr, Clock: &i.storeClock, Eras: &i.storeEras,
		ObserveLatency: func(d time.Duration) { i.metrics.Record(rcmetric.StoreTime, d) },
	})
	i.weights = rcweights.NewTracker(rcweights.TrackerConfig{
		Table: &platform.Table{Store: i.store, Name: weightsTable}, Now: i.storeClock.Now, Log: i.log,
	})
	i.poisonTracker = rcpoison.New(rcpoison.Config{
		Board: i.board, Instance: radishcrank.InstanceID(s.Instance), StoreDelay: crashRecordDelay, Log: i.log,
		OwnsTrial: func(key string) bool { return i.peers.ranksFirst(key) },
		VerdictStore: rcverdict.New(rcverdict.Config{
			Table: &platform.Table{Store: i.store, Name: verdictsTable}, Interval: verdictReadInterval,
		}),
	})
	i.kvWatcher = rckvstore.New(rckvstore.Config{
		Events: &platform.KVEventClient{Pool: i.pool}, Stores: i.configuredKVStores, OnDataLoss: i.fleet.ForgetCachedParts,
		ReliesOnReports: func() bool { return i.peers.reliesOnRelay() }, Log: i.log,
	})
	i.accountLimiter = newAccountLimiter(i)
	i.peers = newPeerGroup(i)
	i.peers.origins.newerEntries = func(ctx context.Context) ([]rcfleet.Entry, []radishcrank.UpstreamID, error) {
		return i.directory.newerEntries(ctx)
	}
	i.peers.origins.incarnation = i.engineClient().Incarnation
	i.software = i.newSoftwareRecorder()
	i.peers.origins.recordedAsOnly = i.software.OnlyVersion
	i.blame = rcblame.New(rcblame.Config{
		Instance: radishcrank.InstanceID(s.Instance), Instances: i.peers.fleetSize, Upstreams: i.fleet.Available, Announce: i.peers.announceBlame,
		Convict: i.poisonTracker.Convict, Convicted: i.poisonTracker.ConvictedParts, Log: i.log,
	})
	i.quota = rcquota.New(rcquota.Config{
		Instance: radishcrank.InstanceID(s.Instance), Now: i.storeClock.Now, Others: i.peers.others, Announce: i.peers.announceLimit, Log: i.log,
	})
	i.links = rcdetour.NewLinks(rcdetour.LinksConfig{
		Zone: radishcrank.AvailabilityZone(s.Zone), Upstreams: i.fleet.Upstreams,
		Connect:  func(ctx context.Context, to netip.AddrPort) error { return i.pool.Connect(ctx, to) },
		OnChange: i.linksChanged,
	})
	i.zones = rcdetour.NewZones(rcdetour.ZonesConfig{
		Upstreams: i.fleet.Upstreams,
		Connect:   func(ctx context.Context, to netip.AddrPort) error { return i.pool.Connect(ctx, to) },
		OnChange:  i.zoneChanged,
	})
	i.directory = &directory{
		fleet: i.fleet, setConfig: i.setRoutes, setWeights: i.setWeights, log: i.log,
		confirmTime: missedHeartbeats*s.UpstreamHeartbeat + restoredHeartbeatDelay,
	}
	i.fleet.SetMinOutage(max(0, (missedHeartbeats-1)*s.UpstreamHeartbeat-restoredHeartbeatDelay))
	i.directory.initFollowers(rcfeed.Config{
		Source: i.store, Eras: &i.storeEras, IsRelay: i.peers.isRelay, Publish: i.peers.publishBatch, ReliesOnRelay: i.peers.reliesOnStoreReader, Log: i.log,
	})
	return i
}

// Run serves until ctx is done, then drains and stops.
func (i *Instance) Run(ctx context.Context) (err error) {
	i.log.Info().Str("Event", "Start").Str("Zone", i.settings.Zone).Str("Callers", i.settings.ClientAddr.String()).Send()
	defer func() {
		i.log.Info().Str("Event", "Stop").AnErr("Cause", err).Send()
	}()
	var g run.Group
	add := func(f func(ctx context.Context) error) {
		ctx, cancel := context.WithCancel(context.Background())
		g.Add(func() error { return f(ctx) }, func(error) { cancel() })
	}
	add(i.directory.followOperator)
	add(i.directory.followUpstreams)
	add(i.peers.run)
	add(i.poisonTracker.Run)
	add(i.blame.Run)
	add(i.weights.Run)
	add(i.software.Run)
	add(i.followRestores)
	add(i.kvWatcher.Run)
	add(i.runController)
	add(i.logLimitedClients)
	i.pool.SetObserver(func(addr netip.AddrPort, reached bool) {
		i.links.Observe(addr, reached)
		i.zones.Observe(addr, reached)
	})
	add(i.links.Run)
	add(i.zones.Run)

	guard := i.clientGuard()
	i.peers.handlers.SetMemory(rcguard.NewShare(guard)) // Before the group runs.
	clientListener, err := rcguard.Listen(i.settings.ClientAddr.String(), guard)
	if err != nil {
		return err
	}
	forwarder := i.newForwarder()
	clientServer := &http.Server{Handler: i.clientHandler(forwarder), ErrorLog: nil} // The listener has its timeouts.
	rcguard.Configure(clientServer)
	stopped := make(chan struct{})
	g.Add(func() error {
		err := clientServer.Serve(clientListener)
		<-stopped
		return ignoreClosed(err)
	}, func(error) {})
	// The member that drains ends first; the others keep running until then.
	g.Add(func() error {
		defer close(stopped)
		<-ctx.Done()
		i.draining.Store(true)
		i.log.Info().Str("Event", "Draining").Send()
		time.Sleep(drainNotice)
		shutdownCtx, cancel := context.WithTimeout(context.Background(), i.liveSettings.Load().TerminationGracePeriod-drainNotice-shutdownMargin)
		defer cancel()
		if err := clientServer.Shutdown(shutdownCtx); err != nil {
			i.log.Warn().Str("Event", "DrainCut").Err(err).Send()
			return clientServer.Close()
		}
		return nil
	}, func(error) {})
	if err := i.serve(&g, i.settings.ReadinessAddr.String(), i.readyHandler()); err != nil {
		return err
	}
	if err := i.serve(&g, i.settings.MetricsAddr.String(), i.metrics); err != nil {
		// Clients can be served without metrics.
		i.log.Error().Str("Event", "NoMetrics").Err(err).Send()
	}
	if addr := i.settings.OperatorAddr; addr.IsValid() {
		if err := i.serve(&g, addr.String(), i.operatorHandler(forwarder)); err != nil {
			i.log.Error().Str("Event", "NoOperatorListener").Err(err).Send()
		} else {
			i.peers.self.Operators = addr // It registers with it once the group runs.
		}
	}
	return g.Run()
}

// Reload reads the settings file again. The retry budget, the termination grace period
// and the TTL of old weights take effect immediately; addresses, identity and memory
// limit take effect at the next start. A file that cannot be read changes nothing.
func (i *Instance) Reload(path string) {
	s, err := platform.LoadSettings(path)
	if err != nil {
		i.log.Error().Str("Event", "Reload").Err(err).Send()
		return
	}
	if s == *i.liveSettings.Load() {
		return
	}
	i.liveSettings.Store(&s)
	i.log.Info().Str("Event", "Reload").Bool("NeedsRestart", i.needsRestart(s)).
		Float64("RepeatRatio", s.RetryBudgetRatio).Float64("RepeatSlack", s.RetryBudgetSlack).
		Int64("StopMS", s.TerminationGracePeriod.Milliseconds()).Int64("WeightsMS", s.OldWeightsTTL.Milliseconds()).Send()
}

// needsRestart reports whether s differs from the startup settings in something that a
// running process does not change.
func (i *Instance) needsRestart(s platform.Settings) bool {
	now := i.settings
	s.RetryBudgetRatio, s.RetryBudgetSlack, s.TerminationGracePeriod, s.OldWeightsTTL = now.RetryBudgetRatio, now.RetryBudgetSlack, now.TerminationGracePeriod, now.OldWeightsTTL
	return s != now
}

func (i *Instance) serve(g *run.Group, addr string, h http.Handler) error {
	l, err := rcguard.Listen(addr, i.sideGuard())
	if err != nil {
		return err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout}
	rcguard.Configure(s)
	g.Add(func() error { return ignoreClosed(s.Serve(l)) }, func(error) { s.Close() })
	return nil
}

func ignoreClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// readyHandler answers the load balancer's readiness checks. An instance is ready once
// it has a configuration and the list of upstreams.
func (i *Instance) readyHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if i.draining.Load() || i.routes.Load() == nil || !i.fleet.Synced() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
}

func (i *Instance) newForwarder() *rcforward.Forwarder {
	return rcforward.New(rcforward.Config{
		Zone:   radishcrank.AvailabilityZone(i.settings.Zone),
		Fleet:  i.fleet,
		Sender: &platform.Sender{Pool: i.pool},
		Budget: rcbudget.New(rcbudget.Config{
			Allowance: func() rcbudget.Allowance {
				s := i.liveSettings.Load()
				return rcbudget.Allowance{Ratio: s.RetryBudgetRatio, Slack: s.RetryBudgetSlack}
			},
			Window: i.settings.RetryBudgetWindow, Instances: i.peers.instanceCount,
		}),
		Guard:         i.poisonTracker,
		Blame:         i.blame,
		Quota:         i.quota,
		Weights:       i.weights.History,
		OldWeightsTTL: func() time.Duration { return i.liveSettings.Load().OldWeightsTTL },
		RecordCached:  i.peers.recordCached,
		KVStores:      i.reachableKVStores,
		Origins:       i.peers.origins,
		Incarnation:   i.engineClient().Incarnation,
		OnLeaving:     i.noteLeaving,
		OnMisdirected: i.noteMisdirected,
		Slots:         rcslots.New(rcslots.Config{Instance: radishcrank.InstanceID(i.settings.Instance), Others: i.peers.others}),
		Detours:       rcdetour.New(rcdetour.Config{Zone: radishcrank.AvailabilityZone(i.settings.Zone), Others: i.peers.detours}),
		DetourSender:  &platform.DetourSender{Pool: i.peerPool},
		Links:         i.links,
		Zones:         i.zones,
		Accounts:      rcforward.AccountLimits{Limiter: i.accountLimiter, Table: i.routes.Load, Now: i.accountTime},
		Log:           i.log,
		Metrics:       i.metrics,
	})
}

func (i *Instance) clientHandler(forwarder *rcforward.Forwarder) http.Handler {
	return &platform.ClientHandler{
		Table: i.routes.Load, Server: forwarder, Draining: i.draining.Load, Metrics: i.metrics, Log: i.log,
	}
}

// storeEra returns the newest known era of the store.
func (i *Instance) storeEra() uint64 {
	era, _ := i.storeEras.Current()
	return era
}

func (i *Instance) setRoutes(t *rcroute.Table) {
	i.setAccountLimits(t)
	i.routes.Store(t)
	capacities := map[string]int{}
	for _, s := range t.Services {
		if s.CacheTokens > 0 {
			capacities[s.Name] = s.CacheTokens
		}
	}
	i.fleet.SetCacheTokens(capacities)
	i.log.Info().Str("Event", "Config").Int64("Version", t.Version).Int("Routes", len(t.Routes)).Int("Accounts", len(t.Accounts)).Send()
}

// setWeights records the weights that the operator requests for a model.
func (i *Instance) setWeights(model radishcrank.ModelID, w radishcrank.WeightsVersion, s rcfeed.Provenance) {
	known := s
	// Relays record targets that another relay has read: that one may be gone before it has
	// done so.
	known.Relayed = s.Relayed && !i.peers.isRelay()
	if !i.weights.SetTarget(model, w, known) {
		return
	}
	e := i.log.Info().Str("Event", "WeightsNamed").Str("Model", string(model)).Str("Weights", string(w)).
		Int64("UptimeMS", time.Since(i.startedAt).Milliseconds()).Bool("Relayed", s.Relayed)
	if !s.Since.IsZero() {
		e = e.Int64("AgeMS", i.storeClock.Now().Sub(s.Since).Milliseconds())
	}
	e.Send()
}

// configuredKVStores returns the KV cache stores that the configuration lists.
func (i *Instance) configuredKVStores() (stores []rckvstore.Store) {
	t := i.routes.Load()
	if t == nil {
		return nil
	}
	for _, s := range t.Services {
		if s.KVStore.IsValid() {
			stores = append(stores, rckvstore.Store{ID: radishcrank.UpstreamID("store/" + s.Name), Addr: s.KVStore})
		}
	}
	return stores
}

// reachableKVStores returns the configured KV cache stores that currently answer.
func (i *Instance) reachableKVStores() (stores []rcaffinity.KVStore) {
	for _, s := range i.configuredKVStores() {
		if i.kvWatcher.Up(s) {
			stores = append(stores, rcaffinity.KVStore{ID: s.ID, Addr: s.Addr})
		}
	}
	return stores
}

// servicesOf returns the names of the services whose engines serve a model.
func (i *Instance) servicesOf(model radishcrank.ModelID) (names []string) {
	t := i.routes.Load()
	if t == nil {
		return nil
	}
	for _, s := range t.Services {
		for _, m := range s.Models {
			if m == model {
				names = append(names, s.Name)
			}
		}
	}
	return names
}

// runController competes for the order lease and gives orders while this instance holds
// it.
func (i *Instance) runController(ctx context.Context) error {
	controller := rcrollout.New(rcrollout.Config{
		Fleet:          i.fleet,
		Engines:        i.engineClient(),
		Mode:           rcrollout.ContinueRequests,
		DesiredWeights: i.weights.All,
		ServicesOf:     i.servicesOf,
		Announce:       i.peers.announceEngine,
		RateLimited:    i.quota.Limited,
		Log:            i.log,
	})
	lease := rclease.New(rclease.Config{
		Table:          &platform.Table{Store: i.store, Name: leaseTable},
		Name:           "orders",
		Instance:       radishcrank.InstanceID(i.settings.Instance),
		Duration:       leaseDuration,
		Margin:         leaseMargin,
		MinHandoverGap: i.settings.LeaseGap,
		Era:            i.storeEra,
		Process:        i.settings.Instance + "@" + i.settings.PeerAddr.String(),
		HolderReport:   i.peers.leaseHolderReport,
		Lead: func(ctx context.Context, term *rclease.Term) error {
			defer i.peers.startTerm(term)()
			return controller.Lead(ctx, term, term.Fence)
		},
	})
	return lease.Run(ctx)
}
