package rcrevision

import (
	"errors"
	"strings"
)

// op is one step that builds a new text from an old one: Count lines of the
// old text from From on, or Insert.
type op struct {
	From   int
	Count  int
	Insert string
}

var errDelta = errors.New("delta does not fit the base document")

// diffLines returns the steps from one text to another. A document of 3,000
// accounts has 400 KB and changes every 23 s, which would take 17 KB/s to send
// whole; a typical change takes under 200 bytes.
func diffLines(from, to string) []op {
	old, next := strings.SplitAfter(from, "\n"), strings.SplitAfter(to, "\n")
	first := make(map[string]int, len(old))
	for i := len(old) - 1; i >= 0; i-- {
		first[old[i]] = i
	}
	var ops []op
	var insert strings.Builder
	flush := func() {
		if insert.Len() > 0 {
			ops = append(ops, op{Insert: insert.String()})
			insert.Reset()
		}
	}
	expected := 0 // Line of the old text after the last copied one.
	for i := 0; i < len(next); {
		at := expected
		n := run(old, next, at, i)
		if n == 0 {
			if found, ok := first[next[i]]; ok {
				at = found
				n = run(old, next, at, i)
			}
		}
		if n == 0 {
			insert.WriteString(next[i])
			i++
			// A changed line usually replaces one line.
			if expected < len(old) {
				expected++
			}
			continue
		}
		flush()
		ops = append(ops, op{From: at, Count: n})
		i += n
		expected = at + n
	}
	flush()
	return ops
}

// run counts the equal lines from two positions on.
func run(old, next []string, at, i int) int {
	n := 0
	for at+n < len(old) && i+n < len(next) && old[at+n] == next[i+n] {
		n++
	}
	return n
}

// patchLines builds the new text. The result is at most limit bytes.
func patchLines(from string, ops []op, limit int) (string, error) {
	old := strings.SplitAfter(from, "\n")
	var b strings.Builder
	for _, o := range ops {
		if o.From < 0 || o.Count < 0 || o.From > len(old) || o.Count > len(old)-o.From {
			return "", errDelta
		}
		for _, line := range old[o.From : o.From+o.Count] {
			b.WriteString(line)
		}
		b.WriteString(o.Insert)
		if b.Len() > limit {
			return "", errDelta
		}
	}
	return b.String(), nil
}
