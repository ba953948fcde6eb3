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
		Weight:    d.accountWeight,
		Capacity:  d.capacity,
		Instances: d.board.Instances.Len,
	})
	rcrpc.Handle(d.handlers, methodUsage, d.handleUsage)
}

// isLeaving also holds for accounts that are no longer in the configuration.
func (d *Daemon) isLeaving(id radishcrank.ClientAccountID) bool {
	account, ok := d.document().Account(id)
	return !ok || account.Leaving
}

func (d *Daemon) accountWeight(id radishcrank.ClientAccountID) float64 {
	account, _ := d.document().Account(id)
	return account.Weight
}

// capacityAge is how old the sum of the engines' batches may be. Adding up 500
// engines takes 0.4 ms, which admissions would pay for several times each.
const capacityAge = 250 * time.Millisecond

// cachedCapacity is the requests that may run at once on this instance.
type cachedCapacity struct {
	mu       sync.Mutex
	requests int
	at       time.Time
}

// capacity returns how many requests may run at once on this instance.
func (d *Daemon) capacity() int {
	c := &d.cachedCapacity
	c.mu.Lock()
	defer c.mu.Unlock()
	if now := time.Now(); c.at.IsZero() || now.Sub(c.at) >= capacityAge {
		c.requests, c.at = d.computeCapacity(), now
	}
	return c.requests
}

func (d *Daemon) computeCapacity() int {
	batches := 0
	for _, up := range d.board.Upstreams.Snapshot() {
		if up.Role == radishcrank.RoleEngine && !up.Leaving {
			batches += up.Load.MaxBatch
		}
	}
	return int(capacityFactor * float64(batches) / float64(max(1, d.board.Instances.Len())))
}

// usageReport carries one instance's demands.
type usageReport struct {
	Instance radishcrank.InstanceID
	Demands  rclimit.Demands
}

type usageResponse struct{}

var methodUsage = rcrpc.Method[usageReport, usageResponse]{Name: "Usage", Timeout: usageTimeout}

func (d *Daemon) handleUsage(_ context.Context, from rcrpc.Identity, req usageReport) (usageResponse, error) {
	d.limiter.SetPeerDemands(from.Instance, req.Demands)
	return usageResponse{}, nil
}

// broadcastUsage sends the demands of limited accounts to all peers of a small fleet.
func (d *Daemon) broadcastUsage(ctx context.Context) error {
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
		message := usageReport{Instance: d.cfg.BootSettings.ID, Demands: d.limitedDemands()}
		for _, peer := range peers {
			if peer.ID == d.cfg.BootSettings.ID {
				continue
			}
			// A peer that misses messages counts as not heard, which is safe.
			go rcrpc.Call(ctx, d.peerClient, peer.Peer, methodUsage, message)
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
