// Package rcconfig reads and checks the fleet's configuration document: one
// group of defaults, a short list of exceptions with their reasons, and the
// client accounts, services and models. It also reads the boot settings of one
// instance.
package rcconfig

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"sync"
	"sync/atomic"

	"github.com/radishcrank/radishcrank"
)

// Account is a client account.
type Account struct {
	ID        radishcrank.ClientAccountID
	KeyHashes []string // SHA-256 of the bearer keys, in hexadecimal.
	Leaving   bool     // New work is refused; accepted work completes.
	Weight    float64  // Share of the fair queue relative to other accounts; 0 in a literal counts as 1.
}

// Service is a plain service.
type Service struct {
	Name          string
	NonRepeatable []string // "METHOD /path/prefix" of calls that run at most once.
}

// Model is a model that the fleet serves.
type Model struct {
	ID      radishcrank.ModelID
	Weights radishcrank.WeightsVersion // Desired weights.
}

// Document is one revision of the configuration. A parsed document is shared
// between goroutines and must not be changed.
type Document struct {
	Revision   uint64 // Set by the store of revisions; not part of the text.
	Defaults   Settings
	Exceptions []Exception
	Accounts   []Account
	Services   []Service
	Models     []Model

	index *index // Set by Parse; nil in documents written as literals.
}

// index holds what requests look up.
type index struct {
	keys     map[[sha256.Size]byte]int           // Key hash to position in Accounts.
	accounts map[radishcrank.ClientAccountID]int // Position in Accounts.
	byName   map[ScopeKind]map[string][]int
	memo     sync.Map // Settings by Scope, as pointers.
	known    atomic.Int64
}

// HashKey returns the stored form of a bearer key.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Authenticate returns the account of a bearer key.
//
// The key is hashed and the hash looked up in a map. The time of a map lookup
// depends on how a stored hash compares with the hash of the offered key. That
// reveals at most leading bytes of SHA-256 hashes, which a caller can neither
// choose nor turn back into a key, so nothing about a valid key can be learnt
// step by step. The cost does not grow with the number of accounts.
func (d *Document) Authenticate(key string) (account Account, ok bool) {
	if d.index == nil {
		return d.scanKeys(key)
	}
	i, ok := d.index.keys[sha256.Sum256([]byte(key))]
	if !ok {
		return Account{}, false
	}
	return d.Accounts[i], true
}

// scanKeys serves documents without an index. It compares with every hash in constant time.
func (d *Document) scanKeys(key string) (account Account, ok bool) {
	hash := []byte(HashKey(key))
	for _, a := range d.Accounts {
		for _, h := range a.KeyHashes {
			if subtle.ConstantTimeCompare(hash, []byte(h)) == 1 {
				account, ok = a, true
			}
		}
	}
	return account, ok
}

// Account returns the account of an ID.
func (d *Document) Account(id radishcrank.ClientAccountID) (a Account, ok bool) {
	if d.index != nil {
		i, ok := d.index.accounts[id]
		if !ok {
			return Account{}, false
		}
		return d.Accounts[i], true
	}
	for _, a := range d.Accounts {
		if a.ID == id {
			return a, true
		}
	}
	return Account{}, false
}

// Service returns the service of a name.
func (d *Document) Service(name string) (s Service, ok bool) {
	for _, s := range d.Services {
		if s.Name == name {
			return s, true
		}
	}
	return Service{}, false
}

func (d *Document) buildIndex() {
	d.index = &index{
		keys:     make(map[[sha256.Size]byte]int),
		accounts: make(map[radishcrank.ClientAccountID]int, len(d.Accounts)),
		byName:   make(map[ScopeKind]map[string][]int),
	}
	for i, a := range d.Accounts {
		d.index.accounts[a.ID] = i
		for _, h := range a.KeyHashes {
			var sum [sha256.Size]byte
			if n, err := hex.Decode(sum[:], []byte(h)); err == nil && n == len(sum) {
				d.index.keys[sum] = i
			}
		}
	}
	for _, kind := range scopeOrder {
		d.index.byName[kind] = make(map[string][]int)
	}
	for i := range d.Exceptions {
		e := &d.Exceptions[i]
		for _, target := range e.Targets {
			byName := d.index.byName[e.Scope]
			byName[target] = append(byName[target], i)
		}
	}
}
