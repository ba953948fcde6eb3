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
	presence  float64 // Of each part.
	crashed   int
}

func newJudged() *judged {
	j := &judged{presence: 0.004}
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

// crash plays a crash of an upstream, which another instance reports. A "|" separates the
// beginning runs.
func (j *judged) crash(parts ...Key) {
	r := Report{Crash: fmt.Sprint("u", j.crashed), Service: "s", Runs: [][]int{nil}}
	for _, p := range parts {
		if p == "|" {
			r.Runs = append(r.Runs, nil)
			continue
		}
		last := &r.Runs[len(r.Runs)-1]
		*last = append(*last, len(r.Suspects))
		r.Suspects = append(r.Suspects, Suspect{Part: p, Presence: j.presence})
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

// TestSoundPartIsSingledOut guards against a sound part that is convicted together with a
// crashing one, and then alone because of crashes at which the next crashing parts, or those
// with another cause, had it with them.
func TestSoundPartIsSingledOut(t *testing.T) {
	for name, crashes := range map[string][][]Key{
		"next crashing part":       {{"b", "y"}, {"b", "y"}},
		"two crashing parts":       {{"b", "y"}, {"b", "z"}},
		"other crashes":            {{"b"}, {"b", "y"}, {"b"}},
		"another run at the crash": {{"b", "|", "y"}, {"b", "|", "y"}, {"b", "|", "y"}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				j := newJudged()
				j.presence = 0.015
				j.Merge(Report{Convicted: []Key{"b", "x"}})
				for _, parts := range crashes {
					j.crash(parts...)
				}
				j.settle()
				require.NotContains(t, j.convicted, []Key{"b"})
				for range minAnswers {
					j.crash("other", "x")
				}
				j.settle()
				require.Contains(t, j.convicted, []Key{"x"})
				require.NotContains(t, j.convicted, []Key{"b"})
			})
		})
	}
}

// TestPartIsAnsweredElsewhere guards against a sound part that is convicted together with a
// crashing one, by an instance that has not seen it answered: it has just started, or others
// serve most of the requests with it.
func TestPartIsAnsweredElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		serving, started := newJudged(), newJudged()
		serving.answer(leftTime/2, true, "all", "b")
		time.Sleep(2 * soundTime)
		var told []time.Duration
		start := time.Now()
		for len(started.convicted) == 0 {
			require.Less(t, time.Since(start), 10*time.Second, "nothing is convicted")
			serving.crash("b", "x")
			started.crash("b", "x")
			for _, r := range serving.announced {
				if len(r.Answered) > 0 {
					require.Len(t, r.Answered, 1)
					require.Equal(t, Key("b"), r.Answered[0].Part)
					told = append(told, time.Since(start))
				}
				started.Merge(r)
			}
			serving.announced = nil
		}
		require.Equal(t, [][]Key{{"x"}}, started.convicted)
		require.Len(t, told, 1, "told at %s, convicted at %s", told, time.Since(start))
	})
}

// TestSoundPartIsAtOtherCrashes guards against a sound part that is convicted alone, since
// runs with it were at crashes with other causes beside those of a crashing part.
func TestSoundPartIsAtOtherCrashes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		j := newJudged()
		j.presence = 0.02
		for _, parts := range [][]Key{{"b"}, {"b", "x"}, {"b", "x"}, {"b", "x"}, {"b"}, {"b", "x"}} {
			j.crash(parts...)
		}
		j.settle()
		require.Equal(t, [][]Key{{"b", "x"}}, j.convicted)
	})
}

// TestAnswersAreForgottenInRestarts guards against answers that no instance knows of any more
// once the instance that brought them has restarted, and against answers that count for
// longer because instances tell each other of them again and again.
func TestAnswersAreForgottenInRestarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		previous := newJudged()
		previous.answer(leftTime/2, true, "b")
		time.Sleep(2 * soundTime)
		for n, wait := range []time.Duration{0, answeredTime / 2, answeredTime / 2} {
			time.Sleep(wait)
			next := newJudged()
			for range 2 {
				previous.crash("b", "x")
			}
			for _, r := range previous.announced {
				next.Merge(r)
			}
			require.Equal(t, n < 2, next.answered.has("b", time.Now()), "instance %d", n)
			previous = next
		}
	})
}

// TestAnswerAfterConviction guards against a crashing part that goes on reaching upstreams in
// other company, although a part that it is convicted together with has had an answer since.
func TestAnswerAfterConviction(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		j := newJudged()
		for range 6 {
			j.crash("b", "x")
		}
		j.settle()
		require.Equal(t, [][]Key{{"b", "x"}}, j.convicted)
		j.answer(leftTime, false, "all", "b")
		j.judge(time.Now())
		require.Equal(t, [][]Key{{"b", "x"}, {"x"}}, j.convicted)
	})
}

// TestRunsOnSeveredLinks guards against a crashing part that is not convicted for long, since
// requests with it hang at links that are severed and make it look as if it were everywhere.
func TestRunsOnSeveredLinks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		j := newJudged()
		for range 10 {
			run := j.Begin([]Key{"x"}, "s", radishcrank.Upstream{ID: "severed"})
			time.Sleep(time.Second)
			run.Lost()
			run.End(false, false)
		}
		j.Begin([]Key{"x"}, "s", radishcrank.Upstream{ID: "u"}).End(true, false)
		require.Len(t, j.announced, 1)
		require.Less(t, j.announced[0].Suspects[0].Presence, minPresence)
	})
}

// TestReportIsNotChanged guards against reports that lose names of parts while they are passed on
// to other instances. These counted the parts without a name as one that was present at nearly
// all crashes, and convicted it again and again.
func TestReportIsNotChanged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		j := newJudged()
		j.Merge(Report{Sound: []Key{"sound"}})
		suspects := []Suspect{{Part: "sound", Presence: 0.1}, {Part: "other", Presence: 0.1}, {Presence: 0.1}}
		passedOn := Report{Crash: "u0", Service: "s", Suspects: suspects, Runs: [][]int{{0, 1, 2}}}
		j.Merge(passedOn)
		require.Equal(t, []Key{"sound", "other", ""}, []Key{suspects[0].Part, suspects[1].Part, suspects[2].Part})
		j.mu.Lock()
		defer j.mu.Unlock()
		require.Len(t, j.crashes, 1)
		require.Equal(t, [][]Key{{"other"}}, j.crashes[0].runs)
		require.NotContains(t, j.crashes[0].presence, Key(""))
	})
}

// TestSoundPartRunsBesideCrashingOnes guards against a sound part that is convicted alone,
// since it came along with one crashing part and was in runs beside those of another one.
func TestSoundPartRunsBesideCrashingOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		j := newJudged()
		j.presence = 0.02
		for _, parts := range [][]Key{{"b", "|", "y"}, {"b", "|", "y"}, {"b", "x"}, {"b", "|", "y"}, {"b", "x"}} {
			j.crash(parts...)
		}
		j.settle()
		require.NotContains(t, j.convicted, []Key{"b"})
		require.Contains(t, j.convicted, []Key{"b", "x"})
	})
}
