package rcload

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/serving/rcsse"
	_ "github.com/radishcrank/radishcrank/internal/testing/rcseed"
)

// fakeFleet responds to requests in memory, so that a run can take place in a
// synctest bubble.
type fakeFleet func(*http.Request) (*http.Response, error)

// RoundTrip implements http.RoundTripper.
func (f fakeFleet) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

func newResponse(status int, header http.Header, body io.Reader) *http.Response {
	return &http.Response{StatusCode: status, Header: header, Body: io.NopCloser(body)}
}

const tokens = 3

// streamEvents returns the events of a complete stream of 3 tokens.
func streamEvents() []string {
	var events []string
	for i := range tokens {
		events = append(events, fmt.Sprintf("id: r/%d\ndata: {\"choices\":[{\"text\":\"x\",\"finish_reason\":null}]}\n\n", i))
	}
	return append(events,
		"id: r/3\ndata: {\"choices\":[{\"text\":\"\",\"finish_reason\":\"stop\"}]}\n\n",
		"data: {\"choices\":[],\"usage\":{\"prompt_tokens\":100,\"prompt_tokens_details\":{\"cached_tokens\":60}}}\n\n",
		"data: [DONE]\n\n")
}

func testConfig(f fakeFleet) Config {
	return Config{
		Addrs:     []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:1")},
		Keys:      []string{"key"},
		Model:     "advice",
		Shape:     ShapeSofia,
		Rate:      20,
		Duration:  4 * time.Second,
		Seed:      20261203,
		Transport: f,
	}
}

// Guards against a broken stream that counts as completed: one with lost,
// repeated or swapped events, a truncated one, or one with events after its
// end.
func TestOnlyIntactStreamsComplete(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		intact := streamEvents()
		events := slices.Clone(intact)
		for range rapid.IntRange(0, 2).Draw(t, "changes") {
			i := rapid.IntRange(0, len(events)-1).Draw(t, "i")
			j := rapid.IntRange(0, len(events)-1).Draw(t, "j")
			switch rapid.SampledFrom([]string{"drop", "repeat", "swap", "cut", "other", "error"}).Draw(t, "change") {
			case "drop":
				events = slices.Delete(events, i, i+1)
			case "repeat":
				events = slices.Insert(events, i, events[j])
			case "swap":
				events[i], events[j] = events[j], events[i]
			case "cut":
				events = events[:i+1]
			case "other":
				events[i] = strings.ReplaceAll(events[i], "id: r/", "id: q/")
			case "error":
				events[i] = "data: {\"error\":{\"outcome\":\"MayHaveRun\"}}\n\n"
			}
			if len(events) == 0 {
				events = []string{"\n"}
			}
		}
		o := outcome{intendedFor: time.Now()}
		s := streamChecker{out: &o, requestID: "r"}
		o.finish(context.Background(), s.read(rcsse.NewReader(strings.NewReader(strings.Join(events, "")))))
		// A stream without the usage chunk is complete too.
		complete := slices.Equal(events, intact) || slices.Equal(events, slices.Delete(slices.Clone(intact), 4, 5))
		require.Equal(t, complete, o.end == EndCompleted, "%q ended %s", events, o.end)
	})
}

// Guards against coordinated omission: the latency of requests that cannot be
// sent while the fleet stalls must be measured from their intended send time.
func TestStallShowsInLatency(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cfg := testConfig(nil)
		start := time.Now()
		const stall = 3 * time.Second
		cfg.Transport = fakeFleet(func(r *http.Request) (*http.Response, error) {
			time.Sleep(max(time.Millisecond, time.Until(start.Add(stall))))
			return newResponse(http.StatusOK, nil, strings.NewReader(strings.Join(streamEvents(), ""))), nil
		})
		cfg.MaxInFlight = 1
		res, err := Run(t.Context(), cfg)
		require.NoError(t, err)
		require.Equal(t, res.Sent, res.Completed)
		// Most requests are due during the stall, which takes three of the four seconds.
		require.Greater(t, res.TTFT.P50Ms, 500.0)
		require.Greater(t, res.TTFT.P99Ms, 2500.0)
		require.InDelta(t, res.TTFT.MaxMs, 3000, 300)
	})
}

