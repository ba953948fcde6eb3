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
	// planInterval is the time between two runs of Plan.
	planInterval = 40 * time.Millisecond
	// quiescePeriod is the time between announcing that an engine is about to load and
	// sending its order, so that few requests are still on their way to the engine.
	quiescePeriod = 60 * time.Millisecond
	// expectedLoadTime is the duration of a load with few concurrent loads.
	expectedLoadTime = 700 * time.Millisecond
	// firstPollDelay and pollInterval time the report requests that detect the end of a load.
	firstPollDelay = 450 * time.Millisecond
	pollInterval   = 80 * time.Millisecond
	// limitedPollInterval replaces both for an engine that limits the rate of its
	// requests or wants a pause. A load then costs an engine three calls, and one more every 1.5 s if it
	// takes long: less than the 5 requests in 4 s that it takes beyond its limit.
	limitedPollInterval = 1500 * time.Millisecond
	// loadTimeout bounds the wait for a load. Plan then considers the engine again.
	loadTimeout = 6 * time.Second
	// unansweredOrderTimeout is how long an order without an answer may take to appear
	// in the engine's reports, which lag by a few hundred milliseconds.
	unansweredOrderTimeout = 600 * time.Millisecond
	// retryDelay is how long an engine is left alone after an order that failed. It
	// doubles with each further failure up to maxRetryDelay, so that engines that cannot
	// be reached do not keep the others from loading.
	retryDelay    = 400 * time.Millisecond
	maxRetryDelay = 1600 * time.Millisecond
)

// ErrBusy reports that the engine is executing another order, or has accepted one since
// the report on which the order is based.
var ErrBusy = errors.New("engine is busy with another order")

// LoadMode selects what happens to running requests of an engine that loads weights.
type LoadMode int

// Modes of loading weights.
const (
	DrainRequests    LoadMode = iota // Running requests finish first.
	AbortRequests                    // Their streams are reset.
	ContinueRequests                 // They continue with the new weights.
)

// Order tells an engine to load weights.
type Order struct {
	Model            radishcrank.ModelID
	Weights          radishcrank.WeightsVersion
	Mode             LoadMode
	Fence            uint64
	ExpectedSequence *int64 // Number of orders that the engine must have accepted so far.
}

// Report is the state that an engine reports.
type Report struct {
	Weights  map[radishcrank.ModelID]radishcrank.WeightsVersion
	Busy     bool
	Sequence int64 // Number of orders accepted since the engine started.
	Running  int
	Waiting  int
}

// Engines sends orders to engines and reads their reports.
type Engines interface {
	Load(ctx context.Context, up radishcrank.Upstream, o Order) error
	Report(ctx context.Context, up radishcrank.Upstream) (Report, error)
}

// EngineUpdate tells other instances what the lease holder knows about an engine.
type EngineUpdate struct {
	Upstream    radishcrank.UpstreamID
	Incarnation radishcrank.Incarnation
	Model       radishcrank.ModelID
	Weights     radishcrank.WeightsVersion // Empty if unchanged.
	LoadingFor  time.Duration              // Expected remaining load time; zero if it is not loading.
}

// Term is a period during which this instance is the only one that sends orders.
type Term interface {
	Valid() bool
}

// Config configures a Controller.
type Config struct {
	Fleet          *rcfleet.Fleet
	Engines        Engines
	Mode           LoadMode
	DesiredWeights func() []rcweights.History
	ServicesOf     func(model radishcrank.ModelID) []string // Services whose engines serve the model.
	Announce       func(update EngineUpdate)
	// RateLimited reports whether an engine limits the rate of its requests. Nil means
	// that none does.
	RateLimited func(up radishcrank.Upstream) bool
	Log         zerolog.Logger
}

// Controller sends load orders to engines during a term.
type Controller struct {
	cfg Config

	mu       sync.Mutex
	pending  map[radishcrank.UpstreamID]bool         // Engines with an order in progress.
	failures map[radishcrank.UpstreamID]orderFailure // Engines whose last order failed.
}

// orderFailure describes the failed orders to an engine since the last one that succeeded.
type orderFailure struct {
	count   int
	retryAt time.Time
}

