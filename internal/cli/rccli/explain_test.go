package rccli

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/radishcrank/radishcrank/internal/serving/rcexplain"
)

// zoneInstances serves reports of instances, and the list of them at the first one.
func zoneInstances(t *testing.T, list []rcexplain.Instance, report func(name string) (int, any)) (url string) {
	for i := range list {
		name := list[i].Name
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			status, body := http.StatusOK, any(list)
			if r.URL.Path == rcexplain.Path {
				status, body = report(name)
			}
			w.WriteHeader(status)
			json.NewEncoder(w).Encode(body)
		}))
		t.Cleanup(server.Close)
		if list[i].URL == "here" {
			list[i].URL = server.URL
		}
		if i == 0 {
			url = server.URL
		}
	}
	return url
}

// TestExplainZone guards against instances of a zone that are not asked, or are asked although
// they belong to another, against answers that hide who did not answer, and against errors
// that repeat for each instance.
func TestExplainZone(t *testing.T) {
	f := newFixture(t)
	list := []rcexplain.Instance{
		{Name: "i0", Zone: "z0", URL: "here"}, {Name: "i1", Zone: "z1", URL: "here"}, {Name: "i2", Zone: "z1", URL: "here"},
		{Name: "i3", Zone: "z1", URL: "http://127.0.0.1:1"}, {Name: "i4", Zone: "z1"},
	}
	asked := make(chan string, 10)
	url := zoneInstances(t, list, func(name string) (int, any) {
		asked <- name
		return http.StatusOK, rcexplain.Report{
			Instance: name, Zone: "z1", Outcome: rcexplain.Sent, Upstream: "u1", Resumes: &rcexplain.Resumes{Known: name == "i1", Service: "s", Software: "v1"},
			Upstreams: []rcexplain.Upstream{{ID: "u1", Weights: map[string]string{"i1": "1", "i2": "2"}[name], Listed: true}},
		}
	})
	code, out, errOut := f.run(t, "", "explain", "--platform", url, "--zone", "z1", "--route", "r", "--last-event", "3")
	require.Equal(t, ExitError, code)
	for _, line := range []string{"i1: sent to u1", "i2: sent to u1", "Stream began at: s, software v1 at i1", "Stream began at: unknown at i2", "u1, weights: 1 at i1", "u1, weights: 2 at i2"} {
		require.Contains(t, out, line)
	}
	require.NotContains(t, out, "Outcome")
	require.Contains(t, errOut, "i3 http://127.0.0.1:1: it does not answer")
	require.Contains(t, errOut, "; instance at i4: it has no listener for operators")
	close(asked)
	for name := range asked {
		require.Contains(t, []string{"i1", "i2"}, name)
	}

	code, _, errOut = f.run(t, "", "explain", "--platform", "http://127.0.0.1:1,"+url, "--zone", "z2", "--route", "r")
	require.Equal(t, ExitError, code)
	require.Contains(t, errOut, `no instance is registered in "z2"; the zones are z0, z1`)
	_, _, errOut = f.run(t, "", "explain", "--platform", "http://127.0.0.1:1", "--zone", "z2", "--route", "r")
	require.Contains(t, errOut, "instance at http://127.0.0.1:1: it does not answer")

	url = zoneInstances(t, []rcexplain.Instance{{Name: "i0", Zone: "z", URL: "here"}, {Name: "i1", Zone: "z", URL: "here"}}, func(string) (int, any) {
		return http.StatusNotFound, rcexplain.Error{Message: `account "x" does not exist`}
	})
	_, out, errOut = f.run(t, "", "explain", "--platform", url, "--zone", "z", "--route", "r", "--account", "x")
	require.Empty(t, out)
	require.Equal(t, 1, strings.Count(errOut, "does not exist"))
	require.Contains(t, errOut, "2 instances (i0 ")
}

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

	for _, args := range [][]string{
		{"--platform", a}, {"--platform", a, "--route", "r", "--adapter", "x"}, {"--model", "m"}, {},
		{"--zone", "z"}, {"--zone", "z", "--route", "r"}, {"--platform", "127.0.0.1:80", "--route", "r"}, {"--platform", "nowhere", "--route", "r"},
		{"--platform", a, "--route", "r", "--parts", "x"}, {"--platform", a, "--route", "r", "--parts", "x:-1"}, {"--platform", a, "--route", "r", "--remaining=-1s"},
		{"--platform", a, "--route", "r", "--priority=-1"}, {"--platform", a, "--route", "r", "--resumes", "r0"}, {"--last-event", "3"},
	} {
		code, _, errOut := f.run(t, "", append([]string{"explain"}, args...)...)
		require.Equal(t, ExitUsage, code, "%v: %s", args, errOut)
	}
}
