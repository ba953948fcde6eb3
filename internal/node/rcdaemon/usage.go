package rcdaemon

import (
	"context"
	"sync"
	"time"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/limits/rclimit"
	"github.com/radishcrank/radishcrank/internal/peer/rcrpc"
	"github.com/radishcrank/radishcrank/internal/state/rcconfig"
)

const (
	usageInterval = 2 * time.Second
	usageTimeout  = time.Second

	// maxUsagePeers bounds the exchange of demands: every instance sends to every
	// other, about 60 bytes for each limited account that is in use. Larger
	// fleets split limits evenly, which costs nothing and is close as long as the
	// balancer spreads callers evenly.
	maxUsagePeers = 15

	// capacityFactor is how far the requests that an instance lets run exceed its
	// even part of the engines' batches, since callers are not spread evenly.
	capacityFactor = 1.5
)

func (d *Daemon) newLimiter() {
	d.limiter = rclimit.New(rclimit.Config{
		Board:     d.board,
		Instance:  d.cfg.BootSettings.ID,
		Settings:  func(id radishcrank.ClientAccountID) rcconfig.Settings { return d.document().AccountSettings(id) },
		Leaving:   d.isLeaving,
		Weight:    d.weight,
		Capacity:  d.capacity,
		Instances: d.board.Instances.Len,
	})
	rcrpc.Handle(d.handlers, methodUsage, d.answerUsage)
}

// isLeaving also holds for accounts that are no longer in the configuration.
func (d *Daemon) isLeaving(id radishcrank.ClientAccountID) bool {
	account, ok := d.document().Account(id)
	return !ok || account.Leaving
}

func (d *Daemon) weight(id radishcrank.ClientAccountID) float64 {
	account, _ := d.document().Account(id)
	return account.Weight
}

// capacityAge is how old the sum of the engines' batches may be. Adding up 500
// engines takes 0.4 ms, which admissions would pay for several times each.
const capacityAge = 250 * time.Millisecond

// capacitySum is the requests that may run at once on this instance.
type capacitySum struct {
	mu       sync.Mutex
	requests int
	at       time.Time
}

// capacity returns how many requests may run at once on this instance.
func (d *Daemon) capacity() int {
	c := &d.capacitySum
	c.mu.Lock()
	defer c.mu.Unlock()
	if now := time.Now(); c.at.IsZero() || now.Sub(c.at) >= capacityAge {
		c.requests, c.at = d.sumCapacity(), now
	}
	return c.requests
}

func (d *Daemon) sumCapacity() int {
	batches := 0
	for _, up := range d.board.Upstreams.Snapshot() {
		if up.Role == radishcrank.RoleEngine && !up.Leaving {
			batches += up.Load.MaxBatch
		}
	}
	return int(capacityFactor * float64(batches) / float64(max(1, d.board.Instances.Len())))
}

// usage carries one instance's demands.
type usage struct {
	Instance radishcrank.InstanceID
	Demands  rclimit.Demands
}

type usageAnswer struct{}

var methodUsage = rcrpc.Method[usage, usageAnswer]{Name: "Usage", Timeout: usageTimeout}

func (d *Daemon) answerUsage(_ context.Context, from rcrpc.Identity, q usage) (usageAnswer, error) {
	d.limiter.SetPeerDemands(from.Instance, q.Demands)
	return usageAnswer{}, nil
}

// spreadUsage sends the demands of limited accounts to all peers of a small fleet.
func (d *Daemon) spreadUsage(ctx context.Context) error {
	ticker := time.NewTicker(usageInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
		peers := d.board.Instances.Values()
		if len(peers) > maxUsagePeers+1 {
			continue
		}
		message := usage{Instance: d.cfg.BootSettings.ID, Demands: d.limitedDemands()}
		for _, peer := range peers {
			if peer.ID == d.cfg.BootSettings.ID {
				continue
			}
			// A peer that misses messages counts as not heard, which is safe.
			go rcrpc.Call(ctx, d.client, peer.Peer, methodUsage, message)
		}
	}
}

func (d *Daemon) limitedDemands() rclimit.Demands {
	demands := d.limiter.LocalDemands()
	for id := range demands {
		s := d.document().AccountSettings(id)
		if s.TokensPerSecond <= 0 && s.RequestsPerSecond <= 0 && s.Concurrency <= 0 {
			delete(demands, id)
		}
	}
	return demands
}
