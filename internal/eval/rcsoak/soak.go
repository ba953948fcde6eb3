// Package rcsoak runs real instances of the router against fakes of the users'
// platform while a seeded schedule stops, kills and pauses them and injects faults
// into their links, the store and the upstreams. It checks the guarantees of the
// platform's documentation from the view of callers and upstreams.
//
// The soak does not step clocks, since this takes privileges that it does not have.
package rcsoak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/gravitational/trace"

	"github.com/radishcrank/radishcrank/internal/standin/rcfakestore"
	"github.com/radishcrank/radishcrank/internal/standin/rcfakeupstream"
	"github.com/radishcrank/radishcrank/internal/state/rcwait"
)

const (
	// DefaultInstances is the number of instances if Config does not set one.
	DefaultInstances = 3
	// MaxInstances keeps the processes and their connections within common per-user limits.
	MaxInstances = 200
	startTimeout = 10 * time.Second
	// configBound is the platform's ConfigApplyMs plus the time of a probe.
	configBound = 2200 * time.Millisecond
	// drainBound is the platform's DrainMs plus the time for which a request that was
	// already sent may be in transit.
	drainBound = 2200 * time.Millisecond
	// weightsBound is the VersionMs of the settings.
	weightsBound = 5 * time.Second
	// loadsBound is the platform's VersionAllMs.
	loadsBound = 10 * time.Second
	// recoverBound is the platform's RecoveryS.
	recoverBound  = 12 * time.Second
	restartDelay  = 300 * time.Millisecond
	probeInterval = 150 * time.Millisecond
)

// Config describes a run.
type Config struct {
	Seed      uint64
	Duration  time.Duration // Of the schedule; checks of the recovery follow.
	Instances int           // 0 is DefaultInstances.
	Schedule  ScheduleVersion
	// StoreAge is the age of the store's clock at the start with DemandingLoads; 0 is
	// defaultStoreAge.
	StoreAge time.Duration
	Program  []string  // Command line of an instance.
	Dir      string    // For settings and logs.
	Out      io.Writer // Receives the schedule and the violations.
}

// Report is the result of a run.
type Report struct {
	Sent, Answered int64
	Actions        map[string]int
	Stalls         []Stall
	Violations     []string // Violated guarantees, in order of detection.
}

// Stall is a period in which the soak process itself made no progress.
type Stall struct {
	End      time.Time
	Duration time.Duration
}

type soak struct {
	cfg        Config
	startedAt  time.Time
	env        *environment
	instances  []*instance
	parts      *crashingParts
	callers    *callers
	background sync.WaitGroup // Restarts, ends of faults and triggered actions.

	mu                       sync.Mutex
	report                   Report
	awaitingTrigger          map[trigger][]action     // Actions that wait for their trigger.
	staleWeightsReported     map[staleWeightsUse]bool // Uses of outdated weights that were reported.
	lastOrder                acceptedOrder
	requestTimes             sync.Map // When requests were sent, by ID.
	cutOffService, elsewhere service  // Of instances that are cut off from all upstreams, and of others.
	senders                  sync.Map // Instances that sent requests to upstreams, by ID.
}

func (s *soak) elapsed(t time.Time) string {
	return fmt.Sprintf("%.2f s", t.Sub(s.startedAt).Seconds())
}

// logf writes one line of output.
func (s *soak) logf(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(s.cfg.Out, format+"\n", args...)
}

// violation records and prints the violation of a guarantee.
func (s *soak) violation(guarantee, format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	text := fmt.Sprintf("%s  %s: %s", s.elapsed(time.Now()), guarantee, fmt.Sprintf(format, args...))
	s.report.Violations = append(s.report.Violations, text)
	fmt.Fprintln(s.cfg.Out, "broken:", text)
}

