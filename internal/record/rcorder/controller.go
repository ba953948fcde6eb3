// Package rcorder orders engines to load the weights that the configuration
// specifies. One instance at a time sends orders: the holder of a lease that
// rclease grants.
//
// # Guarantees
//
// At most two weight loads are ordered concurrently in the whole fleet. Each load
// occupies one of two slot rows from before its order is sent until the engine
// reports the weights, restarts or is removed from the upstream list, or until
// LoadTimeout has elapsed. A load that an engine continues for longer than
// LoadTimeout without reporting it is not counted.
//
// Every write of a lease holder is conditional on the fence row, which a new
// holder rewrites before anything else. From then on an earlier holder cannot
// begin an order, because it would have to write an intent row before sending,
// and that write fails.
//
// An engine that checks fencing numbers (ChecksFence) rejects all orders of an
// earlier holder once it has received an order of a newer one. A new holder may
// send orders to it immediately.
//
// An engine that ignores fencing numbers gets no order from a new holder until
// LeaseDuration + OrderTimeout after the start of the term. By then the lease of
// an earlier holder that is still running has expired, so it has stopped sending,
// and its last order has been answered or has timed out. The exception is a holder
// that was paused between its last check of the lease and the send: its order may
// arrive at any later time. Such an order is one of the at most two whose intent
// was open when the new holder's term began. If the configuration still specifies
// the same weights, the order has no effect. Otherwise the engine loads outdated
// weights; its reports then differ from the configuration, and it gets a new
// order. In the meantime it rejects requests for other weights, so no response
// mixes weights.
//
// A rolling update takes an engine out of service only while another engine
// reports weights for each model that the engine serves, and the order is sent
// only after all requests on the old weights have finished. A model that is served
// by one engine therefore keeps its weights until a second engine serves it.
package rcorder

import (
	"context"
	"errors"
	"time"

	"golang.org/x/time/rate"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/platform/rcplatform"
	"github.com/radishcrank/radishcrank/internal/state/rcboard"
	"github.com/radishcrank/radishcrank/internal/state/rcconfig"
	"github.com/radishcrank/radishcrank/internal/state/rcwait"
)

const (
	defaultReconcileInterval = 500 * time.Millisecond
	defaultOrderTimeout      = 10 * time.Second
	defaultLoadTimeout       = time.Minute
	defaultDrainTimeout      = 30 * time.Minute // The maximum duration of a stream.
	defaultLoadsPerSecond    = 2
	defaultMaxReportAge      = 5 * time.Second

	// retryDelay prevents an engine that fails to load from occupying a slot
	// again and again.
	retryDelay = 10 * time.Second
)

// Term is a period in which this instance is the only one that sends orders.
// rclease.Term implements it.
type Term interface {
	Valid() bool
}

// Drainer takes an engine out of service for one model.
type Drainer interface {
	// Drain stops new requests for the model on the upstream and returns when all
	// requests on its current weights have finished. resume, which is never nil,
	// admits new requests again; it is called also after an error.
	Drain(ctx context.Context, up radishcrank.UpstreamID, model radishcrank.ModelID) (resume func(), err error)
}

// WeightStore looks up whether weights exist. *rcplatform.WeightStoreClient implements it.
type WeightStore interface {
	Info(ctx context.Context, model radishcrank.ModelID, weights radishcrank.WeightsVersion) (rcplatform.WeightsInfo, error)
}

// Config holds the dependencies and settings of a Controller. Durations and rates
// that are zero or less take the defaults, except for LeaseDuration, which has none.
type Config struct {
	Board       *rcboard.Board
	Document    func() *rcconfig.Document // The configuration in force.
	Table       radishcrank.TableService
	Dialer      radishcrank.EngineDialer
	Drainer     Drainer
	WeightStore WeightStore // If nil, weights are not looked up before a load.

	LeaseDuration     time.Duration // Duration of the lease that selects the sender of orders.
	OrderTimeout      time.Duration // Limit of one order, from the send to the response; default 10 s.
	LoadTimeout       time.Duration // Time from an order until its load is considered ended; default 60 s.
	DrainTimeout      time.Duration // Limit of one drain; default 30 min.
	ReconcileInterval time.Duration // Time between two comparisons of desired and reported weights; default 0.5 s.
	MaxReportAge      time.Duration // Engines with older reports get no orders and do not count as serving; default 5 s.
	LoadsPerSecond    float64       // Rate limit of the weight store; default 2.
}

// Controller sends orders during the terms of this instance.
type Controller struct {
	cfg Config
}

func New(cfg Config) *Controller {
	setDefault(&cfg.OrderTimeout, defaultOrderTimeout)
	setDefault(&cfg.LoadTimeout, defaultLoadTimeout)
	setDefault(&cfg.DrainTimeout, defaultDrainTimeout)
	setDefault(&cfg.ReconcileInterval, defaultReconcileInterval)
	setDefault(&cfg.MaxReportAge, defaultMaxReportAge)
	if cfg.LoadsPerSecond <= 0 {
		cfg.LoadsPerSecond = defaultLoadsPerSecond
	}
	return &Controller{cfg: cfg}
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d <= 0 {
		*d = value
	}
}

// Lead sends orders until ctx ends, the term ends, or a newer lease holder is
// found. Orders carry fence as their fencing number.
func (c *Controller) Lead(ctx context.Context, term Term, fence uint64) (err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	termStart := time.Now()
	store, err := c.openWithRetry(ctx, fence)
	if err != nil {
		return err
	}
	l := &leader{
		cfg:          c.cfg,
		term:         term,
		store:        store,
		termStart:    termStart,
		limiter:      rate.NewLimiter(rate.Limit(c.cfg.LoadsPerSecond), 1),
		tasks:        make(map[radishcrank.UpstreamID]*task),
		retryAt:      make(map[radishcrank.UpstreamID]time.Time),
		observations: make(map[radishcrank.UpstreamID]reportObservation),
		results:      make(chan result),
		cancel:       cancel,
	}
	return l.run(ctx)
}

// openWithRetry opens the order store. While the table service is unavailable, it
// retries until ctx ends.
func (c *Controller) openWithRetry(ctx context.Context, fence uint64) (*orderStore, error) {
	for {
		store, err := openOrderStore(ctx, c.cfg.Table, fence)
		if err == nil || errors.Is(err, errSuperseded) || ctx.Err() != nil {
			return store, err
		}
		if !rcwait.Sleep(ctx, c.cfg.ReconcileInterval) {
			return nil, ctx.Err()
		}
	}
}
