package rcdaemon_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/node/rcdaemon"
	"github.com/radishcrank/radishcrank/internal/serving/rcops"
	"github.com/radishcrank/radishcrank/internal/standin/rcfakeengine"
	"github.com/radishcrank/radishcrank/internal/standin/rcfakefleet"
	"github.com/radishcrank/radishcrank/internal/standin/rcfakeservice"
	"github.com/radishcrank/radishcrank/internal/standin/rcfaketable"
	"github.com/radishcrank/radishcrank/internal/state/rcconfig"
)

const (
	scheduleSeed = 20261203
	clientKey    = "key"
	answerTokens = 12
	instances    = 3
)

// harness runs instances against fake upstreams and platform services in one
// process, in real time.
type harness struct {
	t        *testing.T
	fleet    *rcfakefleet.Fleet
	daemons  []*rcdaemon.Daemon
	rng      *rand.Rand
	client   *http.Client
	requests int
}

func newHarness(t *testing.T) *harness {
	fleet, err := rcfakefleet.Start(rcfakefleet.Config{
		Zones: 2, EnginesPerZone: 2, Service: "booking",
		Engine: rcfakeengine.Config{
			Models:      map[radishcrank.ModelID]radishcrank.WeightsVersion{"advice": "w1"},
			CacheBlocks: 100, BlockTokens: 8, BytesPerToken: 4, MaxBatch: 16,
			PrefillPerSecond: 1e6, DecodePerSecond: 60, MaxAnswerTokens: answerTokens,
		},
	})
	require.NoError(t, err)
	t.Cleanup(fleet.Close)
	s := &harness{
		t: t, fleet: fleet, rng: rand.New(rand.NewPCG(scheduleSeed, 0)),
		client: &http.Client{Timeout: 20 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}},
	}
	for i := range instances {
		s.startInstance(fmt.Sprintf("i-%d", i+1), rcfakefleet.Zone(1+i%2))
	}
	s.pushConfig()
	require.Eventually(t, func() bool {
		for _, d := range s.daemons {
			if st := d.Status(); !st.Ready || st.ConfigRevision != 1 || st.Engines != 4 || st.Instances != instances {
				return false
			}
		}
		return true
	}, 20*time.Second, 20*time.Millisecond)
	return s
}

func listen(t *testing.T) (net.Listener, netip.AddrPort) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	return l, l.Addr().(*net.TCPAddr).AddrPort()
}

func (s *harness) startInstance(id string, zone radishcrank.AvailabilityZone) {
	boot := &rcconfig.BootSettings{ID: radishcrank.InstanceID(id), Zone: zone, Region: "r", PeerKey: []byte(strings.Repeat("k", 32))}
	var l rcdaemon.Listeners
	l.Callers, boot.Callers = listen(s.t)
	l.Operators, boot.Operators = listen(s.t)
	l.Peers, boot.Peers = listen(s.t)
	s.fleet.AddInstance(radishcrank.Instance{ID: boot.ID, Zone: zone, Peer: boot.Peers, Operators: boot.Operators})
	d, err := rcdaemon.New(rcdaemon.Config{
		BootSettings: boot, Listeners: l, Table: s.fleet.Table, Objects: s.fleet.Objects, InstanceLister: s.fleet.InstanceList, Log: zerolog.Nop(),
	})
	require.NoError(s.t, err)
	s.daemons = append(s.daemons, d)
	ctx, cancel := context.WithCancel(context.Background())
	abort, cancelAbort := context.WithCancel(context.Background())
	stopped := make(chan error, 1)
	go func() { stopped <- d.Run(ctx, abort) }()
	s.t.Cleanup(func() {
		cancelAbort()
		cancel()
		require.NoError(s.t, <-stopped)
	})
}

func (s *harness) pushConfig() {
	defaults := rcconfig.DefaultSettings()
	defaults.ProgressTimeout = 300 * time.Millisecond
	defaults.BlockTokens = 8
	doc := &rcconfig.Document{
		Defaults: defaults,
		Accounts: []rcconfig.Account{{ID: "riga", Weight: 1, KeyHashes: []string{rcconfig.HashKey(clientKey)}}},
		Services: []rcconfig.Service{{Name: "booking", NonRepeatable: []string{"POST /"}}},
		Models:   []rcconfig.Model{{ID: "advice", Weights: "w1"}},
	}
	_, err := s.daemons[0].ConfigStore().Push(s.t.Context(), rcops.PushRequest{Author: "test", Note: "first", Text: string(doc.Render())})
	require.NoError(s.t, err)
}

