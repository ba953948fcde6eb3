package rcblame

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/radishcrank/radishcrank"
)

// judged is a tracker of one of three instances with what it convicts and announces.
type judged struct {
	*Tracker
	convicted [][]Key
	announced []Report
	crashed   int
}

func newJudged() *judged {
	j := &judged{}
	j.Tracker = New(Config{
		Instance: "i", Instances: func() int { return 3 }, Upstreams: func(string) int { return 5 },
		Announce: func(r Report) { j.announced = append(j.announced, r) },
		Convict:  func(set []Key) { j.convicted = append(j.convicted, set) }, Log: zerolog.Nop(),
	})
	return j
}

// answer plays an answer, which its caller leaves unless it is whole.
func (j *judged) answer(length time.Duration, whole bool, parts ...Key) {
	run := j.Begin(parts, "s", radishcrank.Upstream{ID: "u"})
	run.Received()
	time.Sleep(length)
	run.Received()
	run.End(false, whole)
}

// crash plays a crash of an upstream with one beginning run, which another instance reports.
func (j *judged) crash(parts ...Key) {
	r := Report{Crash: fmt.Sprint("u", j.crashed), Service: "s", Runs: [][]int{{}}}
	for n, p := range parts {
		r.Suspects = append(r.Suspects, Suspect{Part: p, Presence: 0.004})
		r.Runs[0] = append(r.Runs[0], n)
	}
	j.crashed++
	j.Merge(r)
	time.Sleep(300 * time.Millisecond)
	j.answer(leftTime/10, true, "all", "other")
	j.judge(time.Now())
}

// settle waits until all crashes are judged.
func (j *judged) settle() {
	time.Sleep(settleTime)
	j.judge(time.Now())
}

// TestCallersLeaveStreams guards against a sound part that is convicted together with a
// crashing one, since the callers of all other requests with it leave their streams. The
// crashing part then goes on reaching upstreams in other company.
func TestCallersLeaveStreams(t *testing.T) {
	for left, want := range map[time.Duration][]Key{leftTime: {"x"}, leftTime / 10: {"b", "x"}} {
		t.Run(left.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				j := newJudged()
				j.answer(left, false, "all", "b")
				for range 6 {
					j.crash("b", "x")
				}
				j.settle()
				require.Equal(t, [][]Key{want}, j.convicted)
			})
		})
	}
}
