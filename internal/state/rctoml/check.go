// Package rctoml decodes TOML files according to a table of fields and reports
// each missing or invalid value.
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

// Field describes one field of a file.
type Field struct {
	Path     string // Names of the enclosing tables and of the field, joined by dots.
	Want     string // Description of a valid value.
	Fallback string // Description of what replaces an invalid value; if empty, the file is refused.
	Required bool   // Whether the file is refused without the field.
	// Decode stores the value and reports whether it is valid.
	Decode func(v any) bool
}

// Diagnostic reports a missing, invalid or unknown field.
type Diagnostic struct {
	Line     int // 0 if the line cannot be determined.
	Field    string
	Want     string // Empty for an unknown field.
	Fallback string `json:"Instead"` // The JSON output of config check keeps this name.
	Required bool   // Whether the file is refused.
	Missing  bool
}

// String returns the diagnostic without its line number.
func (d Diagnostic) String() string {
	name, consequence := d.Field, "used instead: "+d.Fallback
	if d.Missing {
		name += " is missing"
	}
	if d.Required {
		consequence = "the file is refused"
	}
	if d.Want == "" {
		return fmt.Sprintf("%s is unknown; %s", name, consequence)
	}
	return fmt.Sprintf("%s: expected %s; %s", name, d.Want, consequence)
}

// Check decodes the given fields of a TOML text and returns a diagnostic for each
// invalid value and each missing required field. Fields of the text that are not
// in the table are ignored. Check fails if the text is not valid TOML.
func Check(text string, fields []Field) (diagnostics []Diagnostic, err error) {
	tree, err := decode(text)
	if err != nil {
		return nil, err
	}
	for _, f := range fields {
		d := Diagnostic{Field: f.Path, Want: f.Want, Required: f.Required || f.Fallback == ""}
		if !d.Required {
			d.Fallback = f.Fallback
		}
		v, found, nonTable := lookup(tree, f.Path)
		switch {
		case nonTable != "":
			d.Field, d.Want = nonTable, "a table"
		case !found && !f.Required, found && f.Decode(v):
			continue
		}
		d.Missing = !found && nonTable == ""
		d.Line = lineOf(text, d.Field)
		diagnostics = append(diagnostics, d)
	}
	return diagnostics, nil
}

// UnknownFields returns a diagnostic for each field of a TOML text that is neither
// a known field nor nested in one.
func UnknownFields(text string, known []string) (diagnostics []Diagnostic, err error) {
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
			diagnostics = append(diagnostics, Diagnostic{Line: lineOf(text, path), Field: path, Required: true})
		}
	}
	walk(tree, "")
	slices.SortStableFunc(diagnostics, func(a, b Diagnostic) int { return cmp.Compare(a.Line, b.Line) })
	return diagnostics, nil
}

func decode(text string) (tree map[string]any, err error) {
	_, err = toml.Decode(text, &tree)
	var syntax toml.ParseError
	if errors.As(err, &syntax) {
		return nil, trace.BadParameter("line %d: %s", syntax.Position.Line, syntax.Message)
	}
	return tree, err
}

// lookup returns the value at a path. If a prefix of the path holds a value other
// than a table, nonTable is that prefix.
func lookup(tree map[string]any, path string) (v any, found bool, nonTable string) {
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

// lineOf returns the line number of a field or table, counted from 1, or 0 if it
// does not have a line of its own, as in an inline table.
func lineOf(text, path string) int {
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
