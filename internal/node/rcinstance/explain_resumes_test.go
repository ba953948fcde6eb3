package rcinstance

import (
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/radishcrank/radishcrank/internal/serving/rcexplain"
	"github.com/radishcrank/radishcrank/internal/state/rcorigin"
)

// TestExplainTakenUpStream guards against an explanation at another instance than the one
// where a stream began that does not know its origin, or differs from what the instance does
// when the stream is taken up there.
func TestExplainTakenUpStream(t *testing.T) {
	software := func(n int) string { return []string{"v1.1", "v1.2"}[n%2] }
	var mu sync.Mutex
	arrivedAt := map[string]string{}
	var operators netip.AddrPort
	s := startDeploymentWith(t, deploymentOptions{
		instances: 2, software: software,
		prepare: func(n int, i *Instance) {
			if n == 1 {
				operators = freePorts(t, 1)[0]
				i.settings.OperatorAddr = operators
			}
		},
		onArrival: func(upstream, id string) {
			mu.Lock()
			defer mu.Unlock()
			arrivedAt[id] = upstream
		},
	})
	s.awaitPeers()
	at := func(id string) string {
		mu.Lock()
		defer mu.Unlock()
		return arrivedAt[id]
	}
	var b brokenStream
	b.receive(s, 0, "s1-0", 3)
	require.Equal(t, "3", b.last)
	time.Sleep(500 * time.Millisecond) // Loads and cached parts are reported meanwhile.

	req := rcexplain.Request{
		Account: "t1", Route: "advice", Model: "m", DeadlineMS: 3000, LastEvent: b.last, Resumes: b.first,
		Parts: []rcexplain.Part{{ID: "aa", Tokens: 2500}, {ID: "bb", Tokens: 3000}, {ID: "cc", Tokens: 900}},
	}
	r, err := rcexplain.Ask(t.Context(), "http://"+operators.String(), req)
	require.NoError(t, err)
	began := software(int(at("s1-0")[1] - '0'))
	require.Equal(t, rcexplain.Resumes{LastEvent: "3", Attempt: "s1-0", Known: true, Service: "llm", Software: began}, *r.Resumes)
	require.Equal(t, rcexplain.Sent, r.Outcome)
	require.Len(t, r.Upstreams, engineCount)
	for _, u := range r.Upstreams {
		require.Equal(t, u.Software != began, u.Obstacle == "OtherSoftware", "%+v", u)
		require.Equal(t, "1", u.Weights)
	}
	b.receive(s, 1, "s1-1", 8)
	require.Equal(t, completeStream(8), b.text.String())
	require.Equal(t, r.Upstream, at("s1-1"))

	// Only the other instance knows this stream.
	s.instances[0].peers.origins.registry.AddOwn(rcorigin.Record{Attempt: "elsewhere", Origin: rcorigin.Origin{Service: "llm", Software: "v1.2"}})
	req.Resumes = "elsewhere"
	r, err = rcexplain.Ask(t.Context(), "http://"+operators.String(), req)
	require.NoError(t, err)
	require.True(t, r.Resumes.Known)
	require.Equal(t, "v1.2", r.Resumes.Software)
	_, kept := s.instances[1].peers.origins.registry.Get("elsewhere")
	require.False(t, kept, "the explanation changed what the instance knows")

	req.Resumes = "never"
	r, err = rcexplain.Ask(t.Context(), "http://"+operators.String(), req)
	require.NoError(t, err)
	require.False(t, r.Resumes.Known)
	require.Equal(t, rcexplain.Refused, r.Outcome)

	for _, bad := range []rcexplain.Request{
		{Account: "t1", Route: "advice", Model: "m", Resumes: "s1-0"},
		{Account: "t1", Route: "look", LastEvent: "3"},
	} {
		_, err = rcexplain.Ask(t.Context(), "http://"+operators.String(), bad)
		require.ErrorContains(t, err, "LastEvent")
	}
}
