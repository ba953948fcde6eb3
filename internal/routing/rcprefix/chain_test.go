package rcprefix

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/radishcrank/radishcrank"
	_ "github.com/radishcrank/radishcrank/internal/testing/rcseed"
)

func drawScope(t *rapid.T, label string) radishcrank.CacheScope {
	short := rapid.StringMatching(`[ab]{0,2}`)
	return radishcrank.CacheScope{
		Account: radishcrank.ClientAccountID(short.Draw(t, label+"Account")),
		Model:   radishcrank.ModelID(short.Draw(t, label+"Model")),
		Adapter: short.Draw(t, label+"Adapter"),
		Weights: radishcrank.WeightsVersion(short.Draw(t, label+"Weights")),
	}
}

// Guards against a block hash that ignores an earlier block, a later change of
// the prompt or part of the scope: either would reuse another prompt's cache.
func TestChainIdentifiesPrefixAndScope(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const blockBytes = 4
		a, b := drawScope(t, "a"), drawScope(t, "b")
		text := rapid.StringMatching(`[xy]{0,16}`)
		p, q := text.Draw(t, "p"), text.Draw(t, "q")
		x, y := Chain(a, p, blockBytes), Chain(b, q, blockBytes)
		require.Len(t, x, len(p)/blockBytes)
		for i := range min(len(x), len(y)) {
			same := a == b && strings.HasPrefix(q, p[:(i+1)*blockBytes])
			require.Equal(t, same, x[i] == y[i], "block %d", i)
		}
	})
}
