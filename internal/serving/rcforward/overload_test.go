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

// queues are engines that read one prompt after the other.
type queues struct {
	perPrompt time.Duration
	jobs      map[radishcrank.UpstreamID]chan job
	running   sync.WaitGroup
}

type job struct {
	ctx  context.Context
	done chan struct{}
}

func newQueues(ids []radishcrank.UpstreamID, perPrompt time.Duration) *queues {
	q := &queues{perPrompt: perPrompt, jobs: map[radishcrank.UpstreamID]chan job{}}
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

func (q *queues) stop() {
	for _, jobs := range q.jobs {
		close(jobs)
	}
	q.running.Wait()
}

func (q *queues) Send(ctx context.Context, up radishcrank.Upstream, _ *radishcrank.Exchange, _ radishcrank.SendOptions) (*radishcrank.Reply, error) {
	j := job{ctx, make(chan struct{})}
	q.jobs[up.ID] <- j
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-j.done:
	}
	reply := answer200()
	reply.Body = io.NopCloser(strings.NewReader("id: 1\ndata: a\n\n"))
	return &reply, nil
}

// crowd is what became of callers.
type crowd struct {
	mu       sync.Mutex
	answered int
	returned int           // Of those, after a refusal.
	left     int           // Waited until their patience ended.
	refused  int           // Twice.
	slowest  time.Duration // Refusal.
}

const (
	crowdPatience = 2400 * time.Millisecond
	crowdTime     = 6 * time.Second
	crowdTokens   = 4000 // Read in 100 ms.
)

// ask is one caller, who comes back once when told to.
func (c *crowd) ask(t *testing.T, f *Forwarder, n int) {
	begun := time.Now()
	for try := range 2 {
		received := time.Now()
		x := stream(radishcrank.RetryNever)
		x.ID, x.Service, x.Model = radishcrank.RequestID(fmt.Sprint(n, "-", try)), "s", "m"
		x.PromptParts = []radishcrank.PromptPart{{ID: fmt.Sprint(n), Tokens: crowdTokens}}
		x.Route.AbandonAfter, x.Route.Timeout = crowdPatience, crowdTime
		x.ReceivedAt, x.Deadline = received, begun.Add(crowdTime)
		ctx, cancel := context.WithTimeout(t.Context(), crowdPatience)
		w := httptest.NewRecorder()
		err := f.Serve(ctx, w, &x)
		cancel()
		c.mu.Lock()
		refused := w.Code == http.StatusServiceUnavailable
		switch {
		case refused:
			c.slowest = max(c.slowest, time.Since(received))
			if try == 1 {
				c.refused++
			}
		case err == nil && w.Code == http.StatusOK && w.Body.Len() > 0:
			c.answered++
			c.returned += try
		default:
			c.left++
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

// TestOverloadIsRefusedAtOnce replays twice the load that engines can serve, for
// longer than callers have patience (day burst-few-engines on Riga: 500 callers
// left after 2.4 s). It guards against queues in which callers wait in vain, and
// against refusals whose callers find no room when they come back.
func TestOverloadIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			engines = 4
			callers = 480 // 80 a second; the engines serve 40.
			gap     = 12500 * time.Microsecond
		)
		fleet := rcfleet.New()
		var ids []radishcrank.UpstreamID
		for i := range engines {
			id := radishcrank.UpstreamID(fmt.Sprint("u", i))
			ids = append(ids, id)
			fleet.Put(rcfleet.Entry{
				Upstream: radishcrank.Upstream{ID: id, Service: "s"},
				Weights:  map[radishcrank.ModelID]radishcrank.WeightsVersion{"m": "1"},
			})
		}
		sender := newQueues(ids, 100*time.Millisecond)
		f := New(Config{
			Fleet: fleet, Sender: sender, Budget: freeBudget{},
			Guard:         rcpoison.New(rcpoison.Config{Board: rcboard.New()}),
			Weights:       func(radishcrank.ModelID) rcweights.History { return rcweights.History{} },
			OldWeightsTTL: func() time.Duration { return 0 },
			KVStores:      func() []rcaffinity.KVStore { return nil },
			RecordCached:  func(radishcrank.UpstreamID, string, []radishcrank.PromptPart) {},
			Metrics:       &rcmetric.Set{}, Log: zerolog.Nop(),
		})
		var c crowd
		var wg sync.WaitGroup
		for n := range callers {
			wg.Go(func() { c.ask(t, f, n) })
			time.Sleep(gap)
		}
		wg.Wait()
		sender.stop()
		t.Logf("answered %d, of them after a return %d; left %d; refused twice %d", c.answered, c.returned, c.left, c.refused)
		require.LessOrEqual(t, c.left, callers/50, "callers wait in vain")
		require.Less(t, c.slowest, 10*time.Millisecond, "refusals are late")
		// Six seconds of load, and the queue that stands at their end.
		require.GreaterOrEqual(t, c.answered, 240, "engines stand idle")
		require.GreaterOrEqual(t, c.returned, 40, "callers come back in vain")
	})
}

// TestRefusedTogetherReturnApart guards against a wave of callers that find no
// upstream, are told the same time to return, and meet its return all at once.
func TestRefusedTogetherReturnApart(t *testing.T) {
	const callers = 100
	returns := map[int64]int{}
	for range callers {
		got := serve(&script{}, 0, freeBudget{}, once())
		require.Equal(t, http.StatusServiceUnavailable, got.Code)
		after, err := strconv.ParseFloat(got.Header().Get("Retry-After"), 64)
		require.NoError(t, err)
		require.Greater(t, after, 0.1)
		require.LessOrEqual(t, after, 0.67, "later than a third of the caller's time")
		returns[int64(after*20)]++ // In steps of 50 ms.
	}
	for step, n := range returns {
		require.LessOrEqual(t, n, callers/2, "return together in step %d", step)
	}
}
