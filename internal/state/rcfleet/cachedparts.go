package rcfleet

import (
	"time"

	"github.com/radishcrank/radishcrank"
)

const (
	// cachedPartTTL is how long a part is assumed to stay cached after its last
	// use.
	cachedPartTTL = 15 * time.Second
	// maxCachedParts bounds the memory used by an instance that sees many
	// parts.
	maxCachedParts = 50_000
)

// cacheHolder is an upstream that has a part cached.
type cacheHolder struct {
	upstream UpstreamKey
	used     time.Time
}

// cachedParts records which upstreams have processed which parts.
type cachedParts struct {
	parts map[PartKey][]cacheHolder
}

func newCachedParts() *cachedParts { return &cachedParts{parts: map[PartKey][]cacheHolder{}} }

// add records a use and reports whether the upstream was not known to have the
// part cached, or had not used it for half of cachedPartTTL.
func (c *cachedParts) add(key PartKey, upstream UpstreamKey, now time.Time) (added bool) {
	list := c.parts[key]
	for i := range list {
		if list[i].upstream == upstream {
			added = now.Sub(list[i].used) >= cachedPartTTL/2
			list[i].used = now
			return added
		}
	}
	if len(c.parts) >= maxCachedParts {
		c.sweep(now)
	}
	c.parts[key] = append(list, cacheHolder{upstream: upstream, used: now})
	return true
}

// sweep removes the holders whose parts are no longer assumed to be cached.
func (c *cachedParts) sweep(now time.Time) {
	for key, list := range c.parts {
		kept := list[:0]
		for _, holder := range list {
			if now.Sub(holder.used) < cachedPartTTL {
				kept = append(kept, holder)
			}
		}
		if len(kept) == 0 {
			delete(c.parts, key)
		} else {
			c.parts[key] = kept
		}
	}
}

// forget removes an upstream from the holders of all parts.
func (c *cachedParts) forget(upstream UpstreamKey) {
	for key, list := range c.parts {
		for i := range list {
			if list[i].upstream == upstream {
				list[i] = list[len(list)-1]
				c.parts[key] = list[:len(list)-1]
				break
			}
		}
		if len(c.parts[key]) == 0 {
			delete(c.parts, key)
		}
	}
}

// RecordCachedParts records that an upstream processes the parts of a prompt
// under a salt. It reports whether any of them was not known to be cached
// there, or had not been confirmed for half of cachedPartTTL.
func (f *Fleet) RecordCachedParts(id radishcrank.UpstreamID, salt string, parts []radishcrank.PromptPart) (added bool) {
	return f.AddCachedParts(NewCachedParts(id, salt, parts))
}

// AddCachedParts records a report like RecordCachedParts.
func (f *Fleet) AddCachedParts(c CachedParts) (added bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	for _, p := range c.Parts {
		if f.cachedParts.add(p, c.Upstream, now) {
			added = true
		}
	}
	return added
}

// CachedPrefix describes what an upstream or store has probably cached of a
// prompt.
type CachedPrefix struct {
	Tokens int           // Length of the cached prefix.
	Age    time.Duration // Time since the last part of the prefix was used.
}

// CachedPrefixes returns the prefixes of a prompt that upstreams and stores
// have probably cached.
func (f *Fleet) CachedPrefixes(salt string, parts []radishcrank.PromptPart) map[UpstreamKey]CachedPrefix {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	cached := map[UpstreamKey]CachedPrefix{}
	tokens := 0
	for i, p := range parts {
		found := false
		for _, holder := range f.cachedParts.parts[keyOfPart(salt, p.ID)] {
			age := now.Sub(holder.used)
			if age >= cachedPartTTL {
				continue
			}
			if i == 0 || cached[holder.upstream].Tokens == tokens {
				cached[holder.upstream] = CachedPrefix{Tokens: tokens + p.Tokens, Age: age}
				found = true
			}
		}
		if !found {
			break
		}
		tokens += p.Tokens
	}
	return cached
}

// ForgetCachedParts drops the records of the parts that an upstream or store
// has cached.
func (f *Fleet) ForgetCachedParts(id radishcrank.UpstreamID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cachedParts.forget(KeyOf(id))
}
