package rcforward

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/limits/rcmemory"
)

// endlessBody is a body of the same bytes without end.
type endlessBody struct {
	text string
	read int
}

// newEndlessBody repeats short texts, so that reading is not slowed down by copying them.
func newEndlessBody(text string) *endlessBody {
	return &endlessBody{text: strings.Repeat(text, 1<<10/len(text))}
}

func (b *endlessBody) Read(p []byte) (n int, err error) {
	for n < len(p) {
		n += copy(p[n:], b.text[(b.read+n)%len(b.text):])
	}
	b.read += n
	return n, nil
}

// TestEndlessBodyIsBuffered guards against an upstream whose response does not end and
// that uses up the memory of the instance, alone or with others.
func TestEndlessBodyIsBuffered(t *testing.T) {
	endless := newEndlessBody("x")
	s := &scriptedSender{steps: []step{{reply: okReply(), body: endless}, {reply: okReply(), body: strings.NewReader("ok")}}}
	got := serve(s, 3, stubBudget{}, idempotent())
	require.Equal(t, http.StatusOK, got.Code)
	require.Equal(t, "ok", got.Body.String())
	require.LessOrEqual(t, endless.read, maxBufferedBody+freeBodyBytes)

	var b bodyBuffers
	var wg sync.WaitGroup
	bodies := make([]*endlessBody, 50)
	for i := range bodies {
		bodies[i] = newEndlessBody("x")
		wg.Go(func() {
			_, err := b.read(rcmemory.ReserverFrom(t.Context()), bodies[i])
			require.ErrorIs(t, err, errBodyTooLarge)
		})
	}
	wg.Wait()
	require.Zero(t, b.used.Load())
	body, err := b.read(rcmemory.ReserverFrom(t.Context()), io.LimitReader(newEndlessBody("x"), maxBufferedBody))
	require.NoError(t, err, "memory was not given back")
	require.Len(t, body, maxBufferedBody)
}

// TestEndlessEventIsBuffered guards against a stream that sends an event without end.
func TestEndlessEventIsBuffered(t *testing.T) {
	for name, text := range map[string]string{"bytes": "x", "lines": "data: x\n"} {
		t.Run(name, func(t *testing.T) {
			endless := newEndlessBody(text)
			s := &scriptedSender{steps: []step{
				{reply: okReply(), body: io.MultiReader(strings.NewReader("id: 1\n\n"), endless)},
				{reply: okReply(), body: strings.NewReader("id: 2\n\n")},
			}}
			got := serve(s, 3, stubBudget{}, streaming(radishcrank.RetryResume))
			require.NoError(t, got.err)
			require.Equal(t, "id: 1\n\nid: 2\n\n", got.Body.String())
			require.LessOrEqual(t, endless.read, maxEventBytes+8<<10)
		})
	}
}
