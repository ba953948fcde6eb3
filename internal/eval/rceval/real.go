package rceval

import (
	"context"
	"time"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/routing/rcdecision"
	"github.com/radishcrank/radishcrank/internal/routing/rcindex"
)

// Real is the chooser of the router with its default parameters.
func Real() Policy { return RealWith("radishcrank", nil) }

// RealWith is the chooser of the router with changed parameters.
func RealWith(name string, change func(*rcdecision.Config)) Policy {
	return Policy{Name: name, New: func(env Env) radishcrank.Chooser {
		index := rcindex.New(rcindex.Config{MaxBytes: indexBytes})
		cfg := rcdecision.Config{
			Board:         env.Board,
			Instance:      env.Instance,
			Zone:          env.Zone,
			BlockBytes:    func() int { return blockTokens * bytesPerToken },
			BytesPerToken: func() int { return bytesPerToken },
			Index:         index,
		}
		if change != nil {
			change(&cfg)
		}
		return &realChooser{Chooser: rcdecision.New(cfg), env: env}
	}}
}

// indexBytes holds ten times the blocks of all engines. The default size would
// only slow the evaluation down.
const indexBytes = 1 << 20

// realChooser is the router's chooser with its index fed from cache events.
type realChooser struct {
	*rcdecision.Chooser
	env Env
}

// poll implements poller. It reads the events that are new to the index.
func (r *realChooser) poll(ctx context.Context) {
	for _, up := range r.env.Board.Upstreams.Values() {
		client := r.env.fleet.Engine(up)
		at := time.Now()
		batch, err := client.Events(ctx, r.Index().Next(up.ID))
		if err != nil {
			continue
		}
		if sync := r.Index().Apply(up.ID, batch, at); !sync.Gap {
			continue
		}
		if batch, err := client.Events(ctx, 0); err == nil {
			r.Index().Resync(up.ID, batch, at)
		}
	}
}
