package rcforward

import (
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/radishcrank/radishcrank"
)

// yielding returns a stream that gets another priority when it is late.
func yielding() radishcrank.Exchange {
	x := generating()
	x.Priority, x.LatePriority = 1, 4
	x.Deadline = time.Now().Add(10 * time.Second)
	return x
}

// TestLateAttemptYields guards against an attempt that is past the latency target and goes
// before those that are in time, and against a lower priority for a stream that the client
// has begun to receive.
func TestLateAttemptYields(t *testing.T) {
	busy := radishcrank.Reply{Class: radishcrank.ReplyBusy, Status: http.StatusServiceUnavailable}
	for name, c := range map[string]struct {
		first      step
		priorities []int
	}{
		"in time": {step{reply: busy, after: 10 * time.Millisecond}, []int{1, 1}},
		"late":    {step{reply: busy, after: 700 * time.Millisecond}, []int{1, 4}},
		"begun":   {step{reply: okReply(), body: failingBody("id: 1\n\n"), after: 700 * time.Millisecond}, []int{1, 1}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &scriptedSender{steps: []step{c.first, {reply: okReply(), body: strings.NewReader("id: 2\n\n")}}}
				got := serve(s, 3, stubBudget{}, yielding())
				require.NoError(t, got.err)
				var priorities []int
				for _, sent := range s.sent {
					priorities = append(priorities, sent.o.Priority)
				}
				require.Equal(t, c.priorities, priorities)
			})
		})
	}
}
