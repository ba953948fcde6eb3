package rcreport

import (
	"bytes"
	"encoding/xml"
	"regexp"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/radishcrank/radishcrank/internal/cli/rcload"
)

func testResult(p99 float64) rcload.Result {
	return rcload.Result{
		Version: rcload.ResultVersion,
		Shape:   rcload.ShapeRiga,
		Sent:    100,
		Ends:    []rcload.EndCount{{End: rcload.EndCompleted, Count: 99}, {End: rcload.EndRefused, Outcome: "NotRun", Count: 1}},
		TTFT: rcload.Latency{
			Count: 99, P99Ms: p99,
			Curve: []rcload.Point{{Percentile: 0, Ms: 1}, {Percentile: 50, Ms: 20}, {Percentile: 99, Ms: p99}, {Percentile: 100, Ms: p99}},
		},
		Timeline: []rcload.Second{{Second: 0, Sent: 50, P50Ms: 20, P99Ms: p99}, {Second: 1, Sent: 50, P50Ms: 21, P99Ms: p99}},
	}
}

var svgElement = regexp.MustCompile(`(?s)<svg.*?</svg>`)

// Guards against plots that are not valid SVG, and against unescaped names of result
// files.
func TestReportPlots(t *testing.T) {
	var b bytes.Buffer
	hostile := "<script>alert(1)</script>&"
	require.NoError(t, WriteComparison(&b, NamedResult{Name: "a", Result: testResult(100)}, NamedResult{Name: hostile, Result: testResult(50)}))
	require.NotContains(t, b.String(), "<script>")
	require.NotContains(t, b.String(), "<?xml")
	figures := svgElement.FindAll(b.Bytes(), -1)
	require.Len(t, figures, len(charts))
	for _, f := range figures {
		require.NoError(t, xml.Unmarshal(f, new(struct{})))
		require.Contains(t, string(f), "<path")
	}
}

// Guards against a comparison that shows a change with the wrong sign, or that omits an
// end that occurs in only one result.
func TestComparison(t *testing.T) {
	before, after := testResult(100), testResult(50)
	after.Ends = append(after.Ends, rcload.EndCount{End: rcload.EndTruncated, Count: 3})
	var b bytes.Buffer
	require.NoError(t, WriteComparison(&b, NamedResult{Name: "a", Result: before}, NamedResult{Name: "b", Result: after}))
	require.Regexp(t, `TTFT p99, ms</td><td>100.00</td><td>50.00</td><td>(-|&minus;|&#8722;)50.0%`, b.String())
	require.Regexp(t, `Generation: Truncated</td><td>0</td><td>3</td><td>new`, b.String())
	require.Regexp(t, `Generation: Refused, NotRun</td><td>1</td><td>1</td><td>0%`, b.String())
}

// Guards against a report that fails or shows NaN for a result without measurements.
func TestEmptyResult(t *testing.T) {
	var b bytes.Buffer
	require.NoError(t, Write(&b, NamedResult{Name: "empty"}))
	require.NotContains(t, b.String(), "NaN")
	require.NotContains(t, b.String(), "Change")
}
