package rccli

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/radishcrank/radishcrank/internal/serving/rcexplain"
)

func reportingInstance(t *testing.T, name, chosen, obstacle string) (url string, got *rcexplain.Request) {
	got = &rcexplain.Request{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_ = json.NewDecoder(r.Body).Decode(got) // The test compares what was decoded.
		json.NewEncoder(w).Encode(rcexplain.Report{
			Instance: name, Zone: "z", Route: "advice", Service: "llm", Outcome: rcexplain.Sent, Upstream: chosen, Information: rcexplain.Information{Instances: 2, StoreReachable: true},
			Upstreams: []rcexplain.Upstream{{ID: "u1", Obstacle: obstacle, Listed: true}, {ID: "u2", CostMS: 12, Chosen: chosen == "u2", Terms: []rcexplain.Term{{Name: "Prefill", MS: 12}}, Listed: true}},
		})
	}))
	t.Cleanup(server.Close)
	return server.URL, got
}

// TestExplainOnPlatform guards against output that hides where instances differ or that one
// of them did not answer, and against a usage error that is sent to instances.
func TestExplainOnPlatform(t *testing.T) {
	f := newFixture(t)
	a, got := reportingInstance(t, "i1", "u2", "Failed")
	b, _ := reportingInstance(t, "i2", "u1", "")
	code, out, _ := f.run(t, "", "explain", "--platform", a+","+b, "--route", "advice", "--account", "t1", "--model", "m", "--parts", "x:10,y:20", "--remaining", "2s")
	require.Equal(t, ExitOK, code)
	require.Equal(t, rcexplain.Request{Account: "t1", Route: "advice", Model: "m", Parts: []rcexplain.Part{{ID: "x", Tokens: 10}, {ID: "y", Tokens: 20}}, DeadlineMS: 2000}, *got)
	for _, line := range []string{"i1 in zone z: sent to u2", "chosen: Prefill 12", "Chosen: u2 at i1", "Chosen: u1 at i2", "u1: Failed at i1", "u1: usable at i2"} {
		require.Contains(t, out, line)
	}

	code, out, errOut := f.run(t, "", "explain", "--json", "--platform", a+",http://127.0.0.1:1", "--route", "advice")
	require.Equal(t, ExitError, code)
	require.Contains(t, errOut, "instance at http://127.0.0.1:1")
	var answers []answer
	require.NoError(t, json.Unmarshal([]byte(out), &answers))
	require.Equal(t, "i1", answers[0].Report.Instance)
	require.NotEmpty(t, answers[1].Error)

	_, _, errOut = f.run(t, "", "explain", "--platform", f.url, "--route", "advice") // The product's own interface.
	require.Contains(t, errOut, "no listener for operators of the platform")

	for _, args := range [][]string{{"--platform", a}, {"--platform", a, "--route", "r", "--adapter", "x"}, {"--model", "m"}, {}} {
		code, _, errOut := f.run(t, "", append([]string{"explain"}, args...)...)
		require.Equal(t, ExitUsage, code, "%v: %s", args, errOut)
	}
}
