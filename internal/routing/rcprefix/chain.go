// Package rcprefix splits prompts into blocks and computes a hash chain over them,
// so that a hash identifies a block, all preceding blocks and their cache scope.
package rcprefix

import (
	"encoding/binary"

	"github.com/zeebo/blake3"

	"github.com/radishcrank/radishcrank"
)

// Chain returns the hashes of the full blocks of a prompt. Engines do not cache a
// shorter last block, so it has no hash. The hash must be collision-resistant,
// hence BLAKE3: a crafted collision would let an account reuse cached content of
// another account.
func Chain(scope radishcrank.CacheScope, prompt string, blockBytes int) []radishcrank.BlockHash {
	if blockBytes <= 0 || len(prompt) < blockBytes {
		return nil
	}
	chain := make([]radishcrank.BlockHash, 0, len(prompt)/blockBytes)
	previous := scopeHash(scope)
	h := blake3.New()
	for len(prompt) >= blockBytes {
		h.Reset()
		h.Write(previous[:])
		h.WriteString(prompt[:blockBytes])
		h.Sum(previous[:0])
		chain = append(chain, radishcrank.BlockHash(previous[:16]))
		prompt = prompt[blockBytes:]
	}
	return chain
}

// scopeHash hashes the length-prefixed fields of the scope, so that different
// scopes never have the same encoding.
func scopeHash(scope radishcrank.CacheScope) (sum [32]byte) {
	h := blake3.New()
	for _, field := range []string{string(scope.Account), string(scope.Model), scope.Adapter, string(scope.Weights)} {
		var n [8]byte
		binary.LittleEndian.PutUint64(n[:], uint64(len(field)))
		h.Write(n[:])
		h.WriteString(field)
	}
	h.Sum(sum[:0])
	return sum
}
