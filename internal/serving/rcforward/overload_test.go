package rcforward

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
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

// queuedEngines simulates engines that each read one prompt at a time.
type queuedEngines struct {
	perPrompt time.Duration
	jobs      map[radishcrank.UpstreamID]chan job
	running   sync.WaitGroup
}

type job struct {
	ctx  context.Context
	done chan struct{}
}

func newQueuedEngines(ids []radishcrank.UpstreamID, perPrompt time.Duration) *queuedEngines {
	q := &queuedEngines{perPrompt: perPrompt, jobs: map[radishcrank.UpstreamID]chan job{}}
	for _, id := range ids {
		jobs := make(chan job, 1000)
		q.jobs[id] = jobs
		q.running.Go(func() {
			for j := range jobs {
				if j.ctx.Err() == nil {
					time.Sleep(q.perPrompt)
					close(j.done)
				}
			}
		})
	}
	return q
}

func (q *queuedEngines) stop() {
	for _, jobs := range q.jobs {
		close(jobs)
	}
	q.running.Wait()
}

func (q *queuedEngines) Send(ctx context.Context, up radishcrank.Upstream, _ *radishcrank.Exchange, _ radishcrank.SendOptions) (*radishcrank.Reply, error) {
	j := job{ctx, make(chan struct{})}
	q.jobs[up.ID] <- j
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-j.done:
	}
	reply := okReply()
	reply.Body = io.NopCloser(strings.NewReader("id: 1\ndata: a\n\n"))
	return &reply, nil
}

// clientStats counts the outcomes of clients.
type clientStats struct {
	mu             sync.Mutex
	answered       int
	retried        int           // Answered on the retry.
	abandoned      int           // Disconnected after clientPatience.
	refusedTwice   int           // Refused on the retry, too.
	slowestRefusal time.Duration // Longest time until a refusal.
}

const (
	clientPatience = 2400 * time.Millisecond
	clientTimeout  = 6 * time.Second
	promptTokens   = 4000 // Read in 100 ms.
)

// sendWithRetry acts as one client, which retries once after Retry-After.
func (c *clientStats) sendWithRetry(t *testing.T, f *Forwarder, n int) {
	start := time.Now()
	for try := range 2 {
		received := time.Now()
		x := streaming(radishcrank.RetryNever)
		x.ID, x.Service, x.Model = radishcrank.RequestID(fmt.Sprint(n, "-", try)), "s", "m"
		x.PromptParts = []radishcrank.PromptPart{{ID: fmt.Sprint(n), Tokens: promptTokens}}
		x.Route.AbandonAfter, x.Route.Timeout = clientPatience, clientTimeout
		x.ReceivedAt, x.Deadline = received, start.Add(clientTimeout)
		ctx, cancel := context.WithTimeout(t.Context(), clientPatience)
		w := httptest.NewRecorder()
		err := f.Serve(ctx, w, &x)
		cancel()
		c.mu.Lock()
		refused := w.Code == http.StatusServiceUnavailable
		switch {
		case refused:
			c.slowestRefusal = max(c.slowestRefusal, time.Since(received))
			if try == 1 {
				c.refusedTwice++
			}
		case err == nil && w.Code == http.StatusOK && w.Body.Len() > 0:
			c.answered++
			c.retried += try
		default:
			c.abandoned++
		}
		c.mu.Unlock()
		if !refused {
			return
		}
		after, err := strconv.ParseFloat(w.Header().Get("Retry-After"), 64)
		require.NoError(t, err)
		time.Sleep(time.Duration(after * float64(time.Second)))
	}
}

// TestOverloadIsRefusedImmediately sends twice the load that the engines can
// serve, for longer than clients wait. It guards against queues in which
// clients wait until they disconnect (500 did so after 2.4 s in a load test),
// and against refusals whose Retry-After leads clients back to full engines.
func TestOverloadIsRefusedImmediately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			engines  = 4
			clients  = 480 // 80 per second; the engines serve 40.
			interval = 12500 * time.Microsecond
		)
		fleet := rcfleet.New()
		var ids []radishcrank.UpstreamID
		for i := range engines {
			id := radishcrank.UpstreamID(fmt.Sprint("u", i))
			ids = append(ids, id)
			fleet.Put(rcfleet.Entry{
				Upstream: radishcrank.Upstream{ID: id, Service: "s", Software: "v1"},
				Weights:  map[radishcrank.ModelID]radishcrank.WeightsVersion{"m": "1"},
			})
		}
		sender := newQueuedEngines(ids, 100*time.Millisecond)
		f := New(Config{
			Fleet: fleet, Sender: sender, Budget: stubBudget{},
			Guard:         rcpoison.New(rcpoison.Config{Board: rcboard.New()}),
			Weights:       func(radishcrank.ModelID) rcweights.History { return rcweights.History{} },
			OldWeightsTTL: func() time.Duration { return 0 },
			KVStores:      func() []rcaffinity.KVStore { return nil },
			RecordCached:  func(radishcrank.UpstreamID, string, []radishcrank.PromptPart) {},
			Origins:       stubOrigins{}, Incarnation: listedIncarnation,
			Metrics: &rcmetric.Set{}, Log: zerolog.Nop(),
		})
		var c clientStats
		var wg sync.WaitGroup
		for n := range clients {
			wg.Go(func() { c.sendWithRetry(t, f, n) })
			time.Sleep(interval)
		}
		wg.Wait()
		sender.stop()
		t.Logf("answered %d, of them on a retry %d; disconnected %d; refused twice %d", c.answered, c.retried, c.abandoned, c.refusedTwice)
		require.LessOrEqual(t, c.abandoned, clients/50, "clients waited until they disconnected")
		require.Less(t, c.slowestRefusal, 10*time.Millisecond, "a refusal took too long")
		// 6 s of load and the queue that remains at the end.
		require.GreaterOrEqual(t, c.answered, 240, "engines were idle")
		require.GreaterOrEqual(t, c.retried, 40, "retries after a refusal failed")
	})
}

// TestRetryAfterIsSpread guards against clients that are refused together for
// want of an upstream, get the same Retry-After, and all return at once.
func TestRetryAfterIsSpread(t *testing.T) {
	const clients = 100
	retryTimes := map[int64]int{}
	for range clients {
		got := serve(&scriptedSender{}, 0, stubBudget{}, nonIdempotent())
		require.Equal(t, http.StatusServiceUnavailable, got.Code)
		after, err := strconv.ParseFloat(got.Header().Get("Retry-After"), 64)
		require.NoError(t, err)
		require.Greater(t, after, 0.1)
		require.LessOrEqual(t, after, 0.67, "more than a third of the client's timeout")
		retryTimes[int64(after*20)]++ // In steps of 50 ms.
	}
	for step, n := range retryTimes {
		require.LessOrEqual(t, n, clients/2, "too many clients return in step %d", step)
	}
}
