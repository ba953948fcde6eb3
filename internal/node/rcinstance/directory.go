package rcinstance

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/routing/rcroute"
	"github.com/radishcrank/radishcrank/internal/state/rcfeed"
	"github.com/radishcrank/radishcrank/internal/state/rcfleet"
	"github.com/radishcrank/radishcrank/platform"
)

const (
	// operatorReadInterval limits reads when configurations change in quick succession
	// to a few a second per instance. It is far shorter than the time within which a
	// configuration must take effect.
	operatorReadInterval = 200 * time.Millisecond
	// upstreamsReadInterval limits the reads of the upstreams' entries in the same way.
	upstreamsReadInterval = 400 * time.Millisecond
	// upstreamsStartupReadInterval replaces upstreamsReadInterval while a fleet starts.
	// Upstreams then start too, and each instance of a large fleet would read each of
	// their changes.
	upstreamsStartupReadInterval = 1500 * time.Millisecond
	// missedHeartbeats is after how many heartbeat intervals of silence the platform
	// removes the entry of an upstream.
	missedHeartbeats = 3
	// restoredHeartbeatDelay is how late upstreams reach a store that has just returned.
	restoredHeartbeatDelay = 2 * time.Second
)

// directory applies what the operator and the upstreams write to the store.
type directory struct {
	fleet *rcfleet.Fleet
	// confirmTime is how long the store may list upstreams that are gone after it has
	// come back from an older copy.
	confirmTime time.Duration
	// setConfig is called only with configurations newer than all earlier ones.
	setConfig  func(t *rcroute.Table)
	setWeights func(model radishcrank.ModelID, w radishcrank.WeightsVersion, s rcfeed.Provenance)
	log        zerolog.Logger

	configVersion int64 // Version of the newest configuration.
	operator      *rcfeed.Follower
	upstreams     *rcfeed.Follower
	members       atomic.Pointer[rcfeed.Follower] // Of the instances; nil until it is started.
}

// initFollowers creates the followers of both tables from cfg, which holds their source
// and the relay callbacks.
func (d *directory) initFollowers(cfg rcfeed.Config) {
	operator := cfg
	operator.Table, operator.MinInterval = platform.OperatorTable, operatorReadInterval
	operator.OnChange, operator.OnReset = d.applyOperatorRow, func(rows []rcfeed.Row, s rcfeed.Provenance) {
		for _, row := range rows {
			d.applyOperatorRow(row, s)
		}
	}
	d.operator = rcfeed.New(operator)
	upstreams := cfg
	upstreams.Table, upstreams.MinInterval, upstreams.StartupMinInterval = platform.UpstreamsTable, upstreamsReadInterval, upstreamsStartupReadInterval
	upstreams.OnChange, upstreams.OnReset = d.applyUpstreamRow, d.resetUpstreams
	upstreams.OnReachability = func(ok bool) {
		d.fleet.SetReachable(ok)
		d.fleet.Expire()
	}
	d.upstreams = rcfeed.New(upstreams)
}

// offer passes a batch that another instance has read to the follower of its table.
func (d *directory) offer(b rcfeed.Batch) {
	switch b.Table {
	case platform.OperatorTable:
		d.operator.Offer(b)
	case platform.UpstreamsTable:
		d.upstreams.Offer(b)
	case membersTable:
		if f := d.members.Load(); f != nil {
			f.Offer(b)
		}
	}
}

func (d *directory) followOperator(ctx context.Context) error { return d.operator.Run(ctx) }

func (d *directory) followUpstreams(ctx context.Context) error { return d.upstreams.Run(ctx) }

func (d *directory) applyOperatorRow(row rcfeed.Row, s rcfeed.Provenance) {
	if row.Removed {
		return // What is in force stays in force until something newer is written.
	}
	r, err := platform.ParseOperatorRow(row)
	switch {
	case err != nil:
		d.log.Error().Str("Event", "OperatorRowRefused").Str("Key", row.Key).Uint64("Row", row.Version).Err(err).Send()
	case r.Config != nil && r.Config.Version > d.configVersion:
		d.configVersion = r.Config.Version
		d.setConfig(r.Config)
	case r.Weights != "":
		d.setWeights(r.Model, r.Weights, s)
	}
}

func (d *directory) resetUpstreams(rows []rcfeed.Row, p rcfeed.Provenance) {
	var entries []rcfleet.Entry
	for _, row := range rows {
		if e, ok := d.parseEntry(row); ok {
			entries = append(entries, e)
		}
	}
	if p.Restored {
		d.fleet.Restore(entries, d.confirmTime)
	} else {
		d.fleet.Replace(entries)
	}
}

func (d *directory) applyUpstreamRow(row rcfeed.Row, p rcfeed.Provenance) {
	switch e, ok := d.parseEntry(row); {
	case ok && p.Restored:
		d.fleet.PutRestored(e)
		return
	case ok:
		d.fleet.Put(e)
		return
	}
	d.log.Info().Str("Event", "UpstreamRemoved").Str("Upstream", row.Key).Uint64("Row", row.Version).Send()
	d.fleet.Remove(radishcrank.UpstreamID(row.Key))
}

// newerEntries returns what the store lists of upstreams, as of a time after the call, that has
// not been applied yet: entries, and the IDs of upstreams that are gone.
func (d *directory) newerEntries(ctx context.Context) (entries []rcfleet.Entry, gone []radishcrank.UpstreamID, err error) {
	rows, err := d.upstreams.Confirm(ctx)
	for _, row := range rows {
		if e, ok := d.parseEntry(row); ok {
			entries = append(entries, e)
		} else {
			gone = append(gone, radishcrank.UpstreamID(row.Key))
		}
	}
	return entries, gone, err
}

// parseEntry returns the upstream that a row describes, if the row is valid.
func (d *directory) parseEntry(row rcfeed.Row) (e rcfleet.Entry, ok bool) {
	if row.Removed {
		return e, false
	}
	e, err := platform.ParseUpstream(row)
	if err != nil {
		d.log.Warn().Str("Event", "UpstreamEntryRefused").Str("Upstream", row.Key).Uint64("Row", row.Version).Err(err).Send()
	}
	return e, err == nil
}
