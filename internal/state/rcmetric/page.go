package rcmetric

import (
	"bytes"
	"fmt"
)

const pageHeader = `# Metrics

This page is generated from the table in ` + "`internal/state/rcmetric/metric.go`" + `.
To bring it up to date, run:

    go test ./internal/state/rcmetric -run TestPage -update

Counters are served as JSON at ` + "`/debug/vars`" + ` of the operators' listener. They start
at 0 with each start of an instance and only rise; a counter that was never
raised is left out.

`

// Page returns the reference page of all counters in Markdown.
func Page() []byte {
	var b bytes.Buffer
	b.WriteString(pageHeader)
	b.WriteString("| counter | unit | meaning | what to do |\n|---|---|---|---|\n")
	for _, m := range Table {
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s |\n", m.Name, m.Unit, m.Doc, m.Act)
	}
	return b.Bytes()
}
