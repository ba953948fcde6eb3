package rcdaemon

import (
	"net/netip"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/peer/rcmember"
	"github.com/radishcrank/radishcrank/internal/peer/rcrpc"
	"github.com/radishcrank/radishcrank/internal/serving/rcguard"
	"github.com/radishcrank/radishcrank/internal/state/rcconfig"
	"github.com/radishcrank/radishcrank/internal/state/rcrevision"
)

// readersPerZone is the number of instances of each availability zone that poll the
// table service for the newest configuration revision.
const readersPerZone = 2

// newPeers creates the RPC client and server for peers and the components that use
// them. All handlers are registered before the server runs.
func (d *Daemon) newPeers() {
	boot := d.cfg.BootSettings
	d.handlers = rcrpc.NewHandlers()
	d.handlers.SetMemory(rcguard.NewShare(d.clientGuard))
	rpc := rcrpc.Config{
		Identity: rcrpc.Identity{Instance: boot.ID, Zone: boot.Zone},
		Keys:     rcrpc.FixedKeys(rcrpc.Keys{Current: boot.PeerKey, Old: boot.OldPeerKey}),
		Handlers: d.handlers,
	}
	d.peerClient = rcrpc.NewClient(rpc)
	d.peerServer = rcrpc.NewServer(d.cfg.Listeners.Peers, rpc)
	d.syncer = rcrevision.New(rcrevision.Config{
		Self:        boot.ID,
		Table:       d.cfg.Table,
		Caller:      d.peerClient,
		Handlers:    d.handlers,
		Log:         d.cfg.Log,
		IsReader:    func() bool { return d.members.IsAmongFirst(readersPerZone) },
		SourcePeers: func() []netip.AddrPort { return d.members.SourcePeers(readersPerZone) },
		OnChange:    d.applyDocument,
	})
	d.members = rcmember.New(rcmember.Config{
		Self: radishcrank.Instance{
			ID:          boot.ID,
			Zone:        boot.Zone,
			Peer:        boot.Peers,
			Operators:   boot.Operators,
			Incarnation: d.incarnation,
		},
		Board:            d.board,
		Caller:           d.peerClient,
		Handlers:         d.handlers,
		Bootstrap:        boot.Bootstrap,
		PruneConnections: d.peerClient.RetainConnections,
		Log:              d.cfg.Log,
	})
}

// document returns the configuration in force. Before the first one it returns the
// built-in defaults, which have no client accounts.
func (d *Daemon) document() *rcconfig.Document {
	if doc := d.syncer.Current(); doc != nil {
		return doc
	}
	return defaultDocument
}

var defaultDocument = &rcconfig.Document{Defaults: rcconfig.DefaultSettings()}

// applyDocument is called for each configuration document that comes into force.
func (d *Daemon) applyDocument(doc *rcconfig.Document) {
	d.removeLeavingAccounts(doc)
}

// removeLeavingAccounts removes the client accounts that are leaving from the
// prefix index, so that placement no longer relies on their cached blocks.
func (d *Daemon) removeLeavingAccounts(doc *rcconfig.Document) {
	for _, account := range doc.Accounts {
		if account.Leaving {
			d.chooser.RemoveAccount(account.ID)
		}
	}
}
