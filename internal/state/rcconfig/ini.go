package rcconfig

import (
	"fmt"
	"regexp"
	"slices"
	"strings"

	"gopkg.in/ini.v1"
)

// Error is an error in a document at a line, counted from 1. Its message never
// contains a key, a key hash or a line of the document.
type Error struct {
	Line    int
	Message string
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("line %d: %s", e.Line, e.Message) }

// Errors holds all errors of a document, in line order.
type Errors []*Error

// Error implements error. The text has one line per error.
func (e Errors) Error() string {
	lines := make([]string, 0, len(e))
	for _, err := range e {
		lines = append(lines, err.Error())
	}
	return strings.Join(lines, "\n")
}

// errorList collects the errors of one document.
type errorList struct{ list Errors }

func (l *errorList) addf(line int, format string, args ...any) {
	l.list = append(l.list, &Error{Line: line, Message: fmt.Sprintf(format, args...)})
}

// err returns the collected errors in line order, or nil.
func (l *errorList) err() error {
	if len(l.list) == 0 {
		return nil
	}
	slices.SortStableFunc(l.list, func(a, b *Error) int { return a.Line - b.Line })
	return l.list
}

// entry is one key of a section with its value.
type entry struct {
	line  int
	name  string
	value string
}

// section is one section of an INI document.
type section struct {
	line    int
	name    string
	entries []entry
}

// splitName splits the name of a section at the first dot into its kind and identifier.
func (s *section) splitName() (kind, id string) {
	kind, id, _ = strings.Cut(s.name, ".")
	return kind, id
}

var keyPattern = regexp.MustCompile(`^[A-Za-z][A-Za-z0-9]*$`)

// maxDocumentBytes limits the cost of parsing a document. A document with 3,000
// accounts of two keys each has 600 KB.
const maxDocumentBytes = 4 << 20

// readINI returns the sections of a document. ini.v1 parses the values, but it does
// not report line numbers and merges duplicates. A scan of the lines therefore
// first finds the positions and the syntax errors, and blanks the invalid lines so
// that all others are still checked.
func readINI(data []byte, errs *errorList) []section {
	if len(data) > maxDocumentBytes {
		errs.addf(1, "the document has %d bytes, more than %d", len(data), maxDocumentBytes)
		return nil
	}
	lines := strings.Split(strings.ReplaceAll(string(data), "\r\n", "\n"), "\n")
	sections := scanLines(lines, errs)
	file, err := ini.LoadSources(ini.LoadOptions{
		IgnoreContinuation:  true,
		IgnoreInlineComment: true,
		KeyValueDelimiters:  "=",

		PreserveSurroundedQuote: true,
		// With the default delimiter, section "Model.a.b" would inherit the keys of "Model.a".
		ChildSectionDelimiter: "\x00",
	}, []byte(strings.Join(lines, "\n")))
	if err != nil {
		// The library's message may quote a line, which may contain a secret.
		errs.addf(1, "the document cannot be read as INI")
		return nil
	}
	for i := range sections {
		s := &sections[i]
		parsed := file.Section(s.name)
		for j := range s.entries {
			s.entries[j].value = parsed.Key(s.entries[j].name).Value()
		}
	}
	return sections
}

// scanLines finds the sections and keys with their line numbers, and blanks each
// invalid line.
func scanLines(lines []string, errs *errorList) []section {
	scan := &scanner{errors: errs, sections: make(map[string]int), keys: make(map[string]int)}
	for i, raw := range lines {
		if !scan.scanLine(i+1, strings.TrimSpace(raw)) {
			lines[i] = ""
		}
	}
	return scan.list
}

type scanner struct {
	errors   *errorList
	list     []section
	sections map[string]int // First line of each section.
	keys     map[string]int // First line of each key of the current section.
	skip     bool           // Whether the current section is invalid or a duplicate.
}

// scanLine records the section or key of a line and reports whether the line is
// passed on to ini.v1.
func (s *scanner) scanLine(n int, line string) bool {
	switch {
	case line == "":
		return true
	case line[0] == '#' || line[0] == ';':
		return true
	case line[0] == '[':
		return s.openSection(n, line)
	}
	return s.addKey(n, line)
}

func (s *scanner) openSection(n int, line string) bool {
	s.skip = true
	clear(s.keys)
	name := strings.TrimSuffix(line[1:], "]")
	if len(name) != len(line)-2 || !validSectionName(name) {
		s.errors.addf(n, "a section must be written as [Name] or [Kind.Name] of letters, digits and \"._-/:@\"")
		return false
	}
	if first, ok := s.sections[name]; ok {
		s.errors.addf(n, "section [%s] repeats line %d", name, first)
		return false
	}
	s.skip = false
	s.sections[name] = n
	s.list = append(s.list, section{line: n, name: name})
	return true
}

func (s *scanner) addKey(n int, line string) bool {
	name, value, ok := strings.Cut(line, "=")
	name, value = strings.TrimSpace(name), strings.TrimSpace(value)
	switch {
	case !ok || !keyPattern.MatchString(name):
		s.errors.addf(n, "the line must be written as Name = Value")
		return false
	case len(s.list) == 0 && !s.skip:
		s.errors.addf(n, "%s stands before the first section", name)
		return false
	case s.skip:
		return false
	case strings.HasPrefix(value, "`") || strings.HasPrefix(value, `"""`):
		s.errors.addf(n, "%s must not use quotes over several lines", name)
		return false
	}
	if first, ok := s.keys[name]; ok {
		s.errors.addf(n, "%s repeats line %d", name, first)
		return false
	}
	s.keys[name] = n
	current := &s.list[len(s.list)-1]
	current.entries = append(current.entries, entry{line: n, name: name})
	return true
}

func validSectionName(name string) bool {
	for _, r := range name {
		letter := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9'
		if !letter && !strings.ContainsRune("._-/:@", r) {
			return false
		}
	}
	return name != "" && name != ini.DefaultSection
}

// splitList splits a comma-separated list. An empty value has no items.
func splitList(value string) []string {
	if strings.TrimSpace(value) == "" {
		return nil
	}
	items := strings.Split(value, ",")
	for i := range items {
		items[i] = strings.TrimSpace(items[i])
	}
	return items
}
