// Package rcconfig reads and checks the fleet's configuration document: one
// group of defaults, a short list of exceptions with their reasons, and the
// client accounts, services and models.
package rcconfig

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"strings"
	"time"

	"github.com/radishcrank/radishcrank"
)

// Settings are the values that defaults set and exceptions override.
type Settings struct {
	BlockTokens        int           // Tokens in one cache block.
	BytesPerToken      int           // Prompt bytes counted as one token.
	RecomputeWeight    float64       // Seconds of cost for each second of avoidable prefill.
	RequestsPerSecond  float64       // Admission rate of an account; 0 is unlimited.
	TokensPerSecond    float64       // Token rate of an account; 0 is unlimited.
	Concurrency        int           // Running requests of an account; 0 is unlimited.
	QueueLength        int           // Requests of an account that may wait.
	Priority           int           // Passed on to engines; higher runs first.
	FirstTokenDeadline time.Duration // A request whose wait would pass it is refused.
	ProgressTimeout    time.Duration // A stream silent for longer is resumed elsewhere.
	StreamTimeout      time.Duration // Longest duration of one answer.
	MaxBodyBytes       int64         // Largest request body.
	MaxTokens          int           // Most tokens of one answer.
	RecordRetention    time.Duration // How long at-most-once records are kept.
}

// DefaultSettings returns the built-in defaults.
func DefaultSettings() Settings {
	return Settings{
		BlockTokens:        2000,
		BytesPerToken:      4,
		RecomputeWeight:    0.5,
		QueueLength:        256,
		FirstTokenDeadline: 30 * time.Second,
		ProgressTimeout:    5 * time.Second,
		StreamTimeout:      30 * time.Minute,
		MaxBodyBytes:       8 << 20,
		MaxTokens:          4096,
		RecordRetention:    72 * time.Hour,
	}
}

// Account is a client account.
type Account struct {
	ID        radishcrank.ClientAccountID
	KeyHashes []string // SHA-256 of the bearer keys, in hexadecimal.
	Leaving   bool     // New work is refused; accepted work completes.
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

// Document is one revision of the configuration.
type Document struct {
	Revision uint64
	Defaults Settings
	Accounts []Account
	Services []Service
	Models   []Model
}

// HashKey returns the stored form of a bearer key.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Authenticate returns the account of a bearer key. It compares against every
// key hash in constant time, so timing reveals nothing about the keys.
func (d *Document) Authenticate(key string) (account Account, ok bool) {
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

// Service returns the service of a name.
func (d *Document) Service(name string) (s Service, ok bool) {
	for _, s := range d.Services {
		if s.Name == name {
			return s, true
		}
	}
	return Service{}, false
}

// RunsAtMostOnce reports whether a call must not be repeated.
func (s Service) RunsAtMostOnce(method, path string) bool {
	for _, rule := range s.NonRepeatable {
		m, prefix, _ := strings.Cut(rule, " ")
		if m == method && strings.HasPrefix(path, prefix) {
			return true
		}
	}
	return false
}

// SettingsFor returns the settings in force for an account.
func (d *Document) SettingsFor(account radishcrank.ClientAccountID) Settings { return d.Defaults }
