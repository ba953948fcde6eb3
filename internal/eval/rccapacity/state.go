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

func stateBenchmarks() []benchmark {
	accounts, entries := []int{375, 750, 1500, 3000}, []int{1000, 2000, 4000, 8000}
	return []benchmark{
		{"ConfigParse", "parse a configuration document", "account", "µs", accounts, measureConfigParse},
		{"ConfigBytes", "text of a configuration document", "account", "B", accounts,
			func(_ *testing.T, n int) Point { return Point{Value: float64(len(newDocument(n)))} }},
		{"Authenticate", "find the account of a bearer key", "account", "µs", accounts, measureAuthenticate},
		{"FindAccount", "find an account by its ID, as rcdaemon does for each admission", "account", "µs", accounts, measureFindAccount},
		{"SnapshotEncode", "encode a snapshot", "index entry", "µs", entries, measureSnapshotEncode},
		{"SnapshotDecode", "decode a snapshot", "index entry", "µs", entries, measureSnapshotDecode},
		{"SnapshotBytes", "encoded snapshot", "index entry", "B", entries,
			func(t *testing.T, n int) Point { return Point{Value: float64(len(mustEncode(t, newSnapshot(n))))} }},
	}
}

// newDocument returns a document in which each account has two keys, as during a key
// rotation.
func newDocument(accounts int) []byte {
	doc := &rcconfig.Document{Defaults: rcconfig.DefaultSettings()}
	for i := range accounts {
		id := accountName(i)
		doc.Accounts = append(doc.Accounts, rcconfig.Account{
			ID: id, KeyHashes: []string{rcconfig.HashKey(string(id)), rcconfig.HashKey(string(id) + "-new")}, Weight: 1,
		})
	}
	return doc.Render()
}

func measureConfigParse(t *testing.T, accounts int) Point {
	text := newDocument(accounts)
	return minCost(func() {
		_, err := rcconfig.Parse(text)
		must(t, err)
	})
}

func measureAuthenticate(t *testing.T, accounts int) Point {
	doc, err := rcconfig.Parse(newDocument(accounts))
	must(t, err)
	key := string(accountName(accounts - 1))
	return minCost(func() {
		if _, ok := doc.Authenticate(key); !ok {
			t.Fatal("no account has the key")
		}
	})
}

// measureFindAccount looks up the last account of the document.
func measureFindAccount(t *testing.T, accounts int) Point {
	doc, err := rcconfig.Parse(newDocument(accounts))
	must(t, err)
	wanted := accountName(accounts - 1)
	return minCost(func() {
		if _, ok := doc.Account(wanted); !ok {
			panic("account not found")
		}
	})
}

// newSnapshot returns a snapshot of a zone of 500 engines.
func newSnapshot(entries int) rcsnapshot.Snapshot {
	r := rand.New(rand.NewPCG(seed, seed))
	s := rcsnapshot.Snapshot{Instance: "eu-north-1-router-17", Zone: zoneName, TakenAt: time.Now()}
	for i := range entries {
		e := rcindex.Entry{
			Upstream: radishcrank.UpstreamID(fmt.Sprintf("eu-north-1-engine-%04d", i%enginesPerZone)), Incarnation: newEngine(0).Incarnation,
			AccountTag: r.Uint32(), Depth: i % 64, Confidence: r.Float64(), LastSeen: s.TakenAt.Add(-time.Duration(i%60) * time.Second),
		}
		binary.LittleEndian.PutUint64(e.Block[:8], r.Uint64())
		binary.LittleEndian.PutUint64(e.Block[8:], r.Uint64())
		s.Prefixes = append(s.Prefixes, e)
	}
	return s
}

func mustEncode(t *testing.T, s rcsnapshot.Snapshot) []byte {
	data, err := rcsnapshot.Encode(s)
	must(t, err)
	return data
}

func measureSnapshotEncode(t *testing.T, entries int) Point {
	s := newSnapshot(entries)
	return minCost(func() { mustEncode(t, s) })
}

func measureSnapshotDecode(t *testing.T, entries int) Point {
	data := mustEncode(t, newSnapshot(entries))
	return minCost(func() {
		_, err := rcsnapshot.Decode(data, zoneName, time.Now(), time.Hour)
		must(t, err)
	})
}
