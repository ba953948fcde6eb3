package rcconfig

import (
	"bytes"
	"fmt"
	"strings"
)

// keyValue is one key of a document with its value in canonical form.
type keyValue struct{ section, key, value string }

// keyValues returns all keys of a document in canonical form and order.
func (d *Document) keyValues() []keyValue {
	var all []keyValue
	for i := range settingTable {
		s := &settingTable[i]
		all = append(all, keyValue{sectionDefaults, s.Name, s.format(&d.Defaults)})
	}
	for _, e := range d.Exceptions {
		name := sectionException + "." + e.Name
		all = append(all, keyValue{name, string(e.Scope), strings.Join(e.Targets, ", ")}, keyValue{name, keyReason, e.Reason})
		for _, o := range e.Overrides {
			all = append(all, keyValue{name, o.Name, o.Value})
		}
	}
	for _, a := range d.Accounts {
		name := sectionAccount + "." + string(a.ID)
		all = append(all,
			keyValue{name, keyKeyHashes, strings.Join(a.KeyHashes, ", ")},
			keyValue{name, keyLeaving, KindFlag.format(a.Leaving)},
			keyValue{name, keyWeight, KindNumber.format(a.Weight)})
	}
	for _, s := range d.Services {
		all = append(all, keyValue{sectionService + "." + s.Name, keyNonRepeatable, strings.Join(s.NonRepeatable, ", ")})
	}
	for _, m := range d.Models {
		all = append(all, keyValue{sectionModel + "." + string(m.ID), keyWeights, string(m.Weights)})
	}
	return all
}

// Render returns the text of the document with every default written explicitly, so
// that a different built-in default in another version of the program does not
// change the meaning of the document.
func (d *Document) Render() []byte {
	var b bytes.Buffer
	section := ""
	for _, l := range d.keyValues() {
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

// Change is one key that differs between two documents. Old or New is empty if the
// respective document does not have the key.
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

// Diff returns the changes from a to b: first the keys that b changes or lacks, in
// the order of a, then the keys that b adds.
func Diff(a, b *Document) []Change {
	type position struct{ section, key string }
	after := make(map[position]string)
	for _, l := range b.keyValues() {
		after[position{l.section, l.key}] = l.value
	}
	var changes []Change
	before := make(map[position]bool)
	for _, l := range a.keyValues() {
		p := position{l.section, l.key}
		before[p] = true
		if value, ok := after[p]; !ok || value != l.value {
			changes = append(changes, Change{Section: l.section, Key: l.key, Old: l.value, New: value})
		}
	}
	for _, l := range b.keyValues() {
		if !before[position{l.section, l.key}] {
			changes = append(changes, Change{Section: l.section, Key: l.key, New: l.value})
		}
	}
	return changes
}
