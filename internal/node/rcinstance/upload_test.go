package rcinstance

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/radishcrank/radishcrank/internal/standin/rcfakeupstream"
	"github.com/radishcrank/radishcrank/internal/state/rcfleet"
)

// TestResetUploadLooksComplete guards against an answer without a length that reaches its client as
// a whole one although its upstream reset the connection while the request was being sent, and
// against a whole one that does not reach it.
func TestResetUploadLooksComplete(t *testing.T) {
	t.Parallel()
	const bodyBytes = 4 << 20
	var mu sync.Mutex
	deliveries := map[string]rcfakeupstream.Delivery{} // By request; only its first run is delivered so.
	s := startDeploymentWith(t, deploymentOptions{instances: 1, delivery: func(id string) rcfakeupstream.Delivery {
		mu.Lock()
		defer mu.Unlock()
		d := deliveries[id]
		delete(deliveries, id)
		return d
	}})
	const marker = `,{"Name":"marker","Hostname":"a.example","Prefix":"/marker/","Kind":"idempotent","Service":"desk","TimeoutMs":800}`
	s.store.PutBytes("op", "config", []byte(strings.Replace(fmt.Sprintf(configTemplate, 2, marker), `"MaxBodyBytes":1000000`, `"MaxBodyBytes":8000000`, 1)))
	require.Eventually(t, func() bool {
		status, _, _ := s.call(0, http.MethodGet, "/marker/1", "marker")
		return status == http.StatusOK
	}, 5*time.Second, 20*time.Millisecond)
	s.earnRetries("/advice/1", 4)
	s.earnRetries("/look/1", 4)

	for name, c := range map[string]struct {
		delivery rcfakeupstream.Delivery
		whole    bool
	}{
		"reset text":        {rcfakeupstream.Delivery{Framing: rcfakeupstream.Unframed, Unread: true, Closing: rcfakeupstream.Abort}, false},
		"reset JSON":        {rcfakeupstream.Delivery{Framing: rcfakeupstream.Unframed, Unread: true, Closing: rcfakeupstream.Abort, JSON: true}, false},
		"closed text":       {rcfakeupstream.Delivery{Framing: rcfakeupstream.Unframed, Unread: true}, false},
		"closed JSON":       {rcfakeupstream.Delivery{Framing: rcfakeupstream.Unframed, Unread: true, JSON: true}, false},
		"reset with length": {rcfakeupstream.Delivery{Framing: rcfakeupstream.Sized, Unread: true, Closing: rcfakeupstream.Abort}, true},
		"request is read":   {rcfakeupstream.Delivery{Framing: rcfakeupstream.Unframed}, true},
	} {
		for _, path := range []string{"/advice/1", "/chat/1", "/book/1", "/look/1"} {
			t.Run(name+path, func(t *testing.T) {
				id := strings.ReplaceAll(t.Name(), "/", "-")
				mu.Lock()
				deliveries[id] = c.delivery
				mu.Unlock()
				s.awaitSoundUpstreams()
				// Bodies differ, since one that breaks several upstreams is refused.
				got := s.receiveOver("1.1", path, id, id+strings.Repeat("x", bodyBytes))
				complete := got.status == http.StatusOK && got.err == nil
				repeatable := path == "/advice/1" || path == "/look/1"
				require.Equal(t, c.whole || repeatable, complete, "status %d, error %v, body %q", got.status, got.err, got.body)
				switch {
				case path == "/advice/1":
					require.Equal(t, completeStream(8), got.body)
				case path == "/book/1" && !complete:
					require.Equal(t, http.StatusBadGateway, got.status)
				}
				runs := 1
				if !c.whole && repeatable {
					runs = 2
				}
				require.Equal(t, runs, s.runCounter.Runs(id))
			})
		}
	}
}

// earnRetries sends sound requests, since a young instance retries only part of its requests.
func (s *deployment) earnRetries(path string, retries int) {
	s.t.Helper()
	for n := range 4 * retries {
		status, _, _ := s.call(0, http.MethodPost, path, fmt.Sprint("sound", path, n))
		require.Equal(s.t, http.StatusOK, status)
	}
}

// awaitSoundUpstreams waits until no upstream is avoided because its last request failed.
func (s *deployment) awaitSoundUpstreams() {
	s.t.Helper()
	require.Eventually(s.t, func() bool {
		return !slices.ContainsFunc(s.instances[0].fleet.All(), func(state rcfleet.State) bool { return state.Suspect })
	}, 10*time.Second, 10*time.Millisecond)
}
