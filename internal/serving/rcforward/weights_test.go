package rcforward

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/limits/rcpoison"
	"github.com/radishcrank/radishcrank/internal/routing/rcaffinity"
	"github.com/radishcrank/radishcrank/internal/state/rcboard"
	"github.com/radishcrank/radishcrank/internal/state/rcfleet"
	"github.com/radishcrank/radishcrank/internal/state/rcmetric"
	"github.com/radishcrank/radishcrank/internal/state/rcweights"
)

// queuingSender is a Sender whose upstreams begin an exchange after wait, unless
// it is canceled before.
type queuingSender struct {
	wait         func(o radishcrank.SendOptions) time.Duration
	headersFirst bool                                     // The headers of the response precede the wait.
	onBegin      func(weights radishcrank.WeightsVersion) // Called when an upstream begins an exchange.
}

func (s *queuingSender) Send(ctx context.Context, _ radishcrank.Upstream, _ *radishcrank.Exchange, o radishcrank.SendOptions) (*radishcrank.Reply, error) {
	begin := func() error {
		select {
		case <-time.After(s.wait(o)):
			s.onBegin(o.Weights)
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	reply := okReply()
	reply.Weights = o.Weights
	if s.headersFirst {
		reply.Body = &queuedBody{begin: begin}
		return &reply, nil
	}
	if err := begin(); err != nil {
		return nil, err
	}
	reply.Body = &queuedBody{begin: func() error { return nil }}
	return &reply, nil
}

// queuedBody is a stream of one event that begins when begin returns.
type queuedBody struct {
	begin func() error
	done  bool
}

func (b *queuedBody) Read(p []byte) (int, error) {
	if b.done {
		return 0, io.EOF
	}
	if err := b.begin(); err != nil {
		return 0, err
	}
	b.done = true
	return copy(p, "id: 1\n\n"), nil
}

func (*queuedBody) Close() error { return nil }

// TestOldWeightsExpireDuringWait guards against an answer that begins on replaced
// weights after their deadline, because its request was sent before and waited at
// the upstream.
func TestOldWeightsExpireDuringWait(t *testing.T) {
	const ttl = 4 * time.Second
	for name, c := range map[string]struct {
		headersFirst bool
		maxAttempts  int
		namedLater   bool // The newer weights become the target during the wait.
		status       int
	}{
		"another upstream takes over":           {maxAttempts: 2, status: http.StatusOK},
		"headers come before the wait":          {headersFirst: true, maxAttempts: 2, status: http.StatusOK},
		"no attempt is left":                    {maxAttempts: 1, status: http.StatusBadGateway},
		"newer weights named during the wait":   {maxAttempts: 1, namedLater: true, status: http.StatusBadGateway},
		"headers before, named during the wait": {headersFirst: true, maxAttempts: 1, namedLater: true, status: http.StatusBadGateway},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fleet := rcfleet.New()
				var history atomic.Value
				history.Store(rcweights.History{Model: "m"})
				for _, id := range []radishcrank.UpstreamID{"u0", "u1"} {
					fleet.Put(rcfleet.Entry{
						Upstream: radishcrank.Upstream{ID: id, Service: "s", Software: "v1"},
						Weights:  map[radishcrank.ModelID]radishcrank.WeightsVersion{"m": "1"},
					})
				}
				replacedAt := time.Now()
				name := func() {
					h, _ := rcweights.History{Model: "m"}.Add("2", time.Now())
					history.Store(h)
				}
				if c.namedLater {
					replacedAt = replacedAt.Add(500 * time.Millisecond)
					time.AfterFunc(500*time.Millisecond, name)
				} else {
					name()
					time.Sleep(ttl - 1300*time.Millisecond)
					// One upstream loads the newer weights while the request waits at the other.
					time.AfterFunc(100*time.Millisecond, func() {
						for _, s := range fleet.All() {
							if s.Running == 0 {
								fleet.SetWeights(s.ID, "m", "2")
							}
						}
					})
				}
				s := &queuingSender{
					headersFirst: c.headersFirst,
					wait: func(o radishcrank.SendOptions) time.Duration {
						if o.Weights == "1" {
							return 6 * time.Second
						}
						return 50 * time.Millisecond
					},
					onBegin: func(w radishcrank.WeightsVersion) {
						require.False(t, w == "1" && time.Since(replacedAt) > ttl, "begun %s after newer weights became the target", time.Since(replacedAt))
					},
				}
				f := New(Config{
					Fleet: fleet, Sender: s, Budget: stubBudget{}, Guard: rcpoison.New(rcpoison.Config{Board: rcboard.New()}),
					Weights:       func(radishcrank.ModelID) rcweights.History { return history.Load().(rcweights.History) },
					OldWeightsTTL: func() time.Duration { return ttl },
					KVStores:      func() []rcaffinity.KVStore { return nil },
					RecordCached:  func(radishcrank.UpstreamID, string, []radishcrank.PromptPart) {},
					Origins:       stubOrigins{}, Incarnation: listedIncarnation,
					Metrics: &rcmetric.Set{}, Log: zerolog.Nop(),
				})
				x := streaming(radishcrank.RetryResume)
				x.Route.MaxAttempts = c.maxAttempts
				x.Route.LatencyTarget = 2 * time.Second // Its multiple, the first event timeout, lies beyond the deadline of the weights.
				x.ID, x.Service, x.Model = "r", "s", "m"
				x.ReceivedAt, x.Deadline = time.Now(), time.Now().Add(15*time.Second)
				w := httptest.NewRecorder()
				require.NoError(t, f.Serve(t.Context(), w, &x))
				require.Equal(t, c.status, w.Code)
				for _, s := range fleet.All() {
					require.False(t, s.Suspect || s.Probing, "an upstream that was left for the age of its weights has not failed")
				}
			})
		})
	}
}
