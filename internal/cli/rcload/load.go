package rcload

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/eval/rceval"
)

// load is a run in progress.
type load struct {
	cfg    Config
	client *http.Client
	start  time.Time
	slots  chan struct{} // Holds a value for each request under way.
	sent   sync.WaitGroup
	record recorder
}

// Run sends the traffic and waits for the last answer. If ctx ends first, it
// cancels what is under way and returns what was measured until then.
func Run(ctx context.Context, cfg Config) (res Result, err error) {
	defer func() {
		if err != nil {
			err = trace.Wrap(err, "load")
		}
	}()
	if err := cfg.check(); err != nil {
		return res, err
	}
	deployment, err := cfg.deployment()
	if err != nil {
		return res, err
	}
	t := rceval.NewTrace(deployment, rceval.TraceConfig{
		Rate:          cfg.Rate,
		Duration:      cfg.Duration,
		Seed:          cfg.Seed,
		BytesPerToken: cfg.BytesPerToken,
	})
	l := &load{
		cfg:    cfg,
		client: &http.Client{Transport: cfg.Transport},
		start:  time.Now(),
		slots:  make(chan struct{}, cfg.MaxInFlight),
	}
	l.record.init()
	stop := l.reportProgress()
	var schedules sync.WaitGroup
	schedules.Go(func() { l.sendPrompts(ctx, t) })
	schedules.Go(func() { l.sendCalls(ctx) })
	schedules.Wait()
	l.sent.Wait()
	stop()
	return l.result(ctx.Err() != nil), nil
}

// sendPrompts sends the generations of a trace at their times.
func (l *load) sendPrompts(ctx context.Context, t *rceval.Trace) {
	rng := rand.New(rand.NewPCG(l.cfg.Seed, 2))
	keys := l.keysOf(t)
	for i := range t.Requests {
		r := &t.Requests[i]
		g := generation{load: l, trace: t, request: r, key: keys[r.Account], addr: rng.Uint64()}
		if !l.send(ctx, r.At, g.run) {
			return
		}
	}
}

// keysOf gives each account of a trace its bearer key.
func (l *load) keysOf(t *rceval.Trace) map[radishcrank.ClientAccountID]string {
	keys := make(map[radishcrank.ClientAccountID]string)
	for i := range t.Requests {
		keys[t.Requests[i].Account] = ""
	}
	for n, account := range slices.Sorted(maps.Keys(keys)) {
		keys[account] = l.cfg.Keys[n%len(l.cfg.Keys)]
	}
	return keys
}

// sendCalls sends calls of a plain service at Poisson times, each with its own
// idempotency key.
func (l *load) sendCalls(ctx context.Context) {
	if l.cfg.CallsPerSecond <= 0 {
		return
	}
	rng := rand.New(rand.NewPCG(l.cfg.Seed, 3))
	// Calls of another run must not be taken for repetitions of these.
	run := rand.Uint64()
	for at := time.Duration(0); ; {
		at += time.Duration(rng.ExpFloat64() / l.cfg.CallsPerSecond * float64(time.Second))
		if at >= l.cfg.Duration {
			return
		}
		n := rng.Uint64()
		c := serviceCall{
			load:        l,
			key:         l.cfg.Keys[n%uint64(len(l.cfg.Keys))],
			addr:        n >> 32,
			idempotency: fmt.Sprintf("load-%016x-%016x", run, n),
		}
		if !l.send(ctx, at, c.run) {
			return
		}
	}
}

// send waits for the time at after the start and runs f on its own. It reports
// false when ctx has ended.
func (l *load) send(ctx context.Context, at time.Duration, f func(ctx context.Context, intended time.Time)) bool {
	intended := l.start.Add(at)
	timer := time.NewTimer(time.Until(intended))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return false
	}
	select {
	case l.slots <- struct{}{}:
	case <-ctx.Done():
		return false
	}
	l.record.began()
	l.sent.Go(func() {
		defer func() { <-l.slots }()
		ctx, cancel := context.WithTimeout(ctx, l.cfg.RequestTimeout)
		defer cancel()
		f(ctx, intended)
	})
	return true
}

// reportProgress writes a line at each interval until the returned function is called.
func (l *load) reportProgress() (stop func()) {
	if l.cfg.Progress == nil {
		return func() {}
	}
	done := make(chan struct{})
	var writer sync.WaitGroup
	writer.Go(func() {
		ticker := time.NewTicker(l.cfg.ProgressInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				fmt.Fprintln(l.cfg.Progress, l.record.line(time.Since(l.start)))
			case <-done:
				return
			}
		}
	})
	return func() {
		close(done)
		writer.Wait()
	}
}
