package rcwatch

import (
	"context"
	"time"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/routing/rcdecision"
)

const (
	// migrationTimeout bounds the export and imports for one leaving engine.
	migrationTimeout = 20 * time.Second

	// maxMigrationBlocks bounds the blocks migrated from one leaving engine. They
	// fill less than a tenth of an engine's cache at the target size (36,364
	// blocks).
	maxMigrationBlocks = 2048
)

// startMigration starts to migrate the hot prefixes of an engine that has announced
// its shutdown. Only the instance of the zone with rank 0 for the engine does so.
// Its own dispatches are a sample of the zone's.
func (w *Watcher) startMigration(ctx context.Context, id radishcrank.UpstreamID) {
	if w.cfg.PlanMoves == nil || w.rendezvousRank(w.peers(), id) != 0 {
		return
	}
	up, ok := w.cfg.Board.Upstreams.Get(id)
	if !ok || up.Role != radishcrank.RoleEngine {
		return
	}
	w.background.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, migrationTimeout)
		defer cancel()
		w.migratePrefixes(ctx, up)
	})
}

// destination is an engine that imports migrated prefixes.
type destination struct {
	up         radishcrank.Upstream
	migrations []rcdecision.PrefixMigration
	blocks     []radishcrank.BlockHash
}

// migratePrefixes exports the hot prefixes of a leaving engine and imports them
// into the engines that take over their load. A failure only costs prefill later.
func (w *Watcher) migratePrefixes(ctx context.Context, leaving radishcrank.Upstream) {
	migrations := w.cfg.PlanMoves(leaving.ID, maxMigrationBlocks)
	if len(migrations) == 0 {
		return
	}
	var blocks []radishcrank.BlockHash
	var destinations []*destination
	exported := make(map[radishcrank.BlockHash]bool)
	byID := make(map[radishcrank.UpstreamID]*destination)
	for _, m := range migrations {
		blocks = appendUnseen(blocks, m.Chain, exported)
		d := byID[m.Destination.ID]
		if d == nil {
			d = &destination{up: m.Destination}
			byID[m.Destination.ID] = d
			destinations = append(destinations, d)
		}
		d.migrations = append(d.migrations, m)
	}
	if err := w.cfg.Dialer.Engine(leaving).Export(ctx, blocks); err != nil {
		w.cfg.Log.Warn().Err(err).Str("Upstream", string(leaving.ID)).Msg("export of hot prefixes failed")
		return
	}
	for _, d := range destinations {
		w.importBlocks(ctx, d)
	}
}

func (w *Watcher) importBlocks(ctx context.Context, d *destination) {
	seen := make(map[radishcrank.BlockHash]bool)
	for _, m := range d.migrations {
		d.blocks = appendUnseen(d.blocks, m.Chain, seen)
	}
	if err := w.cfg.Dialer.Engine(d.up).Import(ctx, d.blocks); err != nil {
		w.cfg.Log.Warn().Err(err).Str("Upstream", string(d.up.ID)).Msg("import of hot prefixes failed")
		return
	}
	if w.cfg.Index == nil {
		return
	}
	for _, m := range d.migrations {
		w.cfg.Index.Confirm(d.up, m.Scope, m.Chain)
	}
}

// appendUnseen appends the blocks of chain that are not in seen and adds them to it.
func appendUnseen(blocks, chain []radishcrank.BlockHash, seen map[radishcrank.BlockHash]bool) []radishcrank.BlockHash {
	for _, b := range chain {
		if !seen[b] {
			seen[b] = true
			blocks = append(blocks, b)
		}
	}
	return blocks
}
