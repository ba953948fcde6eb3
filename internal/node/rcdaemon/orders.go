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
	orderLease = "orders" // Name of the lease of the instance that orders engines.

	// candidatesPerZone instances of each zone compete for the lease, so that the
	// reads of its row do not grow with the fleet.
	candidatesPerZone = 1
	candidacyInterval = 2 * time.Second
)

// runOrders competes for the lease while this instance is a candidate of its
// zone, until ctx ends.
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

// startCompeting starts to startCompeting for the lease. stop ends that and waits until the
// lease is given back.
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
		_ = lease.Run(ctx) // It ends with ctx only.
	}()
	return func() {
		cancel()
		<-stopped
	}
}

// lead orders engines during one term.
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
		_ = drainer.Run(ctx) // It ends with ctx only.
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

// weightStore returns the configured weight store, or a nil interface.
func (d *Daemon) weightStore() rcorder.WeightStore { return d.cfg.WeightStore }

// servedWeights returns the weights versions of a model that engines serve now.
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
