package rcblame

import (
	"time"

	"github.com/radishcrank/radishcrank/internal/limits/rcpoison"
)

// Key identifies a part of the prompts of one account.
type Key = rcpoison.Key

// Suspect is a part that was in a beginning prompt at a crash.
type Suspect struct {
	Part Key
	// Presence is the mean fraction of the service's upstreams on which the reporting
	// instance has a beginning run with the part. Own is how much of that is due to the
	// runs at the crash.
	Presence float64
	Own      float64 `json:",omitempty"`
}

// AnsweredPart is a part that had an answer some time ago.
type AnsweredPart struct {
	Part Key
	Ago  time.Duration
}

// Report is what an instance tells the others.
type Report struct {
	Crash    string    `json:",omitempty"` // Upstream and incarnation that crashed; empty if none did.
	Service  string    `json:",omitempty"`
	Suspects []Suspect `json:",omitempty"`
	// Watched is the time over which the sender knows the presence of the suspects.
	Watched time.Duration `json:",omitempty"`
	Runs    [][]int       `json:",omitempty"` // Beginning runs on it, as indices of Suspects.
	Sound   []Key         `json:",omitempty"` // Suspects that an answer has cleared.
	Begun   []Key         `json:",omitempty"` // Parts of the prompt of an answer of Service that has begun.
	// Answered are suspects that have had an answer within answeredTime, at any instance.
	Answered []AnsweredPart `json:",omitempty"`
	Alive    []string       `json:",omitempty"` // Crashes that were none: the process still answers.
	// Convicted are parts that crash upstreams when a prompt holds all of them.
	Convicted []Key `json:",omitempty"`
}
