// Package rctoml reads TOML files by a table of fields and reports each value
// that is missing or not valid.
package rctoml

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/BurntSushi/toml"
	"github.com/gravitational/trace"
)

// Field is one field of a file.
type Field struct {
	Path     string // Names of the tables and of the field, joined by dots.
	Want     string // What a valid value is.
	Fallback string // What is used instead of a value that is not valid; if empty, the file is refused.
	Required bool   // Whether the file is refused without the field.
	// Decode takes the value, and reports whether it is valid.
	Decode func(v any) bool
}

// Diagnostic is a value that is missing or not valid.
type Diagnostic struct {
	Line     int // 0 if the line is not known.
	Field    string
	Want     string // Empty for a field that is not known.
	Fallback string `json:"Instead"` // The JSON output of config check keeps this name.
	Required bool   // Whether the file is refused.
	Missing  bool
}

// String returns the fault without its line.
func (f Diagnostic) String() string {
	name, instead := f.Field, "used instead: "+f.Fallback
	if f.Missing {
		name += " is missing"
	}
	if f.Required {
		instead = "the file is refused"
	}
	if f.Want == "" {
		return fmt.Sprintf("%s is unknown; %s", name, instead)
	}
	return fmt.Sprintf("%s: expected %s; %s", name, f.Want, instead)
}

// Check reads the fields that a text holds. Fields that are optional and missing
// are no faults, and fields that are not in the table are ignored. It fails if the
// text is no TOML.
func Check(text string, fields []Field) (faults []Diagnostic, err error) {
	tree, err := decode(text)
	if err != nil {
		return nil, err
	}
	for _, f := range fields {
		fault := Diagnostic{Field: f.Path, Want: f.Want, Required: f.Required || f.Fallback == ""}
		if !fault.Required {
			fault.Fallback = f.Fallback
		}
		v, found, broken := lookup(tree, f.Path)
		switch {
		case broken != "":
			fault.Field, fault.Want = broken, "a table"
		case !found && !f.Required, found && f.Decode(v):
			continue
		}
		fault.Missing = !found && broken == ""
		fault.Line = line(text, fault.Field)
		faults = append(faults, fault)
	}
	return faults, nil
}

// UnknownFields returns the fields of a text that are neither among the known ones nor
// below one of them.
func UnknownFields(text string, known []string) (faults []Diagnostic, err error) {
	tree, err := decode(text)
	if err != nil {
		return nil, err
	}
	var walk func(table map[string]any, prefix string)
	walk = func(table map[string]any, prefix string) {
		for _, key := range slices.Sorted(maps.Keys(table)) {
			path := prefix + key
			if slices.Contains(known, path) {
				continue
			}
			inner, ok := table[key].(map[string]any)
			if ok && slices.ContainsFunc(known, func(k string) bool { return strings.HasPrefix(k, path+".") }) {
				walk(inner, path+".")
				continue
			}
			faults = append(faults, Diagnostic{Line: line(text, path), Field: path, Required: true})
		}
	}
	walk(tree, "")
	slices.SortStableFunc(faults, func(a, b Diagnostic) int { return cmp.Compare(a.Line, b.Line) })
	return faults, nil
}

func decode(text string) (tree map[string]any, err error) {
	_, err = toml.Decode(text, &tree)
	var syntax toml.ParseError
	if errors.As(err, &syntax) {
		return nil, trace.BadParameter("line %d: %s", syntax.Position.Line, syntax.Message)
	}
	return tree, err
}

// lookup returns the value at a path. broken is the part of the path that holds
// something else than a table.
func lookup(tree map[string]any, path string) (v any, found bool, broken string) {
	names := strings.Split(path, ".")
	for i, name := range names[:len(names)-1] {
		inner, ok := tree[name]
		if !ok {
			return nil, false, ""
		}
		if tree, ok = inner.(map[string]any); !ok {
			return nil, false, strings.Join(names[:i+1], ".")
		}
	}
	v, found = tree[names[len(names)-1]]
	return v, found, ""
}

// line returns the line of a field or table, counted from 1, or 0 if it is not
// written as a line of its own.
func line(text, path string) int {
	var table string
	n := 0
	for l := range strings.Lines(text) {
		n++
		l = strings.TrimSpace(l)
		if inner, ok := strings.CutPrefix(l, "["); ok && !strings.Contains(l, "=") {
			name, _, _ := strings.Cut(inner, "]")
			table = strings.TrimSpace(name) + "."
			if table == path+"." {
				return n
			}
			continue
		}
		key, _, ok := strings.Cut(l, "=")
		if ok && table+strings.Trim(strings.TrimSpace(key), `"`) == path {
			return n
		}
	}
	return 0
}
