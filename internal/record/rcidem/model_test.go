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
	modelChecks = "2000" // Random schedules, unless -rapid.checks says otherwise.
	modelSteps  = 40
	maxChoice   = 1<<16 - 1
)

// play runs one schedule of up to steps steps, then lets everything that is
// still under way come to its end without faults, and returns what was violated.
func play(t *testing.T, left budget, steps, callers int, choose func(n int) int) (problem string) {
	synctest.Test(t, func(*testing.T) {
		w := newWorld(left, choose)
		for i := range callers {
			w.send(i%2, fmt.Sprintf("k%d", i/2)) // The third and fourth caller share a second key.
		}
		for range steps {
			w.advance()
			if problem = w.check(); problem != "" {
				break
			}
		}
		if p := w.finish(); problem == "" {
			problem = p
		}
	})
	return problem
}

// finish ends the schedule: no more faults, all late messages arrive, all
// pauses end, and a last caller asks an instance that lives.
func (w *world) finish() string {
	synctest.Wait()
	w.mu.Lock()
	w.left = budget{}
	w.choose = func(int) int { return 0 }
	for _, deliver := range w.late {
		deliver()
	}
	w.late = nil
	w.mu.Unlock()
	const finishSteps = 60
	for range finishSteps {
		w.advance()
	}
	problem := w.check()
	for _, key := range []string{"k0", "k1"} {
		if problem == "" {
			problem = w.lastCall(key, finishSteps)
		}
	}
	for i := range w.runners {
		w.mu.Lock()
		w.crash(i)
		w.mu.Unlock()
	}
	time.Sleep(time.Hour) // Virtual: ends every timer.
	return problem
}

// lastCall sends one more request, when nothing fails any more.
func (w *world) lastCall(key string, steps int) string {
	instance := 0
	if w.crashed[0] {
		instance = 1
	}
	w.mu.Lock()
	last := w.send(instance, key)
	w.mu.Unlock()
	for n := 0; n < steps && !last.answered; n++ {
		w.advance()
	}
	problem := w.check()
	switch {
	case problem != "":
		return problem
	case !last.answered:
		return "the last caller got no answer"
	case last.err != nil && (w.ran(key) > 0 || radishcrank.AsRefusal(last.err).Outcome != radishcrank.OutcomeMayHaveRun):
		return fmt.Sprintf("the last caller was refused after %d runs: %v", w.ran(key), last.err)
	}
	return ""
}

// check returns the first violated invariant.
func (w *world) check() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.problem != "" {
		return w.problem
	}
	for _, e := range w.effects {
		if n := w.ran(e.key); n > 1 {
			return fmt.Sprintf("the call ran %d times", n)
		}
		if e.happened == 0 {
			continue
		}
		caused := false
		for _, q := range w.requests {
			mine := q.key == e.key && q.instance == e.instance && q.start <= e.at
			caused = caused || mine && !q.notRun()
			if mine && q.notRun() && e.at <= q.end && e.at > q.start {
				return fmt.Sprintf("a request was told NotRun in step %d, its call was sent in step %d and ran", q.end, e.at)
			}
		}
		if !caused {
			return fmt.Sprintf("the call sent in step %d ran, though every request was told NotRun", e.at)
		}
	}
	return ""
}

// Guards against doubled bookings and against a NotRun that does not stay true,
// whatever the order of the steps of two instances, lost and late writes,
// crashes, wrong suspicion, pauses, departing callers and retries.
func TestModelRandom(t *testing.T) {
	if checks := flag.Lookup("rapid.checks"); checks.Value.String() == checks.DefValue {
		require.NoError(t, checks.Value.Set(modelChecks))
		defer checks.Value.Set(checks.DefValue)
	}
	schedules := 0
	rapid.Check(t, func(rt *rapid.T) {
		left := budget{
			faults:     rapid.IntRange(0, 6).Draw(rt, "Faults"),
			crashes:    rapid.IntRange(0, 1).Draw(rt, "Crashes"),
			suspicions: rapid.IntRange(0, 2).Draw(rt, "Suspicions"),
			cancels:    rapid.IntRange(0, 2).Draw(rt, "Cancels"),
			retries:    rapid.IntRange(0, 4).Draw(rt, "Retries"),
			pauses:     rapid.IntRange(0, 6).Draw(rt, "Pauses"),
		}
		callers := rapid.IntRange(1, 4).Draw(rt, "Callers")
		// Drawn ahead, since rapid unwinds by panics and the schedule runs on another goroutine.
		choices := rapid.SliceOfN(rapid.IntRange(0, maxChoice), modelSteps, modelSteps).Draw(rt, "Choices")
		schedules++
		problem := play(t, left, modelSteps, callers, func(n int) int {
			choice := choices[0] % n
			choices = choices[1:]
			return choice
		})
		if problem != "" {
			rt.Fatal(problem)
		}
	})
	t.Logf("%d random schedules", schedules)
}

// Guards against the same as TestModelRandom. It runs every schedule of two
// requests for one key within the budget of each row.
func TestModelExhaustive(t *testing.T) {
	for _, row := range []struct {
		name    string
		left    budget
		steps   int
		callers int
	}{
		{"TwoInstancesOneFault", budget{faults: 1}, 12, 2},
		{"OneCallerTwoFaults", budget{faults: 2, retries: 1}, 7, 1},
		{"CrashAndRetry", budget{faults: 1, crashes: 1, retries: 1}, 7, 1},
		{"DepartingCaller", budget{faults: 1, cancels: 1, retries: 1}, 6, 1},
		{"SuspectedHolder", budget{suspicions: 1, pauses: 1}, 10, 2},
	} {
		t.Run(row.name, func(t *testing.T) {
			t.Logf("%d schedules", exhaust(t, row.left, row.steps, row.callers))
		})
	}
}

// exhaust runs all schedules in the order of their choices, as an odometer does.
func exhaust(t *testing.T, left budget, steps, callers int) (schedules int) {
	var choices, widths []int
	for {
		depth, same := 0, true
		problem := play(t, left, steps, callers, func(n int) int {
			if depth == len(choices) {
				choices, widths = append(choices, 0), append(widths, n)
			}
			depth++
			// A prefix that does not replay alike would leave schedules out.
			same = same && widths[depth-1] == n
			return min(choices[depth-1], n-1)
		})
		schedules++
		require.True(t, same, "choices %v of %v did not replay alike", choices, widths)
		require.Empty(t, problem, "choices %v of %v", choices, widths)
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
