package rceval

import (
	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/routing/rcdecision"
	"github.com/radishcrank/radishcrank/internal/routing/rcindex"
)

// Router returns the policy with the router's chooser and its default
// parameters.
func Router() Policy { return RouterWith("radishcrank", nil) }

// RouterWith returns the policy with the router's chooser and changed
// parameters.
func RouterWith(name string, change func(*rcdecision.Config)) Policy {
	return Policy{Name: name, isRouter: true, New: func(env ChooserEnv) radishcrank.Chooser {
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

// indexBytes is enough for ten times the blocks of all engines. The default
// size would only slow the evaluation down.
const indexBytes = 1 << 20
