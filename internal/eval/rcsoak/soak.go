// Package rcsoak plays real instances of the router against stand-ins of the
// users' platform while a seeded schedule stops, kills and pauses them, cuts
// their links and makes the store misbehave. It judges the promises of the
// platform's pages by what callers and upstreams see.
//
// Clocks are not stepped: that takes rights that the soak does not have.
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
	"github.com/radishcrank/radishcrank/internal/state/rcwait"
)

const (
	// DefaultInstances is the usual number of instances.
	DefaultInstances = 3
	// MaxInstances keeps the processes and their connections within the usual limits of a user.
	MaxInstances = 200
	startBound   = 10 * time.Second
	// configBound is the platform's ConfigApplyMs, with the time of a probe.
	configBound = 2200 * time.Millisecond
	// drainBound is the platform's DrainMs; an arrival then may still be on its way.
	drainBound = 2200 * time.Millisecond
	// weightsBound is the VersionMs of the settings.
	weightsBound = 5 * time.Second
	// loadsBound is the platform's VersionAllMs.
	loadsBound = 10 * time.Second
	// recoverBound is the platform's RecoveryS.
	recoverBound = 12 * time.Second
	restartPause = 300 * time.Millisecond
	probePause   = 150 * time.Millisecond
)

// Config says what to play.
type Config struct {
	Seed      uint64
	Duration  time.Duration // Of the schedule; checks of the recovery follow.
	Instances int           // 0 is DefaultInstances.
	Plain     bool          // Plays the schedule of the first version of the soak.
	Program   []string      // Command line of an instance.
	Dir       string        // For settings and logs.
	Out       io.Writer     // Gets the schedule and what broke.
}

// Report is what a run saw.
type Report struct {
	Sent, Answered int64
	Actions        map[string]int
	Stalls         []Stall
	Violations     []string // Promises that were broken, in order.
}

// Stall is a time in which the soak itself stood still.
type Stall struct {
	End      time.Time
	Duration time.Duration
}

type soak struct {
	cfg       Config
	begun     time.Time
	world     *world
	instances []*instance
	work      sync.WaitGroup // Restarts and ends of faults.

	mu     sync.Mutex
	report Report
	armed  map[moment][]action // What waits for a moment.
	judged map[weightsUse]bool // Uses of older weights that were reported.
}

func (s *soak) clock(t time.Time) string { return fmt.Sprintf("%.2f s", t.Sub(s.begun).Seconds()) }

// say writes one line of the report.
func (s *soak) say(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(s.cfg.Out, format+"\n", args...)
}

func (s *soak) broken(promise, format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	text := fmt.Sprintf("%s  %s: %s", s.clock(time.Now()), promise, fmt.Sprintf(format, args...))
	s.report.Violations = append(s.report.Violations, text)
	fmt.Fprintln(s.cfg.Out, "broken:", text)
}

// Run plays one seed. The error says that it could not be played.
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
		return report, trace.BadParameter("%d instances, at most %d can be played", cfg.Instances, MaxInstances)
	}
	s := &soak{
		cfg: cfg, begun: time.Now(), report: Report{Actions: map[string]int{}},
		armed: map[moment][]action{}, judged: map[weightsUse]bool{},
	}
	ordered := func() {
		s.reach(ctx, whenOrder)
		s.reach(ctx, whenLoaded)
	}
	if s.world, err = newWorld(ordered, s.judgeWeights); err != nil {
		return report, err
	}
	defer s.world.close()
	defer func() {
		for _, i := range s.instances {
			i.end()
		}
	}()
	for n := range cfg.Instances {
		i, err := newInstance(n, cfg.Program, cfg.Dir, s.world.storeAddr())
		if err != nil {
			return report, err
		}
		s.instances = append(s.instances, i)
		s.world.peers[fmt.Sprintf("127.0.0.1:%d", i.peer)] = i.peers.addr()
	}
	for _, i := range s.instances {
		if err := i.start(); err != nil {
			return report, err
		}
	}
	if err := s.awaitReady(ctx, startBound); err != nil {
		return report, err
	}
	s.play(ctx, newSchedule(cfg))
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.report, ctx.Err()
}

