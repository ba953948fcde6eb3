// Package rcinstance assembles one router instance on the users' platform as a
// run group whose members stop together.
package rcinstance

import (
	"context"
	"errors"
	"net"
	"net/http"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/oklog/run"
	"github.com/rs/zerolog"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/limits/rcbudget"
	"github.com/radishcrank/radishcrank/internal/limits/rcpoison"
	"github.com/radishcrank/radishcrank/internal/limits/rcverdict"
	"github.com/radishcrank/radishcrank/internal/record/rclease"
	"github.com/radishcrank/radishcrank/internal/record/rcrollout"
	"github.com/radishcrank/radishcrank/internal/routing/rcaffinity"
	"github.com/radishcrank/radishcrank/internal/routing/rcroute"
	"github.com/radishcrank/radishcrank/internal/serving/rcforward"
	"github.com/radishcrank/radishcrank/internal/state/rcboard"
	"github.com/radishcrank/radishcrank/internal/state/rcclock"
	"github.com/radishcrank/radishcrank/internal/state/rcfeed"
	"github.com/radishcrank/radishcrank/internal/state/rcfleet"
	"github.com/radishcrank/radishcrank/internal/state/rckvstore"
	"github.com/radishcrank/radishcrank/internal/state/rcmetric"
	"github.com/radishcrank/radishcrank/internal/state/rcweights"
	"github.com/radishcrank/radishcrank/internal/upstream/rcconn"
	"github.com/radishcrank/radishcrank/platform"
)

// Tables of the store that the instances share, beside membersTable.
const (
	leaseTable   = "radishcrank-lease"
	weightsTable = "radishcrank-weights" // When which weights were named.
	// verdictsTable holds the contents that crash upstreams.
	verdictsTable = "radishcrank-verdicts"
)

const (
	// leaseDuration is how long a renewal of the orders' lease lasts. Another
	// instance takes over once that and the time that two holders' orders must be
	// apart have passed, less leaseMargin.
	leaseDuration = 2200 * time.Millisecond
	leaseMargin   = 600 * time.Millisecond
	// noticeTime is how long a stopping instance goes on serving while it reports
	// that it is not ready: the balancer needs two readiness checks, a second apart.
	noticeTime = 2500 * time.Millisecond
	// stopMargin ends a stop before the platform kills the process.
	stopMargin = 700 * time.Millisecond
	// headerTime bounds a caller's header until the configuration names a bound.
	headerTime = 5 * time.Second
	// idleTime keeps idle connections of callers somewhat longer than any
	// configuration asks for: closing one that a caller is about to use costs a request.
	idleTime = 75 * time.Second
	// weightsMargin stops the use of older weights before it is forbidden.
	weightsMargin = 1200 * time.Millisecond
	// verdictDelay exceeds the time that records of crashes take to all instances,
	// with their relays.
	verdictDelay = 1500 * time.Millisecond
	// verdictsInterval leaves the table of verdicts to instances that start. The
	// others hear of verdicts from each other.
	verdictsInterval = time.Hour
	// memoryShare of the process's memory limit makes the garbage collector hurry.
	memoryShare = 0.7
)

// Instance is one router process.
type Instance struct {
	settings  platform.Settings                 // As of the start.
	live      atomic.Pointer[platform.Settings] // As of the last reload.
	log       zerolog.Logger
	store     *platform.Store
	fleet     *rcfleet.Fleet
	board     *rcboard.Board
	pool      *rcconn.Pool
	guard     *rcpoison.Tracker
	peers     *peers
	directory *directory
	metrics   *rcmetric.Set
	born      time.Time
	table     atomic.Pointer[rcroute.Table]
	closing   atomic.Bool
	clock     rcclock.Clock // The store's.
	named     *rcweights.Tracker
	kvWatch   *rckvstore.Watcher
}

