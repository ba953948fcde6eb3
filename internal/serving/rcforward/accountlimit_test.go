package rcforward

import (
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/limits/rclimit"
	"github.com/radishcrank/radishcrank/internal/routing/rcdetour"
	"github.com/radishcrank/radishcrank/internal/routing/rcroute"
	"github.com/radishcrank/radishcrank/internal/state/rcmetric"
)

// limitAccounts limits account a to one request per second and one at once.
func limitAccounts(f *Forwarder) {
	table := (&rcroute.Table{Accounts: []rcroute.Account{{ID: "a", Limit: rcroute.RateLimit{Rate: 1, Burst: 1}}}}).BuildIndex()
	f.cfg.Accounts = AccountLimits{
		Limiter: rclimit.NewFleetLimiter(rclimit.FleetConfig{
			Bounds: rclimit.FleetBounds{Window: 8 * time.Second}, Random: func() float64 { return 0.999 },
		}),
		Table: func() *rcroute.Table { return table },
		Now:   time.Now,
	}
	f.cfg.Accounts.Limiter.SetInstances(nil)
	f.cfg.Accounts.Limiter.SetLimits(map[rclimit.AccountKey]rclimit.FleetRate{rclimit.KeyOfAccount("a", false): {Rate: 1, Burst: 1}}, time.Now())
	time.Sleep(10 * time.Second)
}

func serveAccount(t *testing.T, f *Forwarder, detoured bool) *httptest.ResponseRecorder {
	x := nonIdempotent()
	x.Account, x.Detoured = "a", detoured
	w, err := serveOne(t, f, x)
	require.NoError(t, err)
	return w
}

// TestAccountLimit guards against a refusal without the time of a retry, or with one beyond
// a third of the time left; against clients that evade the limit with the header of a
// detour; and against charges for attempts that upstreams refused or other instances made.
func TestAccountLimit(t *testing.T) {
	busy := step{reply: radishcrank.Reply{Class: radishcrank.ReplyBusy, Status: http.StatusServiceUnavailable, Header: http.Header{}}}
	for _, detoured := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			sender := &scriptedSender{steps: []step{busy, busy, {reply: okReply()}}}
			f := newThrottlingForwarder(sender)
			limitAccounts(f)
			require.Equal(t, http.StatusServiceUnavailable, serveAccount(t, f, detoured).Code)
			require.EqualValues(t, 1, f.cfg.Metrics.Value(rcmetric.AccountRefunded))
			require.Equal(t, http.StatusOK, serveAccount(t, f, detoured).Code, "the refused request was charged")
			w := serveAccount(t, f, detoured)
			require.Equal(t, http.StatusTooManyRequests, w.Code)
			after, err := strconv.ParseFloat(w.Header().Get("Retry-After"), 64)
			require.NoError(t, err)
			require.Greater(t, after, 0.1)
			require.LessOrEqual(t, after, 2.0/3)
			require.Len(t, sender.sent, 3)
			require.EqualValues(t, 2, f.cfg.Metrics.Value(rcmetric.AccountCharged))
			require.EqualValues(t, 1, f.cfg.Metrics.Value(rcmetric.AccountLimited))
		})
	}
	synctest.Test(t, func(t *testing.T) {
		f := newThrottlingForwarder(&scriptedSender{})
		limitAccounts(f)
		f.cfg.DetourSender = &scriptedDetours{steps: []step{{reply: okReply()}, {reply: okReply()}}}
		f.cfg.Detours = rcdetour.New(rcdetour.Config{Others: func() []rcdetour.Instance { return []rcdetour.Instance{{ID: "i1"}} }})
		for range 2 {
			f.cfg.Fleet.MarkSuspect("u0")
			f.cfg.Fleet.MarkSuspect("u1")
			require.Equal(t, http.StatusOK, serveAccount(t, f, false).Code)
		}
		require.EqualValues(t, 2, f.cfg.Metrics.Value(rcmetric.AccountRefunded))
	})
}
