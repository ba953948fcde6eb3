package rcpoison

import (
	"encoding/binary"
	"encoding/hex"
	"slices"
	"strings"
	"time"

	"github.com/zeebo/blake3"

	"github.com/radishcrank/radishcrank"
)

// Key identifies the content of a request. It is a hash of the prompt and of the
// cache scope without the weights version: a content that crashes engines must
// still be recognized after a weights update.
type Key string

const keyBytes = 16

// KeyOf returns the key of a request's content. The hash is BLAKE3, which is
// collision-resistant: an account must not be able to craft a content whose
// verdict applies to a content of another account.
func KeyOf(req radishcrank.Request) Key {
	h := newHasher(string(req.Account), string(req.Model), req.Adapter)
	h.writeLength(len(req.Prompt) + len(req.PromptBody))
	h.WriteString(req.Prompt)
	h.Write(req.PromptBody)
	return h.key()
}

func hash(fields ...string) Key { return newHasher(fields...).key() }

// hasher hashes fields, each after its length.
type hasher struct{ *blake3.Hasher }

func newHasher(fields ...string) hasher {
	h := hasher{blake3.New()}
	for _, field := range fields {
		h.writeLength(len(field))
		h.WriteString(field)
	}
	return h
}

func (h hasher) writeLength(n int) {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], uint64(n))
	h.Write(b[:])
}

func (h hasher) key() Key {
	var sum [32]byte
	h.Sum(sum[:0])
	return Key(hex.EncodeToString(sum[:keyBytes]))
}

// Crash is a crash of an upstream while a content was in flight on it.
type Crash struct {
	ID    string // Upstream and incarnation, so that all instances use the same ID for a crash.
	At    time.Time
	Alone bool // The instance had no other runs on the upstream.
}

// Record holds the crash history of one content. Merging the records of several
// instances is commutative and idempotent.
type Record struct {
	Key     Key
	Crashes []Crash  // Sorted by ID.
	Voided  []string // Sorted IDs of crashes that no longer count, such as those before a complete run.
	Verdict bool     // The content crashes engines and is refused.
	Updated time.Time
}

// VerdictThreshold is the number of crashes after which a content is refused, if one
// of them happened in isolation. IsolationThreshold is the number of crashes after
// which a content runs in isolation.
const (
	VerdictThreshold   = 3
	IsolationThreshold = 2
)

// maxCrashes is the maximum number of crashes in a record. It exceeds
// VerdictThreshold.
const maxCrashes = 8

// addCrashes adds crashes that are neither known nor voided, and updates the verdict.
func (r *Record) addCrashes(crashes ...Crash) {
	for _, c := range crashes {
		if _, void := slices.BinarySearch(r.Voided, c.ID); void {
			continue
		}
		i, ok := slices.BinarySearchFunc(r.Crashes, c, func(a, b Crash) int { return strings.Compare(a.ID, b.ID) })
		if ok {
			r.Crashes[i].Alone = r.Crashes[i].Alone || c.Alone
			continue
		}
		r.Crashes = slices.Insert(r.Crashes, i, c)
		if len(r.Crashes) > maxCrashes {
			r.evictCrash()
		}
	}
	r.updateVerdict()
}

// evictCrash removes the first crash that did not happen in isolation, or the first
// crash if all did.
func (r *Record) evictCrash() {
	i := slices.IndexFunc(r.Crashes, func(c Crash) bool { return !c.Alone })
	r.Crashes = slices.Delete(r.Crashes, max(i, 0), max(i, 0)+1)
}

// updateVerdict sets or withdraws the verdict. At least one of the crashes must
// have happened in isolation, because a content that many callers send concurrently
// can be in flight during any number of crashes that other requests cause. Records
// from snapshots contain no crashes and keep their verdict.
func (r *Record) updateVerdict() {
	if len(r.Crashes)+len(r.Voided) == 0 {
		return
	}
	r.Verdict = len(r.Crashes) >= VerdictThreshold && slices.ContainsFunc(r.Crashes, isAlone)
}

func isAlone(c Crash) bool { return c.Alone }

// voidAll voids all crashes of the record.
func (r *Record) voidAll() {
	for _, c := range r.Crashes {
		r.addVoided(c.ID)
	}
	r.Crashes = nil
	r.updateVerdict()
}

// void marks a crash as voided, removes it from the record and updates the verdict.
func (r *Record) void(id string) {
	r.addVoided(id)
	r.removeVoided()
	r.updateVerdict()
}

func (r *Record) addVoided(id string) {
	i, ok := slices.BinarySearch(r.Voided, id)
	if !ok {
		r.Voided = slices.Insert(r.Voided, i, id)
	}
}

func (r *Record) removeVoided() {
	r.Crashes = slices.DeleteFunc(r.Crashes, func(c Crash) bool {
		_, void := slices.BinarySearch(r.Voided, c.ID)
		return void
	})
}

// merge merges a record of the same content from another instance.
func (r *Record) merge(o Record) {
	for _, id := range o.Voided {
		r.addVoided(id)
	}
	r.removeVoided()
	r.Verdict = r.Verdict || o.Verdict
	r.addCrashes(o.Crashes...)
	if o.Updated.After(r.Updated) {
		r.Updated = o.Updated
	}
}

func (r *Record) clone() Record {
	c := *r
	c.Crashes = slices.Clone(r.Crashes)
	c.Voided = slices.Clone(r.Voided)
	return c
}
