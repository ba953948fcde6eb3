package rcinstance

import (
	"encoding/json"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/limits/rclimit"
	"github.com/radishcrank/radishcrank/internal/peer/rcrpc"
	"github.com/radishcrank/radishcrank/internal/routing/rcroute"
)

// exchangeUsage sends one round of updates. Instances in lost send nothing, and calls to them
// and to the unreachable one fail.
func exchangeUsage(t *testing.T, all []*peerGroup, lost map[string]bool, unreachable string) {
	byName := map[string]*peerGroup{}
	for _, p := range all {
		byName[p.self.Name] = p
	}
	for _, p := range all {
		if lost[p.self.Name] {
			continue
		}
		p.mu.Lock()
		updates := p.addUsageLocked(p.updatesLocked(), time.Now())
		p.mu.Unlock()
		for to, update := range updates {
			if update.empty() {
				continue
			}
			var err error
			if lost[to.Name] || to.Name == unreachable {
				err = errors.New("lost")
			} else {
				m, encodeErr := rcrpc.EncodeParams(update)
				require.NoError(t, encodeErr)
				var received peerUpdate
				require.NoError(t, json.Unmarshal(m, &received))
				_, err = byName[to.Name].handleUpdate(t.Context(), rcrpc.Identity{Instance: radishcrank.InstanceID(p.self.Name), Zone: radishcrank.AvailabilityZone(p.self.Zone)}, received)
				require.NoError(t, err)
			}
			p.recordSend(to, update, err)
		}
	}
}

// TestUsageIsCountedOnce guards against usage that is lost or counted twice: when a call
// fails, when a relay's sum contains the receiver's own usage, and when a relay fails and
// another one takes over.
func TestUsageIsCountedOnce(t *testing.T) {
	for _, n := range []int{3, 12, 30} {
		synctest.Test(t, func(t *testing.T) {
			const limit = 10_000
			table := (&rcroute.Table{Accounts: []rcroute.Account{{ID: "a", Limit: rcroute.RateLimit{Rate: limit, Burst: limit, Tokens: true}}}}).BuildIndex()
			key := rclimit.KeyOfAccount("a", true)
			all := newPeerGroups(n, 3)
			for _, p := range all {
				p.membersRead = true
				p.instance.startedAt = time.Now()
				p.instance.settings.QuotaWindow = 8 * time.Second
				p.instance.accountLimiter = newAccountLimiter(p.instance)
				p.instance.setRoutes(table)
			}
			relay := all[0].relayForLocked(all[1].self.Zone)
			lost := map[string]bool{}
			spent := 0.0
			for round := range 45 {
				time.Sleep(relayUpdateInterval)
				if round == 22 {
					lost[relay.Name] = true
				}
				for i, p := range all {
					if !lost[p.self.Name] && (round == 5 || round == 26) {
						cost := float64(10 + i)
						require.True(t, p.instance.accountLimiter.Admit(key, cost, false, time.Now()).Admitted)
						spent += cost
					}
				}
				unreachable := ""
				if round >= 26 && round < 29 {
					unreachable = all[n-1].self.Name
				}
				exchangeUsage(t, all, lost, unreachable)
			}
			for _, p := range all {
				if !lost[p.self.Name] {
					require.InDelta(t, spent, p.instance.accountLimiter.Used(key, time.Now()), 1, p.self.Name)
				}
			}
		})
	}
}