func New(cfg Config) *Controller {
	if cfg.RateLimited == nil {
		cfg.RateLimited = func(radishcrank.Upstream) bool { return false }
	}
	return &Controller{cfg: cfg, pending: map[radishcrank.UpstreamID]bool{}, failures: map[radishcrank.UpstreamID]orderFailure{}}
}

// Lead sends orders until ctx is done or the term ends.
func (c *Controller) Lead(ctx context.Context, term Term, fence uint64) error {
	c.cfg.Log.Info().Str("Event", "LeaseGained").Uint64("Fence", fence).Send()
	defer c.cfg.Log.Info().Str("Event", "LeaseLost").Uint64("Fence", fence).Send()
	c.mu.Lock()
	clear(c.failures) // They may be long ago.
	c.mu.Unlock()
	var wg sync.WaitGroup
	defer wg.Wait()
	ticker := time.NewTicker(planInterval)
	defer ticker.Stop()
	for ctx.Err() == nil && term.Valid() {
		for _, desired := range c.cfg.DesiredWeights() {
			var engines []rcfleet.State
			for _, service := range c.cfg.ServicesOf(desired.Model) {
				engines = c.cfg.Fleet.AppendStates(service, engines)
			}
			for _, e := range Plan(desired, c.applyOrders(engines), time.Now()) {
				// Mark the engine before the goroutine starts, so that the next plan counts it.
				c.announce(e, EngineUpdate{Model: desired.Model, LoadingFor: quiescePeriod + expectedLoadTime})
				c.setPending(e.ID, true)
				announcedAt := time.Now()
				wg.Go(func() {
					defer c.setPending(e.ID, false)
					c.loadWeights(ctx, term, fence, desired, e, announcedAt)
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

func (c *Controller) setPending(id radishcrank.UpstreamID, pending bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if pending {
		c.pending[id] = true
	} else {
		delete(c.pending, id)
	}
}

// applyOrders marks engines with an order in progress as loading. This matters for an
// unanswered order, which can take longer than the expected load time. Engines whose last
// order has just failed are marked as suspect.
func (c *Controller) applyOrders(engines []rcfleet.State) []rcfleet.State {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	until := now.Add(planInterval)
	for i := range engines {
		if c.pending[engines[i].ID] && engines[i].LoadingUntil.Before(until) {
			engines[i].LoadingUntil = until
		}
		engines[i].Suspect = engines[i].Suspect || now.Before(c.failures[engines[i].ID].retryAt)
	}
	return engines
}

// recordOrder records whether an order succeeded.
func (c *Controller) recordOrder(id radishcrank.UpstreamID, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err == nil {
		delete(c.failures, id)
		return
	}
	f := c.failures[id]
	f.retryAt = time.Now().Add(min(retryDelay<<min(f.count, 8), maxRetryDelay))
	f.count++
	c.failures[id] = f
}

// announce applies an update to this instance's fleet and sends it to the others.
func (c *Controller) announce(e rcfleet.State, update EngineUpdate) {
	update.Upstream, update.Incarnation = e.ID, e.Incarnation
	Apply(c.cfg.Fleet, update)
	c.cfg.Announce(update)
}

// Apply applies an update to the fleet. It ignores updates of an incarnation other than
// the current one.
func Apply(fleet *rcfleet.Fleet, update EngineUpdate) {
	if e, ok := fleet.Get(update.Upstream); !ok || e.Incarnation != update.Incarnation {
		return
	}
	fleet.SetWeights(update.Upstream, update.Model, update.Weights)
	until := time.Time{}
	if update.LoadingFor > 0 {
		until = time.Now().Add(update.LoadingFor)
	}
	fleet.SetLoading(update.Upstream, until)
}

// loadWeights orders one engine to load the newest weights and waits for the result.
func (c *Controller) loadWeights(ctx context.Context, term Term, fence uint64, desired rcweights.History, e rcfleet.State, announcedAt time.Time) {
	started := time.Now()
	replacedAt, _ := desired.ReplacedAt(e.Weights[desired.Model])
	report, err := c.sendOrder(ctx, term, fence, desired, e, announcedAt)
	if err == nil {
		report, err = c.awaitWeights(ctx, desired, e)
	}
	c.recordOrder(e.ID, err)
	log := c.cfg.Log.Info().Str("Event", "WeightsLoad").Str("Upstream", string(e.ID)).Str("Model", string(desired.Model)).
		Str("Weights", string(desired.Newest())).Str("Before", string(e.Weights[desired.Model])).Uint64("Fence", fence).
		Int64("ReplacedAgeMS", started.Sub(replacedAt).Milliseconds()).Int64("TookMS", time.Since(started).Milliseconds())
	if err != nil {
		log.Str("Outcome", "Failed").Str("Cause", err.Error()).Send()
		c.announce(e, EngineUpdate{Model: desired.Model})
		return
	}
	log.Str("Outcome", "Loaded").Send()
	c.announce(e, EngineUpdate{Model: desired.Model, Weights: report.Weights[desired.Model]})
}

// sendOrder sends a load order, unless the engine is busy or up to date. The order
// expects the sequence number that was just read, so that an order that arrives seconds
// late cannot override a later one.
func (c *Controller) sendOrder(ctx context.Context, term Term, fence uint64, desired rcweights.History, e rcfleet.State, announcedAt time.Time) (report Report, err error) {
	report, err = c.cfg.Engines.Report(ctx, e.Upstream)
	if err != nil {
		return report, err
	}
	if !report.Weights[desired.Model].Less(desired.Newest()) || report.Busy {
		return report, nil
	}
	rcwait.Sleep(ctx, quiescePeriod-time.Since(announcedAt))
	if !term.Valid() {
		return report, errors.New("lease expired before the load order was sent")
	}
	sequence := report.Sequence
	err = c.cfg.Engines.Load(ctx, e.Upstream, Order{
		Model: desired.Model, Weights: desired.Newest(), Mode: c.cfg.Mode, Fence: fence, ExpectedSequence: &sequence,
	})
	if err != nil && !errors.Is(err, radishcrank.ErrNotSent) && !errors.Is(err, ErrBusy) && !errors.Is(err, radishcrank.ErrStaleFence) {
		// The order may have been accepted. The engine's reports show it.
		deadline := time.Now().Add(unansweredOrderTimeout)
		for time.Now().Before(deadline) && ctx.Err() == nil {
			rcwait.Sleep(ctx, c.pollInterval(e))
			if r, reportErr := c.cfg.Engines.Report(ctx, e.Upstream); reportErr == nil && (r.Busy || r.Sequence > sequence) {
				return r, nil
			}
		}
	}
	return report, err
}

// pollInterval returns the time between two reports of an engine that loads weights.
func (c *Controller) pollInterval(e rcfleet.State) time.Duration {
	s, known := c.cfg.Fleet.Get(e.ID)
	if c.cfg.RateLimited(e.Upstream) || known && s.Paused(time.Now()) {
		return limitedPollInterval
	}
	return pollInterval
}

// awaitWeights waits until the engine reports the newest weights.
func (c *Controller) awaitWeights(ctx context.Context, desired rcweights.History, e rcfleet.State) (report Report, err error) {
	deadline := time.Now().Add(loadTimeout)
	wait := max(firstPollDelay, c.pollInterval(e))
	for {
		rcwait.Sleep(ctx, wait)
		interval := c.pollInterval(e)
		wait = interval
		if ctx.Err() != nil {
			return report, ctx.Err()
		}
		report, err = c.cfg.Engines.Report(ctx, e.Upstream)
		if err == nil && !report.Busy && !report.Weights[desired.Model].Less(desired.Newest()) {
			return report, nil
		}
		if time.Now().After(deadline) {
			return report, errors.Join(errors.New("engine did not report the ordered weights before the load timed out"), err)
		}
		// Extend the announcement of a load that takes longer than expected, so that no
		// requests are sent to the engine until it ends.
		if s, ok := c.cfg.Fleet.Get(e.ID); ok && time.Until(s.LoadingUntil) < interval+pollInterval {
			c.announce(e, EngineUpdate{Model: desired.Model, LoadingFor: interval + 3*pollInterval})
		}
	}
}
