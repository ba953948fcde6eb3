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

// Key identifies a content: the hash of the cache scope without weights and of
// the prompt. Weights are left out, since a content that crashes engines is to
// be known again after an update.
type Key string

const keyBytes = 16

// KeyOf returns the key of a request's content. BLAKE3 keeps an account from
// crafting a content that gets another account's refused.
func KeyOf(req radishcrank.Request) Key {
	h := blake3.New()
	for _, field := range []string{string(req.Account), string(req.Model), req.Adapter, req.Prompt} {
		var n [8]byte
		binary.LittleEndian.PutUint64(n[:], uint64(len(field)))
		h.Write(n[:])
		h.WriteString(field)
	}
	var sum [32]byte
	h.Sum(sum[:0])
	return Key(hex.EncodeToString(sum[:keyBytes]))
}

// Crash is one crash of an upstream in which a content was in flight.
type Crash struct {
	ID    string // Upstream and incarnation, so that all instances name a crash alike.
	At    time.Time
	Alone bool // Nothing else of the instance ran on the upstream.
}

// Record is what is known of one content. Records of several instances merge in
// any order and any number of times to the same result.
type Record struct {
	Key     Key
	Crashes []Crash  // Sorted by ID.
	Voided  []string // Crashes before a run that reached its end, sorted; they no longer count.
	Verdict bool     // The content crashes engines and is refused.
	Updated time.Time
}

// VerdictThreshold is the number of crashes that make a verdict, IsolationThreshold the
// number that makes a suspect run alone.
const (
	VerdictThreshold   = 3
	IsolationThreshold = 2
)

// maxCrashes bounds the crashes that a record keeps; a verdict needs fewer.
const maxCrashes = 8

// add adds crashes that are neither known nor voided.
func (r *Record) add(crashes ...Crash) {
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
			r.dropOne()
		}
	}
	r.judge()
}

// dropOne drops a crash that did not happen in isolation, or else the first one.
func (r *Record) dropOne() {
	i := slices.IndexFunc(r.Crashes, func(c Crash) bool { return !c.Alone })
	r.Crashes = slices.Delete(r.Crashes, max(i, 0), max(i, 0)+1)
}

// judge makes a verdict or withdraws one. One of the crashes must have happened
// in isolation: a content that many callers send at once may be in flight in any
// number of crashes that other requests cause. A record without crashes, as a
// snapshot holds it, keeps its verdict.
func (r *Record) judge() {
	if len(r.Crashes)+len(r.Voided) == 0 {
		return
	}
	r.Verdict = len(r.Crashes) >= VerdictThreshold && slices.ContainsFunc(r.Crashes, isAlone)
}

func isAlone(c Crash) bool { return c.Alone }

// clear voids the crashes so far.
func (r *Record) clear() {
	for _, c := range r.Crashes {
		r.voidOne(c.ID)
	}
	r.Crashes = nil
	r.judge()
}

// void takes back one crash.
func (r *Record) void(id string) {
	r.voidOne(id)
	r.dropVoided()
	r.judge()
}

func (r *Record) voidOne(id string) {
	i, ok := slices.BinarySearch(r.Voided, id)
	if !ok {
		r.Voided = slices.Insert(r.Voided, i, id)
	}
}

func (r *Record) dropVoided() {
	r.Crashes = slices.DeleteFunc(r.Crashes, func(c Crash) bool {
		_, void := slices.BinarySearch(r.Voided, c.ID)
		return void
	})
}

// merge takes in another instance's record of the same content.
func (r *Record) merge(o Record) {
	for _, id := range o.Voided {
		r.voidOne(id)
	}
	r.dropVoided()
	r.Verdict = r.Verdict || o.Verdict
	r.add(o.Crashes...)
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
