package rcrollout

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/state/rcfleet"
	"github.com/radishcrank/radishcrank/internal/state/rcwait"
	"github.com/radishcrank/radishcrank/internal/state/rcweights"
)

const (
	// interval is the pause between two looks at the engines.
	interval = 40 * time.Millisecond
	// quiesce is the time between telling the instances that an engine is about to
	// load and its order, so that few requests are on their way to it.
	quiesce = 60 * time.Millisecond
	// expectedLoad is how long a load takes that few others slow down.
	expectedLoad = 700 * time.Millisecond
	// firstPoll and pollInterval space the reports that show a load's end.
	firstPoll    = 450 * time.Millisecond
	pollInterval = 80 * time.Millisecond
	// loadTimeout ends the wait for a load; the engine is then planned anew.
	loadTimeout = 6 * time.Second
	// unansweredWait is how long an order without an answer may take to show in
	// the engine's reports, which lag by a few hundred milliseconds.
	unansweredWait = 600 * time.Millisecond
	// retryPause follows an order that failed.
	retryPause = 400 * time.Millisecond
)

// ErrBusy says that the engine carries out another order, or accepted one since
// the report that the order refers to.
var ErrBusy = errors.New("engine is busy with another order")

// LoadMode says what becomes of the runs of an engine that loads weights.
type LoadMode int

// Modes of loads.
const (
	DrainRequests    LoadMode = iota // Runs finish first.
	AbortRequests                    // Their streams are reset.
	ContinueRequests                 // They go on with the new weights.
)

// Order tells an engine to load weights.
type Order struct {
	Model            radishcrank.ModelID
	Weights          radishcrank.WeightsVersion
	Mode             LoadMode
	Fence            uint64
	ExpectedSequence *int64 // Orders that the engine must have accepted so far.
}

// Report is what an engine says of itself.
type Report struct {
	Weights  map[radishcrank.ModelID]radishcrank.WeightsVersion
	Busy     bool
	Sequence int64 // Orders accepted since its start.
	Running  int
	Waiting  int
}

// Engines reaches engines.
type Engines interface {
	Load(ctx context.Context, up radishcrank.Upstream, o Order) error
	Report(ctx context.Context, up radishcrank.Upstream) (Report, error)
}

// EngineUpdate tells other instances what the holder knows of an engine.
type EngineUpdate struct {
	Upstream    radishcrank.UpstreamID
	Incarnation radishcrank.Incarnation
	Model       radishcrank.ModelID
	Weights     radishcrank.WeightsVersion // Empty if they are as before.
	LoadingFor  time.Duration              // Zero if it no longer loads.
}

// Term is one time as the only instance that gives orders.
type Term interface {
	Valid() bool
}

// Config holds the parts that a Controller works with.
type Config struct {
	Fleet          *rcfleet.Fleet
	Engines        Engines
	Mode           LoadMode
	DesiredWeights func() []rcweights.History
	ServicesOf     func(model radishcrank.ModelID) []string // Services whose engines serve a model.
	Announce       func(n EngineUpdate)
	Log            zerolog.Logger
}

// Controller gives orders during a term.
type Controller struct {
	cfg Config

	mu    sync.Mutex
	under map[radishcrank.UpstreamID]bool // Engines with an order that is under way.
}

// New returns a Controller.
func New(cfg Config) *Controller {
	return &Controller{cfg: cfg, under: map[radishcrank.UpstreamID]bool{}}
}

