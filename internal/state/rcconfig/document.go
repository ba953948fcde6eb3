// Package rcconfig parses and validates the fleet's configuration document: the
// default settings, exceptions to them, and the client accounts, services and
// models. It also parses the boot settings of one instance.
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
	Leaving   bool     // New requests are refused; accepted ones complete.
	Weight    float64  // Weight in the fair queue relative to other accounts; 0 is treated as 1.
}

// Service is a plain service, as opposed to a language model.
type Service struct {
	Name          string
	NonRepeatable []string // Rules "METHOD /path/prefix" for calls that run at most once.
}

// Model is a model that the fleet serves.
type Model struct {
	ID      radishcrank.ModelID
	Weights radishcrank.WeightsVersion // Desired weights.
}

// Document is one revision of the configuration. A parsed document is shared
// between goroutines and must not be modified.
type Document struct {
	Revision   uint64 // Set by the revision store; not part of the text.
	Defaults   Settings
	Exceptions []Exception
	Accounts   []Account
	Services   []Service
	Models     []Model

	index *index // Set by Parse; nil in documents built as Go literals.
}

// index speeds up the lookups that each request makes.
type index struct {
	keys              map[[sha256.Size]byte]int           // Key hash to position in Accounts.
	accounts          map[radishcrank.ClientAccountID]int // Position in Accounts.
	exceptions        map[ScopeKind]map[string][]int      // Positions in Exceptions by target.
	settingsCache     sync.Map                            // Effective settings: Scope to *Settings.
	settingsCacheSize atomic.Int64
}

// HashKey returns the hash of a bearer key as stored in Account.KeyHashes.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Authenticate returns the account of a bearer key.
//
// The key is hashed and the hash looked up in a map, so the cost does not grow with
// the number of accounts. The time of a map lookup depends on how a stored hash
// compares with the hash of the given key. This reveals at most leading bytes of
// SHA-256 hashes, which a caller can neither choose nor invert, so a timing attack
// cannot recover a valid key step by step.
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

// scanKeys is used for documents without an index. It compares the hash with every
// stored hash in constant time.
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

// Account returns the account with the given ID.
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

// Service returns the service with the given name.
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
		keys:       make(map[[sha256.Size]byte]int),
		accounts:   make(map[radishcrank.ClientAccountID]int, len(d.Accounts)),
		exceptions: make(map[ScopeKind]map[string][]int),
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
	for _, kind := range scopePrecedence {
		d.index.exceptions[kind] = make(map[string][]int)
	}
	for i := range d.Exceptions {
		e := &d.Exceptions[i]
		for _, target := range e.Targets {
			byTarget := d.index.exceptions[e.Scope]
			byTarget[target] = append(byTarget[target], i)
		}
	}
}
