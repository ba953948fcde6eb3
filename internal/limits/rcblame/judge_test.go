package rcblame

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

// BenchmarkJudge judges as many crashes and suspects as are kept. Requests wait meanwhile.
func BenchmarkJudge(b *testing.B) {
	t := New(Config{
		Instance: "i", Instances: func() int { return 60 }, Upstreams: func(string) int { return 60 },
		Announce: func(Report) {}, Convict: func([]Key) {}, Log: zerolog.Nop(),
	})
	start := time.Now().Add(-time.Minute)
	for n := range maxCrashes {
		r := Report{Crash: fmt.Sprint("u", n), Service: "s"}
		for k := range maxSuspects {
			r.Suspects = append(r.Suspects, Suspect{Part: Key(fmt.Sprint(n%8, "/", k)), Presence: 0.01})
			r.Runs = append(r.Runs, []int{k})
		}
		t.addCrashLocked(r, start.Add(time.Duration(n)*time.Second/4))
	}
	t.convicted = [][]Key{{"x"}}
	for b.Loop() {
		t.judge(time.Now())
	}
}

// TestPartOfAllRequestsIsBlamed guards against a part that all requests hold and that is
// convicted by an instance that has just started, so that nothing is served any more.
func TestPartOfAllRequestsIsBlamed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker := New(Config{
			Instance: "i", Instances: func() int { return 3 }, Upstreams: func(string) int { return 4 },
			Announce: func(Report) {}, Convict: func(set []Key) { require.Fail(t, "convicted", "%v", set) }, Log: zerolog.Nop(),
		})
		for n := range 8 {
			tracker.Merge(Report{Crash: fmt.Sprint("u", n), Service: "s", Suspects: []Suspect{{Part: "all", Presence: 0.03}}, Runs: [][]int{{0}}})
			time.Sleep(300 * time.Millisecond)
			tracker.judge(time.Now())
		}
		time.Sleep(settleTime)
		tracker.judge(time.Now())
	})
}