// New assembles an instance.
func New(s platform.Settings, log zerolog.Logger) *Instance {
	if s.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(s.MemoryMB) * (1 << 20)))
	}
	i := &Instance{
		settings: s,
		log:      log.With().Str("Instance", s.Instance).Logger(),
		fleet:    rcfleet.New(),
		board:    rcboard.New(),
		pool:     rcconn.New(rcconn.Config{}),
		metrics:  &rcmetric.Set{},
		born:     time.Now(),
	}
	i.live.Store(&s)
	i.store = platform.NewStore(platform.StoreConfig{
		Addr: s.StoreAddr, Clock: &i.clock,
		ObserveLatency: func(d time.Duration) { i.metrics.Record(rcmetric.StoreTime, d) },
	})
	i.named = rcweights.NewTracker(rcweights.TrackerConfig{
		Table: &platform.Table{Store: i.store, Name: weightsTable}, Now: i.clock.Now, Log: i.log,
	})
	i.guard = rcpoison.New(rcpoison.Config{
		Board: i.board, Instance: radishcrank.InstanceID(s.Instance), StoreDelay: verdictDelay,
		VerdictStore: rcverdict.New(rcverdict.Config{
			Table: &platform.Table{Store: i.store, Name: verdictsTable}, Interval: verdictsInterval,
		}),
	})
	i.kvWatch = rckvstore.New(rckvstore.Config{
		Events: &platform.KVEventClient{Pool: i.pool}, Stores: i.listedKVStores, OnDataLoss: i.fleet.ForgetCachedParts, Log: i.log,
	})
	i.peers = newPeers(i)
	i.directory = &directory{fleet: i.fleet, setConfig: i.setTable, setWeights: i.setNamed, log: i.log}
	i.directory.follow(rcfeed.Config{Source: i.store, IsRelay: i.peers.relaying, Publish: i.peers.publish, Log: i.log})
	return i
}

// Run serves until ctx ends, then drains and stops.
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
	add(i.guard.Run)
	add(i.named.Run)
	add(i.kvWatch.Run)
	add(i.lead)

	callers, err := net.Listen("tcp", i.settings.ClientAddr.String())
	if err != nil {
		return err
	}
	front := &http.Server{Handler: i.front(), ReadHeaderTimeout: headerTime, IdleTimeout: idleTime, ErrorLog: nil}
	stopped := make(chan struct{})
	g.Add(func() error {
		err := front.Serve(callers)
		<-stopped
		return ignoreClosed(err)
	}, func(error) {})
	// The first member to end is the one that drains; the others go on until then.
	g.Add(func() error {
		defer close(stopped)
		<-ctx.Done()
		i.closing.Store(true)
		i.log.Info().Str("Event", "Draining").Send()
		time.Sleep(noticeTime)
		left, cancel := context.WithTimeout(context.Background(), i.live.Load().TerminationGracePeriod-noticeTime-stopMargin)
		defer cancel()
		if err := front.Shutdown(left); err != nil {
			i.log.Warn().Str("Event", "DrainCut").Err(err).Send()
			return front.Close()
		}
		return nil
	}, func(error) {})
	if err := i.serve(&g, i.settings.ReadinessAddr.String(), i.readyHandler()); err != nil {
		return err
	}
	if err := i.serve(&g, i.settings.MetricsAddr.String(), i.metrics); err != nil {
		// Callers can be served without metrics.
		i.log.Error().Str("Event", "NoMetrics").Err(err).Send()
	}
	return g.Run()
}

// Reload reads the settings file again. The retry budget and the times for
// stopping and for old weights come into force at once; addresses, identity and
// memory hold from the next start. A file that can't be read changes nothing.
func (i *Instance) Reload(path string) {
	s, err := platform.LoadSettings(path)
	if err != nil {
		i.log.Error().Str("Event", "Reload").Err(err).Send()
		return
	}
	if s == *i.live.Load() {
		return
	}
	i.live.Store(&s)
	i.log.Info().Str("Event", "Reload").Bool("NeedsRestart", i.needsRestart(s)).
		Float64("RepeatRatio", s.RetryBudgetRatio).Float64("RepeatSlack", s.RetryBudgetSlack).
		Int64("StopMS", s.TerminationGracePeriod.Milliseconds()).Int64("WeightsMS", s.OldWeightsTTL.Milliseconds()).Send()
}

// needsRestart reports whether settings differ from those of the start in what a
// running process does not change.
func (i *Instance) needsRestart(s platform.Settings) bool {
	now := i.settings
	s.RetryBudgetRatio, s.RetryBudgetSlack, s.TerminationGracePeriod, s.OldWeightsTTL = now.RetryBudgetRatio, now.RetryBudgetSlack, now.TerminationGracePeriod, now.OldWeightsTTL
	return s != now
}

