package rcrevision

import (
	"encoding/hex"
	"fmt"
	"time"

	"github.com/zeebo/blake3"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/state/rcpack"
)

// Keys of the table service.
const (
	keyHead       = "config/head"
	prefixRev     = "config/rev/"
	prefixDelta   = "config/delta/"
	prefixProblem = "config/problem/"
)

const (
	// historyLength bounds the rows: 3,700 revisions a day of 400 KB each
	// would otherwise add 1.5 GB a day.
	historyLength = 200
	// maxTextBytes is the limit of rcconfig.Parse.
	maxTextBytes = 4 << 20
)

// The numbers are padded so that rows sort by revision.
func keyRev(n uint64) string   { return fmt.Sprintf("%s%020d", prefixRev, n) }
func keyDelta(n uint64) string { return fmt.Sprintf("%s%020d", prefixDelta, n) }

// head is the row config/head.
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
	Attempt     string // Tells commits of the same text apart when an answer was lost.
	Text        string // Left out of histories.
}

// delta is how a revision differs from its base. It is a row and also what
// peers send each other; without a base, Text holds the whole document.
type delta struct {
	Revision uint64
	Hash     string
	BaseHash string
	Ops      []op
	Text     string
}

// apply returns the text of the revision, given the text with the base's hash.
func (d *delta) apply(baseHash, baseText string) (string, error) {
	text := d.Text
	if d.BaseHash != "" {
		if d.BaseHash != baseHash {
			return "", errDelta
		}
		var err error
		if text, err = patchLines(baseText, d.Ops, maxTextBytes); err != nil {
			return "", err
		}
	}
	if hashText(text) != d.Hash {
		return "", errDelta
	}
	return text, nil
}

// Problem says that an instance cannot apply a revision.
type Problem struct {
	Instance radishcrank.InstanceID
	Revision uint64
	Error    string
}

// hashText returns 64 bits of BLAKE3. Answers of peers carry it to find documents that
// differ by accident under one number; peers are trusted.
func hashText(text string) string {
	const hashBytes = 8
	sum := blake3.Sum256([]byte(text))
	return hex.EncodeToString(sum[:hashBytes])
}

// maxOps bounds the steps of a delta: a document of 3,000 accounts has 15,000 lines.
const maxOps = 50000

func encode(row any) ([]byte, error) { return rcpack.Marshal(row) }

func decode(data []byte, row any) error { return rcpack.Unmarshal(data, maxOps, row) }
