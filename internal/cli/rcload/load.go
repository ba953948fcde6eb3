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

// loadRun is a run in progress.
type loadRun struct {
	cfg      Config
	client   *http.Client
	start    time.Time
	inFlight chan struct{} // Semaphore that holds a value for each request in flight.
	requests sync.WaitGroup
	recorder recorder
}

// Run sends the traffic and waits for the last response. If ctx ends first, it
// cancels the requests in flight and returns the measurements taken until then.
func Run(ctx context.Context, cfg Config) (res Result, err error) {
	defer func() {
		if err != nil {
			err = trace.Wrap(err, "load")
		}
	}()
	if err := cfg.validate(); err != nil {
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
	l := &loadRun{
		cfg:      cfg,
		client:   &http.Client{Transport: cfg.Transport},
		start:    time.Now(),
		inFlight: make(chan struct{}, cfg.MaxInFlight),
	}
	l.recorder.init()
	stop := l.reportProgress()
	var senders sync.WaitGroup
	senders.Go(func() { l.sendGenerations(ctx, t) })
	senders.Go(func() { l.sendCalls(ctx) })
	senders.Wait()
	l.requests.Wait()
	stop()
	return l.result(ctx.Err() != nil), nil
}

// sendGenerations sends the generations of a trace at their arrival times.
func (l *loadRun) sendGenerations(ctx context.Context, t *rceval.Trace) {
	rng := rand.New(rand.NewPCG(l.cfg.Seed, 2))
	keys := l.assignKeys(t)
	for i := range t.Requests {
		r := &t.Requests[i]
		g := generation{load: l, trace: t, request: r, key: keys[r.Account], addr: rng.Uint64()}
		if !l.sendAt(ctx, r.At, g.run) {
			return
		}
	}
}

// assignKeys assigns a bearer key to each account of a trace.
func (l *loadRun) assignKeys(t *rceval.Trace) map[radishcrank.ClientAccountID]string {
	keys := make(map[radishcrank.ClientAccountID]string)
	for i := range t.Requests {
		keys[t.Requests[i].Account] = ""
	}
	for n, account := range slices.Sorted(maps.Keys(keys)) {
		keys[account] = l.cfg.Keys[n%len(l.cfg.Keys)]
	}
	return keys
}

// sendCalls sends calls to a plain service with Poisson arrivals, each with its
// own idempotency key.
func (l *loadRun) sendCalls(ctx context.Context) {
	if l.cfg.CallsPerSecond <= 0 {
		return
	}
	rng := rand.New(rand.NewPCG(l.cfg.Seed, 3))
	// Distinguishes the calls from those of another run with the same seed, which
	// would otherwise be taken for retries.
	run := rand.Uint64()
	for at := time.Duration(0); ; {
		at += time.Duration(rng.ExpFloat64() / l.cfg.CallsPerSecond * float64(time.Second))
		if at >= l.cfg.Duration {
			return
		}
		n := rng.Uint64()
		c := serviceCall{
			load:           l,
			key:            l.cfg.Keys[n%uint64(len(l.cfg.Keys))],
			addr:           n >> 32,
			idempotencyKey: fmt.Sprintf("load-%016x-%016x", run, n),
		}
		if !l.sendAt(ctx, at, c.run) {
			return
		}
	}
}

// sendAt waits until at after the start of the run and then runs f on its own
// goroutine. It returns false if ctx has ended.
func (l *loadRun) sendAt(ctx context.Context, at time.Duration, f func(ctx context.Context, intended time.Time)) bool {
	intended := l.start.Add(at)
	timer := time.NewTimer(time.Until(intended))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return false
	}
	select {
	case l.inFlight <- struct{}{}:
	case <-ctx.Done():
		return false
	}
	l.recorder.addSent()
	l.requests.Go(func() {
		defer func() { <-l.inFlight }()
		ctx, cancel := context.WithTimeout(ctx, l.cfg.RequestTimeout)
		defer cancel()
		f(ctx, intended)
	})
	return true
}

// reportProgress writes a progress line at each interval until the returned
// function is called.
func (l *loadRun) reportProgress() (stop func()) {
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
				fmt.Fprintln(l.cfg.Progress, l.recorder.progressLine(time.Since(l.start)))
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
