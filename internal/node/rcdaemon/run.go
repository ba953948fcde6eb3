package rcdaemon

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/gravitational/trace"
	"github.com/oklog/run"

	"github.com/radishcrank/radishcrank/internal/state/rcwait"
)

const (
	operatorHeaderTimeout = 5 * time.Second
	operatorStopTimeout   = 2 * time.Second
	recordDrainTimeout    = 5 * time.Second
	finalSnapshotTimeout  = 2 * time.Second
)

// Run serves until ctx is done or Drain is called, then shuts down gracefully: the
// group's members stop in the order in which they were added. If abort is done
// during the shutdown, running requests are interrupted.
func (d *Daemon) Run(ctx, abort context.Context) (err error) {
	defer func() {
		if err != nil {
			err = trace.Wrap(err, "instance %s", d.cfg.BootSettings.ID)
		}
	}()
	d.watcher.Refresh(ctx)
	var g run.Group
	d.addStopTrigger(ctx, &g)
	g.Add(func() error { return serve(d.clientServer, d.cfg.Listeners.Callers) }, func(error) { d.stopClientServer(abort) })
	addLoopWithStop(&g, d.callRunner.RunSettlement, d.drainRecords)
	addLoopWithStop(&g, d.runSnapshots, d.pushFinalSnapshot)
	addLoop(&g, d.poisonTracker.Run)
	addLoop(&g, d.gossipPoisonRecords)
	addLoop(&g, d.broadcastUsage)
	addLoop(&g, d.runOrders)
	addLoop(&g, d.logLimitedClients)
	addLoop(&g, d.watcher.Run)
	addLoop(&g, d.syncer.Run)
	addLoop(&g, d.members.Run)
	addLoopWithStop(&g, d.peerServer.Run, d.peerClient.Close)
	g.Add(func() error { return serve(d.operatorServer, d.cfg.Listeners.Operators) }, func(error) { d.stopOperators() })
	d.cfg.Log.Info().
		Stringer("Callers", d.cfg.Listeners.Callers.Addr()).
		Stringer("Operators", d.cfg.Listeners.Operators.Addr()).
		Stringer("Peers", d.cfg.Listeners.Peers.Addr()).
		Msg("instance started")
	err = g.Run()
	d.cfg.Log.Info().Err(err).Msg("instance stopped")
	return err
}

// addStopTrigger adds a member that returns, and thereby stops the group, when ctx
// is done or a drain is requested.
func (d *Daemon) addStopTrigger(ctx context.Context, g *run.Group) {
	ctx, cancel := context.WithCancel(ctx)
	g.Add(func() error {
		select {
		case <-ctx.Done():
		case <-d.drainRequested:
		}
		return nil
	}, func(error) { cancel() })
}

// addLoop adds a member that runs until its context is canceled.
func addLoop(g *run.Group, loop func(context.Context) error) {
	addLoopWithStop(g, loop, func() {})
}

// addLoopWithStop adds a member whose loop keeps running while stop completes the
// outstanding work; after that its context is canceled.
func addLoopWithStop(g *run.Group, loop func(context.Context) error, stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	g.Add(func() error {
		if err := loop(ctx); !errors.Is(err, context.Canceled) {
			return err
		}
		return nil
	}, func(error) {
		stop()
		cancel()
	})
}

func serve(server *http.Server, l net.Listener) error {
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// isReady reports whether the load balancer should send new requests.
func (d *Daemon) isReady() bool { return d.ready.Load() && !d.draining.Load() }

// Drain makes the instance report not ready, finish running requests and stop.
func (d *Daemon) Drain() {
	d.drainOnce.Do(func() {
		d.draining.Store(true)
		close(d.drainRequested)
	})
}

// stopClientServer shuts down the clients' server. The instance first reports not ready
// for NoticeDelay; then running requests may finish until the shutdown timeout.
func (d *Daemon) stopClientServer(abort context.Context) {
	d.draining.Store(true)
	ctx, cancel := context.WithTimeout(abort, d.settings().ShutdownTimeout)
	defer cancel()
	d.members.Leave()
	rcwait.Sleep(ctx, d.cfg.NoticeDelay)
	if err := d.clientServer.Shutdown(ctx); err != nil {
		d.logInterruptedStreams(err)
		d.clientServer.Close()
	}
}

// drainRecords waits for running service calls and for their records to be written
// to the table service.
func (d *Daemon) drainRecords() {
	ctx, cancel := context.WithTimeout(context.Background(), recordDrainTimeout)
	defer cancel()
	if left := d.callRunner.Drain(ctx); len(left) > 0 {
		d.cfg.Log.Error().Strs("Records", left).Msg("records left for other instances to settle")
	}
}

// runSnapshots warms up, reports ready and then pushes snapshots of the zone's state
// until ctx is done.
func (d *Daemon) runSnapshots(ctx context.Context) error {
	d.warmUpSource.Store(d.snapshots.WarmUp(ctx))
	d.ready.Store(true)
	return d.snapshots.Run(ctx)
}

// pushFinalSnapshot pushes a last snapshot for instances that start later.
func (d *Daemon) pushFinalSnapshot() {
	ctx, cancel := context.WithTimeout(context.Background(), finalSnapshotTimeout)
	defer cancel()
	if err := d.snapshots.PushFinal(ctx); err != nil {
		d.cfg.Log.Warn().Err(err).Msg("last snapshot was not pushed")
	}
}

// logInterruptedStreams logs the streams that a forced shutdown interrupts.
func (d *Daemon) logInterruptedStreams(err error) {
	for id, s := range d.board.Streams.Snapshot() {
		d.cfg.Log.Error().Err(err).
			Str("RequestID", string(id)).
			Str("Account", string(s.Account)).
			Int("Delivered", s.Delivered).
			Msg("stream cut by the end of the shutdown")
	}
}

func (d *Daemon) stopOperators() {
	ctx, cancel := context.WithTimeout(context.Background(), operatorStopTimeout)
	defer cancel()
	if err := d.operatorServer.Shutdown(ctx); err != nil {
		d.operatorServer.Close()
	}
}
