package rcinstance

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/radishcrank/radishcrank/internal/serving/rcexplain"
)

// TestExplainOnOperatorListener guards against an explanation that differs from what a running
// instance does, that reveals keys or parts of prompts, and against unclear errors for input
// that is wrong or too long.
func TestExplainOnOperatorListener(t *testing.T) {
	operators := freePorts(t, 2)
	var mu sync.Mutex
	arrivedAt := map[string]string{}
	s := startDeploymentWith(t, deploymentOptions{
		instances: 2,
		prepare: func(n int, i *Instance) {
			if n == 0 {
				i.settings.OperatorAddr = operators[0]
			}
		},
		onArrival: func(upstream, id string) {
			mu.Lock()
			defer mu.Unlock()
			arrivedAt[id] = upstream
		},
	})
	s.awaitPeers()
	url := "http://" + operators[0].String()

	req := rcexplain.Request{Account: "t1", Route: "advice", Model: "m", DeadlineMS: 3000, Parts: []rcexplain.Part{{ID: "aa", Tokens: 2500}, {ID: "bb", Tokens: 3000}, {ID: "own", Tokens: 900}}}
	r, err := rcexplain.Ask(t.Context(), url, req)
	require.NoError(t, err)
	require.Equal(t, rcexplain.Sent, r.Outcome)
	require.Len(t, r.Upstreams, engineCount)
	require.Equal(t, "i0", r.Instance)
	require.Equal(t, 2, r.Information.Instances)
	require.True(t, r.Information.StoreReachable)
	list, err := rcexplain.Instances(t.Context(), url)
	require.NoError(t, err)
	require.Equal(t, []rcexplain.Instance{{Name: "i0", Zone: "z", URL: url}, {Name: "i1", Zone: "z"}}, list)
	status, _, _ := s.call(0, http.MethodPost, "/advice/1", "first")
	require.Equal(t, http.StatusOK, status)
	mu.Lock()
	require.Equal(t, r.Upstream, arrivedAt["first"])
	mu.Unlock()
	_, err = rcexplain.Ask(t.Context(), "http://"+operators[1].String(), req) // Its settings define no listener.
	require.Error(t, err)

	get := func(query string) (status int, body string) {
		resp, err := http.Get(url + rcexplain.Path + query)
		require.NoError(t, err)
		defer resp.Body.Close()
		text, err := io.ReadAll(resp.Body)
		require.NoError(t, err)
		require.NotContains(t, string(text), "k1")
		require.NotContains(t, string(text), "secretpart")
		return resp.StatusCode, string(text)
	}
	for query, want := range map[string]int{
		"?Route=look&Account=t1":                                 http.StatusOK,
		"?Route=advice&Account=t1&Model=m&Parts=secretpart:2000": http.StatusOK,
		"?Route=none&Account=t1":                                 http.StatusNotFound,
		"?Route=look&Account=nobody":                             http.StatusNotFound,
		"?Route=look":                                            http.StatusBadRequest,
		"?Route=look&Account=t1&Service=llm":                     http.StatusNotFound,
		"?Route=advice&Account=t1":                               http.StatusBadRequest,
		"?Route=advice&Account=t1&Model=other":                   http.StatusNotFound,
		"?Route=advice&Account=t1&Model=m&Parts=x":               http.StatusBadRequest,
		"?Route=look&Account=t1&DeadlineMS=-1":                   http.StatusBadRequest,
		"?Route=look&Account=t1&Key=k1":                          http.StatusBadRequest,
	} {
		status, body := get(query)
		require.Equal(t, want, status, "%s: %s", query, body)
		require.Equal(t, want != http.StatusOK, strings.Contains(body, `"Message":`), "%s: %s", query, body)
	}
	resp, err := http.Post(url+rcexplain.Path, "application/json", strings.NewReader(`{"Route":"`+strings.Repeat("a", rcexplain.MaxRequestBytes)+`"}`))
	require.NoError(t, err)
	resp.Body.Close()
	require.Equal(t, http.StatusRequestEntityTooLarge, resp.StatusCode)
}
