package rccapacity

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/routing/rcindex"
	"github.com/radishcrank/radishcrank/internal/state/rcconfig"
	"github.com/radishcrank/radishcrank/internal/state/rcsnapshot"
)

func stateProbes() []probe {
	accounts, entries := []int{375, 750, 1500, 3000}, []int{1000, 2000, 4000, 8000}
	return []probe{
		{"ConfigParse", "parse a configuration document", "account", "µs", accounts, parseTime},
		{"ConfigBytes", "text of a configuration document", "account", "B", accounts,
			func(_ *testing.T, n int) Point { return Point{Value: float64(len(documentOf(n)))} }},
		{"Authenticate", "find the account of a bearer key", "account", "µs", accounts, authenticate},
		{"FindAccount", "find an account by its ID, as rcdaemon does for each admission", "account", "µs", accounts, findAccount},
		{"SnapshotEncode", "encode a snapshot", "index entry", "µs", entries, encodeTime},
		{"SnapshotDecode", "decode a snapshot", "index entry", "µs", entries, decodeTime},
		{"SnapshotBytes", "encoded snapshot", "index entry", "B", entries,
			func(t *testing.T, n int) Point { return Point{Value: float64(len(encoded(t, snapshotOf(n))))} }},
	}
}

// documentOf returns a document in which each account has two keys, as during a change of keys.
func documentOf(accounts int) []byte {
	doc := &rcconfig.Document{Defaults: rcconfig.DefaultSettings()}
	for i := range accounts {
		id := accountName(i)
		doc.Accounts = append(doc.Accounts, rcconfig.Account{
			ID: id, KeyHashes: []string{rcconfig.HashKey(string(id)), rcconfig.HashKey(string(id) + "-new")}, Weight: 1,
		})
	}
	return doc.Render()
}

func parseTime(t *testing.T, accounts int) Point {
	text := documentOf(accounts)
	return best(func() {
		_, err := rcconfig.Parse(text)
		check(t, err)
	})
}

func authenticate(t *testing.T, accounts int) Point {
	doc, err := rcconfig.Parse(documentOf(accounts))
	check(t, err)
	key := string(accountName(accounts - 1))
	return best(func() {
		if _, ok := doc.Authenticate(key); !ok {
			t.Fatal("the key is not known")
		}
	})
}

// findAccount looks up the last account of the document.
func findAccount(t *testing.T, accounts int) Point {
	doc, err := rcconfig.Parse(documentOf(accounts))
	check(t, err)
	wanted := accountName(accounts - 1)
	return best(func() {
		if _, ok := doc.Account(wanted); !ok {
			panic("account is missing")
		}
	})
}

// snapshotOf returns a snapshot of a zone of 500 engines.
func snapshotOf(entries int) rcsnapshot.Snapshot {
	r := rand.New(rand.NewPCG(seed, seed))
	s := rcsnapshot.Snapshot{Instance: "eu-north-1-router-17", Zone: zoneName, TakenAt: time.Now()}
	for i := range entries {
		e := rcindex.Entry{
			Upstream: radishcrank.UpstreamID(fmt.Sprintf("eu-north-1-engine-%04d", i%zoneEngines)), Incarnation: engine(0).Incarnation,
			AccountTag: r.Uint32(), Depth: i % 64, Confidence: r.Float64(), LastSeen: s.TakenAt.Add(-time.Duration(i%60) * time.Second),
		}
		binary.LittleEndian.PutUint64(e.Block[:8], r.Uint64())
		binary.LittleEndian.PutUint64(e.Block[8:], r.Uint64())
		s.Prefixes = append(s.Prefixes, e)
	}
	return s
}

func encoded(t *testing.T, s rcsnapshot.Snapshot) []byte {
	data, err := rcsnapshot.Encode(s)
	check(t, err)
	return data
}

func encodeTime(t *testing.T, entries int) Point {
	s := snapshotOf(entries)
	return best(func() { encoded(t, s) })
}

func decodeTime(t *testing.T, entries int) Point {
	data := encoded(t, snapshotOf(entries))
	return best(func() {
		_, err := rcsnapshot.Decode(data, zoneName, time.Now(), time.Hour)
		check(t, err)
	})
}
