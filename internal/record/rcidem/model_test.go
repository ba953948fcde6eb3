package rcidem

import (
	"flag"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/radishcrank/radishcrank"
	_ "github.com/radishcrank/radishcrank/internal/testing/rcseed"
)

const (
	modelChecks = "2000" // Number of random schedules unless -rapid.checks is set.
	modelSteps  = 40
	maxChoice   = 1<<16 - 1
)

// runSchedule runs one schedule of up to steps steps, then completes all operations
// that are still in progress without faults. It returns the violated invariant, if
// any.
func runSchedule(t *testing.T, remaining budget, steps, callers int, choose func(n int) int) (violation string) {
	synctest.Test(t, func(*testing.T) {
		s := newSimulation(remaining, choose)
		for i := range callers {
			s.startRequest(i%2, fmt.Sprintf("k%d", i/2)) // Callers 0 and 1 share a key, and so do callers 2 and 3.
		}
		for range steps {
			s.advance()
			if violation = s.checkInvariants(); violation != "" {
				break
			}
		}
		if v := s.finish(); violation == "" {
			violation = v
		}
	})
	return violation
}

// finish ends the schedule: no more faults occur, all delayed messages arrive, all
// pauses end, and a final caller of each key sends a request to a live instance.
func (s *simulation) finish() string {
	synctest.Wait()
	s.mu.Lock()
	s.remaining = budget{}
	s.choose = func(int) int { return 0 }
	for _, deliver := range s.delayed {
		deliver()
	}
	s.delayed = nil
	s.mu.Unlock()
	const finishSteps = 60
	for range finishSteps {
		s.advance()
	}
	violation := s.checkInvariants()
	for _, key := range []string{"k0", "k1"} {
		if violation == "" {
			violation = s.finalRequest(key, finishSteps)
		}
	}
	for i := range s.runners {
		s.mu.Lock()
		s.crash(i)
		s.mu.Unlock()
	}
	time.Sleep(time.Hour) // Virtual time; lets every timer expire.
	return violation
}

// finalRequest sends one more request after all faults have ended.
func (s *simulation) finalRequest(key string, steps int) string {
	instance := 0
	if s.crashed[0] {
		instance = 1
	}
	s.mu.Lock()
	last := s.startRequest(instance, key)
	s.mu.Unlock()
	for n := 0; n < steps && !last.answered; n++ {
		s.advance()
	}
	violation := s.checkInvariants()
	switch {
	case violation != "":
		return violation
	case !last.answered:
		return "the final request got no response"
	case last.err != nil && (s.runCount(key) > 0 || radishcrank.AsRefusal(last.err).Outcome != radishcrank.OutcomeMayHaveRun):
		return fmt.Sprintf("the final request was refused after %d runs: %v", s.runCount(key), last.err)
	}
	return ""
}

// checkInvariants returns the first violated invariant, or an empty string.
func (s *simulation) checkInvariants() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.violation != "" {
		return s.violation
	}
	for _, c := range s.upstreamCalls {
		if n := s.runCount(c.key); n > 1 {
			return fmt.Sprintf("the call ran %d times", n)
		}
		if c.runs == 0 {
			continue
		}
		caused := false
		for _, q := range s.requests {
			matches := q.key == c.key && q.instance == c.instance && q.start <= c.at
			caused = caused || matches && !q.notRun()
			if matches && q.notRun() && c.at <= q.end && c.at > q.start {
				return fmt.Sprintf("a request got the outcome NotRun in step %d, but its call was sent in step %d and ran", q.end, c.at)
			}
		}
		if !caused {
			return fmt.Sprintf("the call sent in step %d ran, although every request got the outcome NotRun", c.at)
		}
	}
	return ""
}

// Guards against a call that runs twice and against an outcome NotRun that turns
// out false, under any order of the steps of two instances, lost and delayed writes,
// crashes, false suspicions, pauses, cancelled requests and retries.
func TestModelRandom(t *testing.T) {
	if checks := flag.Lookup("rapid.checks"); checks.Value.String() == checks.DefValue {
		require.NoError(t, checks.Value.Set(modelChecks))
		defer checks.Value.Set(checks.DefValue)
	}
	schedules := 0
	rapid.Check(t, func(rt *rapid.T) {
		remaining := budget{
			faults:     rapid.IntRange(0, 6).Draw(rt, "Faults"),
			crashes:    rapid.IntRange(0, 1).Draw(rt, "Crashes"),
			suspicions: rapid.IntRange(0, 2).Draw(rt, "Suspicions"),
			cancels:    rapid.IntRange(0, 2).Draw(rt, "Cancels"),
			retries:    rapid.IntRange(0, 4).Draw(rt, "Retries"),
			pauses:     rapid.IntRange(0, 6).Draw(rt, "Pauses"),
		}
		callers := rapid.IntRange(1, 4).Draw(rt, "Callers")
		// The choices are drawn in advance, because rapid unwinds by panicking and the
		// schedule runs on another goroutine.
		choices := rapid.SliceOfN(rapid.IntRange(0, maxChoice), modelSteps, modelSteps).Draw(rt, "Choices")
		schedules++
		violation := runSchedule(t, remaining, modelSteps, callers, func(n int) int {
			choice := choices[0] % n
			choices = choices[1:]
			return choice
		})
		if violation != "" {
			rt.Fatal(violation)
		}
	})
	t.Logf("%d random schedules", schedules)
}

// Guards against the same failures as TestModelRandom. It runs every schedule for
// one key within the budget of each row.
func TestModelExhaustive(t *testing.T) {
	for _, row := range []struct {
		name      string
		remaining budget
		steps     int
		callers   int
	}{
		{"TwoInstancesOneFault", budget{faults: 1}, 12, 2},
		{"OneCallerTwoFaults", budget{faults: 2, retries: 1}, 7, 1},
		{"CrashAndRetry", budget{faults: 1, crashes: 1, retries: 1}, 7, 1},
		{"DepartingCaller", budget{faults: 1, cancels: 1, retries: 1}, 6, 1},
		{"SuspectedHolder", budget{suspicions: 1, pauses: 1}, 10, 2},
	} {
		t.Run(row.name, func(t *testing.T) {
			t.Logf("%d schedules", runAllSchedules(t, row.remaining, row.steps, row.callers))
		})
	}
}

// runAllSchedules enumerates all schedules in lexicographic order of their choices.
func runAllSchedules(t *testing.T, remaining budget, steps, callers int) (schedules int) {
	var choices, widths []int
	for {
		depth, replayed := 0, true
		violation := runSchedule(t, remaining, steps, callers, func(n int) int {
			if depth == len(choices) {
				choices, widths = append(choices, 0), append(widths, n)
			}
			depth++
			// If a prefix did not replay identically, some schedules would be skipped.
			replayed = replayed && widths[depth-1] == n
			return min(choices[depth-1], n-1)
		})
		schedules++
		require.True(t, replayed, "choices %v of %v did not replay identically", choices, widths)
		require.Empty(t, violation, "choices %v of %v", choices, widths)
		last := depth - 1
		for last >= 0 && choices[last] >= widths[last]-1 {
			last--
		}
		if last < 0 {
			return schedules
		}
		choices, widths = choices[:last+1], widths[:last+1]
		choices[last]++
	}
}
