// Package rcreport writes HTML reports of load test results: one result, or a comparison
// of two. A report is a single file with embedded plots.
package rcreport

import (
	_ "embed"
	"fmt"
	"html/template"
	"io"

	"github.com/gravitational/trace"

	"github.com/radishcrank/radishcrank/internal/cli/rcload"
)

//go:embed report.html
var reportHTML string

var reportTemplate = template.Must(template.New("report").Parse(reportHTML))

// NamedResult is a result with the name that the report gives it.
type NamedResult struct {
	Name   string
	Result rcload.Result
}

// view is the data of the page template.
type view struct {
	Title   string
	Columns []string
	Rows    []row
	Ends    []row
	Plots   []figure
}

type row struct {
	Name   string
	Values []string
	Change string // Change from the first to the second value. Empty for a single result.
}

type figure struct {
	Title string
	SVG   template.HTML
}

// Write writes a report of one result.
func Write(w io.Writer, s NamedResult) error {
	return write(w, "Load report: "+s.Name, []NamedResult{s})
}

// WriteComparison writes a report that compares two results side by side.
func WriteComparison(w io.Writer, before, after NamedResult) error {
	return write(w, fmt.Sprintf("Load comparison: %s and %s", before.Name, after.Name), []NamedResult{before, after})
}

func write(w io.Writer, title string, results []NamedResult) (err error) {
	defer func() {
		if err != nil {
			err = trace.Wrap(err, "writing the report")
		}
	}()
	v := view{Title: title, Rows: measureRows(results), Ends: endRows(results)}
	for _, s := range results {
		v.Columns = append(v.Columns, s.Name)
	}
	if v.Plots, err = drawCharts(results); err != nil {
		return err
	}
	return reportTemplate.Execute(w, v)
}

// measure is a row of the table of measurements.
type measure struct {
	name   string
	format string
	value  func(rcload.Result) float64
}

var measures = []measure{
	{"Generations per second at the peak", "%.1f", func(r rcload.Result) float64 { return r.Rate }},
	{"Duration, s", "%.1f", func(r rcload.Result) float64 { return r.DurationSeconds }},
	{"Requests sent", "%.0f", func(r rcload.Result) float64 { return float64(r.Sent) }},
	{"Requests completed", "%.0f", func(r rcload.Result) float64 { return float64(r.Completed) }},
	{"Hit rate", "%.4f", rcload.Result.HitRate},
	{"Generated tokens", "%.0f", func(r rcload.Result) float64 { return float64(r.GeneratedTokens) }},
	{"TTFT mean, ms", "%.2f", func(r rcload.Result) float64 { return r.TTFT.MeanMs }},
	{"TTFT p50, ms", "%.2f", func(r rcload.Result) float64 { return r.TTFT.P50Ms }},
	{"TTFT p95, ms", "%.2f", func(r rcload.Result) float64 { return r.TTFT.P95Ms }},
	{"TTFT p99, ms", "%.2f", func(r rcload.Result) float64 { return r.TTFT.P99Ms }},
	{"TTFT p99.9, ms", "%.2f", func(r rcload.Result) float64 { return r.TTFT.P999Ms }},
	{"TTFT maximum, ms", "%.2f", func(r rcload.Result) float64 { return r.TTFT.MaxMs }},
	{"Between tokens p50, ms", "%.2f", func(r rcload.Result) float64 { return r.BetweenTokens.P50Ms }},
	{"Between tokens p95, ms", "%.2f", func(r rcload.Result) float64 { return r.BetweenTokens.P95Ms }},
	{"Between tokens p99, ms", "%.2f", func(r rcload.Result) float64 { return r.BetweenTokens.P99Ms }},
	{"Service calls p50, ms", "%.2f", func(r rcload.Result) float64 { return r.Calls.P50Ms }},
	{"Service calls p99, ms", "%.2f", func(r rcload.Result) float64 { return r.Calls.P99Ms }},
}

func measureRows(results []NamedResult) []row {
	rows := []row{shapeRow(results)}
	for _, m := range measures {
		values := make([]float64, len(results))
		for i, s := range results {
			values[i] = m.value(s.Result)
		}
		rows = append(rows, compareRow(m.name, m.format, values))
	}
	return rows
}

// shapeRow returns the traffic shape and seed of each result. Only results with the same
// shape and seed are comparable.
func shapeRow(results []NamedResult) row {
	r := row{Name: "Shape and seed"}
	for _, s := range results {
		text := fmt.Sprintf("%s, %d", s.Result.Shape, s.Result.Seed)
		if s.Result.Interrupted {
			text += ", interrupted"
		}
		r.Values = append(r.Values, text)
	}
	if len(r.Values) == 2 && r.Values[0] != r.Values[1] {
		r.Change = "different runs"
	}
	return r
}

func compareRow(name, format string, values []float64) row {
	r := row{Name: name}
	for _, v := range values {
		r.Values = append(r.Values, fmt.Sprintf(format, v))
	}
	if len(values) == 2 {
		r.Change = formatChange(values[0], values[1])
	}
	return r
}

// formatChange returns the relative change from before to after.
func formatChange(before, after float64) string {
	switch {
	case before == after:
		return "0%"
	case before == 0:
		return "new"
	}
	return fmt.Sprintf("%+.1f%%", 100*(after-before)/before)
}

// endRows returns the number of requests by end and by HTTP status, for each result.
func endRows(results []NamedResult) []row {
	type line struct {
		name   string
		values []float64
	}
	var lines []line
	add := func(index int, name string, count int) {
		for i := range lines {
			if lines[i].name == name {
				lines[i].values[index] = float64(count)
				return
			}
		}
		values := make([]float64, len(results))
		values[index] = float64(count)
		lines = append(lines, line{name: name, values: values})
	}
	for i, s := range results {
		for _, e := range s.Result.Ends {
			add(i, endName(e), e.Count)
		}
		for _, st := range s.Result.Statuses {
			add(i, statusName(st.Status), st.Count)
		}
	}
	var rows []row
	for _, l := range lines {
		rows = append(rows, compareRow(l.name, "%.0f", l.values))
	}
	return rows
}

func endName(e rcload.EndCount) string {
	name := "Generation: " + e.End
	if e.Call {
		name = "Service call: " + e.End
	}
	if e.Outcome != "" {
		name += ", " + string(e.Outcome)
	}
	return name
}

func statusName(status int) string {
	if status == 0 {
		return "No status"
	}
	return fmt.Sprintf("Status %d", status)
}