func (i *Instance) serve(g *run.Group, addr string, h http.Handler) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: headerTime}
	g.Add(func() error { return ignoreClosed(s.Serve(l)) }, func(error) { s.Close() })
	return nil
}

func ignoreClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// readyHandler answers the balancer's checks. An instance is ready once it knows
// a configuration and the upstreams.
func (i *Instance) readyHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if i.closing.Load() || i.table.Load() == nil || !i.fleet.Synced() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
}

func (i *Instance) front() http.Handler {
	forwarder := rcforward.New(rcforward.Config{
		Zone:   radishcrank.AvailabilityZone(i.settings.Zone),
		Fleet:  i.fleet,
		Sender: &platform.Sender{Pool: i.pool},
		Budget: rcbudget.New(rcbudget.Config{
			Allowance: func() rcbudget.Allowance {
				s := i.live.Load()
				return rcbudget.Allowance{Ratio: s.RetryBudgetRatio, Slack: s.RetryBudgetSlack}
			},
			Window: i.settings.RetryBudgetWindow, Instances: i.peers.count,
		}),
		Guard:         i.guard,
		Weights:       i.named.History,
		OldWeightsTTL: func() time.Duration { return i.live.Load().OldWeightsTTL - weightsMargin },
		RecordCached:  i.peers.hold,
		KVStores:      i.kvStores,
		Log:           i.log,
		Metrics:       i.metrics,
	})
	return &platform.ClientHandler{
		Table: i.table.Load, Server: forwarder, Draining: i.closing.Load, Metrics: i.metrics, Log: i.log,
	}
}

func (i *Instance) setTable(t *rcroute.Table) {
	i.table.Store(t)
	i.log.Info().Str("Event", "Config").Int64("Version", t.Version).Int("Routes", len(t.Routes)).Int("Accounts", len(t.Accounts)).Send()
}

// setNamed takes the weights that are wanted for a model.
func (i *Instance) setNamed(model radishcrank.ModelID, w radishcrank.WeightsVersion, s rcfeed.Provenance) {
	if !i.named.SetTarget(model, w, s) {
		return
	}
	e := i.log.Info().Str("Event", "WeightsNamed").Str("Model", string(model)).Str("Weights", string(w)).
		Int64("UptimeMS", time.Since(i.born).Milliseconds()).Bool("Relayed", s.Relayed)
	if !s.Since.IsZero() {
		e = e.Int64("AgeMS", i.clock.Now().Sub(s.Since).Milliseconds())
	}
	e.Send()
}

// listedKVStores returns the stores of kept KV cache that the configuration names.
func (i *Instance) listedKVStores() (stores []rckvstore.Store) {
	t := i.table.Load()
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

// kvStores returns the stores of kept KV cache that answer.
func (i *Instance) kvStores() (stores []rcaffinity.KVStore) {
	for _, s := range i.listedKVStores() {
		if i.kvWatch.Up(s) {
			stores = append(stores, rcaffinity.KVStore{ID: s.ID, Addr: s.Addr})
		}
	}
	return stores
}

// servicesOf returns the services whose engines serve a model.
func (i *Instance) servicesOf(model radishcrank.ModelID) (names []string) {
	t := i.table.Load()
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

// lead competes for the lease of orders and gives them while it holds it.
func (i *Instance) lead(ctx context.Context) error {
	controller := rcrollout.New(rcrollout.Config{
		Fleet:          i.fleet,
		Engines:        &platform.EngineClient{Pool: i.pool, Holder: i.settings.Instance},
		Mode:           rcrollout.ContinueRequests,
		DesiredWeights: i.named.All,
		ServicesOf:     i.servicesOf,
		Announce:       i.peers.announce,
		Log:            i.log,
	})
	lease := rclease.New(rclease.Config{
		Table:          &platform.Table{Store: i.store, Name: leaseTable},
		Name:           "orders",
		Instance:       radishcrank.InstanceID(i.settings.Instance),
		Duration:       leaseDuration,
		Margin:         leaseMargin,
		MinHandoverGap: i.settings.LeaseGap,
		Process:        i.settings.Instance + "@" + i.settings.PeerAddr.String(),
		HolderReport:   i.peers.leaseHeard,
		Lead: func(ctx context.Context, term *rclease.Term) error {
			defer i.peers.lead(term)()
			return controller.Lead(ctx, term, term.Fence)
		},
	})
	return lease.Run(ctx)
}
