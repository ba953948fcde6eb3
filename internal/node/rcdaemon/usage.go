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

	// maxUsagePeers bounds the fleet size for which demands are exchanged. Every
	// instance sends to every other one about 60 bytes for each limited account in
	// use. Larger fleets split limits evenly, which needs no messages and is close
	// enough as long as the load balancer distributes clients evenly.
	maxUsagePeers = 15

	// capacityFactor is the ratio of an instance's capacity to its even share of the
	// engines' batches. It is above 1 because clients are not distributed evenly.
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

// isLeaving reports whether an account is leaving or is no longer in the
// configuration.
func (d *Daemon) isLeaving(id radishcrank.ClientAccountID) bool {
	account, ok := d.document().Account(id)
	return !ok || account.Leaving
}

func (d *Daemon) accountWeight(id radishcrank.ClientAccountID) float64 {
	account, _ := d.document().Account(id)
	return account.Weight
}

// capacityAge is the maximum age of the cached capacity. Summing up the batches of
// 500 engines takes 0.4 ms, and each admission needs the capacity several times.
const capacityAge = 250 * time.Millisecond

// cachedCapacity caches the number of requests that may run concurrently on this
// instance.
type cachedCapacity struct {
	mu       sync.Mutex
	requests int
	at       time.Time
}

// capacity returns the number of requests that may run concurrently on this
// instance. It may be up to capacityAge old.
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

// usageReport carries the demands of one instance.
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

// broadcastUsage sends the demands of limited accounts to all peers until ctx is
// done. It sends nothing while there are more than maxUsagePeers peers.
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
			// Errors are ignored: a peer that misses messages treats this instance as
			// one that does not report demands, which is safe.
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