// fault is a failure that can be injected and removed.
type fault struct {
	name    string
	on, off func()
}

func (s *harness) faults() []fault {
	f := s.fleet
	engines := func(faults rcfakeengine.Faults) func() {
		return func() {
			for _, id := range []radishcrank.UpstreamID{"zone-1-engine-1", "zone-2-engine-2"} {
				f.Engines[id].SetFaults(faults)
			}
		}
	}
	table := func(faults rcfaketable.Faults) func() { return func() { f.Table.SetFaults(faults) } }
	service := func(faults rcfakeservice.Faults) func() { return func() { f.Service.SetFaults(faults) } }
	noop := func() {}
	return []fault{
		{"engine crash", func() { f.Engines["zone-1-engine-1"].Crash(); f.Engines["zone-2-engine-1"].Crash() }, noop},
		{"truncated streams", engines(rcfakeengine.Faults{DropAfter: 3}), engines(rcfakeengine.Faults{})},
		{"empty answers", engines(rcfakeengine.Faults{EmptyAnswer: true}), engines(rcfakeengine.Faults{})},
		{"repeated tokens", engines(rcfakeengine.Faults{WrongOrder: true}), engines(rcfakeengine.Faults{})},
		{"lost cache events", engines(rcfakeengine.Faults{DropEvents: true}), engines(rcfakeengine.Faults{})},
		{"silent connections", func() {
			for _, l := range f.Listeners {
				l.Blackhole()
			}
		}, noop},
		{"table down", table(rcfaketable.Faults{Down: true}), table(rcfaketable.Faults{})},
		{"table slow", table(rcfaketable.Faults{Delay: 200 * time.Millisecond}), table(rcfaketable.Faults{})},
		{"table answers lost", table(rcfaketable.Faults{LoseResponses: 6}), table(rcfaketable.Faults{})},
		{"table writes lost", table(rcfaketable.Faults{DropCommits: 6}), table(rcfaketable.Faults{})},
		{"list and objects down", func() { f.InstanceList.SetDown(true); f.Objects.SetDown(true) }, func() { f.InstanceList.SetDown(false); f.Objects.SetDown(false) }},
		{"service crashes before effect", service(rcfakeservice.Faults{CrashBefore: 2}), service(rcfakeservice.Faults{})},
		{"service crashes after effect", service(rcfakeservice.Faults{CrashAfter: 2}), service(rcfakeservice.Faults{})},
		{"service refuses", service(rcfakeservice.Faults{Refuse: 3}), service(rcfakeservice.Faults{})},
		{"service answers lost", service(rcfakeservice.Faults{TruncateResponses: 2}), service(rcfakeservice.Faults{})},
	}
}

// send posts a request to an instance. Its callers treat a connection error as
// a violation, because this test stops no instance.
func (s *harness) send(ctx context.Context, instance int, path, body, key string) (status int, outcome radishcrank.Outcome, answer string, err error) {
	addr := s.daemons[instance%instances].BootSettings().Callers
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr.String()+path, strings.NewReader(body))
	if err != nil {
		return 0, "", "", err
	}
	req.Header.Set("Authorization", "Bearer "+clientKey)
	if key != "" {
		req.Header.Set(radishcrank.HeaderIdempotencyKey, key)
	}
	resp, err := s.client.Do(req)
	if err != nil {
		return 0, "", "", err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, radishcrank.Outcome(resp.Header.Get(radishcrank.HeaderOutcome)), string(data), err
}

// checkAnswer sends a completion request and returns an error unless the response
// is complete and exact or an explicit failure.
func (s *harness) checkAnswer(ctx context.Context, n int) error {
	prompt := fmt.Sprintf("%s question %d", strings.Repeat("rule ", 40), n)
	status, outcome, answer, err := s.send(ctx, n, "/v1/completions", fmt.Sprintf(`{"model":"advice","prompt":%q}`, prompt), "")
	if err != nil {
		return fmt.Errorf("request %d: %w", n, err)
	}
	if status != http.StatusOK {
		if outcome == "" {
			return fmt.Errorf("request %d failed with %d and no outcome: %s", n, status, answer)
		}
		return nil
	}
	var want strings.Builder
	for i := range answerTokens {
		want.WriteString(rcfakeengine.TokenText(prompt, "w1", i))
	}
	if !strings.Contains(answer, `"text":"`+want.String()+`"`) {
		return fmt.Errorf("request %d got another answer: %s", n, answer)
	}
	return nil
}

