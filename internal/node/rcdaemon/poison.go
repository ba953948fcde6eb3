package rcdaemon

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/limits/rcpoison"
	"github.com/radishcrank/radishcrank/internal/limits/rcretry"
	"github.com/radishcrank/radishcrank/internal/limits/rcverdict"
	"github.com/radishcrank/radishcrank/internal/peer/rcrpc"
	"github.com/radishcrank/radishcrank/internal/state/rcconfig"
)

const (
	verdictInterval = 5 * time.Minute // Between reads of all verdicts from the table service.

	// New crash records are gossiped for gossipDuration: each second to
	// gossipPeersInZone random peers of the same zone and one of another zone. That
	// is 15 messages from each instance that holds a record, well above the
	// ln(370) = 5.9 that are needed to reach a fleet of 370 instances.
	gossipInterval    = time.Second
	gossipDuration    = 5 * time.Second
	gossipPeersInZone = 2
	maxGossipRecords  = 64 // Limit of records in one message, about 200 bytes each.
	gossipTimeout     = 2 * time.Second
)

// newRetryAndPoison creates the retrier with its circuit breakers, and the tracker
// of request contents that crash engines.
func (d *Daemon) newRetryAndPoison() {
	d.retrier = rcretry.New(rcretry.Config{
		Board: d.board,
		Settings: func() rcretry.Settings {
			s := d.settings()
			return rcretry.Settings{RetryRatio: s.RetryRatio, HedgeRatio: s.HedgeRatio}
		},
	})
	d.poisonTracker = rcpoison.New(rcpoison.Config{
		Board:        d.board,
		Instance:     d.cfg.BootSettings.ID,
		VerdictStore: rcverdict.New(rcverdict.Config{Table: d.cfg.Table, Interval: verdictInterval}),
	})
	rcrpc.Handle(d.handlers, methodPoison, d.handlePoison)
}

// progressTimeout returns how long an attempt may go without delivering a token.
func (d *Daemon) progressTimeout(req radishcrank.Request, up radishcrank.Upstream) time.Duration {
	return d.document().EffectiveSettings(rcconfig.Scope{
		Account: req.Account, Model: req.Model, Upstream: up.ID, Zone: up.Zone,
	}).ProgressTimeout
}

// poisonRecords carries an instance's records of request contents that were in
// flight when an engine crashed.
type poisonRecords struct {
	Records []rcpoison.Record
	All     bool // Requests all records; set by a starting instance.
}

var methodPoison = rcrpc.Method[poisonRecords, poisonRecords]{Name: "Poison", Timeout: gossipTimeout}

func (d *Daemon) handlePoison(_ context.Context, _ rcrpc.Identity, req poisonRecords) (poisonRecords, error) {
	d.poisonTracker.Merge(req.Records)
	if !req.All {
		return poisonRecords{}, nil
	}
	records := d.poisonTracker.Export()
	return poisonRecords{Records: records[:min(len(records), maxGossipRecords)]}, nil
}

// gossipPoisonRecords sends new crash records to random peers until ctx is done. It
// first fetches all records from a peer.
func (d *Daemon) gossipPoisonRecords(ctx context.Context) error {
	ticker := time.NewTicker(gossipInterval)
	defer ticker.Stop()
	fetched := false
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
		if !fetched {
			fetched = d.fetchPoisonRecords(ctx)
		}
		recent := d.recentPoisonRecords()
		if len(recent) == 0 {
			continue
		}
		for _, addr := range d.gossipTargets() {
			// Errors are ignored: later rounds and other peers compensate for lost
			// messages.
			_, _ = rcrpc.Call(ctx, d.peerClient, addr, methodPoison, poisonRecords{Records: recent})
		}
	}
}

func (d *Daemon) fetchPoisonRecords(ctx context.Context) bool {
	for _, addr := range d.gossipTargets() {
		resp, err := rcrpc.Call(ctx, d.peerClient, addr, methodPoison, poisonRecords{All: true})
		if err == nil {
			d.poisonTracker.Merge(resp.Records)
			return true
		}
	}
	return false
}

func (d *Daemon) recentPoisonRecords() (recent []rcpoison.Record) {
	for _, r := range d.poisonTracker.Export() {
		if time.Since(r.Updated) < gossipDuration && len(recent) < maxGossipRecords {
			recent = append(recent, r)
		}
	}
	return recent
}

// gossipTargets returns gossipPeersInZone random peers of the instance's zone and
// one of another zone, or fewer if there are not as many.
func (d *Daemon) gossipTargets() []netip.AddrPort {
	var own, others []netip.AddrPort
	for _, i := range d.board.Instances.Snapshot() {
		switch {
		case i.ID == d.cfg.BootSettings.ID || i.Leaving:
		case i.Zone == d.cfg.BootSettings.Zone:
			own = append(own, i.Peer)
		default:
			others = append(others, i.Peer)
		}
	}
	return append(randomSample(own, gossipPeersInZone), randomSample(others, 1)...)
}

func randomSample(addrs []netip.AddrPort, n int) []netip.AddrPort {
	rand.Shuffle(len(addrs), func(i, j int) { addrs[i], addrs[j] = addrs[j], addrs[i] })
	return addrs[:min(n, len(addrs))]
}