func (s *soak) awaitReady(ctx context.Context, bound time.Duration) error {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	begun := time.Now()
	for deadline := begun.Add(bound); ; {
		ready := 0
		for _, i := range s.instances {
			if i.isReady(client) {
				ready++
			}
		}
		switch {
		case ready == len(s.instances):
			return nil
		case time.Now().After(deadline.Add(s.stalledSince(begun))):
			return trace.LimitExceeded("%d of %d instances are ready after %s", ready, len(s.instances), bound)
		case !rcwait.Sleep(ctx, probePause):
			return ctx.Err()
		}
	}
}

// play runs the schedule under traffic and checks what must hold afterwards.
func (s *soak) play(ctx context.Context, schedule []action) {
	fmt.Fprintf(s.cfg.Out, "seed %d\n%s", s.cfg.Seed, scheduleText(schedule))
	s.begun = time.Now()
	traffic, stop := context.WithCancel(ctx)
	c := newCallers(s)
	var wg sync.WaitGroup
	wg.Go(func() { c.watch(traffic) })
	wg.Go(func() { s.watchDrains(traffic) })
	wg.Go(func() { s.watchStalls(traffic) })
	for _, i := range s.instances {
		wg.Go(func() { s.probeConfig(traffic, i) })
	}
	for n := range callerCount {
		wg.Go(func() { c.run(traffic, n, rand.New(rand.NewPCG(s.cfg.Seed, uint64(n)+1))) })
	}
	for _, a := range schedule {
		if !rcwait.Sleep(ctx, time.Until(s.begun.Add(a.at))) {
			break
		}
		if a.after == atOnce {
			s.act(ctx, a)
			continue
		}
		s.mu.Lock()
		s.armed[a.after] = append(s.armed[a.after], a)
		s.mu.Unlock()
	}
	s.mu.Lock()
	clear(s.armed)
	s.mu.Unlock()
	s.work.Wait()
	s.checkRecovery(ctx, c)
	stop()
	wg.Wait()
	c.judgeRefusals()
	for _, i := range s.instances {
		i.mu.Lock()
		for _, exit := range i.exits {
			s.broken("processes do not end by themselves", "%s, log %s", exit, i.logFile())
		}
		i.mu.Unlock()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.report.Sent, s.report.Answered = c.sent.Load(), c.answered.Load()
}

// reach carries out an action that waits for a moment.
func (s *soak) reach(ctx context.Context, m moment) {
	s.mu.Lock()
	defer s.mu.Unlock()
	waiting := s.armed[m]
	if len(waiting) == 0 {
		return
	}
	s.armed[m] = waiting[1:]
	s.work.Go(func() {
		if rcwait.Sleep(ctx, waiting[0].delay) {
			s.act(ctx, waiting[0])
		}
	})
}

// targets returns the instances that an action concerns.
func (s *soak) targets(a action) []*instance {
	found := s.instances[a.target%len(s.instances)]
	switch a.whom {
	case everyone:
		return s.instances
	case lastStarted:
		found = slices.MaxFunc(s.instances, func(a, b *instance) int { return a.lastStart().Compare(b.lastStart()) })
	case holder:
		name := s.world.leaseHolder()
		for _, i := range s.instances {
			if i.name() == name {
				found = i
			}
		}
	}
	return []*instance{found}
}

// act carries out one action. What ends it later runs in the background.
func (s *soak) act(ctx context.Context, a action) {
	s.mu.Lock()
	s.report.Actions[string(a.kind)]++
	s.mu.Unlock()
	end := time.Now().Add(a.length)
	if !a.planned() && a.kind != cutPeers { // Requests do not pass the links between instances.
		s.world.disturb(end)
	}
	later := func(f func()) {
		s.work.Go(func() {
			rcwait.Sleep(ctx, time.Until(end))
			f()
		})
	}
	switch a.kind {
	case changeConfig:
		s.world.changeConfig(true, false)
	case revokeKey:
		s.world.changeConfig(false, true)
	case nameWeights:
		s.world.nameWeights()
	case occupyEngines:
		for _, u := range s.world.occupy(a.target, a.variant) {
			later(func() { u.SetRejectOrders(false) })
		}
	case drainUpstream:
		s.world.drain(a.target)
	case killAll:
		for _, i := range s.instances {
			s.kill(ctx, i)
		}
	case cutUpstream:
		u := s.world.upstream(a.target)
		u.held.disturb(end)
		u.link.set(linkFault(1 + a.variant%int(linkFaults-1)))
		later(func() { u.link.set(linkSound) })
	case failStore:
		for _, i := range s.instances {
			i.disturb(end)
		}
		faults := []rcfakestore.Fault{rcfakestore.Unavailable, rcfakestore.Unresponsive, rcfakestore.LoseWriteResponses, rcfakestore.Slow}
		if s.cfg.Plain {
			faults = faults[:3]
		}
		s.world.held.disturb(end)
		s.world.store.SetFault(faults[a.variant%len(faults)])
		later(func() { s.world.store.SetFault(rcfakestore.None) })
	case forgetStore:
		s.world.store.DiscardHistory()
	case failService:
		faulty := &s.world.faulty[a.target%len(s.world.faulty)]
		faulty.Add(1)
		later(func() { faulty.Add(-1) })
	case crashUpstream:
		s.world.crash(a.target)
	default:
		for _, i := range s.targets(a) {
			s.actOn(ctx, a, i, end, later)
		}
	}
}

// actOn carries out an action that concerns one instance.
func (s *soak) actOn(ctx context.Context, a action, i *instance, end time.Time, later func(func())) {
	switch a.kind {
	case stopInstance:
		s.stop(ctx, i)
	case changeSettings:
		if err := i.writeSettings(0.3 + float64(a.variant%5)/10); err != nil {
			s.broken("the soak itself works", "%v", err)
		}
		if a.variant%2 == 0 && i.handlesSignals() {
			i.signal(syscall.SIGHUP, false)
		}
	case killInstance:
		s.kill(ctx, i)
	case pauseInstance:
		i.disturb(end)
		i.paused.disturb(end)
		i.signal(syscall.SIGSTOP, false)
		later(func() { i.signal(syscall.SIGCONT, false) })
	case cutStore, cutPeers:
		link := i.store
		if a.kind == cutPeers {
			link = i.peers
		} else {
			i.disturb(end)
			i.cut.disturb(end)
		}
		link.set(linkFault(1 + a.variant%int(linkFaults-1)))
		later(func() { link.set(linkSound) })
	}
}

// stop stops an instance as planned and starts it again once it has ended.
func (s *soak) stop(ctx context.Context, i *instance) {
	if !i.handlesSignals() {
		return
	}
	begun := time.Now()
	done := i.signal(syscall.SIGTERM, true)
	s.work.Go(func() {
		select {
		case <-done:
		case <-time.After(stopBound + longestFault): // It may be paused meanwhile.
		}
		if took := time.Since(begun); took > stopBound && i.calmSince(begun) {
			s.broken("instances stop in time", "i%d took %s", i.number, took)
		}
		<-i.signal(syscall.SIGKILL, true)
		s.restart(ctx, i)
	})
}

func (s *soak) kill(ctx context.Context, i *instance) {
	i.disturb(time.Now().Add(restartPause))
	s.world.disturb(time.Now().Add(restartPause))
	stopped := !i.running()
	done := i.signal(syscall.SIGKILL, true)
	if stopped {
		return // What stopped it starts it again.
	}
	s.work.Go(func() {
		<-done
		s.restart(ctx, i)
	})
}

func (s *soak) restart(ctx context.Context, i *instance) {
	rcwait.Sleep(ctx, restartPause)
	i.disturb(time.Now())
	if err := i.start(); err != nil {
		s.broken("the soak itself works", "start of i%d: %v", i.number, err)
	}
	s.reach(ctx, whenStart)
}
