package rcblame

import (
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/radishcrank/radishcrank"
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
	t.convicted = [][]Key{{Key(radishcrank.RequestID("x"))}}
	for b.Loop() {
		t.judge(time.Now())
	}
}
