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

// Guards against a block hash that does not depend on all preceding blocks and the
// whole scope, which would reuse the cache of another prompt, and against one
// that depends on more than these.
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

// FuzzChain guards against hashes that depend on more than the scope and the
// prompt up to the end of their block, and against panics on unusual sizes.
func FuzzChain(f *testing.F) {
	f.Add("account", "model", "adapter", "w1", "a prompt of some length", 5, 7)
	f.Add("", "", "", "", "", 0, 0)
	f.Add("a", "bc", "", "", "\x00\xff", -1, 1)
	f.Fuzz(func(t *testing.T, account, model, adapter, weights, prompt string, blockBytes, cut int) {
		scope := radishcrank.CacheScope{
			Account: radishcrank.ClientAccountID(account),
			Model:   radishcrank.ModelID(model),
			Adapter: adapter,
			Weights: radishcrank.WeightsVersion(weights),
		}
		chain := Chain(scope, prompt, blockBytes)
		if blockBytes <= 0 {
			require.Empty(t, chain)
			return
		}
		require.Len(t, chain, len(prompt)/blockBytes)
		cut = min(max(cut, 0), len(prompt))
		require.Equal(t, chain[:cut/blockBytes], append(chain[:0:0], Chain(scope, prompt[:cut], blockBytes)...))
		seen := make(map[radishcrank.BlockHash]bool)
		for _, h := range chain {
			require.False(t, seen[h], "two blocks with the same hash")
			seen[h] = true
		}
		// Moving a byte between adjacent fields must change the hash.
		if len(account) > 0 && len(chain) > 0 {
			last := len(account) - 1
			scope.Account, scope.Model = radishcrank.ClientAccountID(account[:last]), radishcrank.ModelID(account[last:]+model)
			require.NotEqual(t, chain[0], Chain(scope, prompt, blockBytes)[0])
		}
	})
}