// Run runs the schedule of one seed. An error means that the run could not be
// completed; violations are in the report.
func Run(ctx context.Context, cfg Config) (report Report, err error) {
	defer func() {
		if err != nil {
			err = trace.Wrap(err, "soak of seed %d", cfg.Seed)
		}
	}()
	if err := os.MkdirAll(cfg.Dir, 0o700); err != nil {
		return report, err
	}
	if cfg.Instances == 0 {
		cfg.Instances = DefaultInstances
	}
	if cfg.Instances < 0 || cfg.Instances > MaxInstances {
		return report, trace.BadParameter("number of instances is %d, must be from 0 to %d", cfg.Instances, MaxInstances)
	}
	s := &soak{
		cfg: cfg, startedAt: time.Now(), parts: newCrashingParts(), report: Report{Actions: map[string]int{}},
		awaitingTrigger: map[trigger][]action{}, staleWeightsReported: map[staleWeightsUse]bool{},
	}
	onOrder := func(u *upstream, o rcfakeupstream.Order) {
		s.checkOrder(u, o)
		s.fire(ctx, orderAccepted)
		s.fire(ctx, loadHalfDone)
	}
	software := softwareVersions
	if cfg.Schedule != NewestSchedule && cfg.Schedule != NoBrokenOff && cfg.Schedule != NoCrashingParts && cfg.Schedule != NoAnnouncements {
		software = software[:1]
	}
	onArrival := func(u *upstream, id string) {
		s.checkDrain(u, id)
		s.checkLimit(u, id)
		s.checkLeaving(u, id)
		s.env.loads.recordArrival(id)
	}
	var demanding *loads
	if cfg.Schedule == DemandingLoads {
		demanding = newLoads(cfg.StoreAge)
	}
	if s.env, err = newEnvironment(callbacks{
		order: onOrder, arrival: onArrival, begin: s.checkWeights, sender: s.recordSender, admit: s.admit, crashes: s.crashes, crashed: s.crashInPlace,
		overflow: s.checkOverflow,
	}, software, demanding); err != nil {
		return report, err
	}
	defer s.env.close()
	defer func() {
		for _, i := range s.instances {
			i.close()
		}
	}()
	for n := range cfg.Instances {
		i, err := s.newInstance(n)
		if err != nil {
			return report, err
		}
		s.instances = append(s.instances, i)
		s.env.peers[fmt.Sprintf("127.0.0.1:%d", i.peerPort)] = i.peerProxy.addr()
	}
	for _, i := range s.instances {
		if err := i.start(); err != nil {
			return report, err
		}
	}
	if err := s.awaitReady(ctx, startTimeout); err != nil {
		return report, err
	}
	s.runSchedule(ctx, newSchedule(cfg))
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.report, ctx.Err()
}

// newInstance returns an instance, in small fleets with links of its own to the upstreams.
func (s *soak) newInstance(n int) (i *instance, err error) {
	if s.cfg.Instances > maxDirectPeers {
		return newInstance(n, s.cfg.Program, s.cfg.Dir, s.env.storeAddr())
	}
	links := newUpstreamLinks(s.env.store)
	if i, err = newInstance(n, s.cfg.Program, s.cfg.Dir, links.storeAddr()); err != nil {
		links.close()
		return nil, err
	}
	links.mu.Lock()
	links.instance = i
	links.mu.Unlock()
	i.upstreamLinks = links
	return i, nil
}

// recordSender records which instance has sent a request to an upstream. It may be another
// one than its caller has asked.
func (s *soak) recordSender(id, remoteAddr string) {
	if origin := connOrigin(remoteAddr); origin != nil {
		s.senders.Store(id, origin)
	}
}

// sentAt returns when a request was sent, or the zero time if that is not known.
func (s *soak) sentAt(id string) (at time.Time) {
	if v, ok := s.requestTimes.Load(id); ok {
		at = v.(time.Time)
	}
	return at
}

func (s *soak) awaitReady(ctx context.Context, bound time.Duration) error {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	start := time.Now()
	for deadline := start.Add(bound); ; {
		ready := 0
		for _, i := range s.instances {
			if i.isReady(client) {
				ready++
			}
		}
		switch {
		case ready == len(s.instances):
			return nil
		case time.Now().After(deadline.Add(s.stalledSince(start))):
			return trace.LimitExceeded("%d of %d instances are ready after %s", ready, len(s.instances), bound)
		case !rcwait.Sleep(ctx, probeInterval):
			return ctx.Err()
		}
	}
}

