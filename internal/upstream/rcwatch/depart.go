package rcwatch

import (
	"context"
	"time"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/routing/rcdecision"
)

const (
	// moveTimeout bounds the export and the imports of one departure.
	moveTimeout = 20 * time.Second

	// maxMoveBlocks bounds the blocks moved for one departure. They fill less
	// than a tenth of an engine's cache at the target size (36,364 blocks).
	maxMoveBlocks = 2048
)

// depart starts to move the hot prefixes of an engine that has announced its
// departure. Only one instance of the zone does it: the first in the rendezvous
// order of the engine. Its own dispatches are a sample of the zone's.
func (w *Watcher) depart(ctx context.Context, id radishcrank.UpstreamID) {
	if w.cfg.PlanMoves == nil || w.rankAmong(w.peers(), id) != 0 {
		return
	}
	up, ok := w.cfg.Board.Upstreams.Get(id)
	if !ok || up.Role != radishcrank.RoleEngine {
		return
	}
	w.running.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, moveTimeout)
		defer cancel()
		w.move(ctx, up)
	})
}

// destination is an engine that imports prefixes.
type destination struct {
	up     radishcrank.Upstream
	moves  []rcdecision.Move
	blocks []radishcrank.BlockHash
}

// move exports the hot prefixes of a leaving engine and imports them where
// their load goes. Failures only cost prefill later.
func (w *Watcher) move(ctx context.Context, leaving radishcrank.Upstream) {
	moves := w.cfg.PlanMoves(leaving.ID, maxMoveBlocks)
	if len(moves) == 0 {
		return
	}
	var blocks []radishcrank.BlockHash
	var destinations []*destination
	exported := make(map[radishcrank.BlockHash]bool)
	byID := make(map[radishcrank.UpstreamID]*destination)
	for _, m := range moves {
		blocks = appendNew(blocks, m.Chain, exported)
		d := byID[m.To.ID]
		if d == nil {
			d = &destination{up: m.To}
			byID[m.To.ID] = d
			destinations = append(destinations, d)
		}
		d.moves = append(d.moves, m)
	}
	if err := w.cfg.Dialer.Engine(leaving).Export(ctx, blocks); err != nil {
		w.cfg.Log.Warn().Err(err).Str("Upstream", string(leaving.ID)).Msg("export of hot prefixes failed")
		return
	}
	for _, d := range destinations {
		w.importAt(ctx, d)
	}
}

func (w *Watcher) importAt(ctx context.Context, d *destination) {
	seen := make(map[radishcrank.BlockHash]bool)
	for _, m := range d.moves {
		d.blocks = appendNew(d.blocks, m.Chain, seen)
	}
	if err := w.cfg.Dialer.Engine(d.up).Import(ctx, d.blocks); err != nil {
		w.cfg.Log.Warn().Err(err).Str("Upstream", string(d.up.ID)).Msg("import of hot prefixes failed")
		return
	}
	if w.cfg.Index == nil {
		return
	}
	for _, m := range d.moves {
		w.cfg.Index.Confirm(d.up, m.Scope, m.Chain)
	}
}

// appendNew appends the blocks that are not seen yet.
func appendNew(blocks, chain []radishcrank.BlockHash, seen map[radishcrank.BlockHash]bool) []radishcrank.BlockHash {
	for _, b := range chain {
		if !seen[b] {
			seen[b] = true
			blocks = append(blocks, b)
		}
	}
	return blocks
}
