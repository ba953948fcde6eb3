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
	failService   actionKind = "fail service"  // Upstreams of a service refuse, reset, fail and truncate half of their responses.
	restoreStore  actionKind = "restore store" // The store goes away and comes back from an older copy.
	slowEngines   actionKind = "slow engines"  // Requests wait at some engines before they begin.
)

// Upstreams in need, which are no fault of any instance.
const (
	limitUpstream actionKind = "limit upstream" // An upstream limits the rate of its requests, and changes the limit.
	// replaceSoftware is an engine that crashes and is back under its ID with another
	// software version.
	replaceSoftware actionKind = "replace software"
	// breakOffAnswers are upstreams that send their answers in all framings and break some off.
	breakOffAnswers actionKind = "break off answers"
	// sendCrashingPart are requests with a prompt part that crashes engines.
	sendCrashingPart actionKind = "send crashing part"
	// sayLeaving is an upstream that says in its responses that it leaves, and askForPauses
	// one that asks for pauses when it turns requests away.
	sayLeaving   actionKind = "say that it leaves"
	askForPauses actionKind = "ask for pauses"
	// cutFromUpstreams cuts one instance off from all upstreams, and from nothing else.
	cutFromUpstreams actionKind = "cut from upstreams"
)

// Demanding loads, which excuse no failure of an instance.
const (
	spikeAccount  actionKind = "spike of an account" // An account asks for a multiple of its usual.
	lowerLimit    actionKind = "lower limit"         // The configuration lowers the limit of an account, and raises it again.
	longPrompts   actionKind = "long prompts"        // Requests whose prompts take much memory.
	slowReaders   actionKind = "slow readers"        // Callers read large responses slowly.
	slowUploads   actionKind = "slow uploads"        // An upstream reads large bodies slowly.
	neighborsCome actionKind = "neighbors come"      // Neighbors slow some engines down.
)

var (
	plannedKinds = []actionKind{stopInstance, changeSettings, changeConfig, nameWeights, drainUpstream, revokeKey, occupyEngines}
	faultKinds   = []actionKind{killInstance, killAll, pauseInstance, cutStore, cutUpstream, failStore, forgetStore, crashUpstream, failService, cutPeers}
	// plainPlannedKinds and plainFaultKinds are the kinds of plain schedules.
	plainPlannedKinds = plannedKinds[:5]
	plainFaultKinds   = faultKinds[:9]
	// drillKinds are the kinds of the actions that the newest schedules have besides.
	drillKinds = []actionKind{restoreStore, slowEngines}
	// troubleKinds are the kinds of upstreams in need.
	troubleKinds = []actionKind{limitUpstream, replaceSoftware, breakOffAnswers, sendCrashingPart, sayLeaving, askForPauses, cutFromUpstreams}
	// harmlessKinds are the kinds of troubles that excuse no failure of an instance.
	harmlessKinds = append([]actionKind{limitUpstream, breakOffAnswers, sendCrashingPart, sayLeaving, askForPauses, cutFromUpstreams}, loadKinds...)
	// loadKinds are the kinds of demanding loads.
	loadKinds = []actionKind{spikeAccount, lowerLimit, longPrompts, slowReaders, slowUploads, neighborsCome}
	// lostKinds are planned operations that fall right before a restore, which loses
	// what instances wrote because of them.
	lostKinds = []actionKind{changeConfig, nameWeights, drainUpstream, revokeKey}
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
	// minDrillGap and maxDrillGap enclose the time between two drills.
	minDrillGap = 1500 * time.Millisecond
	maxDrillGap = 6 * time.Second
	// maxLostDelay bounds the delay between an operation and the restore that loses
	// its consequences.
	maxLostDelay = 400 * time.Millisecond
	// oldestCopy is the variant of a restore with the oldest copy.
	oldestCopy = 1<<10 - 1
	// drillStream is the stream of random numbers for drills. It is apart from that of
	// the other actions, so that a seed keeps the schedule that it had without drills.
	drillStream = 2
	// troubleStream is the same for upstreams in need.
	troubleStream = 3
	// streamStream is the first of the streams for callers that take up streams, one each.
	streamStream = 1000
	// deliveryStream is the same for broken-off answers.
	deliveryStream = 4
	// partStream is the same for crashing parts.
	partStream = 5
	// announcementStream is the same for upstreams that leave or ask for pauses.
	announcementStream = 6
	// cutStream is the same for instances that are cut off from all upstreams, for times
	// between minCutDuration and maxCutDuration.
	cutStream      = 7
	minCutDuration = faultGracePeriod + time.Second
	maxCutDuration = 9 * time.Second
	minTroubleGap  = 400 * time.Millisecond
	maxTroubleGap  = 4 * time.Second
	// minLimitDuration and maxLimitDuration enclose how long an upstream limits its rate.
	// Limits are judged only faultGracePeriod after they were first named.
	minLimitDuration = 2 * time.Second
	maxLimitDuration = 12 * time.Second
)