// runSchedule performs the schedule under traffic and checks the recovery afterwards.
func (s *soak) runSchedule(ctx context.Context, schedule []action) {
	fmt.Fprintf(s.cfg.Out, "seed %d\n%s", s.cfg.Seed, formatSchedule(schedule))
	s.startedAt = time.Now()
	traffic, stop := context.WithCancel(ctx)
	c := newCallers(s)
	s.callers = c
	var wg sync.WaitGroup
	wg.Go(func() { c.pollReadiness(traffic) })
	wg.Go(func() { s.watchDrains(traffic) })
	wg.Go(func() { s.watchStalls(traffic) })
	for _, i := range s.instances {
		wg.Go(func() { s.probeConfig(traffic, i) })
	}
	s.startAccounts(traffic, &wg)
	for n := range callerCount {
		wg.Go(func() { c.run(traffic, n, rand.New(rand.NewPCG(s.cfg.Seed, uint64(n)+1))) })
	}
	for _, a := range schedule {
		if !rcwait.Sleep(ctx, time.Until(s.startedAt.Add(a.at))) {
			break
		}
		if a.trigger == noTrigger {
			s.perform(ctx, a)
			continue
		}
		s.mu.Lock()
		s.awaitingTrigger[a.trigger] = append(s.awaitingTrigger[a.trigger], a)
		s.mu.Unlock()
	}
	s.mu.Lock()
	clear(s.awaitingTrigger)
	s.mu.Unlock()
	s.background.Wait()
	s.checkRecovery(ctx, c)
	stop()
	wg.Wait()
	c.checkRefusals()
	c.checkTakeUps()
	s.logDeliveries()
	s.logParts()
	s.checkCutOff()
	s.checkLoads()
	for _, i := range s.instances {
		i.mu.Lock()
		for _, exit := range i.exits {
			s.violation("processes do not exit unexpectedly", "%s, log %s", exit, i.logFile())
		}
		i.mu.Unlock()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.report.Sent, s.report.Answered = c.sent.Load(), c.answered.Load()
}

// fire starts the first action that waits for the trigger t.
func (s *soak) fire(ctx context.Context, t trigger) {
	s.mu.Lock()
	defer s.mu.Unlock()
	waiting := s.awaitingTrigger[t]
	if len(waiting) == 0 {
		return
	}
	s.awaitingTrigger[t] = waiting[1:]
	s.background.Go(func() {
		if rcwait.Sleep(ctx, waiting[0].delay) {
			s.perform(ctx, waiting[0])
		}
	})
}

// targets returns the instances that an action affects.
func (s *soak) targets(a action) []*instance {
	found := s.instances[a.target%len(s.instances)]
	switch a.selector {
	case allInstances:
		return s.instances
	case lastStarted:
		found = slices.MaxFunc(s.instances, func(a, b *instance) int { return a.lastStart().Compare(b.lastStart()) })
	case leaseHolder:
		name := s.env.leaseHolder()
		for _, i := range s.instances {
			if i.name() == name {
				found = i
			}
		}
	}
	return []*instance{found}
}

// perform performs one action. Its end, such as the removal of a fault, runs in the
// background.
func (s *soak) perform(ctx context.Context, a action) {
	s.mu.Lock()
	s.report.Actions[string(a.kind)]++
	s.mu.Unlock()
	end := time.Now().Add(a.duration)
	if !a.planned() && a.kind != cutPeers && !slices.Contains(harmlessKinds, a.kind) { // Requests do not use the links between instances.
		s.env.extend(end)
	}
	later := func(f func()) {
		s.background.Go(func() {
			rcwait.Sleep(ctx, time.Until(end))
			f()
		})
	}
	switch a.kind {
	case changeConfig:
		s.env.changeConfig(true, false)
	case revokeKey:
		s.env.changeConfig(false, true)
	case nameWeights:
		s.env.nameWeights()
	case occupyEngines:
		for _, u := range s.env.occupy(a.target, a.variant) {
			later(u.release)
		}
	case drainUpstream:
		if u := s.env.drain(a.target); u != nil {
			s.background.Go(func() { s.recordAcknowledgments(ctx, u) })
		}
	case killAll:
		for _, i := range s.instances {
			s.kill(ctx, i)
		}
	case cutUpstream:
		u := s.env.upstream(a.target)
		u.linkFaults.extend(end)
		u.link.setFault(linkFault(1 + a.variant%int(linkFaultCount-1)))
		later(func() { u.link.setFault(linkHealthy) })
	case failStore:
		for _, i := range s.instances {
			i.extend(end)
		}
		faults := []rcfakestore.Fault{rcfakestore.Unavailable, rcfakestore.Unresponsive, rcfakestore.LoseWriteResponses, rcfakestore.Slow}
		if s.cfg.Schedule == PlainSchedule {
			faults = faults[:3]
		}
		s.env.storeFaults.extend(end)
		s.env.store.SetFault(faults[a.variant%len(faults)])
		later(func() { s.env.store.SetFault(rcfakestore.None) })
	case restoreStore:
		s.restore(ctx, a)
	case slowEngines:
		for _, u := range s.env.slowDown(a.target, a.variant) {
			later(func() { u.wait.Store(0) })
		}
	case limitUpstream:
		s.limitUpstream(ctx, a, later)
	case sendCrashingPart:
		s.sendCrashingPart(ctx, a)
	case sayLeaving:
		s.announceLeaving(a)
	case cutFromUpstreams:
		s.cutOff(a, later)
	case askForPauses:
		s.askForPauses(a, later)
	case breakOffAnswers:
		s.breakOffAnswers(later)
	case replaceSoftware:
		s.replaceSoftware(ctx, a)
	case spikeAccount, lowerLimit, longPrompts, slowReaders, slowUploads, neighborsCome:
		s.performLoad(ctx, a, later)
	case forgetStore:
		s.env.store.DiscardHistory()
	case failService:
		faulty := &s.env.activeFaults[a.target%len(s.env.activeFaults)]
		faulty.Add(1)
		later(func() { faulty.Add(-1) })
	case crashUpstream:
		s.env.crash(a.target)
	default:
		for _, i := range s.targets(a) {
			s.performOn(ctx, a, i, end, later)
		}
	}
}

// performOn performs an action on one instance.
func (s *soak) performOn(ctx context.Context, a action, i *instance, end time.Time, later func(func())) {
	switch a.kind {
	case stopInstance:
		s.stop(ctx, i)
	case changeSettings:
		if err := i.writeSettings(0.3 + float64(a.variant%5)/10); err != nil {
			s.violation("soak harness works", "%v", err)
		}
		if a.variant%2 == 0 && i.handlesSignals() {
			i.signal(syscall.SIGHUP, false)
		}
	case killInstance:
		s.kill(ctx, i)
	case pauseInstance:
		i.extend(end)
		i.pauses.extend(end)
		i.signal(syscall.SIGSTOP, false)
		later(func() { i.signal(syscall.SIGCONT, false) })
	case cutStore, cutPeers:
		link := i.storeProxy
		if a.kind == cutPeers {
			link = i.peerProxy
			s.env.peerFaults.extend(end)
		} else {
			i.extend(end)
			i.storeLinkFaults.extend(end)
		}
		link.setFault(linkFault(1 + a.variant%int(linkFaultCount-1)))
		later(func() { link.setFault(linkHealthy) })
	}
}

// stop stops an instance gracefully and restarts it once it has exited.
func (s *soak) stop(ctx context.Context, i *instance) {
	if !i.handlesSignals() {
		return
	}
	start := time.Now()
	done := i.signal(syscall.SIGTERM, true)
	s.background.Go(func() {
		select {
		case <-done:
		case <-time.After(stopBound + maxFaultDuration): // The process may be paused meanwhile.
		}
		if took := time.Since(start); took > stopBound && i.faultFreeSince(start) {
			s.violation("instances stop in time", "i%d took %s", i.number, took)
		}
		<-i.signal(syscall.SIGKILL, true)
		s.restart(ctx, i)
	})
}

// kill kills an instance and restarts it.
func (s *soak) kill(ctx context.Context, i *instance) {
	i.extend(time.Now().Add(restartDelay))
	i.kills.extend(time.Now().Add(restartDelay))
	s.env.extend(time.Now().Add(restartDelay))
	stopped := !i.running()
	done := i.signal(syscall.SIGKILL, true)
	if stopped {
		return // The action that stopped it restarts it.
	}
	s.background.Go(func() {
		<-done
		s.restart(ctx, i)
	})
}

func (s *soak) restart(ctx context.Context, i *instance) {
	rcwait.Sleep(ctx, restartDelay)
	i.extend(time.Now())
	if err := i.start(); err != nil {
		s.violation("soak harness works", "starting i%d: %v", i.number, err)
	}
	s.fire(ctx, processStarted)
}
