// Package rcprefix cuts prompts into blocks and hashes them as a chain, so that
// a hash identifies a block, all blocks before it and their cache scope.
package rcprefix

import (
	"encoding/binary"

	"github.com/zeebo/blake3"

	"github.com/radishcrank/radishcrank"
)

// Chain returns the hashes of the full blocks of a prompt. A shorter last block
// is not cached by engines and has no hash. BLAKE3 resists crafted collisions,
// which would let one account reuse cached content of another.
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

// scopeHash hashes the scope's fields with their lengths, so that no two
// different scopes have the same encoding.
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
