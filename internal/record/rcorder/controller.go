// Package rcorder orders engines to load the weights that the configuration
// desires. One instance at a time gives orders; rclease elects it.
//
// # What is guaranteed
//
// At most two weight loads are ordered at a time fleet-wide: each load occupies
// one of two slot rows from before its order is sent until the engine reports
// the weights, restarts, leaves the list, or LoadTimeout has passed. A load that
// an engine goes on with silently for longer than that is not counted.
//
// Every write of a holder checks the fence row, which a new holder rewrites
// first. From then on no older holder can begin an order: it would need an
// intent row before sending, and that write fails.
//
// An engine that checks fencing numbers (ChecksFence) refuses whatever an older
// holder sends after the first order of a newer one. It may get orders from a
// new holder at once.
//
// An engine that ignores fencing numbers gets no order from a new holder until
// LeaseDuration + OrderTimeout after the term began. By then an older holder
// that runs has stopped (its lease ended) and its last order has been answered
// or given up (its timeout passed). This does not hold for a holder that was
// paused between its last look at the lease and the send: its order may arrive
// at any later time. Such an order is one of the at most two whose intent was
// open when the new holder began. If the configuration still desires what it
// says, it changes nothing. If not, the engine loads older weights for a while;
// its reports then differ from what is desired, and it is ordered anew. During
// that time it refuses requests for other weights, so no answer mixes weights.
//
// A rolling update takes an engine out only while another engine reports
// weights for each model that the engine serves, and has it drained of requests
// on the old weights before the order is sent. A model with one engine
// therefore keeps its weights until it has a second one.
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
	defaultInterval     = 500 * time.Millisecond
	defaultOrderTimeout = 10 * time.Second
	defaultLoadTimeout  = time.Minute
	defaultDrainTimeout = 30 * time.Minute // As long as a stream may take.
	defaultLoadsPerSec  = 2
	defaultMaxReportAge = 5 * time.Second

	// retryDelay keeps an engine that fails to load from taking a slot over and over.
	retryDelay = 10 * time.Second
)

// Term is one time as the only instance that gives orders; rclease.Term implements it.
type Term interface {
	Valid() bool
}

// Drainer takes an engine out of use for one model.
type Drainer interface {
	// Drain stops new requests for the model on the upstream and returns when
	// none that began on its present weights is left. resume, which is never nil,
	// lets requests in again; it is called also after an error.
	Drain(ctx context.Context, up radishcrank.UpstreamID, model radishcrank.ModelID) (resume func(), err error)
}

// WeightStore tells whether weights exist; *rcplatform.Weights implements it.
type WeightStore interface {
	Info(ctx context.Context, model radishcrank.ModelID, weights radishcrank.WeightsVersion) (rcplatform.WeightsInfo, error)
}

// Config holds the parts that a Controller works with. Zero values take the defaults.
type Config struct {
	Board       *rcboard.Board
	Document    func() *rcconfig.Document // The configuration in force.
	Table       radishcrank.TableService
	Dialer      radishcrank.EngineDialer
	Drainer     Drainer
	WeightStore WeightStore // Nil means that weights are not checked before a load.

	LeaseDuration     time.Duration // Duration of the lease that elects the holder.
	OrderTimeout      time.Duration // One order, from send to answer; default 10 s.
	LoadTimeout       time.Duration // From an order until the load counts as over; default 60 s.
	DrainTimeout      time.Duration // One drain; default 30 min.
	ReconcileInterval time.Duration // Between two comparisons; default 0.5 s.
	MaxReportAge      time.Duration // Older reports do not count as a serving engine; default 5 s.
	LoadsPerSecond    float64       // Rate limit of the weight store; default 2.
}

// Controller gives orders during a term.
type Controller struct {
	cfg Config
}

// New returns a Controller.
func New(cfg Config) *Controller {
	setDefault(&cfg.OrderTimeout, defaultOrderTimeout)
	setDefault(&cfg.LoadTimeout, defaultLoadTimeout)
	setDefault(&cfg.DrainTimeout, defaultDrainTimeout)
	setDefault(&cfg.ReconcileInterval, defaultInterval)
	setDefault(&cfg.MaxReportAge, defaultMaxReportAge)
	if cfg.LoadsPerSecond <= 0 {
		cfg.LoadsPerSecond = defaultLoadsPerSec
	}
	return &Controller{cfg: cfg}
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d <= 0 {
		*d = value
	}
}

// Lead gives orders until ctx ends or a newer holder is found.
func (c *Controller) Lead(ctx context.Context, term Term, fence uint64) (err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	began := time.Now()
	rows, err := c.open(ctx, fence)
	if err != nil {
		return err
	}
	l := &leader{
		cfg:     c.cfg,
		term:    term,
		rows:    rows,
		began:   began,
		limiter: rate.NewLimiter(rate.Limit(c.cfg.LoadsPerSecond), 1),
		tasks:   make(map[radishcrank.UpstreamID]*task),
		delayed: make(map[radishcrank.UpstreamID]time.Time),
		seen:    make(map[radishcrank.UpstreamID]sighting),
		results: make(chan result),
		cancel:  cancel,
	}
	return l.run(ctx)
}

// open opens the ledger, however long the table service is down.
func (c *Controller) open(ctx context.Context, fence uint64) (*ledger, error) {
	for {
		rows, err := open(ctx, c.cfg.Table, fence)
		if err == nil || errors.Is(err, errSuperseded) || ctx.Err() != nil {
			return rows, err
		}
		if !rcwait.Sleep(ctx, c.cfg.ReconcileInterval) {
			return nil, ctx.Err()
		}
	}
}