// ScheduleVersion selects what a schedule contains.
type ScheduleVersion int

// Versions of schedules. Seeds that violated a guarantee are kept with the version that
// did.
const (
	NewestSchedule  ScheduleVersion = iota
	PlainSchedule                   // No coincident actions, and only the kinds of the first version.
	NoDrills                        // Without restores of the store and slow engines, and without upstreams in need.
	NoTroubles                      // Without upstreams in need.
	NoBrokenOff                     // Without answers that are broken off, and without crashing parts.
	NoCrashingParts                 // Without prompt parts that crash engines.
	// NoAnnouncements is without upstreams that say that they leave or ask for pauses, and
	// without instances that are cut off from all upstreams.
	NoAnnouncements
	// DemandingLoads has the content of NoTroubles, accounts with rate limits, upstreams with
	// different speeds and limited memory, and slow readers. Demanding loads are in no other
	// version, so that seeds keep the schedules that they had before.
	DemandingLoads
)

// newSchedule returns the actions for a seed. Actions overlap, since the gaps
// between them are shorter than most faults. Fleets with relays
// also have cuts between instances together with planned operations: relays forward
// what they read from the store, and the other instances must get it in time without
// them.
func newSchedule(cfg Config) (schedule []action) {
	rng := rand.New(rand.NewPCG(cfg.Seed, 0))
	duration, plain, relays := cfg.Duration, cfg.Schedule == PlainSchedule, cfg.Instances > maxDirectPeers
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
	since := func(versions ...ScheduleVersion) bool {
		return cfg.Schedule == NewestSchedule || slices.Contains(versions, cfg.Schedule)
	}
	if since(NoTroubles, NoBrokenOff, NoCrashingParts, NoAnnouncements, DemandingLoads) {
		schedule = append(schedule, newDrills(cfg)...)
	}
	if since(NoBrokenOff, NoCrashingParts, NoAnnouncements) {
		schedule = append(schedule, newTroubles(cfg)...)
	}
	if since(NoCrashingParts, NoAnnouncements) {
		schedule = append(schedule, newBrokenOff(cfg)...)
	}
	if since(NoAnnouncements) {
		schedule = append(schedule, newCrashingPartActions(cfg)...)
	}
	if since() {
		schedule = append(schedule, newAnnouncementActions(cfg)...)
		if !relays {
			schedule = append(schedule, newCutActions(cfg)...)
		}
	}
	if cfg.Schedule == DemandingLoads {
		schedule = append(schedule, newLoadActions(cfg)...)
	}
	slices.SortStableFunc(schedule, func(a, b action) int { return int(a.at - b.at) })
	return schedule
}

