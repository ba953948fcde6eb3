package rceval

import (
	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/routing/rcdecision"
)

// Real is the chooser of the router.
func Real() Policy {
	return Policy{Name: "radishcrank", New: func(env Env) radishcrank.Chooser {
		return rcdecision.New(rcdecision.Config{
			Board:      env.Board,
			BlockBytes: func() int { return blockTokens * bytesPerToken },
		})
	}}
}
