package rcforward

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/state/rcorigin"
)

// pacedBody returns its pieces at an interval, then EOF or, without end, the last piece
// again and again.
type pacedBody struct {
	ctx      context.Context
	interval time.Duration
	pieces   []string
	endless  bool
	pending  string
}

func (b *pacedBody) Read(p []byte) (n int, err error) {
	if b.pending == "" {
		if len(b.pieces) == 0 {
			return 0, io.EOF
		}
		select {
		case <-time.After(b.interval):
		case <-b.ctx.Done():
			return 0, b.ctx.Err()
		}
		b.pending = b.pieces[0]
		if len(b.pieces) > 1 || !b.endless {
			b.pieces = b.pieces[1:]
		}
	}
	n = copy(p, b.pending)
	b.pending = b.pending[n:]
	return n, nil
}

// pacedSender sends one body after the other.
type pacedSender struct {
	bodies []*pacedBody
	sent   int
}

func (s *pacedSender) Send(ctx context.Context, _ radishcrank.Upstream, _ *radishcrank.Exchange, _ radishcrank.SendOptions) (*radishcrank.Reply, error) {
	b := s.bodies[s.sent]
	s.sent++
	b.ctx = ctx
	reply := okReply()
	reply.Header.Set("Content-Type", "text/event-stream")
	reply.Body = io.NopCloser(b)
	return &reply, nil
}

func event(id int, data string) string { return fmt.Sprintf("id: %d\ndata: %s\n\n", id, data) }

// TestDrippingStreamIsTakenElsewhere guards against a stream that has stalled at an
// upstream which sends a byte or a comment now and then, and against a slow stream that
// is broken off although events or large parts of one arrive.
func TestDrippingStreamIsTakenElsewhere(t *testing.T) {
	large := event(2, strings.Repeat("x", 20_000))
	var parts []string
	for n := 0; n < len(large); n += 1000 {
		parts = append(parts, large[n:min(n+1000, len(large))])
	}
	for _, c := range []struct {
		name  string
		first pacedBody
		sends int
	}{
		{"byte now and then", pacedBody{interval: 300 * time.Millisecond, pieces: []string{event(1, "a"), "i", "d"}, endless: true}, 2},
		{"comment now and then", pacedBody{interval: 300 * time.Millisecond, pieces: []string{event(1, "a"), ":\n\n"}, endless: true}, 2},
		{"slow events", pacedBody{interval: 900 * time.Millisecond, pieces: []string{event(1, "a"), event(2, "b"), event(3, "c"), event(4, "d")}}, 1},
		{"slow large event", pacedBody{interval: 900 * time.Millisecond, pieces: append([]string{event(1, "a")}, parts...)}, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &pacedSender{bodies: []*pacedBody{&c.first, {interval: time.Millisecond, pieces: []string{event(2, "b")}}}}
				f := newThrottlingForwarder(s)
				x := streaming(radishcrank.RetryResume) // Pauses of up to 300 ms are normal.
				x.ID, x.Service, x.Method, x.Target = "r", "s", http.MethodPost, "/p"
				x.ReceivedAt, x.Deadline = time.Now(), time.Now().Add(time.Minute)
				w := httptest.NewRecorder()
				require.NoError(t, f.Serve(t.Context(), w, &x))
				require.Equal(t, c.sends, s.sent)
				if c.sends == 2 {
					require.Equal(t, event(1, "a")+event(2, "b"), strings.ReplaceAll(w.Body.String(), ":\n\n", ""))
					require.Less(t, time.Since(x.ReceivedAt), 5*time.Second)
				}
			})
		})
	}
}

// singleRetry is a budget of one retry.
type singleRetry struct{ used bool }

func (*singleRetry) RecordRequest(string) {}

func (b *singleRetry) AllowRetry(string) (allowed bool) {
	allowed, b.used = !b.used, true
	return allowed
}

// TestSilentStreamIsCut guards against a stream of an upstream that is silent for a second or
// so and is given up, although it cannot go on anywhere else.
func TestSilentStreamIsCut(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(f *Forwarder)
		sends  int
	}{
		{"goes on elsewhere", func(*Forwarder) {}, 2},
		{"the last retry is used", func(f *Forwarder) { f.cfg.Budget = &singleRetry{} }, 2},
		{"no retry is left", func(f *Forwarder) { f.cfg.Budget = stubBudget{empty: true} }, 1},
		{"no other upstream is usable", func(f *Forwarder) {
			time.AfterFunc(100*time.Millisecond, func() {
				for _, s := range f.cfg.Fleet.All() {
					f.cfg.Fleet.Pause(s.ID, s.Incarnation, time.Minute)
				}
			})
		}, 1},
		{"its origin is in doubt", func(f *Forwarder) {
			f.cfg.Origins = &recordingOrigins{records: map[radishcrank.RequestID]rcorigin.Origin{}, doubted: true}
		}, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				whole := []string{event(1, "a"), event(2, "b")}
				silent := &pacedBody{interval: 1300 * time.Millisecond, pieces: whole}
				s := &pacedSender{bodies: []*pacedBody{silent, {interval: time.Millisecond, pieces: whole[1:]}}}
				f := newThrottlingForwarder(s)
				c.change(f)
				x := streaming(radishcrank.RetryResume) // Pauses of up to 300 ms are normal.
				x.ID, x.Service, x.Method, x.Target = "r", "s", http.MethodPost, "/p"
				x.ReceivedAt, x.Deadline = time.Now(), time.Now().Add(time.Minute)
				w := httptest.NewRecorder()
				require.NoError(t, f.Serve(t.Context(), w, &x))
				require.Equal(t, c.sends, s.sent)
				require.Equal(t, strings.Join(whole, ""), w.Body.String())
			})
		})
	}
}
