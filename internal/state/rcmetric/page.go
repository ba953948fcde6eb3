package rcmetric

import (
	"bytes"
	"fmt"
)

const pageHeader = `# Metrics

This page is generated from the tables in ` + "`internal/state/rcmetric/metric.go`" + `.
To bring it up to date, run:

    go test ./internal/state/rcmetric -run TestPage -update

Counters and latency histograms are served as JSON: at ` + "`/debug/vars`" + ` of the
operators' listener, and on the users' platform at any path of the metrics
address. They start at 0 when an instance starts and only increase; those that
are still 0 are left out.

`

// Page returns the reference page of all metrics in Markdown.
func Page() []byte {
	var b bytes.Buffer
	b.WriteString(pageHeader)
	b.WriteString("## Counters of the own interface\n\n")
	writeCounters(&b, Counters)
	b.WriteString("\n## Counters on the users' platform\n\n")
	writeCounters(&b, PlatformCounters)
	b.WriteString("\n## Latency histograms on the users' platform\n\nEach has `Count`, the mean, three quantiles and the maximum in milliseconds, and\n`Buckets`: the number of durations up to each bound in milliseconds.\n\n| histogram | meaning | what to do |\n|---|---|---|\n")
	for _, m := range Histograms {
		fmt.Fprintf(&b, "| `%s` | %s | %s |\n", m.Name, m.Doc, m.Action)
	}
	return b.Bytes()
}

func writeCounters(b *bytes.Buffer, table []CounterInfo) {
	b.WriteString("| counter | unit | meaning | what to do |\n|---|---|---|---|\n")
	for _, m := range table {
		fmt.Fprintf(b, "| `%s` | %s | %s | %s |\n", m.Name, m.Unit, m.Doc, m.Action)
	}
}
