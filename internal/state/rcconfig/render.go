package rcconfig

import (
	"bytes"
	"fmt"
	"strings"
)

// line is one key of a document in its canonical form.
type line struct{ section, key, value string }

// lines returns the canonical form of a document, section by section.
func (d *Document) lines() []line {
	var all []line
	for i := range settingTable {
		s := &settingTable[i]
		all = append(all, line{sectionDefaults, s.Name, s.text(&d.Defaults)})
	}
	for _, e := range d.Exceptions {
		name := sectionException + "." + e.Name
		all = append(all, line{name, string(e.Scope), strings.Join(e.Targets, ", ")}, line{name, keyReason, e.Reason})
		for _, o := range e.Overrides {
			all = append(all, line{name, o.Name, o.Value})
		}
	}
	for _, a := range d.Accounts {
		name := sectionAccount + "." + string(a.ID)
		all = append(all,
			line{name, keyKeyHashes, strings.Join(a.KeyHashes, ", ")},
			line{name, keyLeaving, KindFlag.format(a.Leaving)},
			line{name, keyWeight, KindNumber.format(a.Weight)})
	}
	for _, s := range d.Services {
		all = append(all, line{sectionService + "." + s.Name, keyNonRepeatable, strings.Join(s.NonRepeatable, ", ")})
	}
	for _, m := range d.Models {
		all = append(all, line{sectionModel + "." + string(m.ID), keyWeights, string(m.Weights)})
	}
	return all
}

// Render writes the document with every default spelt out, so that a change of
// a built-in default between versions does not change what the document means.
func (d *Document) Render() []byte {
	var b bytes.Buffer
	section := ""
	for _, l := range d.lines() {
		if l.section != section {
			if section != "" {
				b.WriteByte('\n')
			}
			fmt.Fprintf(&b, "[%s]\n", l.section)
			section = l.section
		}
		fmt.Fprintf(&b, "%s = %s\n", l.key, l.value)
	}
	return b.Bytes()
}

// Change is one key that differs between two documents. Old or New is empty
// where the key is missing.
type Change struct {
	Section string
	Key     string
	Old     string
	New     string
}

// String describes the change for operators.
func (c Change) String() string {
	switch {
	case c.Old == "":
		return fmt.Sprintf("+ [%s] %s = %s", c.Section, c.Key, c.New)
	case c.New == "":
		return fmt.Sprintf("- [%s] %s = %s", c.Section, c.Key, c.Old)
	}
	return fmt.Sprintf("~ [%s] %s = %s (was %s)", c.Section, c.Key, c.New, c.Old)
}

// Diff returns what changes from a to b: first the keys that b changes or
// lacks, in the order of a, then the keys that b adds.
func Diff(a, b *Document) []Change {
	type position struct{ section, key string }
	after := make(map[position]string)
	for _, l := range b.lines() {
		after[position{l.section, l.key}] = l.value
	}
	var changes []Change
	before := make(map[position]bool)
	for _, l := range a.lines() {
		p := position{l.section, l.key}
		before[p] = true
		if value, ok := after[p]; !ok || value != l.value {
			changes = append(changes, Change{Section: l.section, Key: l.key, Old: l.value, New: value})
		}
	}
	for _, l := range b.lines() {
		if !before[position{l.section, l.key}] {
			changes = append(changes, Change{Section: l.section, Key: l.key, New: l.value})
		}
	}
	return changes
}
