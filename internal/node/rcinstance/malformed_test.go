package rcinstance

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/radishcrank/radishcrank/internal/standin/rcfakeupstream"
)

// testMalformed lets the first run of requests on all kinds of routes end with a malformed answer.
// None may reach a client; what may be repeated is to be answered by another upstream, and nothing
// may stay taken at the upstreams.
func testMalformed(t *testing.T, cases map[string]rcfakeupstream.Delivery) {
	t.Parallel()
	var mu sync.Mutex
	deliveries := map[string]rcfakeupstream.Delivery{}
	s := startDeploymentWith(t, deploymentOptions{instances: 1, delivery: func(id string) rcfakeupstream.Delivery {
		mu.Lock()
		defer mu.Unlock()
		d := deliveries[id]
		delete(deliveries, id)
		return d
	}})
	s.earnRetries("/advice/1", len(cases))
	s.earnRetries("/look/1", len(cases))
	for name, delivery := range cases {
		for _, path := range []string{"/advice/1", "/chat/1", "/book/1", "/look/1"} {
			t.Run(name+path, func(t *testing.T) {
				id := strings.NewReplacer("/", "-", "\"", "").Replace(t.Name())
				mu.Lock()
				deliveries[id] = delivery
				mu.Unlock()
				s.awaitSoundUpstreams()
				got := s.receiveOver("1.1", path, id, "body of "+id)
				if path == "/chat/1" && delivery.Trailer != "" {
					require.Error(t, got.err, "events are passed on as they arrive, and the connection is cut")
					return
				}
				require.NoError(t, got.err)
				status, body, runs := http.StatusOK, completeStream(8), 2
				switch path {
				case "/look/1":
					body = "done " + id
				case "/chat/1", "/book/1":
					status, body, runs = http.StatusBadGateway, "the upstream failed; the request may have run\n", 1
				}
				require.Equal(t, framedAnswer{status: status, body: body}, got)
				require.Equal(t, runs, s.runCounter.Runs(id))
			})
		}
	}
	require.Eventually(t, func() bool {
		for _, state := range s.instances[0].fleet.All() {
			if state.Running != 0 || state.Held != 0 {
				return false
			}
		}
		return true
	}, 5*time.Second, 10*time.Millisecond, "%v", s.instances[0].fleet.All())
}

// TestInvalidStatusReachesClient guards against a status that is none in HTTP: the handler of the
// request panics when it passes it on, and the client gets no answer.
func TestInvalidStatusReachesClient(t *testing.T) {
	cases := map[string]rcfakeupstream.Delivery{}
	for _, status := range []string{"000", "099", "+20", "-00"} {
		cases[fmt.Sprintf("%q", status)] = rcfakeupstream.Delivery{Framing: rcfakeupstream.Sized, Status: status + " Trouble"}
	}
	testMalformed(t, cases)
}

// TestMalformedFieldReachesClient guards against an answer with a name of a field that is none in
// HTTP: the client gets the line, or a body that is not the upstream's.
func TestMalformedFieldReachesClient(t *testing.T) {
	testMalformed(t, map[string]rcfakeupstream.Delivery{
		"blank in name":    {Framing: rcfakeupstream.Sized, Field: "X Y: 1"},
		"blank after name": {Framing: rcfakeupstream.Sized, Field: "X-Y : 1"},
		"control byte":     {Framing: rcfakeupstream.Sized, Field: "X\x01Y: 1"},
		"length":           {Framing: rcfakeupstream.Unframed, Field: "Content-Length : 4"},
		"coding":           {Framing: rcfakeupstream.Unframed, Field: "Transfer-Encoding : chunked"},
		"failure":          {Framing: rcfakeupstream.Sized, Status: "500 Internal Server Error", Field: "X-Y : 1"},
		"trailer":          {Framing: rcfakeupstream.Chunked, Trailer: "X-Y : 1"},
	})
}
