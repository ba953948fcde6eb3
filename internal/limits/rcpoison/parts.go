package rcpoison

import (
	"slices"
	"strings"
	"time"

	"github.com/radishcrank/radishcrank"
)

const (
	// partsPrefix begins the keys of records of prompt parts.
	partsPrefix = "parts/"
	separator   = "+"
	// maxPartsOf bounds the parts of a prompt that are looked up.
	maxPartsOf = 16
)

// PartKeys returns the keys of the parts of a request's prompt. They hold the account: it
// names its parts itself, and must not be able to name those of another one.
func PartKeys(req radishcrank.Request) (keys []Key) {
	for _, part := range req.Parts[:min(len(req.Parts), maxPartsOf)] {
		keys = append(keys, hash("part", string(req.Account), string(req.Model), req.Adapter, part))
	}
	return keys
}

// Convict refuses requests that hold all of the parts.
func (t *Tracker) Convict(parts []Key) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.recordLocked(partsKey(parts))
	if r.Verdict {
		return
	}
	r.Updated = time.Now()
	r.convict(r.Updated)
	t.updateRowLocked(r)
	t.storeSoonLocked(r.Key)
}

// partsKey returns the key of the record of a set of parts.
func partsKey(parts []Key) Key {
	var names []string
	for _, p := range parts {
		names = append(names, string(p))
	}
	slices.Sort(names)
	return Key(partsPrefix + strings.Join(names, separator))
}

// partsOf returns the parts of a record, or none for that of a whole content.
func partsOf(key Key) (parts []Key) {
	names, ok := strings.CutPrefix(string(key), partsPrefix)
	if !ok {
		return nil
	}
	for _, name := range strings.Split(names, separator) {
		parts = append(parts, Key(name))
	}
	return parts
}

// indexPartsLocked makes a record of parts that was added or removed known to Check.
func (t *Tracker) indexPartsLocked(key Key, convicted bool) {
	parts := partsOf(key)
	if len(parts) == 0 {
		return
	}
	sets := slices.DeleteFunc(t.convictedParts[parts[0]], func(set []Key) bool { return slices.Equal(set, parts) })
	if convicted {
		sets = append(sets, parts)
	}
	if len(sets) == 0 {
		delete(t.convictedParts, parts[0])
		return
	}
	t.convictedParts[parts[0]] = sets
}

// ConvictedParts returns the convicted sets of parts, with those that other instances
// convicted.
func (t *Tracker) ConvictedParts() (all [][]Key) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, sets := range t.convictedParts {
		all = append(all, sets...)
	}
	return all
}
