package rcforward

import (
	"errors"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/limits/rcadmission"
	"github.com/radishcrank/radishcrank/internal/limits/rclimit"
	"github.com/radishcrank/radishcrank/internal/routing/rcroute"
	"github.com/radishcrank/radishcrank/internal/state/rcmetric"
)

// limitLogInterval is the minimum time between two log lines on the limit of an account.
const limitLogInterval = 5 * time.Second

// AccountLimits limits the rates of accounts over all instances together.
type AccountLimits struct {
	Limiter *rclimit.FleetLimiter // Nil means no limits.
	Table   func() *rcroute.Table
	Now     func() time.Time // Time by which the instances count usage.
}

// accountCharge is what an exchange was charged to its account.
type accountCharge struct {
	key      rclimit.AccountKey
	cost     float64
	decision rclimit.Decision
}

// chargeAccount charges the exchange to its account. It reports false if the account has
// exceeded its limit. Exchanges from other instances are charged like all others: those
// that sent them charge nothing, and clients can set the header that marks them.
func (d *dispatch) chargeAccount() (ok bool) {
	limited, limiter := d.accountCost()
	if !limited {
		return true
	}
	c := &d.charge
	c.decision = limiter.Limiter.Admit(c.key, c.cost, d.urgent(), limiter.Now())
	if c.decision.Admitted {
		d.f.cfg.Metrics.Add(rcmetric.AccountCharged, int64(c.cost))
	}
	return c.decision.Admitted
}

// accountCost sets what the exchange costs its account. limited is false if the account has
// no limit.
func (d *dispatch) accountCost() (limited bool, limits *AccountLimits) {
	limits = &d.f.cfg.Accounts
	if limits.Limiter == nil || d.x.Account == "" {
		return false, limits
	}
	table := limits.Table()
	if table == nil || !table.HasRateLimits() {
		return false, limits
	}
	account, ok := table.Account(d.x.Account)
	if !ok || !account.Limit.Limited() {
		return false, limits
	}
	limit := account.Limit
	d.charge.key, d.charge.cost = rclimit.KeyOfAccount(d.x.Account, limit.Tokens), limit.Cost(d.x.PromptTokens, d.x.OutputTokens)
	return true, limits
}

// accountFraction returns which fraction of exchanges like this one the limit of the account
// admits now, and charges nothing.
func (d *dispatch) accountFraction() float64 {
	limited, limits := d.accountCost()
	if !limited {
		return 1
	}
	return limits.Limiter.Inspect(d.charge.key, d.charge.cost, d.urgent(), limits.Now())
}

// urgent reports whether the exchange goes before others of an account at its limit: calls
// of plain services, which cost little, and streams of the most urgent routes.
func (d *dispatch) urgent() bool { return !d.x.Generates() || d.x.Route.Priority <= 0 }

// refundAccount takes the charge back if the exchange was certainly not run by an upstream
// that this instance sent it to. An instance that it was sent through has charged it, too.
func (d *dispatch) refundAccount() {
	c := &d.charge
	if !c.decision.Admitted || d.runs > d.runsElsewhere {
		return
	}
	d.f.cfg.Accounts.Limiter.Refund(c.key, c.cost, c.decision)
	d.f.cfg.Metrics.Add(rcmetric.AccountRefunded, int64(c.cost))
}

// refuseOverLimit responds that the account has exceeded its limit, and that the request
// has not run and never will.
func (d *dispatch) refuseOverLimit() error {
	const why = "the account exceeds its rate limit"
	d.cause = errors.New(why)
	d.logEnd(rcmetric.AccountLimited, http.StatusTooManyRequests)
	d.f.cfg.Metrics.Record(rcmetric.RefusalTime, time.Since(d.x.ReceivedAt))
	wait := d.charge.decision.Wait
	d.f.limitLog.add(d, wait)
	after := rcadmission.Params{ExpectedWait: wait, TimeToDeadline: time.Until(d.x.Deadline)}.RetryAfter(rand.Float64())
	d.w.Header().Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 2, 64))
	d.writeError(http.StatusTooManyRequests, "not run: "+why)
	return nil
}

// limitLog logs which accounts exceed their limits.
type limitLog struct {
	mu       sync.Mutex
	accounts map[radishcrank.ClientAccountID]*limitedAccount
}

type limitedAccount struct {
	loggedAt time.Time
	rejected int
	tokens   float64
}

// add logs that an account exceeds its limit, unless that was logged lately.
func (l *limitLog) add(d *dispatch, wait time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.accounts == nil {
		l.accounts = map[radishcrank.ClientAccountID]*limitedAccount{}
	}
	a := l.accounts[d.x.Account]
	if a == nil {
		a = &limitedAccount{}
		l.accounts[d.x.Account] = a
	}
	a.rejected++
	a.tokens += d.charge.cost
	if time.Since(a.loggedAt) < limitLogInterval {
		return
	}
	d.f.cfg.Log.Info().Str("Event", "AccountLimited").Str("Account", string(d.x.Account)).Int("Rejected", a.rejected).
		Float64("Cost", a.tokens).Int64("WaitMS", wait.Milliseconds()).Float64("SilentShare", d.charge.decision.Silent).Send()
	a.loggedAt, a.rejected, a.tokens = time.Now(), 0, 0
}
