package rcdaemon

import (
	"context"
	"time"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/record/rcdrain"
	"github.com/radishcrank/radishcrank/internal/record/rclease"
	"github.com/radishcrank/radishcrank/internal/record/rcorder"
)

const (
	orderLease = "orders" // Name of the lease held by the instance that controls the engines.

	// candidatesPerZone is the number of instances of each zone that compete for
	// the lease. It keeps the reads of the lease's row independent of the number of
	// instances.
	candidatesPerZone = 1
	candidacyInterval = 2 * time.Second
)

// runOrders competes for the order lease while this instance is a candidate of its
// zone, until ctx is done.
func (d *Daemon) runOrders(ctx context.Context) error {
	ticker := time.NewTicker(candidacyInterval)
	defer ticker.Stop()
	stop := func() {}
	candidate := false
	defer func() { stop() }()
	for {
		if eligible := d.members.IsAmongFirst(candidatesPerZone) && !d.draining.Load(); eligible != candidate {
			stop()
			stop = func() {}
			if candidate = eligible; eligible {
				stop = d.startCompeting(ctx)
			}
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// startCompeting starts competing for the order lease. stop ends this and waits
// until the lease is released.
func (d *Daemon) startCompeting(ctx context.Context) (stop func()) {
	s := d.settings()
	lease := rclease.New(rclease.Config{
		Table:    d.cfg.Table,
		Name:     orderLease,
		Instance: d.cfg.BootSettings.ID,
		Duration: s.LeaseDuration,
		Margin:   s.LeaseMargin,
		Lead:     d.lead,
	})
	ctx, cancel := context.WithCancel(ctx)
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		_ = lease.Run(ctx) // Returns only when ctx is done.
	}()
	return func() {
		cancel()
		<-stopped
	}
}

// lead controls the engines during one term of the lease.
func (d *Daemon) lead(ctx context.Context, term *rclease.Term) error {
	d.cfg.Log.Info().Uint64("Fence", term.Fence).Msg("this instance orders engines")
	s := d.settings()
	drainer := rcdrain.New(rcdrain.Config{
		Board:        d.board,
		Dialer:       d.dialer,
		Fence:        term.Fence,
		TermValid:    term.Valid,
		RecoverAfter: s.LeaseDuration + s.OrderTimeout,
		Log:          d.cfg.Log,
	})
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	recovered := make(chan struct{})
	go func() {
		defer close(recovered)
		_ = drainer.Run(ctx) // Returns only when ctx is done.
	}()
	controller := rcorder.New(rcorder.Config{
		Board:         d.board,
		Document:      d.document,
		Table:         d.cfg.Table,
		Dialer:        d.dialer,
		Drainer:       drainer,
		WeightStore:   d.weightStore(),
		LeaseDuration: s.LeaseDuration,
		OrderTimeout:  s.OrderTimeout,
		DrainTimeout:  s.StreamTimeout,
	})
	err := controller.Lead(ctx, term, term.Fence)
	cancel()
	<-recovered
	return err
}

// weightStore returns the configured weight store, or nil if there is none.
func (d *Daemon) weightStore() rcorder.WeightStore { return d.cfg.WeightStore }

// servedWeights returns the weights versions of a model that engines currently
// serve.
func (d *Daemon) servedWeights(model radishcrank.ModelID) (versions []radishcrank.WeightsVersion) {
	seen := make(map[radishcrank.WeightsVersion]bool)
	for _, up := range d.board.Upstreams.Values() {
		if w, ok := up.Load.Weights[model]; ok && !seen[w] {
			seen[w] = true
			versions = append(versions, w)
		}
	}
	return versions
}
