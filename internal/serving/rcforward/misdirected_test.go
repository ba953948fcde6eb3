package rcforward

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/radishcrank/radishcrank"
)

// TestMisdirectedUpstreamIsLeftAlone guards against requests that go to upstreams which have
// crashed and are back under other names, one after the other, until the list drops them, and
// are rejected after three of them.
func TestMisdirectedUpstreamIsLeftAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		misdirected := step{reply: radishcrank.Reply{Status: http.StatusMisdirectedRequest, Class: radishcrank.ReplyMisdirected}}
		answered := func() step { return step{reply: okReply(), body: strings.NewReader("id: 1\n\n")} }
		s := &scriptedSender{steps: []step{misdirected, misdirected, answered(), answered(), answered()}}
		f := newEngineForwarder(s, "a", "b", "c")
		for n := range 3 {
			x := streaming(radishcrank.RetryNever)
			x.ID, x.Service, x.ReceivedAt, x.Deadline = radishcrank.RequestID(rune('0'+n)), "s", time.Now(), time.Now().Add(5*time.Second)
			x.PromptParts = []radishcrank.PromptPart{{ID: "shared", Tokens: 100}, {ID: "own", Tokens: 100}}
			require.NoError(t, f.Serve(t.Context(), httptest.NewRecorder(), &x))
		}
		require.Len(t, s.sent, 5)
		for _, sent := range s.sent[3:] {
			require.Equal(t, s.sent[2].up, sent.up)
		}
	})
}

// TestUnreachedUpstreamTakesNoRetry guards against requests that are rejected for lack of retries
// although no upstream has seen them yet, as when many upstreams have crashed at once.
func TestUnreachedUpstreamTakesNoRetry(t *testing.T) {
	for name, c := range map[string]struct {
		first  step
		status int
	}{
		"connection refused": {first: step{err: radishcrank.ErrNotSent}, status: http.StatusOK},
		"rejected":           {first: step{reply: radishcrank.Reply{Status: http.StatusServiceUnavailable, Class: radishcrank.ReplyBusy}}, status: http.StatusServiceUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &scriptedSender{steps: []step{c.first, {reply: okReply(), body: strings.NewReader("id: 1\n\n")}}}
				f := newEngineForwarder(s, "a", "b")
				f.cfg.Budget = stubBudget{empty: true}
				x := streaming(radishcrank.RetryNever)
				x.ID, x.Service, x.ReceivedAt, x.Deadline = "r", "s", time.Now(), time.Now().Add(5*time.Second)
				w := httptest.NewRecorder()
				require.NoError(t, f.Serve(t.Context(), w, &x))
				require.Equal(t, c.status, w.Code)
			})
		})
	}
}
