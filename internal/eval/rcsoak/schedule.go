package rcsoak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// kind is what an action does.
type kind string

// Planned work, of which callers must notice nothing.
const (
	stopInstance   kind = "stop instance"   // SIGTERM, and a new start once it has ended.
	changeSettings kind = "change settings" // A new settings file, with or without SIGHUP.
	changeConfig   kind = "change config"   // A route comes and another one goes.
	nameWeights    kind = "name weights"    // New weights for the engines.
	drainUpstream  kind = "drain upstream"  // An upstream leaves and another one comes.
)

// Faults.
const (
	killInstance  kind = "kill instance" // SIGKILL, and a new start.
	killAll       kind = "kill all instances"
	pauseInstance kind = "pause instance" // SIGSTOP, and SIGCONT after a while.
	cutStore      kind = "cut store"      // One instance's link to the store misbehaves.
	cutUpstream   kind = "cut upstream"   // All links to one upstream misbehave.
	failStore     kind = "fail store"     // The store itself misbehaves.
	forgetStore   kind = "forget store"   // The store drops its history of changes.
	crashUpstream kind = "crash upstream"
	failService   kind = "fail service" // The upstreams of a service refuse, reset, fail and cut half of their answers.
)

var (
	plannedKinds = []kind{stopInstance, changeSettings, changeConfig, nameWeights, drainUpstream}
	faultKinds   = []kind{killInstance, killAll, pauseInstance, cutStore, cutUpstream, failStore, forgetStore, crashUpstream, failService}
)

// action is one step of a schedule.
type action struct {
	at      time.Duration // Since the start of traffic.
	kind    kind
	target  int           // Which instance or upstream, modulo their number.
	variant int           // Which way, modulo the number of ways.
	length  time.Duration // Of faults that end.
}

func (a action) planned() bool { return slices.Contains(plannedKinds, a.kind) }

func (a action) String() string {
	return fmt.Sprintf("%6.2f s  %s (target %d, variant %d, %d ms)", a.at.Seconds(), a.kind, a.target, a.variant, a.length.Milliseconds())
}

const (
	// plannedPart of a run has planned work only, so that what it breaks can't be
	// put down to a fault.
	plannedPart = 0.4
	// longestFault bounds a fault; it exceeds the time after which a lease passes on.
	longestFault = 5 * time.Second
	shortestGap  = 50 * time.Millisecond
	longestGap   = 900 * time.Millisecond
)

// newSchedule returns the actions that a seed stands for. Actions come in series
// and overlap: the gaps between them are shorter than most faults.
func newSchedule(seed uint64, length time.Duration) (schedule []action) {
	rng := rand.New(rand.NewPCG(seed, 0))
	between := func(low, high time.Duration) time.Duration { return low + time.Duration(rng.Int64N(int64(high-low))) }
	for at := between(shortestGap, longestGap); at < length; at += between(shortestGap, longestGap) {
		kinds := plannedKinds
		if at > time.Duration(plannedPart*float64(length)) && rng.IntN(4) > 0 {
			kinds = faultKinds
		}
		schedule = append(schedule, action{
			at: at, kind: kinds[rng.IntN(len(kinds))], target: rng.IntN(1 << 10), variant: rng.IntN(1 << 10),
			length: between(100*time.Millisecond, longestFault),
		})
	}
	return schedule
}

func scheduleText(schedule []action) string {
	var b strings.Builder
	for _, a := range schedule {
		fmt.Fprintln(&b, a)
	}
	return b.String()
}
