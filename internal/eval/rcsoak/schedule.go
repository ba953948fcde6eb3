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
	revokeKey      kind = "revoke key"      // A key goes, and a client account comes.
	occupyEngines  kind = "occupy engines"  // Some engines carry out no orders.
)

// Faults.
const (
	killInstance  kind = "kill instance" // SIGKILL, and a new start.
	killAll       kind = "kill all instances"
	pauseInstance kind = "pause instance" // SIGSTOP, and SIGCONT after a while.
	cutStore      kind = "cut store"      // One instance's link to the store misbehaves.
	cutUpstream   kind = "cut upstream"   // All links to one upstream misbehave.
	cutPeers      kind = "cut peers"      // The links from the others to one instance misbehave.
	failStore     kind = "fail store"     // The store itself misbehaves.
	forgetStore   kind = "forget store"   // The store drops its history of changes.
	crashUpstream kind = "crash upstream"
	failService   kind = "fail service" // The upstreams of a service refuse, reset, fail and cut half of their answers.
)

var (
	plannedKinds = []kind{stopInstance, changeSettings, changeConfig, nameWeights, drainUpstream, revokeKey, occupyEngines}
	faultKinds   = []kind{killInstance, killAll, pauseInstance, cutStore, cutUpstream, failStore, forgetStore, crashUpstream, failService, cutPeers}
	// plainPlannedKinds and plainFaultKinds are those of plain schedules.
	plainPlannedKinds = plannedKinds[:5]
	plainFaultKinds   = faultKinds[:9]
	// strikeKinds are what strikes do.
	strikeKinds = []kind{stopInstance, killInstance, pauseInstance}
)

// whom says which instances an action concerns.
type whom string

const (
	byNumber    whom = "numbered"
	holder      whom = "holder of the lease"
	lastStarted whom = "last started"
	everyone    whom = "all"
)

// moment says what an action waits for at its time.
type moment string

const (
	atOnce     moment = ""
	whenOrder  moment = "order accepted"
	whenLoaded moment = "load half done"
	whenStart  moment = "process started"
)

// action is one step of a schedule.
type action struct {
	at      time.Duration // Since the start of traffic.
	kind    kind
	target  int           // Which instance or upstream, modulo their number.
	variant int           // Which way, modulo the number of ways.
	length  time.Duration // Of faults that end.
	whom    whom          // Empty is byNumber.
	after   moment        // Waited for from at on.
	delay   time.Duration // From that moment.
}

func (a action) planned() bool { return slices.Contains(plannedKinds, a.kind) }

func (a action) String() string {
	text := fmt.Sprintf("%6.2f s  %s (target %d, variant %d, %d ms)", a.at.Seconds(), a.kind, a.target, a.variant, a.length.Milliseconds())
	if a.whom != "" {
		text += fmt.Sprintf(", %s", a.whom)
	}
	if a.after != atOnce {
		text += fmt.Sprintf(", %d ms after: %s", a.delay.Milliseconds(), a.after)
	}
	return text
}

const (
	// plannedPart of a run has planned work only, so that what it breaks can't be
	// put down to a fault.
	plannedPart = 0.4
	// longestFault bounds a fault; it exceeds the time after which a lease passes on.
	longestFault = 5 * time.Second
	// shortestOccupied and longestOccupied are about the time for which older
	// weights may be used, so that some engines stay on them for longer.
	shortestOccupied = 3 * time.Second
	longestOccupied  = 12 * time.Second
	shortestGap      = 50 * time.Millisecond
	longestGap       = 900 * time.Millisecond
	// shortestCut between instances is longer than a configuration may take to come
	// into force, and a probe.
	shortestCut = 4 * time.Second
	// directPeers is the number of instances up to which there are no relays.
	directPeers = 12
	// longestStrike is how long after a step a strike may come. Most steps are done
	// by then.
	longestStrike = 600 * time.Millisecond
	// strikeChance of the steps have a strike.
	strikeChance = 0.5
	// kindChance of the faults occur in a run. Without it hardly any run would have
	// a quiet store or sound links for long enough to judge the bounds that need them.
	kindChance = 0.5
)

// newSchedule returns the actions that a seed stands for. Actions come in series
// and overlap: the gaps between them are shorter than most faults. Plain schedules
// have no strikes and only the kinds that the first version of the soak had. Fleets
// with relays also have cuts between instances beside planned work: relays pass on
// what they read of the store, and the others must do without them in time.
func newSchedule(cfg Config) (schedule []action) {
	rng := rand.New(rand.NewPCG(cfg.Seed, 0))
	length, plain, relays := cfg.Duration, cfg.Plain, cfg.Instances > directPeers
	between := func(low, high time.Duration) time.Duration { return low + time.Duration(rng.Int64N(int64(high-low))) }
	planned, faults := plannedKinds, []kind{}
	switch {
	case plain:
		planned, faults = plainPlannedKinds, plainFaultKinds
	case relays:
		planned = append(slices.Clone(planned), cutPeers)
	}
	for len(faults) == 0 {
		for _, k := range faultKinds {
			if rng.Float64() < kindChance {
				faults = append(faults, k)
			}
		}
	}
	for at := between(shortestGap, longestGap); at < length; at += between(shortestGap, longestGap) {
		kinds := planned
		faulty := at > time.Duration(plannedPart*float64(length))
		if faulty && rng.IntN(4) > 0 {
			kinds = faults
		}
		a := action{
			at: at, kind: kinds[rng.IntN(len(kinds))], target: rng.IntN(1 << 10), variant: rng.IntN(1 << 10),
			length: between(100*time.Millisecond, longestFault),
		}
		if a.kind == occupyEngines {
			a.length = between(shortestOccupied, longestOccupied)
		}
		schedule = append(schedule, a)
		if relays && a.kind == cutPeers {
			cut := &schedule[len(schedule)-1]
			cut.whom, cut.length = []whom{byNumber, everyone}[rng.IntN(2)], between(shortestCut, longestFault)
			schedule = append(schedule, action{at: a.at + shortestGap, kind: []kind{changeConfig, revokeKey}[rng.IntN(2)]})
		}
		if !plain && rng.Float64() < strikeChance {
			schedule = append(schedule, newStrike(rng, a, faulty))
		}
	}
	slices.SortStableFunc(schedule, func(a, b action) int { return int(a.at - b.at) })
	return schedule
}

// newStrike returns an action that hits instances while another one is under way
// or as it ends.
func newStrike(rng *rand.Rand, a action, faulty bool) action {
	s := action{
		at: a.at, kind: stopInstance, target: rng.IntN(1 << 10),
		whom: []whom{byNumber, holder, lastStarted, everyone}[rng.IntN(4)],
	}
	s.length = 100*time.Millisecond + time.Duration(rng.Int64N(int64(longestFault)))
	if faulty {
		s.kind = strikeKinds[rng.IntN(len(strikeKinds))]
	}
	// Short delays are as likely as long ones: what instances do at first takes milliseconds.
	s.delay = longestStrike >> rng.IntN(10)
	switch s.after = []moment{atOnce, atOnce, whenOrder, whenLoaded, whenStart}[rng.IntN(5)]; s.after {
	case atOnce:
		s.at += s.delay
		if ends := a.kind == failStore || a.kind == cutStore || a.kind == pauseInstance; ends && rng.IntN(2) == 0 {
			s.at += a.length
		}
	case whenLoaded:
		s.delay = loadTime / 2
	}
	return s
}

func scheduleText(schedule []action) string {
	var b strings.Builder
	for _, a := range schedule {
		fmt.Fprintln(&b, a)
	}
	return b.String()
}
