// Package rcsoak plays real instances of the router against stand-ins of the
// users' platform while a seeded schedule stops, kills and pauses them, cuts
// their links and makes the store misbehave. It judges the promises of the
// platform's pages by what callers and upstreams see.
//
// Clocks are not stepped: that takes rights that the soak does not have. The
// instances' messages to each other pass no proxy.
package rcsoak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/gravitational/trace"

	"github.com/radishcrank/radishcrank/internal/standin/rcfakestore"
	"github.com/radishcrank/radishcrank/internal/state/rcwait"
)

const (
	instanceCount = 3
	startBound    = 10 * time.Second
	// configBound is the platform's ConfigApplyMs, with the time of a probe.
	configBound = 2200 * time.Millisecond
	// drainBound is the platform's DrainMs; an arrival then may still be on its way.
	drainBound = 2200 * time.Millisecond
	// weightsBound is the platform's VersionMs.
	weightsBound = 10 * time.Second
	// recoverBound is the platform's RecoveryS.
	recoverBound = 12 * time.Second
	restartPause = 300 * time.Millisecond
	probePause   = 150 * time.Millisecond
)

// Config says what to play.
type Config struct {
	Seed    uint64
	Length  time.Duration // Of the schedule; checks of the recovery follow.
	Program []string      // Command line of an instance.
	Dir     string        // For settings and logs.
	Out     io.Writer     // Gets the schedule and what broke.
}

// Report is what a run saw.
type Report struct {
	Sent, Answered int64
	Actions        map[string]int
	Broken         []string // Promises that were broken, in order.
}

type soak struct {
	cfg       Config
	begun     time.Time
	world     *world
	instances []*instance
	work      sync.WaitGroup // Restarts and ends of faults.

	mu     sync.Mutex
	report Report
}

func (s *soak) clock(t time.Time) string { return fmt.Sprintf("%.2f s", t.Sub(s.begun).Seconds()) }

func (s *soak) broken(promise, format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	text := fmt.Sprintf("%s  %s: %s", s.clock(time.Now()), promise, fmt.Sprintf(format, args...))
	s.report.Broken = append(s.report.Broken, text)
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
	s := &soak{cfg: cfg, begun: time.Now(), report: Report{Actions: map[string]int{}}}
	if s.world, err = newWorld(); err != nil {
		return report, err
	}
	defer s.world.close()
	defer func() {
		for _, i := range s.instances {
			i.end()
		}
	}()
	for n := range instanceCount {
		i, err := newInstance(n, cfg.Program, cfg.Dir, s.world.storeAddr())
		if err != nil {
			return report, err
		}
		if err := i.start(); err != nil {
			return report, err
		}
		s.instances = append(s.instances, i)
	}
	if err := s.awaitReady(ctx, startBound); err != nil {
		return report, err
	}
	s.play(ctx, newSchedule(cfg.Seed, cfg.Length))
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.report, ctx.Err()
}

func (s *soak) awaitReady(ctx context.Context, bound time.Duration) error {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for deadline := time.Now().Add(bound); ; {
		ready := 0
		for _, i := range s.instances {
			if i.isReady(client) {
				ready++
			}
		}
		switch {
		case ready == len(s.instances):
			return nil
		case time.Now().After(deadline):
			return trace.LimitExceeded("%d of %d instances are ready after %s", ready, len(s.instances), bound)
		case !rcwait.For(ctx, probePause):
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
	wg.Go(func() { s.probeConfig(traffic) })
	for n := range callerCount {
		wg.Go(func() { c.run(traffic, n, rand.New(rand.NewPCG(s.cfg.Seed, uint64(n)+1))) })
	}
	for _, a := range schedule {
		if !rcwait.For(ctx, time.Until(s.begun.Add(a.at))) {
			break
		}
		s.act(ctx, a)
	}
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

// act carries out one action. What ends it later runs in the background.
func (s *soak) act(ctx context.Context, a action) {
	s.mu.Lock()
	s.report.Actions[string(a.kind)]++
	s.mu.Unlock()
	i := s.instances[a.target%len(s.instances)]
	end := time.Now().Add(a.length)
	if !a.planned() {
		s.world.disturb(end)
	}
	later := func(f func()) {
		s.work.Go(func() {
			rcwait.For(ctx, time.Until(end))
			f()
		})
	}
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
	case changeConfig:
		s.world.changeConfig()
	case nameWeights:
		s.world.nameWeights()
	case drainUpstream:
		s.world.drain(a.target)
	case killInstance:
		s.kill(ctx, i)
	case killAll:
		for _, i := range s.instances {
			s.kill(ctx, i)
		}
	case pauseInstance:
		i.disturb(end)
		i.signal(syscall.SIGSTOP, false)
		later(func() { i.signal(syscall.SIGCONT, false) })
	case cutStore:
		i.disturb(end)
		i.store.set(linkFault(1 + a.variant%int(linkFaults-1)))
		later(func() { i.store.set(linkSound) })
	case cutUpstream:
		link := s.world.upstream(a.target).link
		link.set(linkFault(1 + a.variant%int(linkFaults-1)))
		later(func() { link.set(linkSound) })
	case failStore:
		for _, i := range s.instances {
			i.disturb(end)
		}
		s.world.store.SetFault([]rcfakestore.Fault{rcfakestore.Busy, rcfakestore.Silent, rcfakestore.LoseWrites}[a.variant%3])
		later(func() { s.world.store.SetFault(rcfakestore.None) })
	case forgetStore:
		s.world.store.Forget()
	case failService:
		faulty := &s.world.faulty[a.target%len(s.world.faulty)]
		faulty.Add(1)
		later(func() { faulty.Add(-1) })
	case crashUpstream:
		s.world.crash(a.target)
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
	if !i.running() {
		return
	}
	i.disturb(time.Now().Add(restartPause))
	done := i.signal(syscall.SIGKILL, true)
	s.work.Go(func() {
		<-done
		s.restart(ctx, i)
	})
}

func (s *soak) restart(ctx context.Context, i *instance) {
	rcwait.For(ctx, restartPause)
	i.disturb(time.Now())
	if err := i.start(); err != nil {
		s.broken("the soak itself works", "start of i%d: %v", i.number, err)
	}
}
