package rcmetric

import (
	"encoding/json"
	"flag"
	"net/http/httptest"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var update = flag.Bool("update", false, "write docs/operators/metrics.md")

// Guards against a reference page that differs from the tables.
func TestPage(t *testing.T) {
	const file = "../../../docs/operators/metrics.md"
	if *update {
		require.NoError(t, os.WriteFile(file, Page(), 0o644))
	}
	page, err := os.ReadFile(file)
	require.NoError(t, err)
	require.Equal(t, string(Page()), string(page))
}

// Guards against counters that are shared by two instances of one process, and
// against a response that is not valid JSON.
func TestSetsAreSeparate(t *testing.T) {
	var a, b Set
	a.Add(Requests, 2)
	require.EqualValues(t, 2, a.Value(Requests))
	require.Zero(t, b.Value(Requests))
	w := httptest.NewRecorder()
	a.ServeHTTP(w, httptest.NewRequest("GET", "/", nil))
	var body struct{ Radishcrank map[CounterName]int64 }
	require.NoError(t, json.Unmarshal(w.Body.Bytes(), &body))
	require.EqualValues(t, 2, body.Radishcrank[Requests])
}

// Guards against quantiles and buckets that do not match the recorded durations,
// and against durations outside the range that are not recorded.
func TestSummary(t *testing.T) {
	var s Set
	require.Zero(t, s.Summary(AnswerTime))
	for i := 1; i <= 100; i++ {
		s.Record(AnswerTime, time.Duration(i)*time.Millisecond)
	}
	s.Record(AnswerTime, -time.Second)
	s.Record(AnswerTime, time.Hour)
	got := s.Summary(AnswerTime)
	require.EqualValues(t, 102, got.Count)
	require.InDelta(t, 50, got.P50MS, 2)
	require.InDelta(t, 97, got.P95MS, 2)
	require.InDelta(t, 60_000, got.MaxMS, 600)
	require.InDelta(t, 51, got.Buckets["50"], 1)
	require.InDelta(t, 101, got.Buckets["100"], 1)
	w := httptest.NewRecorder()
	s.ServeHTTP(w, httptest.NewRequest("GET", "/", nil))
	var body struct{ Latency map[HistogramName]Summary }
	require.NoError(t, json.Unmarshal(w.Body.Bytes(), &body))
	require.Equal(t, got, body.Latency[AnswerTime])
}

// Guards against a metric that is listed twice, and against a counter without an
// action.
func TestNamesAreUnique(t *testing.T) {
	seen := map[string]bool{}
	for _, m := range append(append([]CounterInfo{}, Counters...), PlatformCounters...) {
		require.False(t, seen[string(m.Name)], m.Name)
		require.NotEmpty(t, m.Action)
		seen[string(m.Name)] = true
	}
	for _, m := range Histograms {
		require.False(t, seen[string(m.Name)], m.Name)
		seen[string(m.Name)] = true
	}
}
