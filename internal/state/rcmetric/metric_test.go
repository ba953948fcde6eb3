package rcmetric

import (
	"encoding/json"
	"flag"
	"net/http/httptest"
	"os"
	"testing"

	"github.com/stretchr/testify/require"
)

var update = flag.Bool("update", false, "write docs/operators/metrics.md")

// Guards against a reference page that differs from the code.
func TestPage(t *testing.T) {
	const file = "../../../docs/operators/metrics.md"
	if *update {
		require.NoError(t, os.WriteFile(file, Page(), 0o644))
	}
	page, err := os.ReadFile(file)
	require.NoError(t, err)
	require.Equal(t, string(Page()), string(page))
}

// Guards against counters that two instances of one process share, and against
// an answer that is not valid JSON.
func TestSetsAreSeparate(t *testing.T) {
	var a, b Set
	a.Add(Requests, 2)
	require.EqualValues(t, 2, a.Value(Requests))
	require.Zero(t, b.Value(Requests))
	w := httptest.NewRecorder()
	a.ServeHTTP(w, httptest.NewRequest("GET", "/", nil))
	var body struct{ Radishcrank map[Name]int64 }
	require.NoError(t, json.Unmarshal(w.Body.Bytes(), &body))
	require.EqualValues(t, 2, body.Radishcrank[Requests])
}
