package rcfakeupstream_test

import (
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/radishcrank/radishcrank/internal/standin/rcfakecaller"
	"github.com/radishcrank/radishcrank/internal/standin/rcfakeupstream"
)

// start starts an upstream and returns a function that sends requests to it.
func start(t *testing.T, cfg rcfakeupstream.Config) (u *rcfakeupstream.Upstream, send func(rcfakecaller.Request) rcfakecaller.Result) {
	cfg.ID, cfg.Runs = "u1", rcfakeupstream.NewRunCounter()
	u, err := rcfakeupstream.Start(cfg)
	require.NoError(t, err)
	t.Cleanup(u.Close)
	return u, func(q rcfakecaller.Request) rcfakecaller.Result {
		q.Addr, q.Path, q.Timeout = u.Addr, "/chat/1", time.Minute
		return rcfakecaller.Send(&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, q)
	}
}

// TestLoadReport guards against load reports that instances drop, and against speeds and
// neighbors that the reports do not state.
func TestLoadReport(t *testing.T) {
	var neighbors atomic.Int64
	neighbors.Store(1)
	m := &rcfakeupstream.Machine{Slots: 32, Speed: 0.5, Neighbors: func() float64 { return float64(neighbors.Load()) }}
	u, _ := start(t, rcfakeupstream.Config{Machine: m})
	for _, n := range []int64{1, 3} {
		neighbors.Store(n)
		resp, err := http.Get("http://" + u.Addr + "/radishcrank/report")
		require.NoError(t, err)
		resp.Body.Close()
		fields := strings.Split(resp.Header.Get("Radishcrank-Server-Load"), ",")
		require.Len(t, fields, 4)
		require.Equal(t, []string{"0", "0", "32"}, fields[:3])
		slowness, err := time.ParseDuration(fields[3] + "s")
		require.NoError(t, err)
		require.InDelta(t, float64(200*n), slowness.Seconds(), float64(20*n)+1)
	}
}

// TestMemory guards against an upstream that counts shared parts twice, keeps memory of
// finished requests, or survives more tokens than fit.
func TestMemory(t *testing.T) {
	var overflow atomic.Int64
	begun := make(chan bool, 2)
	m := &rcfakeupstream.Machine{Slots: 32, Speed: 1, CapacityTokens: 15_000, OnOverflow: func(_ string, held int) { overflow.Store(int64(held)) }}
	u, send := start(t, rcfakeupstream.Config{
		Machine: m, Model: "m", EventCount: 20, Delay: 10 * time.Millisecond, OnCrash: func() {}, OnRun: func(*http.Request) { begun <- true },
	})
	first := make(chan rcfakecaller.Result)
	go func() { first <- send(rcfakecaller.Request{ID: "r1", Model: "m", OwnTokens: 8000}) }()
	<-begun
	require.Equal(t, http.StatusOK, send(rcfakecaller.Request{ID: "r2", Model: "m", OwnTokens: 1500}).Status)
	require.Equal(t, http.StatusOK, (<-first).Status)
	require.Eventually(t, func() bool { return u.HeldTokens() == 0 }, time.Second, time.Millisecond)
	require.Zero(t, overflow.Load())
	require.Zero(t, send(rcfakecaller.Request{ID: "r3", Model: "m", OwnTokens: 9501}).Status)
	require.EqualValues(t, 15_001, overflow.Load())
}

// TestSlots guards against an upstream that runs more requests than it has slots, or that
// refuses without saying that nothing has run.
func TestSlots(t *testing.T) {
	begun := make(chan bool, 2)
	_, send := start(t, rcfakeupstream.Config{Machine: &rcfakeupstream.Machine{Slots: 1, Speed: 1}, Delay: 300 * time.Millisecond, OnRun: func(*http.Request) { begun <- true }})
	first := make(chan rcfakecaller.Result)
	go func() { first <- send(rcfakecaller.Request{ID: "r1"}) }()
	<-begun
	require.Equal(t, http.StatusServiceUnavailable, send(rcfakecaller.Request{ID: "r2"}).Status)
	require.Equal(t, "done r1", (<-first).Body)
}

// TestSlowReaders guards against slow readers that lose data, and against an upstream that
// goes on for a caller that reads nothing.
func TestSlowReaders(t *testing.T) {
	const padding = 64 << 10
	_, send := start(t, rcfakeupstream.Config{
		Shape:     func(string) rcfakeupstream.Shape { return rcfakeupstream.Shape{Padding: padding} },
		ReadPause: func(string) time.Duration { return time.Millisecond },
	})
	r := send(rcfakecaller.Request{ID: "r1", BodyBytes: 100_000, ReadPause: time.Millisecond})
	require.NoError(t, r.Err)
	require.Len(t, r.Body, len("done r1")+padding)

	_, send = start(t, rcfakeupstream.Config{
		Shape: func(string) rcfakeupstream.Shape { return rcfakeupstream.Shape{Padding: 32 << 20} }, UnreadTimeout: 50 * time.Millisecond,
	})
	require.Error(t, send(rcfakecaller.Request{ID: "r2", ReadPause: 500 * time.Millisecond}).Err)
}
