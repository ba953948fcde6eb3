package rccapacity

import (
	"context"
	"fmt"
	"math"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/peer/rcfakepeer"
	"github.com/radishcrank/radishcrank/internal/peer/rcmember"
	"github.com/radishcrank/radishcrank/internal/peer/rcrpc"
	"github.com/radishcrank/radishcrank/internal/state/rcboard"
)

const (
	fleetZones  = 11
	fleetSettle = 30 * time.Second // Until all instances know each other.
	fleetSpan   = 15 * time.Second
)

func peerProbes() []probe {
	sizes := []int{2, 8, 16, 24, 34}
	type result struct{ cpu, sent Point }
	known := make(map[int]result) // Both series come from the same run.
	measured := func(t *testing.T, n int) result {
		if _, ok := known[n]; !ok {
			cpu, sent := heartbeats(t, n)
			known[n] = result{cpu, sent}
		}
		return known[n]
	}
	return []probe{
		{"HeartbeatRound", "a second of heartbeats of one instance, sent and answered, in 11 availability zones", "instance of its zone", "µs",
			sizes, func(t *testing.T, n int) Point { return measured(t, n).cpu }},
		{"HeartbeatBytes", "bytes that one instance sends for heartbeats in a second", "instance of its zone", "B",
			sizes, func(t *testing.T, n int) Point { return measured(t, n).sent }},
		{"HeartbeatFrame", "frame of one heartbeat", "rumor", "B",
			[]int{0, 2, 4, 8}, heartbeatFrame},
	}
}

// fleetLister lists all instances.
type fleetLister []radishcrank.Instance

// List implements radishcrank.InstanceLister.
func (l fleetLister) List(context.Context) (radishcrank.Listing, error) {
	return radishcrank.Listing{Instances: l}, nil
}

func fleetOf(zones, perZone int) (list fleetLister) {
	for z := range zones {
		for i := range perZone {
			addr := netip.AddrFrom4([4]byte{10, byte(z), 0, byte(i + 1)})
			list = append(list, radishcrank.Instance{
				ID: radishcrank.InstanceID(fmt.Sprintf("eu-north-%d-router-%d", z, i)), Incarnation: 1764793000123456789,
				Zone: radishcrank.AvailabilityZone(fmt.Sprintf("eu-north-%d", z)),
				Peer: netip.AddrPortFrom(addr, 7000), Operators: netip.AddrPortFrom(addr, 7001),
			})
		}
	}
	return list
}

// heartbeats runs a fleet in virtual time and returns the CPU time and the
// bytes of one instance in a second. CPU time is the best of several spans.
func heartbeats(t *testing.T, perZone int) (cpu, sent Point) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		var running sync.WaitGroup
		network := rcfakepeer.New(seed)
		network.SetLinks(func(_, _ *rcfakepeer.Host) rcfakepeer.Link { return rcfakepeer.Link{Latency: time.Millisecond} })
		list := fleetOf(fleetZones, perZone)
		var hosts []*rcfakepeer.Host
		for _, self := range list {
			handlers := rcrpc.NewHandlers()
			host := network.NewHost(rcrpc.Identity{Instance: self.ID, Zone: self.Zone}, self.Peer, handlers)
			tracker := rcmember.New(rcmember.Config{
				Self: self, Board: rcboard.New(), Caller: host, Handlers: handlers, Lister: list,
				Config: func() (uint64, string, time.Duration) { return 123456, "0123456789abcdef", time.Second },
			})
			host.Listen()
			hosts = append(hosts, host)
			running.Go(func() { tracker.Run(ctx) })
		}
		time.Sleep(fleetSettle)
		n, before := float64(len(hosts))*fleetSpan.Seconds(), sentBytes(hosts)
		cpu.Value = math.Inf(1)
		for range runs {
			start := cpuTime()
			time.Sleep(fleetSpan)
			cpu.Value = min(cpu.Value, float64((cpuTime()-start).Nanoseconds())/1e3/n)
		}
		sent.Value = float64(sentBytes(hosts)-before) / n / runs
		stop()
		running.Wait()
	})
	return cpu, sent
}

func sentBytes(hosts []*rcfakepeer.Host) (n int) {
	for _, h := range hosts {
		n += h.Traffic().SentBytes
	}
	return n
}

func heartbeatFrame(t *testing.T, rumors int) Point {
	self := fleetOf(1, 1)[0]
	beat := rcmember.Heartbeat{Digest: rcmember.Digest{
		Instance: self.ID, Incarnation: self.Incarnation, Counter: 86400, ConfigRevision: 123456, ConfigHash: "0123456789abcdef", ConfigAge: 1,
	}}
	for range rumors {
		beat.Rumors = append(beat.Rumors, rcmember.Rumor{Tag: "AbCdEfGh", Counter: 86400})
	}
	frame, err := rcrpc.Encode(beat)
	check(t, err)
	return Point{Value: float64(len(frame))}
}
