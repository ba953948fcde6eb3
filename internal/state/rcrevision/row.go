package rcrevision

import (
	"encoding/hex"
	"fmt"
	"time"

	"github.com/zeebo/blake3"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/state/rcpack"
)

// Keys and key prefixes in the table service.
const (
	keyHead       = "config/head"
	prefixRev     = "config/rev/"
	prefixDelta   = "config/delta/"
	prefixProblem = "config/problem/"
)

const (
	// historyLength is the number of revisions kept. Without a limit, 3,700 revisions
	// of 400 KB a day would add 1.5 GB a day.
	historyLength = 200
	// maxTextBytes is the size limit of rcconfig.Parse.
	maxTextBytes = 4 << 20
)

// The numbers are zero-padded so that keys sort by revision.
func keyRev(n uint64) string   { return fmt.Sprintf("%s%020d", prefixRev, n) }
func keyDelta(n uint64) string { return fmt.Sprintf("%s%020d", prefixDelta, n) }

// head is the value of the row config/head.
type head struct {
	Revision uint64
	Hash     string
}

// Info describes one committed revision.
type Info struct {
	Revision    uint64
	Hash        string
	Base        uint64
	Author      string
	Note        string
	CommittedAt time.Time
	Attempt     string // Random ID of the push; distinguishes commits of the same text after a lost response.
	Text        string // Empty in the result of History.
}

// delta is the difference between a revision and its base. It is stored as a row
// and sent between peers. Without a base, Text holds the whole document.
type delta struct {
	Revision uint64
	Hash     string
	BaseHash string
	Ops      []editOp
	Text     string
}

// apply returns the text of the revision, given the hash and text of the base.
func (d *delta) apply(baseHash, baseText string) (string, error) {
	text := d.Text
	if d.BaseHash != "" {
		if d.BaseHash != baseHash {
			return "", errDeltaMismatch
		}
		var err error
		if text, err = patchLines(baseText, d.Ops, maxTextBytes); err != nil {
			return "", err
		}
	}
	if hashText(text) != d.Hash {
		return "", errDeltaMismatch
	}
	return text, nil
}

// Problem is the report of an instance that cannot apply a revision.
type Problem struct {
	Instance radishcrank.InstanceID
	Revision uint64
	Error    string
}

// hashText returns the first 64 bits of the BLAKE3 hash. They are enough to detect
// different documents with the same revision number; peers are trusted not to
// forge collisions.
func hashText(text string) string {
	const hashBytes = 8
	sum := blake3.Sum256([]byte(text))
	return hex.EncodeToString(sum[:hashBytes])
}

// maxOps bounds the operations of a delta. A document of 3,000 accounts has 15,000
// lines.
const maxOps = 50000

func encode(row any) ([]byte, error) { return rcpack.Marshal(row) }

func decode(data []byte, row any) error { return rcpack.Unmarshal(data, maxOps, row) }
