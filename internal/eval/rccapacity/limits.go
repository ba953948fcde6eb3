package rccapacity

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/limits/rclimit"
	"github.com/radishcrank/radishcrank/internal/peer/rcrpc"
	"github.com/radishcrank/radishcrank/internal/state/rcboard"
	"github.com/radishcrank/radishcrank/internal/state/rcconfig"
)

func limitBenchmarks() []benchmark {
	return []benchmark{
		{"AdmitAccounts", "admit a request and end it, demands of no peer known", "account in use", "µs",
			[]int{100, 750, 1500, 3000}, func(t *testing.T, n int) Point { return measureAdmit(t, n, 0, nil) }},
		{"AdmitPeers", "the same with 3,000 accounts, after the demands of one of so many peers arrived", "peer", "µs",
			[]int{0, 15, 100, 200, 369}, func(t *testing.T, n int) Point { return measureAdmit(t, 3000, n, nil) }},
		{"AdmitCapacityCalls", "calls of Config.Capacity for one request, as Value", "account in use", "calls",
			[]int{100, 750, 1500, 3000}, measureCapacityCalls},
		{"Demands", "collect the demands of limited accounts", "account in use", "µs",
			[]int{100, 750, 1500, 3000}, measureDemands},
		{"UsageBytes", "frame of the demands sent to one peer", "account in use", "B",
			[]int{8, 100, 400, 800}, measureUsageBytes},
	}
}

func accountName(i int) radishcrank.ClientAccountID {
	return radishcrank.ClientAccountID(fmt.Sprintf("account-%d", i))
}

// newLimiter returns a limiter that has admitted one request for each account.
func newLimiter(t *testing.T, accounts int, capacity func() int) *rclimit.Limiter {
	settings := rcconfig.DefaultSettings()
	settings.TokensPerSecond = 1e9
	l := rclimit.New(rclimit.Config{
		Board: rcboard.New(), Instance: "router-1", Capacity: capacity,
		Settings: func(radishcrank.ClientAccountID) rcconfig.Settings { return settings },
	})
	for i := range accounts {
		admitAndRelease(t, l, accountName(i))
	}
	return l
}

// admitAndRelease admits one request and releases it.
func admitAndRelease(t *testing.T, l *rclimit.Limiter, account radishcrank.ClientAccountID) {
	release, err := l.Admit(context.Background(), radishcrank.Request{
		ID: "r", Account: account, Model: modelName, Prompt: "prompt", MaxTokens: 100, Deadline: time.Now().Add(time.Second),
	})
	must(t, err)
	release(radishcrank.Usage{PromptTokens: 10, CompletionTokens: 90})
}

func measureAdmit(t *testing.T, accounts, peers int, capacity func() int) Point {
	l := newLimiter(t, accounts, capacity)
	own := accountName(7)
	renew := func() {
		for i := range peers {
			l.SetPeerDemands(radishcrank.InstanceID(fmt.Sprint("peer", i)), rclimit.Demands{own: 1})
		}
	}
	renew()
	next := 0
	return minCost(func() {
		// A received demand invalidates the computed shares. 369 peers that each send
		// one every 2 s do so before each request at 38 requests/s.
		if peers > 0 {
			l.SetPeerDemands(radishcrank.InstanceID(fmt.Sprint("peer", next%peers)), rclimit.Demands{own: 1})
			next++
		}
		admitAndRelease(t, l, own)
	})
}

func measureCapacityCalls(t *testing.T, accounts int) Point {
	const requests = 1000
	calls := 0
	l := newLimiter(t, accounts, func() int { calls++; return 1 << 20 })
	calls = 0
	for range requests {
		admitAndRelease(t, l, accountName(7))
	}
	return Point{Value: float64(calls) / requests}
}

func measureDemands(t *testing.T, accounts int) Point {
	l := newLimiter(t, accounts, nil)
	return minCost(func() { l.LocalDemands() })
}

// measureUsageBytes encodes the same fields as rcdaemon, whose type is not exported.
func measureUsageBytes(t *testing.T, accounts int) Point {
	frame, err := rcrpc.Encode(struct {
		Instance radishcrank.InstanceID
		Demands  rclimit.Demands
	}{"eu-north-1-router-17", newLimiter(t, accounts, nil).LocalDemands()})
	must(t, err)
	return Point{Value: float64(len(frame))}
}
