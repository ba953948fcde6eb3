package rcconfig

import (
	"fmt"
	"regexp"
	"slices"
	"strings"

	"gopkg.in/ini.v1"
)

// Error is a fault of a document at a line, counted from 1. Its message never
// holds a key, a key hash or a line of the document.
type Error struct {
	Line    int
	Message string
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("line %d: %s", e.Line, e.Message) }

// Errors are all faults of a document, in line order.
type Errors []*Error

// Error implements error, with one fault a line.
func (e Errors) Error() string {
	lines := make([]string, 0, len(e))
	for _, fault := range e {
		lines = append(lines, fault.Error())
	}
	return strings.Join(lines, "\n")
}

// faults collects the errors of one document.
type faults struct{ list Errors }

func (f *faults) add(line int, format string, args ...any) {
	f.list = append(f.list, &Error{Line: line, Message: fmt.Sprintf(format, args...)})
}

// err returns the collected errors in line order, or nil.
func (f *faults) err() error {
	if len(f.list) == 0 {
		return nil
	}
	slices.SortStableFunc(f.list, func(a, b *Error) int { return a.Line - b.Line })
	return f.list
}

// entry is one key of a section.
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

// split cuts the name of a section into its kind and the identifier after the first dot.
func (s *section) split() (kind, id string) {
	kind, id, _ = strings.Cut(s.name, ".")
	return kind, id
}

var keyName = regexp.MustCompile(`^[A-Za-z][A-Za-z0-9]*$`)

// maxDocumentBytes bounds the work of a parse; 3,000 accounts with two keys
// each take 600 KB.
const maxDocumentBytes = 4 << 20

// readINI returns the sections of a document. ini.v1 reads the values, but it
// knows no line numbers and merges duplicates. A scan of the lines therefore
// finds the positions and faults first and blanks the lines at fault, so that
// everything else is still checked.
func readINI(data []byte, f *faults) []section {
	if len(data) > maxDocumentBytes {
		f.add(1, "the document has %d bytes, more than %d", len(data), maxDocumentBytes)
		return nil
	}
	lines := strings.Split(strings.ReplaceAll(string(data), "\r\n", "\n"), "\n")
	sections := scanLines(lines, f)
	file, err := ini.LoadSources(ini.LoadOptions{
		IgnoreContinuation:  true,
		IgnoreInlineComment: true,
		KeyValueDelimiters:  "=",

		PreserveSurroundedQuote: true,
		// A name such as "Model.a.b" must not inherit the keys of "Model.a".
		ChildSectionDelimiter: "\x00",
	}, []byte(strings.Join(lines, "\n")))
	if err != nil {
		// The library's message may quote a line, and the line may hold a secret.
		f.add(1, "the document cannot be read as INI")
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

// scanLines finds the sections and keys with their lines. It empties each line that is at fault.
func scanLines(lines []string, f *faults) []section {
	scan := &scanner{faults: f, sections: make(map[string]int), keys: make(map[string]int)}
	for i, raw := range lines {
		if !scan.accept(i+1, strings.TrimSpace(raw)) {
			lines[i] = ""
		}
	}
	return scan.list
}

type scanner struct {
	faults   *faults
	list     []section
	sections map[string]int // First line of each section.
	keys     map[string]int // First line of each key of the current section.
	skip     bool           // The current section is a duplicate.
}

// accept reports whether ini.v1 shall read the line.
func (s *scanner) accept(n int, line string) bool {
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
		s.faults.add(n, "a section must be written as [Name] or [Kind.Name] of letters, digits and \"._-/:@\"")
		return false
	}
	if first, ok := s.sections[name]; ok {
		s.faults.add(n, "section [%s] repeats line %d", name, first)
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
	case !ok || !keyName.MatchString(name):
		s.faults.add(n, "the line must be written as Name = Value")
		return false
	case len(s.list) == 0 && !s.skip:
		s.faults.add(n, "%s stands before the first section", name)
		return false
	case s.skip:
		return false
	case strings.HasPrefix(value, "`") || strings.HasPrefix(value, `"""`):
		s.faults.add(n, "%s must not use quotes over several lines", name)
		return false
	}
	if first, ok := s.keys[name]; ok {
		s.faults.add(n, "%s repeats line %d", name, first)
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

// splitList cuts a value at its commas. An empty value has no items.
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
