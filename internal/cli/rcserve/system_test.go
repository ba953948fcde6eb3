package rcserve

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/serving/rcops"
	"github.com/radishcrank/radishcrank/internal/serving/rcsse"
	"github.com/radishcrank/radishcrank/internal/standin/rcfakeengine"
	"github.com/radishcrank/radishcrank/internal/standin/rcfakefleet"
	"github.com/radishcrank/radishcrank/internal/standin/rcfakeservice"
	"github.com/radishcrank/radishcrank/internal/state/rcconfig"
)

const (
	runInstanceEnv = "RADISHCRANKD_TEST_RUN" // If set, the test binary runs an instance.
	clientKey      = "riga-key"
	operatorKey    = "operator-key"
	peerKey        = "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff"

	answerTokens = 60
	waitLimit    = 30 * time.Second
)

func TestMain(m *testing.M) {
	if os.Getenv(runInstanceEnv) != "" {
		os.Exit(Main(os.Args[1:], os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

// process is a radishcrankd process.
type process struct {
	cmd      *exec.Cmd
	id       radishcrank.InstanceID
	settings string // Path of the settings file.
	exited   chan struct{}

	mu    sync.Mutex
	lines []string

	callers, operators, peers netip.AddrPort
}

// startedLine is the log line with the addresses of the listeners.
type startedLine struct {
	Message                   string `json:"message"`
	Callers, Operators, Peers netip.AddrPort
}

type testSystem struct {
	t     *testing.T
	fleet *rcfakefleet.Fleet
	dir   string
}

func newTestSystem(t *testing.T) *testSystem {
	fleet, err := rcfakefleet.Start(rcfakefleet.Config{
		Zones: 2, EnginesPerZone: 2, Service: "booking",
		Engine: rcfakeengine.Config{
			Models:      map[radishcrank.ModelID]radishcrank.WeightsVersion{"advice": "w1"},
			CacheBlocks: 1000, BlockTokens: 2000, BytesPerToken: 4, MaxBatch: 8,
			PrefillPerSecond: 1e6, DecodePerSecond: 50, MaxAnswerTokens: answerTokens,
		},
	})
	require.NoError(t, err)
	t.Cleanup(fleet.Close)
	return &testSystem{t: t, fleet: fleet, dir: t.TempDir()}
}

// start starts an instance and waits until it has logged its listeners.
func (s *testSystem) start(id string, zone int) *process {
	p := &process{id: radishcrank.InstanceID(id), settings: filepath.Join(s.dir, id+".ini"), exited: make(chan struct{})}
	text := fmt.Sprintf(`[Instance]
ID = %s
Region = test
Zone = %s
[Listeners]
Callers = 127.0.0.1:0
Peers = 127.0.0.1:0
Operators = 127.0.0.1:0
[Platform]
Table = %s
Objects = %s
Instances = %s
Weights = %s
[Peers]
Key = %s
[Operators]
KeyHashes = %s
`, id, rcfakefleet.Zone(zone), s.fleet.TableAddr, s.fleet.ObjectsAddr, s.fleet.InstanceListAddr, s.fleet.InstanceListAddr, peerKey, rcconfig.HashKey(operatorKey))
	require.NoError(s.t, os.WriteFile(p.settings, []byte(text), 0o600))
	p.cmd = exec.Command(os.Args[0], "--settings", p.settings, "--notice-delay", "0s")
	p.cmd.Env = append(os.Environ(), runInstanceEnv+"=1")
	log, err := p.cmd.StderrPipe()
	require.NoError(s.t, err)
	require.NoError(s.t, p.cmd.Start())
	found := make(chan startedLine, 1)
	go p.readLog(log, found)
	select {
	case line := <-found:
		p.callers, p.operators, p.peers = line.Callers, line.Operators, line.Peers
	case <-p.exited:
		s.t.Fatalf("instance %s exited: %s", id, p.log())
	case <-time.After(waitLimit):
		s.t.Fatalf("instance %s did not start: %s", id, p.log())
	}
	s.fleet.AddInstance(radishcrank.Instance{ID: p.id, Zone: rcfakefleet.Zone(zone), Peer: p.peers, Operators: p.operators})
	s.t.Cleanup(func() {
		p.cmd.Process.Kill()
		<-p.exited
		if s.t.Failed() {
			s.t.Logf("log of %s:\n%s", p.id, p.log())
		}
	})
	return p
}

func (p *process) readLog(log io.Reader, found chan<- startedLine) {
	scanner := bufio.NewScanner(log)
	for scanner.Scan() {
		p.mu.Lock()
		p.lines = append(p.lines, scanner.Text())
		p.mu.Unlock()
		var line startedLine
		if json.Unmarshal(scanner.Bytes(), &line) == nil && line.Message == "instance started" {
			found <- line
		}
	}
	p.cmd.Wait()
	close(p.exited)
}

func (p *process) log() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return strings.Join(p.lines, "\n")
}

func (p *process) operatorClient() *rcops.Client {
	return rcops.NewClient(rcops.ClientConfig{URL: "http://" + p.operators.String(), Key: operatorKey})
}

// waitFor waits until the status of an instance satisfies a condition.
func (s *testSystem) waitFor(p *process, condition func(rcops.Status) bool) {
	require.Eventually(s.t, func() bool {
		status, err := p.operatorClient().Status(s.t.Context())
		return err == nil && condition(status)
	}, waitLimit, 50*time.Millisecond, "status of %s", p.id)
}

func (s *testSystem) pushConfig(p *process) {
	doc := &rcconfig.Document{
		Defaults: rcconfig.DefaultSettings(),
		Accounts: []rcconfig.Account{{ID: "riga", Weight: 1, KeyHashes: []string{rcconfig.HashKey(clientKey)}}},
		Services: []rcconfig.Service{{Name: "booking", NonRepeatable: []string{"POST /"}}},
		Models:   []rcconfig.Model{{ID: "advice", Weights: "w1"}},
	}
	_, err := p.operatorClient().Push(s.t.Context(), rcops.PushRequest{Author: "test", Note: "first", Text: string(doc.Render())})
	require.NoError(s.t, err)
}

// post sends a request as a caller. The error is that of the HTTP client.
func (s *testSystem) post(p *process, path, body string, header map[string]string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(s.t.Context(), http.MethodPost, "http://"+p.callers.String()+path, strings.NewReader(body))
	require.NoError(s.t, err)
	req.Header.Set("Authorization", "Bearer "+clientKey)
	for name, value := range header {
		req.Header.Set(name, value)
	}
	return (&http.Client{Timeout: waitLimit, Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
}

const chatRequest = `{"model":"advice","stream":true,"messages":[{"role":"user","content":"Where do empties go?"}]}`

// readTokens reads up to limit tokens, or to the end of the stream. complete reports
// whether the terminator was received. All calls for a stream must use the same Reader,
// because it may have buffered events beyond those that it has returned.
func readTokens(t *testing.T, r *rcsse.Reader, limit int) (text, lastID string, complete bool) {
	for limit > 0 {
		e, err := r.Next()
		if err != nil {
			return text, lastID, false
		}
		if bytes.Equal(e.Data, []byte("[DONE]")) {
			return text, lastID, true
		}
		var chunk struct {
			Choices []struct{ Delta struct{ Content string } }
		}
		require.NoError(t, json.Unmarshal(e.Data, &chunk))
		require.Len(t, chunk.Choices, 1, string(e.Data))
		text += chunk.Choices[0].Delta.Content
		lastID = e.ID
		limit--
	}
	return text, lastID, false
}

func expectedAnswer() string {
	var b strings.Builder
	for i := range answerTokens {
		b.WriteString(rcfakeengine.TokenText("<|user|>Where do empties go?\n", "w1", i))
	}
	return b.String()
}

// Guards against effects of a killed instance: a stream that cannot be resumed on another
// instance, a booking that is lost or runs twice, a configuration that is lost, and a
// restarted instance that does not become ready.
func TestKillInstance(t *testing.T) {
	s := newTestSystem(t)
	a, b := s.start("a", 1), s.start("b", 2)
	s.pushConfig(a)
	for _, p := range []*process{a, b} {
		s.waitFor(p, func(st rcops.Status) bool {
			return st.Ready && st.ConfigRevision == 1 && st.Engines == 4 && st.Instances == 2
		})
	}

	stream, err := s.post(a, "/v1/chat/completions", chatRequest, nil)
	require.NoError(t, err)
	defer stream.Body.Close()
	events := rcsse.NewReader(stream.Body)
	head, lastID, _ := readTokens(t, events, 10)

	s.fleet.Service.SetFaults(rcfakeservice.Faults{WithholdResponses: 1})
	key := map[string]string{radishcrank.HeaderIdempotencyKey: "release-1"}
	booked := make(chan error, 1)
	go func() {
		resp, err := s.post(a, "/services/booking/releases", `{"Depot":"Riga"}`, key)
		if err == nil {
			resp.Body.Close()
		}
		booked <- err
	}()
	require.Eventually(t, func() bool { return s.fleet.Service.Total() == 1 }, waitLimit, 10*time.Millisecond)

	require.NoError(t, a.cmd.Process.Kill())
	<-a.exited
	require.Error(t, <-booked, "the booking's first response must be lost with the killed instance")
	rest, restID, complete := readTokens(t, events, answerTokens)
	require.False(t, complete)
	if restID != "" {
		head, lastID = head+rest, restID
	}

	resumed, err := s.post(b, "/v1/chat/completions", chatRequest, map[string]string{radishcrank.HeaderLastEventID: lastID})
	require.NoError(t, err)
	defer resumed.Body.Close()
	resumedEvents := rcsse.NewReader(resumed.Body)
	tail, _, complete := readTokens(t, resumedEvents, 2*answerTokens)
	require.True(t, complete)
	require.Equal(t, expectedAnswer(), head+tail)

	// The retry gets the response through the service's lookup, although the remaining
	// instance cannot distinguish a dead peer from its own network partition.
	var bodies []string
	for range 2 {
		resp, err := s.post(b, "/services/booking/releases", `{"Depot":"Riga"}`, key)
		require.NoError(t, err)
		body, err := io.ReadAll(resp.Body)
		require.NoError(t, err)
		resp.Body.Close()
		require.Equal(t, http.StatusOK, resp.StatusCode, string(body))
		bodies = append(bodies, string(body))
	}
	require.Equal(t, bodies[0], bodies[1])
	require.Equal(t, 1, s.fleet.Service.Runs("riga/release-1"))

	again := s.start("a", 1)
	s.waitFor(again, func(st rcops.Status) bool { return st.Ready && st.ConfigRevision == 1 })
	resp, err := s.post(again, "/services/booking/releases", `{"Depot":"Riga"}`, key)
	require.NoError(t, err)
	resp.Body.Close()
	require.Equal(t, http.StatusOK, resp.StatusCode)
	require.Equal(t, 1, s.fleet.Service.Total())
}

// Guards against a graceful stop that aborts a running stream, accepts new work, or exits
// with an error.
func TestGracefulStopFinishesStreams(t *testing.T) {
	s := newTestSystem(t)
	a := s.start("a", 1)
	s.pushConfig(a)
	s.waitFor(a, func(st rcops.Status) bool { return st.Ready && st.ConfigRevision == 1 && st.Engines == 4 })
	stream, err := s.post(a, "/v1/chat/completions", chatRequest, nil)
	require.NoError(t, err)
	defer stream.Body.Close()
	events := rcsse.NewReader(stream.Body)
	head, _, _ := readTokens(t, events, 1)
	require.NoError(t, a.cmd.Process.Signal(syscall.SIGTERM))
	tail, _, complete := readTokens(t, events, 2*answerTokens)
	require.True(t, complete)
	require.Equal(t, expectedAnswer(), head+tail)
	select {
	case <-a.exited:
	case <-time.After(waitLimit):
		t.Fatal("the instance did not stop")
	}
	require.Equal(t, 0, a.cmd.ProcessState.ExitCode())
	_, err = s.post(a, "/v1/chat/completions", chatRequest, nil)
	require.Error(t, err, "a stopped instance must not accept requests")
}