// Lead gives orders until ctx ends.
func (c *Controller) Lead(ctx context.Context, term Term, fence uint64) error {
	c.cfg.Log.Info().Str("Event", "LeaseGained").Uint64("Fence", fence).Send()
	defer c.cfg.Log.Info().Str("Event", "LeaseLost").Uint64("Fence", fence).Send()
	var wg sync.WaitGroup
	defer wg.Wait()
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for ctx.Err() == nil && term.Valid() {
		for _, named := range c.cfg.DesiredWeights() {
			var engines []rcfleet.State
			for _, service := range c.cfg.ServicesOf(named.Model) {
				engines = c.cfg.Fleet.AppendStates(service, engines)
			}
			for _, e := range Plan(named, c.withOrders(engines), time.Now()) {
				// Marked before the goroutine starts, so that the next plan counts it.
				c.announce(e, EngineUpdate{Model: named.Model, LoadingFor: quiesce + expectedLoad})
				c.setUnder(e.ID, true)
				wg.Go(func() {
					defer c.setUnder(e.ID, false)
					c.load(ctx, term, fence, named, e)
				})
			}
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
	return ctx.Err()
}

func (c *Controller) setUnder(id radishcrank.UpstreamID, under bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if under {
		c.under[id] = true
	} else {
		delete(c.under, id)
	}
}

// withOrders marks engines as loading whose order is under way. An order without
// an answer outlasts the time that a load is expected to take.
func (c *Controller) withOrders(engines []rcfleet.State) []rcfleet.State {
	c.mu.Lock()
	defer c.mu.Unlock()
	until := time.Now().Add(interval)
	for i := range engines {
		if c.under[engines[i].ID] && engines[i].LoadingUntil.Before(until) {
			engines[i].LoadingUntil = until
		}
	}
	return engines
}

func (c *Controller) announce(e rcfleet.State, n EngineUpdate) {
	n.Upstream, n.Incarnation = e.ID, e.Incarnation
	Apply(c.cfg.Fleet, n)
	c.cfg.Announce(n)
}

// Apply takes in news of an engine.
func Apply(fleet *rcfleet.Fleet, n EngineUpdate) {
	if e, ok := fleet.Get(n.Upstream); !ok || e.Incarnation != n.Incarnation {
		return
	}
	fleet.SetWeights(n.Upstream, n.Model, n.Weights)
	until := time.Time{}
	if n.LoadingFor > 0 {
		until = time.Now().Add(n.LoadingFor)
	}
	fleet.SetLoading(n.Upstream, until)
}

// load brings one engine to the weights.
func (c *Controller) load(ctx context.Context, term Term, fence uint64, named rcweights.History, e rcfleet.State) {
	begun := time.Now()
	replacedAt, _ := named.ReplacedAt(e.Weights[named.Model])
	report, err := c.order(ctx, term, fence, named, e)
	if err == nil {
		report, err = c.await(ctx, named, e)
	}
	log := c.cfg.Log.Info().Str("Event", "WeightsLoad").Str("Upstream", string(e.ID)).Str("Model", string(named.Model)).
		Str("Weights", string(named.Newest())).Str("Before", string(e.Weights[named.Model])).Uint64("Fence", fence).
		Int64("ReplacedAgeMS", begun.Sub(replacedAt).Milliseconds()).Int64("TookMS", time.Since(begun).Milliseconds())
	if err != nil {
		log.Str("Outcome", "Failed").Str("Cause", err.Error()).Send()
		rcwait.For(ctx, retryPause)
		c.announce(e, EngineUpdate{Model: named.Model})
		return
	}
	log.Str("Outcome", "Loaded").Send()
	c.announce(e, EngineUpdate{Model: named.Model, Weights: report.Weights[named.Model]})
}

// order sends the order. Expecting the sequence that was just read keeps an
// order that is carried out seconds late from overriding a later one.
func (c *Controller) order(ctx context.Context, term Term, fence uint64, named rcweights.History, e rcfleet.State) (report Report, err error) {
	asked := time.Now()
	report, err = c.cfg.Engines.Report(ctx, e.Upstream)
	if err != nil {
		return report, err
	}
	if !report.Weights[named.Model].Less(named.Newest()) || report.Busy {
		return report, nil
	}
	rcwait.For(ctx, quiesce-time.Since(asked))
	if !term.Valid() {
		return report, errors.New("lease has ended")
	}
	sequence := report.Sequence
	err = c.cfg.Engines.Load(ctx, e.Upstream, Order{
		Model: named.Model, Weights: named.Newest(), Mode: c.cfg.Mode, Fence: fence, ExpectedSequence: &sequence,
	})
	if err != nil && !errors.Is(err, radishcrank.ErrNotSent) && !errors.Is(err, ErrBusy) && !errors.Is(err, radishcrank.ErrStaleFence) {
		// The order may have been accepted; the reports tell.
		deadline := time.Now().Add(unansweredWait)
		for time.Now().Before(deadline) && ctx.Err() == nil {
			rcwait.For(ctx, pollInterval)
			if r, reportErr := c.cfg.Engines.Report(ctx, e.Upstream); reportErr == nil && (r.Busy || r.Sequence > sequence) {
				return r, nil
			}
		}
	}
	return report, err
}

// await waits until the engine reports the weights.
func (c *Controller) await(ctx context.Context, named rcweights.History, e rcfleet.State) (report Report, err error) {
	deadline := time.Now().Add(loadTimeout)
	wait := firstPoll
	for {
		rcwait.For(ctx, wait)
		wait = pollInterval
		if ctx.Err() != nil {
			return report, ctx.Err()
		}
		report, err = c.cfg.Engines.Report(ctx, e.Upstream)
		if err == nil && !report.Busy && !report.Weights[named.Model].Less(named.Newest()) {
			return report, nil
		}
		if time.Now().After(deadline) {
			return report, errors.Join(errors.New("engine did not report the weights in time"), err)
		}
		// A load that takes longer than expected keeps requests away until it ends.
		if s, ok := c.cfg.Fleet.Get(e.ID); ok && time.Until(s.LoadingUntil) < 2*pollInterval {
			c.announce(e, EngineUpdate{Model: named.Model, LoadingFor: 4 * pollInterval})
		}
	}
}
