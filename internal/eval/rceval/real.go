package rceval

import (
	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/routing/rcdecision"
	"github.com/radishcrank/radishcrank/internal/routing/rcindex"
)

// Router is the chooser of the router with its default parameters.
func Router() Policy { return RouterWith("radishcrank", nil) }

// RouterWith is the chooser of the router with changed parameters.
func RouterWith(name string, change func(*rcdecision.Config)) Policy {
	return Policy{Name: name, router: true, New: func(env ChooserEnv) radishcrank.Chooser {
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
		return rcdecision.New(cfg)
	}}
}

// indexBytes holds ten times the blocks of all engines. The default size would
// only slow the evaluation down.
const indexBytes = 1 << 20
