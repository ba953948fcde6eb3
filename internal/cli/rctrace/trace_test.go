package rctrace

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestPrint guards against output that misses the lines of an instance, or that is
// ordered by file instead of by time.
func TestPrint(t *testing.T) {
	one := `12.5 edge-1 {"level":"info","Instance":"edge-1","Event":"RequestEnded","Request":"r1","Outcome":"Refused","time":"2026-01-02T04:41:32.5Z"}
not a log line
{"level":"info","Instance":"edge-1","Event":"RequestEnded","Request":"r2","Cause":"r1","time":"2026-01-02T04:41:32Z"}`
	two := `{"level":"info","Instance":"edge-2","Event":"AttemptEnded","Request":"r1","Upstream":"u1","time":"2026-01-02T04:41:32.1Z"}`
	var out strings.Builder
	require.NoError(t, Print(&out, "r1", strings.NewReader(one), strings.NewReader(two)))
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	require.Len(t, lines, 2)
	require.Contains(t, lines[0], "edge-2")
	require.Contains(t, lines[1], "Outcome=Refused")
	require.Error(t, Print(&out, "r9", strings.NewReader(one)))
}