// Guards against refusals, calls and timeouts that are not counted, a result
// file that is not read back unchanged, and missing progress lines.
func TestRunCountsEveryRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := 0
		calls := make(map[string]bool)
		cfg := testConfig(nil)
		lock := make(chan struct{}, 1)
		cfg.Transport = fakeFleet(func(r *http.Request) (*http.Response, error) {
			lock <- struct{}{}
			defer func() { <-lock }()
			if r.URL.Path == "/services/booking/releases" {
				calls[r.Header.Get(radishcrank.HeaderIdempotencyKey)] = true
				return newResponse(http.StatusOK, nil, strings.NewReader("{}")), nil
			}
			switch n++; n % 4 {
			case 0:
				h := http.Header{radishcrank.HeaderOutcome: {string(radishcrank.OutcomeNotRun)}}
				return newResponse(http.StatusTooManyRequests, h, strings.NewReader("{}")), nil
			case 1:
				reader, writer := io.Pipe()
				context.AfterFunc(r.Context(), func() { writer.CloseWithError(r.Context().Err()) })
				return newResponse(http.StatusOK, nil, reader), nil
			}
			return newResponse(http.StatusOK, nil, strings.NewReader(strings.Join(streamEvents(), ""))), nil
		})
		var progress bytes.Buffer
		cfg.CallsPerSecond, cfg.CallPath = 5, "/services/booking/releases"
		cfg.RequestTimeout = 2 * time.Second
		cfg.Progress = &progress
		res, err := Run(t.Context(), cfg)
		require.NoError(t, err)
		require.Equal(t, n+len(calls), res.Sent)
		ends := 0
		for _, e := range res.Ends {
			ends += e.Count
			if e.End == EndRefused {
				require.Equal(t, radishcrank.OutcomeNotRun, e.Outcome)
				require.Equal(t, n/4, e.Count)
			}
			if e.End == EndTimeout {
				require.Equal(t, (n+3)/4, e.Count)
			}
		}
		require.Equal(t, res.Sent, ends)
		require.EqualValues(t, len(calls), res.Calls.Count)
		require.InDelta(t, 0.6, res.HitRate(), 1e-9)
		require.GreaterOrEqual(t, strings.Count(progress.String(), "\n"), 3)

		var file bytes.Buffer
		require.NoError(t, res.Write(&file))
		require.Contains(t, file.String(), `"BetweenTokens"`)
		again, err := ReadResult(&file)
		require.NoError(t, err)
		require.Equal(t, res, again)
	})
}

// Guards against a configuration that would divide by zero or send nothing, and
// against reading a result file of another version.
func TestInvalidInputIsRejected(t *testing.T) {
	for name, change := range map[string]func(*Config){
		"addrs":    func(c *Config) { c.Addrs = nil },
		"keys":     func(c *Config) { c.Keys = nil },
		"rate":     func(c *Config) { c.Rate = 0 },
		"shape":    func(c *Config) { c.Shape = "Oslo" },
		"callpath": func(c *Config) { c.CallsPerSecond = 1 },
	} {
		cfg := testConfig(nil)
		change(&cfg)
		_, err := Run(t.Context(), cfg)
		require.Error(t, err, name)
	}
	data, err := json.Marshal(Result{Version: ResultVersion + 1})
	require.NoError(t, err)
	_, err = ReadResult(bytes.NewReader(data))
	require.Error(t, err)
}

// Guards against a run that continues after its context has ended.
func TestInterruptedRunReturns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cfg := testConfig(fakeFleet(func(r *http.Request) (*http.Response, error) {
			<-r.Context().Done()
			return nil, r.Context().Err()
		}))
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		start := time.Now()
		res, err := Run(ctx, cfg)
		require.NoError(t, err)
		require.True(t, res.Interrupted)
		require.Equal(t, time.Second, time.Since(start))
		require.Zero(t, res.Completed)
		require.Positive(t, res.Sent)
	})
}
