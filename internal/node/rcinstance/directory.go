package rcinstance

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/routing/rcroute"
	"github.com/radishcrank/radishcrank/internal/state/rcfeed"
	"github.com/radishcrank/radishcrank/internal/state/rcfleet"
	"github.com/radishcrank/radishcrank/platform"
)

const (
	// operatorPace spreads the reads of configurations in quick succession: each
	// instance reads a few a second, far within the bound until they are in force.
	operatorPace = 200 * time.Millisecond
	// upstreamsPace spreads the reads of the upstreams' entries in the same way.
	upstreamsPace = 400 * time.Millisecond
	// upstreamsStartPace replaces it while a fleet starts: upstreams start too, and
	// each instance of a large fleet would read each of their changes.
	upstreamsStartPace = 1500 * time.Millisecond
)

// directory takes in what the operator and the upstreams write to the store.
type directory struct {
	fleet *rcfleet.Fleet
	// setConfig is called with newer and newer configurations only.
	setConfig  func(t *rcroute.Table)
	setWeights func(model radishcrank.ModelID, w radishcrank.WeightsVersion, s rcfeed.Provenance)
	log        zerolog.Logger

	version   int64 // Of the newest configuration.
	operator  *rcfeed.Follower
	upstreams *rcfeed.Follower
}

// follow prepares the followers on what cfg names: a source, and who relays.
func (d *directory) follow(cfg rcfeed.Config) {
	operator := cfg
	operator.Table, operator.MinInterval = platform.OperatorTable, operatorPace
	operator.OnChange, operator.OnReset = d.operatorRow, func(rows []rcfeed.Row, s rcfeed.Provenance) {
		for _, row := range rows {
			d.operatorRow(row, s)
		}
	}
	d.operator = rcfeed.New(operator)
	upstreams := cfg
	upstreams.Table, upstreams.MinInterval, upstreams.StartupMinInterval = platform.UpstreamsTable, upstreamsPace, upstreamsStartPace
	upstreams.OnChange, upstreams.OnReset = d.upstreamRow, d.resetUpstreams
	upstreams.OnReachability = func(ok bool) {
		d.fleet.SetReachable(ok)
		d.fleet.Expire()
	}
	d.upstreams = rcfeed.New(upstreams)
}

// offer takes in a batch that another instance has read.
func (d *directory) offer(b rcfeed.Batch) {
	switch b.Table {
	case platform.OperatorTable:
		d.operator.Offer(b)
	case platform.UpstreamsTable:
		d.upstreams.Offer(b)
	}
}

func (d *directory) followOperator(ctx context.Context) error { return d.operator.Run(ctx) }

func (d *directory) followUpstreams(ctx context.Context) error { return d.upstreams.Run(ctx) }

func (d *directory) operatorRow(row rcfeed.Row, s rcfeed.Provenance) {
	if row.Removed {
		return // What was in force stays in force until something newer is written.
	}
	r, err := platform.ParseOperatorRow(row)
	switch {
	case err != nil:
		d.log.Error().Str("Event", "OperatorRowRefused").Str("Key", row.Key).Uint64("Row", row.Version).Err(err).Send()
	case r.Config != nil && r.Config.Version > d.version:
		d.version = r.Config.Version
		d.setConfig(r.Config)
	case r.Weights != "":
		d.setWeights(r.Model, r.Weights, s)
	}
}

func (d *directory) resetUpstreams(rows []rcfeed.Row, _ rcfeed.Provenance) {
	var entries []rcfleet.Entry
	for _, row := range rows {
		if e, ok := d.entry(row); ok {
			entries = append(entries, e)
		}
	}
	d.fleet.Replace(entries)
}

func (d *directory) upstreamRow(row rcfeed.Row, _ rcfeed.Provenance) {
	if e, ok := d.entry(row); ok {
		d.fleet.Put(e)
		return
	}
	d.log.Info().Str("Event", "UpstreamRemoved").Str("Upstream", row.Key).Uint64("Row", row.Version).Send()
	d.fleet.Remove(radishcrank.UpstreamID(row.Key))
}

// entry returns the upstream that a row names, if it names one.
func (d *directory) entry(row rcfeed.Row) (e rcfleet.Entry, ok bool) {
	if row.Removed {
		return e, false
	}
	e, err := platform.ParseUpstream(row)
	if err != nil {
		d.log.Warn().Str("Event", "UpstreamEntryRefused").Str("Upstream", row.Key).Uint64("Row", row.Version).Err(err).Send()
	}
	return e, err == nil
}
