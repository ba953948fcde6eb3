package rcsoak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// actionKind is what an action does.
type actionKind string

// Planned operations, which must not affect callers.
const (
	stopInstance   actionKind = "stop instance"   // SIGTERM, followed by a restart once the process has exited.
	changeSettings actionKind = "change settings" // Writes a new settings file, with or without SIGHUP.
	changeConfig   actionKind = "change config"   // Replaces a route by a new one.
	nameWeights    actionKind = "name weights"    // Writes a new weights version, which the engines are to load, to the store.
	drainUpstream  actionKind = "drain upstream"  // Drains an upstream and adds another one.
	revokeKey      actionKind = "revoke key"      // Replaces a client account and its key.
	occupyEngines  actionKind = "occupy engines"  // Makes some engines reject orders.
)

// Faults.
const (
	killInstance  actionKind = "kill instance" // SIGKILL, followed by a restart.
	killAll       actionKind = "kill all instances"
	pauseInstance actionKind = "pause instance" // SIGSTOP, followed by SIGCONT at the end of the fault.
	cutStore      actionKind = "cut store"      // Link fault between one instance and the store.
	cutUpstream   actionKind = "cut upstream"   // Link fault between all instances and one upstream.
	cutPeers      actionKind = "cut peers"      // Link fault between the other instances and one instance.
	failStore     actionKind = "fail store"     // Fault of the store itself.
	forgetStore   actionKind = "forget store"   // The store discards its change history.
	crashUpstream actionKind = "crash upstream"
	failService   actionKind = "fail service" // Upstreams of a service refuse, reset, fail and truncate half of their responses.
)

var (
	plannedKinds = []actionKind{stopInstance, changeSettings, changeConfig, nameWeights, drainUpstream, revokeKey, occupyEngines}
	faultKinds   = []actionKind{killInstance, killAll, pauseInstance, cutStore, cutUpstream, failStore, forgetStore, crashUpstream, failService, cutPeers}
	// plainPlannedKinds and plainFaultKinds are the kinds of plain schedules.
	plainPlannedKinds = plannedKinds[:5]
	plainFaultKinds   = faultKinds[:9]
	// coincidentKinds are the kinds of coincident actions in the part of a run with
	// faults.
	coincidentKinds = []actionKind{stopInstance, killInstance, pauseInstance}
)

// instanceSelector tells which instances an action affects.
type instanceSelector string

const (
	byNumber     instanceSelector = "numbered"
	leaseHolder  instanceSelector = "holder of the lease"
	lastStarted  instanceSelector = "last started"
	allInstances instanceSelector = "all"
)

// trigger is the event that an action waits for from its scheduled time on.
type trigger string

const (
	noTrigger      trigger = ""
	orderAccepted  trigger = "order accepted"
	loadHalfDone   trigger = "load half done"
	processStarted trigger = "process started"
)

// action is one step of a schedule.
type action struct {
	at       time.Duration // Since the start of traffic.
	kind     actionKind
	target   int              // Index of the instance or upstream, modulo their number.
	variant  int              // Index of the variant, modulo the number of variants.
	duration time.Duration    // Duration of faults that end by themselves.
	selector instanceSelector // Empty is byNumber.
	trigger  trigger          // The action runs at the first such event after at.
	delay    time.Duration    // Between that event and the action.
}

func (a action) planned() bool { return slices.Contains(plannedKinds, a.kind) }

func (a action) String() string {
	text := fmt.Sprintf("%6.2f s  %s (target %d, variant %d, %d ms)", a.at.Seconds(), a.kind, a.target, a.variant, a.duration.Milliseconds())
	if a.selector != "" {
		text += fmt.Sprintf(", %s", a.selector)
	}
	if a.trigger != noTrigger {
		text += fmt.Sprintf(", %d ms after: %s", a.delay.Milliseconds(), a.trigger)
	}
	return text
}