// checkBooking repeats a booking on all instances in turn until its outcome is
// final, and returns an error if the outcomes are inconsistent or not final.
func (s *harness) checkBooking(ctx context.Context, n int) error {
	key := fmt.Sprintf("booking-%d", n)
	first := ""
	for attempt := range 40 {
		status, outcome, answer, err := s.send(ctx, n+attempt, "/services/booking/releases", `{"Box":1}`, key)
		if err != nil {
			return fmt.Errorf("%s: %w", key, err)
		}
		runs := s.fleet.Service.Runs("riga/" + key)
		switch {
		case runs > 1:
			return fmt.Errorf("%s ran %d times", key, runs)
		case status == http.StatusOK && runs != 1:
			return fmt.Errorf("%s was confirmed and ran %d times", key, runs)
		case status == http.StatusOK && first == "":
			first = answer
		case status == http.StatusOK && answer != first:
			return fmt.Errorf("%s was answered with %s and %s", key, first, answer)
		case status == http.StatusOK:
			return nil
		case first != "" && outcome != radishcrank.OutcomeRan:
			return fmt.Errorf("%s was confirmed, then refused with %d: %s", key, status, answer)
		case outcome == radishcrank.OutcomeNotRun && runs != 0:
			return fmt.Errorf("%s was refused as NotRun and ran", key)
		case outcome == radishcrank.OutcomeMayHaveRun && runs == 0 && attempt > 20:
			return nil // The service crashed before the effect, and the booking is never run again.
		}
		select {
		case <-time.After(50 * time.Millisecond):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return fmt.Errorf("%s has no final outcome", key)
}

// runSchedule runs requests while faults a and b overlap and returns the
// violations.
func (s *harness) runSchedule(a, b fault) (violations []error) {
	ctx, cancel := context.WithTimeout(s.t.Context(), 30*time.Second)
	defer cancel()
	var running sync.WaitGroup
	var mu sync.Mutex
	runCheck := func(f func(context.Context, int) error) {
		s.requests++
		n := s.requests
		running.Go(func() {
			if err := f(ctx, n); err != nil {
				mu.Lock()
				defer mu.Unlock()
				violations = append(violations, err)
			}
		})
	}
	sendRequests := func() {
		for range 6 {
			runCheck(s.checkAnswer)
		}
		for range 4 {
			runCheck(s.checkBooking)
		}
	}
	pause := func() { <-time.After(time.Duration(20+s.rng.IntN(80)) * time.Millisecond) }
	sendRequests()
	pause()
	a.on()
	sendRequests()
	pause()
	b.on()
	sendRequests()
	pause()
	a.off()
	pause()
	b.off()
	sendRequests()
	running.Wait()
	for _, d := range s.daemons {
		if st := d.Status(); st.ConfigRevision != 1 || st.Instances != instances {
			violations = append(violations, fmt.Errorf("%s has revision %d and sees %d instances", st.Instance, st.ConfigRevision, st.Instances))
		}
	}
	return violations
}

// Guards against pairs of concurrent failures that violate an invariant: a response
// is complete and belongs to its request, or fails explicitly; a booking runs at
// most once; the outcome NotRun is correct; a confirmed booking keeps its response;
// the configuration never reverts; and no live instance is considered dead.
func TestPairsOfFailures(t *testing.T) {
	s := newHarness(t)
	faults := s.faults()
	schedules := 0
	for i := range faults {
		for j := i; j < len(faults); j++ {
			for _, violation := range s.runSchedule(faults[i], faults[j]) {
				t.Errorf("%s with %s: %v", faults[i].name, faults[j].name, violation)
			}
			schedules++
		}
	}
	require.Empty(t, s.fleet.Service.Duplicates())
	require.Eventually(t, func() bool {
		for _, d := range s.daemons {
			if st := d.Status(); st.Streams != 0 || st.OpenRecords != 0 {
				return false
			}
		}
		return true
	}, 30*time.Second, 50*time.Millisecond, "streams or records are left")
	t.Logf("seed %d: %d schedules, %d requests and bookings, %d bookings ran", scheduleSeed, schedules, s.requests, s.fleet.Service.Total())
}
