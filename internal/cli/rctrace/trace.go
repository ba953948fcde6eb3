// Package rctrace searches the logs of all instances for a request, an upstream, an
// instance or a configuration version, and summarizes failures.
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

// maxLineBytes is the maximum length of a log line.
const maxLineBytes = 1 << 20

// line is a parsed log line of an instance.
type line struct {
	at       time.Time
	instance string
	event    string
	fields   map[string]any
}

// headerFields are printed in fixed columns or omitted, not among the key=value fields.
var headerFields = []string{"time", "level", "Instance", "Event"}

// Print writes the lines of the inputs that mention id, ordered by time. Text before
// the JSON object of a line, which log collectors may add, is skipped. Print returns an
// error if no line mentions id.
func Print(w io.Writer, id string, inputs ...io.Reader) (err error) {
	var found []line
	for _, in := range inputs {
		lines, err := readMatching(in, id)
		if err != nil {
			return trace.Wrap(err, "reading logs")
		}
		found = append(found, lines...)
	}
	if len(found) == 0 {
		return trace.NotFound("no log line mentions %q", id)
	}
	slices.SortStableFunc(found, compareTime)
	for _, l := range found {
		if err := l.print(w); err != nil {
			return err
		}
	}
	return nil
}

func readMatching(in io.Reader, id string) (lines []line, err error) {
	err = scanLines(in, func(l line) {
		if mentionsID(l.fields, id) {
			lines = append(lines, l)
		}
	})
	return lines, err
}

// scanLines calls f with each log line of the input. Text that is not a log line of an
// instance is skipped, because other programs may write to the same logs.
func scanLines(in io.Reader, f func(line)) error {
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxLineBytes)
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
		l.at, _ = time.Parse(time.RFC3339Nano, l.text("time")) // Lines without a valid time have the zero time and sort first.
		f(l)
	}
	return scanner.Err()
}

// text returns the value of a string field, or "" if it is missing or not a string.
func (l line) text(field string) string {
	s, _ := l.fields[field].(string)
	return s
}

func compareTime(a, b line) int { return a.at.Compare(b.at) }

// mentionsID reports whether an identifying field equals id. Free text, such as the
// cause of a failure, is not searched.
func mentionsID(fields map[string]any, id string) bool {
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
		if !slices.Contains(headerFields, key) {
			fmt.Fprintf(&b, " %s=%v", key, l.fields[key])
		}
	}
	_, err := fmt.Fprintln(w, b.String())
	return err
}