const (
	// plannedOnlyFraction is the initial part of a run without faults, so that
	// violations there cannot be attributed to a fault.
	plannedOnlyFraction = 0.4
	// maxFaultDuration exceeds the time after which a lease passes to another holder.
	maxFaultDuration = 5 * time.Second
	// minOccupiedDuration and maxOccupiedDuration enclose weightsBound, so that some
	// engines keep outdated weights for longer than these may be used.
	minOccupiedDuration = 3 * time.Second
	maxOccupiedDuration = 12 * time.Second
	minActionGap        = 50 * time.Millisecond
	maxActionGap        = 900 * time.Millisecond
	// minPeerCutDuration is longer than configBound, so that a configuration must
	// come into force during the cut.
	minPeerCutDuration = 4 * time.Second
	// maxDirectPeers is the largest number of instances without relays.
	maxDirectPeers = 12
	// maxCoincidentDelay bounds the delay between an action and its coincident
	// action. Most actions have completed by then.
	maxCoincidentDelay = 600 * time.Millisecond
	// coincidentProbability is the share of actions with a coincident action.
	coincidentProbability = 0.5
	// faultKindProbability is the probability that a run uses a kind of fault. If all
	// kinds occurred in each run, the store and the links would hardly ever be free
	// of faults for long enough to check the bounds that require it.
	faultKindProbability = 0.5
)

// newSchedule returns the actions for a seed. Actions overlap, since the gaps
// between them are shorter than most faults. Plain schedules have no coincident
// actions and only the kinds of the first version of the soak. Fleets with relays
// also have cuts between instances together with planned operations: relays forward
// what they read from the store, and the other instances must get it in time without
// them.
func newSchedule(cfg Config) (schedule []action) {
	rng := rand.New(rand.NewPCG(cfg.Seed, 0))
	duration, plain, relays := cfg.Duration, cfg.Plain, cfg.Instances > maxDirectPeers
	between := func(low, high time.Duration) time.Duration { return low + time.Duration(rng.Int64N(int64(high-low))) }
	planned, faults := plannedKinds, []actionKind{}
	switch {
	case plain:
		planned, faults = plainPlannedKinds, plainFaultKinds
	case relays:
		planned = append(slices.Clone(planned), cutPeers)
	}
	for len(faults) == 0 {
		for _, k := range faultKinds {
			if rng.Float64() < faultKindProbability {
				faults = append(faults, k)
			}
		}
	}
	for at := between(minActionGap, maxActionGap); at < duration; at += between(minActionGap, maxActionGap) {
		kinds := planned
		faulty := at > time.Duration(plannedOnlyFraction*float64(duration))
		if faulty && rng.IntN(4) > 0 {
			kinds = faults
		}
		a := action{
			at: at, kind: kinds[rng.IntN(len(kinds))], target: rng.IntN(1 << 10), variant: rng.IntN(1 << 10),
			duration: between(100*time.Millisecond, maxFaultDuration),
		}
		if a.kind == occupyEngines {
			a.duration = between(minOccupiedDuration, maxOccupiedDuration)
		}
		schedule = append(schedule, a)
		if relays && a.kind == cutPeers {
			cut := &schedule[len(schedule)-1]
			cut.selector, cut.duration = []instanceSelector{byNumber, allInstances}[rng.IntN(2)], between(minPeerCutDuration, maxFaultDuration)
			schedule = append(schedule, action{at: a.at + minActionGap, kind: []actionKind{changeConfig, revokeKey}[rng.IntN(2)]})
		}
		if !plain && rng.Float64() < coincidentProbability {
			schedule = append(schedule, newCoincidentAction(rng, a, faulty))
		}
	}
	slices.SortStableFunc(schedule, func(a, b action) int { return int(a.at - b.at) })
	return schedule
}

// newCoincidentAction returns an action on instances that runs during another action
// or at its end.
func newCoincidentAction(rng *rand.Rand, a action, faulty bool) action {
	s := action{
		at: a.at, kind: stopInstance, target: rng.IntN(1 << 10),
		selector: []instanceSelector{byNumber, leaseHolder, lastStarted, allInstances}[rng.IntN(4)],
	}
	s.duration = 100*time.Millisecond + time.Duration(rng.Int64N(int64(maxFaultDuration)))
	if faulty {
		s.kind = coincidentKinds[rng.IntN(len(coincidentKinds))]
	}
	// Delays are distributed over orders of magnitude, since the first steps of an
	// instance after an event take milliseconds.
	s.delay = maxCoincidentDelay >> rng.IntN(10)
	switch s.trigger = []trigger{noTrigger, noTrigger, orderAccepted, loadHalfDone, processStarted}[rng.IntN(5)]; s.trigger {
	case noTrigger:
		s.at += s.delay
		if ends := a.kind == failStore || a.kind == cutStore || a.kind == pauseInstance; ends && rng.IntN(2) == 0 {
			s.at += a.duration
		}
	case loadHalfDone:
		s.delay = weightsLoadDuration / 2
	}
	return s
}

func formatSchedule(schedule []action) string {
	var b strings.Builder
	for _, a := range schedule {
		fmt.Fprintln(&b, a)
	}
	return b.String()
}
