package rctrace

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestPrintUpstreamActivity guards against output that hides spare capacity on another
// upstream of the service, or that includes other services or times outside the range.
func TestPrintUpstreamActivity(t *testing.T) {
	text := formatLogLine(1, "a-1", "Start", `"Zone":"za","Callers":"10.1.0.6:80"`) +
		formatLogLine(2, "b-1", "Placed", `"Request":"early","Service":"llm","Upstream":"u9","Running":0`) +
		formatLogLine(7, "a-1", "Placed", `"Request":"r1","Service":"llm","Upstream":"u1","Running":9,"OthersRunning":4,"CostMS":471,"AgeMS":0`) +
		formatLogLine(7, "b-1", "Placed", `"Request":"r2","Service":"llm","Upstream":"u2","Running":1,"CostMS":80`) +
		formatLogLine(8, "b-1", "Placed", `"Request":"r3","Service":"llm","Upstream":"u2","Running":3,"CostMS":20`) +
		formatLogLine(8, "b-1", "Placed", `"Request":"r4","Service":"desk","Upstream":"d1"`) +
		formatLogLine(8, "a-1", "AttemptEnded", `"Request":"r1","Upstream":"u1","Outcome":"Refused","Status":503,"AgeMS":1000`) +
		formatLogLine(8, "a-1", "RequestEnded", `"Request":"r1","Service":"llm","Outcome":"Refused","Status":503,"AgeMS":1000`)
	var out strings.Builder
	require.NoError(t, PrintUpstreamActivity(&out, UpstreamActivityConfig{Request: "r1", Margin: time.Second / 2}, strings.NewReader(text)))
	require.Equal(t, []string{
		"u1 in ? 1 1 1 9 4 - 471",
		"u2 in ? 2 0 0 1 - - 20",
	}, tableRows(t, out.String(), "upstreams of llm from 04:41:06.500 to 04:41:08.500"))
	require.Error(t, PrintUpstreamActivity(&out, UpstreamActivityConfig{Request: "r8"}, strings.NewReader(text)))
}
