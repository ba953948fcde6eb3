package rcdaemon

import (
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/limits/rcpoison"
	"github.com/radishcrank/radishcrank/internal/state/rcboard"
	"github.com/radishcrank/radishcrank/internal/state/rcsnapshot"
)

// earlyReadersPerZone is the number of instances of a zone that read the zone's
// snapshot object immediately; the others fetch it from them.
const earlyReadersPerZone = 2

func (d *Daemon) newSnapshots() {
	d.snapshots = rcsnapshot.New(rcsnapshot.Config{
		Self:          d.cfg.BootSettings.ID,
		Zone:          d.cfg.BootSettings.Zone,
		Objects:       d.cfg.Objects,
		Caller:        d.peerClient,
		Handlers:      d.handlers,
		Log:           d.cfg.Log,
		Peers:         d.zonePeers,
		IsEarlyReader: func() bool { return d.members.IsAmongFirst(earlyReadersPerZone) },
		IsPusher:      func() bool { return d.members.IsAmongFirst(1) },
		MaxAge:        func() time.Duration { return d.settings().SnapshotMaxAge },
		Collect:       d.collectSnapshot,
		Restore:       d.restoreSnapshot,
	})
}

// zonePeers returns the addresses of the other instances of the zone, or the
// bootstrap addresses while none are known.
func (d *Daemon) zonePeers() []netip.AddrPort {
	var peers []netip.AddrPort
	for _, i := range d.board.Instances.Values() {
		if i.ID != d.cfg.BootSettings.ID && i.Zone == d.cfg.BootSettings.Zone && !i.Leaving {
			peers = append(peers, i.Peer)
		}
	}
	if len(peers) == 0 {
		return slices.Clone(d.cfg.BootSettings.Bootstrap)
	}
	return peers
}

func (d *Daemon) collectSnapshot() rcsnapshot.Content {
	c := rcsnapshot.FromBoard(d.board)
	c.Prefixes = d.chooser.Index().TopEntries(rcsnapshot.MaxEntries)
	return c
}

// restoreSnapshot merges a snapshot of another instance. Of the suspects it uses
// only those with a verdict, because a suspicion without a verdict must be based on
// the crash records themselves, which peers send.
func (d *Daemon) restoreSnapshot(c rcsnapshot.Content) {
	d.chooser.Index().Restore(c.Prefixes)
	var verdicts []rcpoison.Record
	for _, s := range c.Suspects {
		if s.Verdict {
			verdicts = append(verdicts, rcpoison.Record{Key: rcpoison.Key(s.Key), Verdict: true, Updated: s.LastCrash})
		}
	}
	slices.SortFunc(verdicts, func(a, b rcpoison.Record) int { return strings.Compare(string(a.Key), string(b.Key)) })
	d.poisonTracker.Merge(verdicts)
	breakers := make(map[radishcrank.UpstreamID]rcboard.Breaker, len(c.Breakers))
	for _, b := range c.Breakers {
		breakers[b.Upstream] = rcboard.Breaker{State: b.State, Failures: b.Failures, ChangedAt: b.ChangedAt}
	}
	d.retrier.Restore(breakers)
}
