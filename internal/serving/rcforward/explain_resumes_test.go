package rcforward

import (
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/serving/rcexplain"
	"github.com/radishcrank/radishcrank/internal/state/rcorigin"
	"github.com/radishcrank/radishcrank/internal/state/rcweights"
)

// drawVersions gives upstreams software versions and weights, of which version 1 has expired,
// and lets most of them be usable otherwise.
func drawVersions(rng *rand.Rand, cases []upstreamCase) {
	for i := range cases {
		if rng.IntN(3) > 0 {
			cases[i] = upstreamCase{zone: cases[i].zone, running: cases[i].running}
		}
		cases[i].software = []radishcrank.SoftwareVersion{"a", "a", "b", ""}[rng.IntN(4)]
		cases[i].weights = []radishcrank.WeightsVersion{"2", "2", "1"}[rng.IntN(3)]
	}
}

// TestExplainTakenUpStream guards against an explanation of a stream that a client takes up
// which differs from what the next request meets, or hides why the stream cannot go on at an
// upstream.
func TestExplainTakenUpStream(t *testing.T) {
	const seeds = 400
	outcomes, obstacles := map[string]int{}, map[string]int{}
	for seed := range uint64(seeds) {
		rng := rand.New(rand.NewPCG(seed, 1))
		cases := drawUpstreams(rng)
		drawVersions(rng, cases)
		services := [][]string{{"s"}, {"s"}, {"s", "other"}, {"other"}}[rng.IntN(4)]
		origins := []stubOrigins{
			{"r0": {Service: "s", Software: "a"}}, {"r0": {Service: "s", Software: "a"}}, {"r0": {Service: "s", Software: "b"}},
			{}, {"r0": {Service: "s", Software: "c"}}, {"r0": {Service: "other", Software: "a"}},
		}[rng.IntN(6)]
		exchange := func() *radishcrank.Exchange {
			x := takenUp()
			x.Model, x.PromptParts = "m", []radishcrank.PromptPart{{ID: "root", Tokens: 2500}, {ID: "own", Tokens: 900}}
			x.ID, x.Service, x.Services, x.Method, x.Target = "r", services[0], services, http.MethodPost, "/p"
			x.ReceivedAt, x.Deadline = time.Now(), time.Now().Add(2*time.Second)
			return &x
		}
		configure := func(c *Config) {
			history, _ := rcweights.History{Model: "m"}.Add("1", time.Now().Add(-time.Minute))
			history, _ = history.Add("2", time.Now().Add(-5*time.Second))
			c.Weights = func(radishcrank.ModelID) rcweights.History { return history }
			c.OldWeightsTTL = func() time.Duration { return 1500 * time.Millisecond }
			c.Origins = origins
		}
		want, _ := serveExplained(t, cases, exchange, configure, 0)
		got, r := serveExplained(t, cases, exchange, configure, 3)
		requireAsExplained(t, seed, want, got, r)
		outcomes[r.Outcome]++
		requireResumes(t, seed, r, origins["r0"], services)
		for _, u := range r.Upstreams {
			obstacles[u.Obstacle]++
		}
		if r.Service == "s" {
			require.Len(t, r.Upstreams, len(cases), "seed %d", seed)
		}
		for _, sent := range got.sent {
			require.Equal(t, "1", sent.o.LastEventID)
		}
	}
	t.Log(outcomes, obstacles)
	require.Greater(t, outcomes[rcexplain.Sent], seeds/10)
	require.Greater(t, outcomes[rcexplain.Refused], seeds/10)
	require.Greater(t, outcomes[rcexplain.Waits], seeds/100)
	for _, o := range []string{obstacleOtherSoftware, obstacleUnknownOrigin, "WeightsExpire", "Failed"} {
		require.NotZero(t, obstacles[o], o)
	}
}

// requireResumes checks what a report says of the stream that is taken up.
func requireResumes(t *testing.T, seed uint64, r rcexplain.Report, origin rcorigin.Origin, services []string) {
	t.Helper()
	onRoute := false
	for _, s := range services {
		onRoute = onRoute || s == origin.Service
	}
	require.Equal(t, onRoute, r.Resumes.Known, "seed %d", seed)
	require.Equal(t, string(origin.Software), r.Resumes.Software)
	require.Equal(t, onRoute, r.Resumes.Why == "")
	for _, u := range r.Upstreams {
		switch {
		case !onRoute:
			require.Equal(t, obstacleUnknownOrigin, u.Obstacle, "seed %d", seed)
		case u.Software != string(origin.Software):
			require.Equal(t, obstacleOtherSoftware, u.Obstacle, "seed %d", seed)
		default:
			require.NotEqual(t, obstacleOtherSoftware, u.Obstacle, "seed %d", seed)
			require.False(t, u.Chosen && u.Weights == "1", "seed %d: expired weights", seed)
		}
	}
}
