package rcinstance

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/radishcrank/radishcrank/internal/standin/rcfakeupstream"
)

// framedAnswer is an answer as a client that knows HTTP only has received it.
type framedAnswer struct {
	status int
	body   string
	err    error // Not nil if the answer is visibly broken off.
}

// receiveOver sends a request with a version of HTTP until it is not refused. Clients of
// HTTP/1.0 know no chunks, so that a body without a length ends with the connection.
func (s *deployment) receiveOver(version, path, id, body string) (a framedAnswer) {
	const maxRefusals = 20 // Broken connections keep an upstream from being used for some time.
	for range maxRefusals {
		if a = s.receiveOnce(version, path, id, body); a.status != http.StatusServiceUnavailable {
			break
		}
		<-time.After(200 * time.Millisecond)
	}
	return a
}

func (s *deployment) receiveOnce(version, path, id, body string) (a framedAnswer) {
	conn, err := net.Dial("tcp", s.clientAddrs[0])
	require.NoError(s.t, err)
	defer conn.Close()
	require.NoError(s.t, conn.SetDeadline(time.Now().Add(6*time.Second)))
	generate := ""
	if strings.HasPrefix(path, "/advice/") || strings.HasPrefix(path, "/chat/") {
		generate = fmt.Sprintf("Radishcrank-Model: m\r\nRadishcrank-Prefix-Hash: aa:2500,bb:3000,%x:900\r\n", id)
	}
	_, err = fmt.Fprintf(conn, "POST %s HTTP/%s\r\nHost: a.example\r\nRadishcrank-Attempt-Id: %s\r\nRadishcrank-Deadline-Ms: 3000\r\nX-Api-Key: k1\r\n%sContent-Length: %d\r\n\r\n%s",
		path, version, id, generate, len(body), body)
	require.NoError(s.t, err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return framedAnswer{err: err}
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return framedAnswer{resp.StatusCode, string(text), err}
}

// TestBrokenOffAnswerLooksComplete guards against an answer that its upstream broke off
// and that reaches its client framed as complete, and against a whole one that does not.
func TestBrokenOffAnswerLooksComplete(t *testing.T) { testFraming(t, "1.1") }

// TestBrokenOffAnswerLooksCompleteToOldClient guards against the same for clients of
// HTTP/1.0, to whom a connection that is closed is the end of the answer.
func TestBrokenOffAnswerLooksCompleteToOldClient(t *testing.T) { testFraming(t, "1.0") }

func testFraming(t *testing.T, version string) {
	t.Parallel()
	var mu sync.Mutex
	deliveries := map[string]rcfakeupstream.Delivery{} // By request; only its first run is broken off.
	s := startDeploymentWith(t, deploymentOptions{instances: 1, delivery: func(id string) rcfakeupstream.Delivery {
		mu.Lock()
		defer mu.Unlock()
		d := deliveries[id]
		again := d
		again.Cut, again.Closing = rcfakeupstream.Whole, rcfakeupstream.Finish
		deliveries[id] = again
		return d
	}})
	framings := map[string]rcfakeupstream.Framing{"chunks": rcfakeupstream.Chunked, "length": rcfakeupstream.Sized, "no framing": rcfakeupstream.Unframed}
	cuts := map[string]rcfakeupstream.Cut{"whole": rcfakeupstream.Whole, "inside": rcfakeupstream.InsideEvent, "between": rcfakeupstream.BetweenEvents}
	closings := map[string]rcfakeupstream.Closing{"finished": rcfakeupstream.Finish, "reset": rcfakeupstream.Abort, "silent": rcfakeupstream.Hang}
	n := 0
	for _, path := range []string{"/advice/1", "/chat/1", "/book/1", "/look/1"} {
		for framingName, framing := range framings {
			for cutName, cut := range cuts {
				for closingName, closing := range closings {
					stream := path == "/advice/1" || path == "/chat/1"
					unframed := framing == rcfakeupstream.Unframed
					switch {
					case cut == rcfakeupstream.Whole && closing != rcfakeupstream.Finish:
						continue // Without framing the end is not proved, with framing it is the same as a whole answer.
					case stream && unframed && cut == rcfakeupstream.BetweenEvents && closing == rcfakeupstream.Finish:
						continue // Nothing tells this answer from a whole one.
					}
					n++
					id := fmt.Sprint("f", n)
					t.Run(fmt.Sprintf("%s/%s/%s/%s", path[1:5], framingName, cutName, closingName), func(t *testing.T) {
						if closing == rcfakeupstream.Hang {
							t.Parallel()
						}
						mu.Lock()
						deliveries[id] = rcfakeupstream.Delivery{Framing: framing, Cut: cut, Closing: closing, JSON: true}
						mu.Unlock()
						want := fmt.Sprintf(`{"Done":"done %s"}`, id)
						if stream {
							want = completeStream(8)
						}
						got := s.receiveOver(version, path, id, "body of "+id)
						switch {
						case cut == rcfakeupstream.Whole:
							require.NoError(t, got.err)
							require.Equal(t, http.StatusOK, got.status)
							require.Equal(t, want, got.body)
						case got.status == http.StatusOK && got.err == nil:
							require.Equal(t, want, got.body, "framed as complete")
						case got.status == http.StatusOK:
							require.True(t, strings.HasPrefix(want, got.body), got.body)
							require.GreaterOrEqual(t, len(got.body), len(completeStream(3)), "what had arrived was held back")
						}
					})
				}
			}
		}
	}
}
