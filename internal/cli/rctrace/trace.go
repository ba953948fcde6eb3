// Package rctrace tells the story of a request, an upstream or a configuration
// version from the log lines of all instances.
package rctrace

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/gravitational/trace"
)

// maxLine bounds one log line, in bytes.
const maxLine = 1 << 20

// line is one decision of one instance.
type line struct {
	at       time.Time
	instance string
	event    string
	fields   map[string]any
}

// shown apart from the other fields of a line.
var header = []string{"time", "level", "Instance", "Event"}

// Print writes the lines of the inputs that name id, in the order of their
// time. Text before a line's JSON, as log collectors add it, is skipped. It
// fails if no line names id.
func Print(w io.Writer, id string, inputs ...io.Reader) (err error) {
	var found []line
	for _, in := range inputs {
		lines, err := read(in, id)
		if err != nil {
			return trace.Wrap(err, "reading logs")
		}
		found = append(found, lines...)
	}
	if len(found) == 0 {
		return trace.NotFound("no log line names %q", id)
	}
	slices.SortStableFunc(found, byTime)
	for _, l := range found {
		if err := l.print(w); err != nil {
			return err
		}
	}
	return nil
}

func read(in io.Reader, id string) (lines []line, err error) {
	err = scan(in, func(l line) {
		if names(l.fields, id) {
			lines = append(lines, l)
		}
	})
	return lines, err
}

// scan calls f with each log line of the input. Text that is no line of an
// instance is skipped, since other programs write to the same logs.
func scan(in io.Reader, f func(line)) error {
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		_, object, ok := bytes.Cut(scanner.Bytes(), []byte("{"))
		if !ok {
			continue
		}
		fields := map[string]any{}
		if json.Unmarshal(append([]byte("{"), object...), &fields) != nil {
			continue
		}
		l := line{fields: fields}
		l.instance, l.event = l.text("Instance"), l.text("Event")
		if l.event == "" {
			continue
		}
		l.at, _ = time.Parse(time.RFC3339Nano, l.text("time")) // Lines without a time come first.
		f(l)
	}
	return scanner.Err()
}

// text returns a field that is text, or "".
func (l line) text(field string) string {
	s, _ := l.fields[field].(string)
	return s
}

func byTime(a, b line) int { return a.at.Compare(b.at) }

// names reports whether a field other than the free text of a cause is the id.
func names(fields map[string]any, id string) bool {
	for _, key := range []string{"Request", "Upstream", "Version", "Instance"} {
		if v, ok := fields[key]; ok && fmt.Sprint(v) == id {
			return true
		}
	}
	return false
}

func (l line) print(w io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %-16s %-16s", l.at.Format("15:04:05.000"), l.instance, l.event)
	for _, key := range slices.Sorted(maps.Keys(l.fields)) {
		if !slices.Contains(header, key) {
			fmt.Fprintf(&b, " %s=%v", key, l.fields[key])
		}
	}
	_, err := fmt.Fprintln(w, b.String())
	return err
}
