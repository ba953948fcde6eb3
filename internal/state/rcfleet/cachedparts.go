package rcfleet

import (
	"time"

	"github.com/radishcrank/radishcrank"
)

const (
	// holdLife is how long a part is believed to stay cached after its last use.
	holdLife = 15 * time.Second
	// maxHeldParts bounds the memory of an instance that sees many parts.
	maxHeldParts = 50_000
)

// heldKey is a part under the scope that its cache entries belong to.
type heldKey struct {
	salt string
	part string
}

type holding struct {
	id   radishcrank.UpstreamID
	used time.Time
}

// holders remembers which upstreams have read which parts.
type holders struct {
	parts map[heldKey][]holding
}

func newHolders() *holders { return &holders{parts: map[heldKey][]holding{}} }

// add records a use and reports whether the upstream was not known to hold the part.
func (h *holders) add(key heldKey, id radishcrank.UpstreamID, now time.Time) (added bool) {
	list := h.parts[key]
	for i := range list {
		if list[i].id == id {
			added = now.Sub(list[i].used) >= holdLife/2
			list[i].used = now
			return added
		}
	}
	if len(h.parts) >= maxHeldParts {
		h.sweep(now)
	}
	h.parts[key] = append(list, holding{id: id, used: now})
	return true
}

func (h *holders) sweep(now time.Time) {
	for key, list := range h.parts {
		kept := list[:0]
		for _, held := range list {
			if now.Sub(held.used) < holdLife {
				kept = append(kept, held)
			}
		}
		if len(kept) == 0 {
			delete(h.parts, key)
		} else {
			h.parts[key] = kept
		}
	}
}

func (h *holders) forget(id radishcrank.UpstreamID) {
	for key, list := range h.parts {
		for i := range list {
			if list[i].id == id {
				list[i] = list[len(list)-1]
				h.parts[key] = list[:len(list)-1]
				break
			}
		}
		if len(h.parts[key]) == 0 {
			delete(h.parts, key)
		}
	}
}

// RecordCachedParts records that an upstream reads the parts of a prompt under a salt. It
// reports whether that was not known, or not confirmed for long.
func (f *Fleet) RecordCachedParts(id radishcrank.UpstreamID, salt string, parts []radishcrank.PromptPart) (added bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	for _, p := range parts {
		if f.holders.add(heldKey{salt, p.ID}, id, now) {
			added = true
		}
	}
	return added
}

// CachedPrefix is what an upstream or store is believed to keep of a prompt.
type CachedPrefix struct {
	Tokens int           // Of the prompt's beginning.
	Age    time.Duration // Since the last part of it was used.
}

// CachedPrefixes returns what upstreams and stores keep of the prompt's beginning.
func (f *Fleet) CachedPrefixes(salt string, parts []radishcrank.PromptPart) map[radishcrank.UpstreamID]CachedPrefix {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	held := map[radishcrank.UpstreamID]CachedPrefix{}
	tokens := 0
	for i, p := range parts {
		found := false
		for _, h := range f.holders.parts[heldKey{salt, p.ID}] {
			age := now.Sub(h.used)
			if age >= holdLife {
				continue
			}
			if i == 0 || held[h.id].Tokens == tokens {
				held[h.id] = CachedPrefix{Tokens: tokens + p.Tokens, Age: age}
				found = true
			}
		}
		if !found {
			break
		}
		tokens += p.Tokens
	}
	return held
}

// ForgetCachedParts drops what is believed of the parts that an upstream or store keeps.
func (f *Fleet) ForgetCachedParts(id radishcrank.UpstreamID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.holders.forget(id)
}
