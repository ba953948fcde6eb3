package rcmember

import (
	"context"
	"flag"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/peer/rcfakepeer"
	"github.com/radishcrank/radishcrank/internal/peer/rcrpc"
	"github.com/radishcrank/radishcrank/internal/state/rcboard"
	_ "github.com/radishcrank/radishcrank/internal/testing/rcseed"
)

// Each check runs a fleet for minutes of virtual time, so fewer than the usual
// hundred fit. The flag still overrides the number.
func init() { flag.Set("rapid.checks", "10") }

// startOfTime is a typical incarnation: nanoseconds since 1970.
const startOfTime = 1764793000123456789

// fleet runs trackers on a stand-in network. It is used inside a synctest bubble.
type fleet struct {
	net  *rcfakepeer.Network
	list []radishcrank.Instance
	ctx  context.Context
	stop context.CancelFunc

	mu        sync.Mutex
	processes []*process
	running   sync.WaitGroup
}

type process struct {
	*Tracker
	host   *rcfakepeer.Host
	self   radishcrank.Instance
	cancel context.CancelFunc
	alive  bool

	mu     sync.Mutex
	frozen chan struct{}
}

// newFleet starts perZone instances in each zone. All know the list.
func newFleet(zones, perZone int, seed uint64) *fleet {
	f := &fleet{net: rcfakepeer.New(seed)}
	f.ctx, f.stop = context.WithCancel(context.Background())
	f.net.SetLinks(func(from, to *rcfakepeer.Host) rcfakepeer.Link { return rcfakepeer.Link{Latency: time.Millisecond} })
	for z := range zones {
		for i := range perZone {
			f.list = append(f.list, radishcrank.Instance{
				ID:          radishcrank.InstanceID(fmt.Sprintf("eu-north-%d-router-%d", z, i)),
				Zone:        radishcrank.AvailabilityZone(fmt.Sprintf("eu-north-%d", z)),
				Peer:        netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(z), byte(i / 200), byte(i%200 + 1)}), 7000),
				Operators:   netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(z), byte(i / 200), byte(i%200 + 1)}), 7001),
				Incarnation: startOfTime,
			})
		}
	}
	for _, self := range f.list {
		f.start(self)
	}
	return f
}

// List implements radishcrank.InstanceLister.
func (f *fleet) List(context.Context) (radishcrank.Listing, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return radishcrank.Listing{Instances: f.list}, nil
}

func (f *fleet) start(self radishcrank.Instance) *process {
	handlers := rcrpc.NewHandlers()
	p := &process{self: self, alive: true}
	p.host = f.net.NewHost(rcrpc.Identity{Instance: self.ID, Zone: self.Zone}, self.Peer, handlers)
	p.Tracker = New(Config{
		Self: self, Board: rcboard.New(), Caller: p.host, Handlers: handlers, Lister: f,
		Config: func() (uint64, string, time.Duration) { return 123456, "0123456789abcdef", time.Second },
	})
	p.beforeTick = p.waitThawed
	p.host.Listen()
	var ctx context.Context
	ctx, p.cancel = context.WithCancel(f.ctx)
	f.running.Go(func() { p.Run(ctx) })
	f.processes = append(f.processes, p)
	return p
}

func (p *process) waitThawed() {
	p.mu.Lock()
	frozen := p.frozen
	p.mu.Unlock()
	if frozen != nil {
		<-frozen
	}
}

func (p *process) kill() {
	p.alive = false
	p.host.Detach()
	p.cancel()
}

func (p *process) freeze() {
	p.mu.Lock()
	p.frozen = make(chan struct{})
	p.mu.Unlock()
	p.host.Pause()
}

func (p *process) thaw() {
	p.mu.Lock()
	close(p.frozen)
	p.frozen = nil
	p.mu.Unlock()
	p.host.Resume()
}

// restart replaces a process by one with a higher incarnation. The list lags behind.
func (f *fleet) restart(p *process) *process {
	p.kill()
	next := p.self
	next.Incarnation++
	return f.start(next)
}

func (f *fleet) close() {
	for _, p := range f.processes {
		p.mu.Lock()
		frozen := p.frozen != nil
		p.mu.Unlock()
		if frozen {
			p.thaw()
		}
	}
	f.stop()
	f.running.Wait()
}

// status returns how p sees other, as far as it knows that process.
func (p *process) status(other *process) Status {
	for _, v := range p.Views() {
		if v.Instance.ID == other.self.ID && v.Instance.Incarnation == other.self.Incarnation {
			return v.Status
		}
	}
	return ""
}

// faults returns what live processes get wrong about others: live ones held
// dead, and, with all set, dead ones not found and live ones not known.
func (f *fleet) faults(all bool) string {
	for _, p := range f.processes {
		if !p.alive {
			continue
		}
		for _, other := range f.processes {
			dead := p.IsDead(other.self.ID, other.self.Incarnation)
			_, onBoard := p.cfg.Board.Instances.Get(other.self.ID)
			switch {
			case other == p:
			case other.alive && dead:
				return fmt.Sprintf("%s holds %s/%d dead, which is alive", p.self.ID, other.self.ID, other.self.Incarnation)
			case all && !other.alive && !dead:
				return fmt.Sprintf("%s has not found %s/%d dead", p.self.ID, other.self.ID, other.self.Incarnation)
			case all && other.alive && !onBoard:
				return fmt.Sprintf("%s has not got %s on its board", p.self.ID, other.self.ID)
			case all && other.alive && other.self.Zone == p.self.Zone && p.status(other) != StatusAlive:
				return fmt.Sprintf("%s sees %s as %q", p.self.ID, other.self.ID, p.status(other))
			}
		}
	}
	return ""
}
