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

// TestSoundPartIsConvictedForItsCompany guards against a sound part that comes along with
// several crashing ones, and in runs beside them, and that is convicted in their place.
func TestSoundPartIsConvictedForItsCompany(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var convicted [][]Key
		tracker := New(Config{
			Instance: "i", Instances: func() int { return 3 }, Upstreams: func(string) int { return 5 },
			Announce: func(Report) {}, Convict: func(set []Key) { convicted = append(convicted, set) }, Log: zerolog.Nop(),
		})
		answer := func(parts ...Key) {
			run := tracker.Begin(parts, "s", radishcrank.Upstream{ID: "u"})
			run.Received()
			run.End(false, true)
		}
		answer("all", "other")
		for n := range 10 {
			crashing := Key(fmt.Sprint("x", n%2))
			tracker.Merge(Report{
				Crash: fmt.Sprint("u", n), Service: "s",
				Suspects: []Suspect{{Part: "all", Presence: 0.3}, {Part: "b", Presence: 0.004}, {Part: crashing, Presence: 0.004}},
				Runs:     [][]int{{0, 1, 2}, {0, 1}},
			})
			time.Sleep(300 * time.Millisecond)
			answer("all", "other")
			tracker.judge(time.Now())
		}
		time.Sleep(settleTime)
		tracker.judge(time.Now())
		require.NotEmpty(t, convicted)
		for _, set := range convicted {
			require.Subset(t, []Key{"b", "x0", "x1"}, set)
			require.NotEqual(t, []Key{"b"}, set, "the sound part is refused")
		}
	})
}

// TestLiftedConvictionIsRepeated guards against a conviction that was lifted and that the same
// crashes lead to again, and against a part that cannot be convicted any more.
func TestLiftedConvictionIsRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var current [][]Key
		tracker := New(Config{
			Instance: "i", Instances: func() int { return 1 }, Upstreams: func(string) int { return 4 },
			Announce: func(Report) {}, Log: zerolog.Nop(),
			Convict: func(set []Key) { current = append(current, set) }, Convicted: func() [][]Key { return current },
		})
		crashAll := func() {
			for range 6 {
				tracker.Merge(Report{Crash: fmt.Sprint(time.Now().UnixMilli()), Service: "s", Suspects: []Suspect{{Part: "p", Presence: 0.001}}, Runs: [][]int{{0}}})
				time.Sleep(200 * time.Millisecond)
				run := tracker.Begin([]Key{"other"}, "s", radishcrank.Upstream{ID: "u"})
				run.Received()
				run.End(false, true)
			}
			time.Sleep(settleTime)
			tracker.judge(time.Now())
		}
		crashAll()
		require.Equal(t, [][]Key{{"p"}}, current)
		current = nil
		for range 5 {
			time.Sleep(time.Second)
			tracker.judge(time.Now())
		}
		require.Empty(t, current)
		crashAll()
		require.Equal(t, [][]Key{{"p"}}, current)
	})
}

// TestCrashingPartIsConvictedWithStrangers guards against a crashing part that is convicted only
// together with sound ones that this instance has not seen answered, and that no request with
// it holds.
func TestCrashingPartIsConvictedWithStrangers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var convicted [][]Key
		tracker := New(Config{
			Instance: "i", Instances: func() int { return 6 }, Upstreams: func(string) int { return 3 },
			Announce: func(Report) {}, Convict: func(set []Key) { convicted = append(convicted, set) }, Log: zerolog.Nop(),
		})
		answer := func() {
			run := tracker.Begin([]Key{"all", "other"}, "s", radishcrank.Upstream{ID: "u"})
			run.Received()
			run.End(false, true)
		}
		answer()
		for n := range 8 {
			tracker.Merge(Report{
				Crash: fmt.Sprint("u", n), Service: "s",
				Suspects: []Suspect{{Part: "x", Presence: 0.004}, {Part: Key(fmt.Sprint("b", n%2)), Presence: 0.04}},
				Runs:     [][]int{{0}, {1}},
			})
			time.Sleep(300 * time.Millisecond)
			answer()
			tracker.judge(time.Now())
		}
		require.Equal(t, [][]Key{{"x"}}, convicted)
	})
}