// newDrills returns restores of the store and slow engines, most of them in the part of a
// run with faults. Half of the restores lose the consequences of an operation, and half are
// followed by a strike against instances that are finding out. The last drill is a
// restore right at the end: what instances miss then, no later action mends.
func newDrills(cfg Config) (drills []action) {
	rng := rand.New(rand.NewPCG(cfg.Seed, drillStream))
	between := func(low, high time.Duration) time.Duration { return low + time.Duration(rng.Int64N(int64(high-low))) }
	start := time.Duration(plannedOnlyFraction * float64(cfg.Duration))
	if rng.IntN(4) == 0 {
		// The copy is older than the fleet.
		drills = append(drills, action{
			at: between(minActionGap, maxActionGap), kind: restoreStore, target: rng.IntN(1 << 10), variant: oldestCopy, duration: between(minAwayTime, maxAwayTime),
		})
	} else if rng.IntN(2) == 0 {
		// Engines that have outdated weights turn slow just before these expire. This comes
		// first, since faults of the store and of links give the weights more time.
		at := between(minActionGap, maxActionGap)
		drills = []action{
			{at: at, kind: nameWeights},
			{at: at, kind: occupyEngines, target: rng.IntN(1 << 10), variant: engineCount - 1, duration: weightsBound + maxEngineWait},
			{at: at + weightsBound/2, kind: slowEngines, target: rng.IntN(1 << 10), variant: engineCount - 1, duration: maxEngineWait},
		}
	}
	for at := start + between(minActionGap, minDrillGap); at < cfg.Duration; at += between(minDrillGap, maxDrillGap) {
		a := action{
			at: at, kind: drillKinds[rng.IntN(len(drillKinds))], target: rng.IntN(1 << 10), variant: rng.IntN(1 << 10),
			duration: between(100*time.Millisecond, maxFaultDuration),
		}
		if a.kind == restoreStore {
			a.duration = between(minAwayTime, maxAwayTime)
			if rng.IntN(2) == 0 {
				lost := action{at: a.at, kind: lostKinds[rng.IntN(len(lostKinds))], target: rng.IntN(1 << 10), variant: rng.IntN(1 << 10)}
				drills = append(drills, lost)
				a.at += time.Duration(rng.Int64N(int64(maxLostDelay)))
				if lost.kind == drainUpstream && rng.IntN(2) == 0 {
					// Instances know of the drain, and the copy does not.
					a.at += drainBound + minDrillGap
					a.variant = oldestCopy - rng.IntN(oldestCopy/4)
				}
			}
			if rng.IntN(2) == 0 {
				strike := newCoincidentAction(rng, a, true)
				strike.at += a.duration
				drills = append(drills, strike)
			}
		}
		drills = append(drills, a)
	}
	return append(drills, action{
		at: cfg.Duration, kind: restoreStore, target: rng.IntN(1 << 10), variant: rng.IntN(1 << 10), duration: between(minAwayTime, maxAwayTime),
	})
}

// newTroubles returns what upstreams in need do: they limit the rate of their requests,
// several at a time, all through the run, which is no fault of any instance. In the part
// with faults engines are back with other software, also two in a row.
func newTroubles(cfg Config) (troubles []action) {
	rng := rand.New(rand.NewPCG(cfg.Seed, troubleStream))
	between := func(low, high time.Duration) time.Duration { return low + time.Duration(rng.Int64N(int64(high-low))) }
	for at := between(minActionGap, maxActionGap); at < cfg.Duration; at += between(minTroubleGap, maxTroubleGap) {
		troubles = append(troubles, action{
			at: at, kind: limitUpstream, target: rng.IntN(1 << 10), variant: rng.IntN(1 << 10), duration: between(minLimitDuration, maxLimitDuration),
		})
	}
	start := time.Duration(plannedOnlyFraction * float64(cfg.Duration))
	for at := start + between(minActionGap, minDrillGap); at < cfg.Duration; at += between(minActionGap, maxDrillGap) {
		troubles = append(troubles, action{
			at: at, kind: replaceSoftware, target: rng.IntN(1 << 10), variant: rng.IntN(1 << 10), duration: between(minActionGap, maxRestartTime),
		})
	}
	return troubles
}

// newBrokenOff returns when upstreams break off answers, several at a time, all through
// the run.
func newBrokenOff(cfg Config) (actions []action) {
	rng := rand.New(rand.NewPCG(cfg.Seed, deliveryStream))
	between := func(low, high time.Duration) time.Duration { return low + time.Duration(rng.Int64N(int64(high-low))) }
	for at := between(minActionGap, maxActionGap); at < cfg.Duration; at += between(minTroubleGap, maxTroubleGap) {
		actions = append(actions, action{at: at, kind: breakOffAnswers, duration: between(minActionGap, maxFaultDuration)})
	}
	return actions
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
