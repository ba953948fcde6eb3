package rcrevision

import (
	"context"
	"flag"
	"fmt"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/peer/rcfakepeer"
	"github.com/radishcrank/radishcrank/internal/peer/rcmember"
	"github.com/radishcrank/radishcrank/internal/peer/rcrpc"
	"github.com/radishcrank/radishcrank/internal/standin/rcfaketable"
	"github.com/radishcrank/radishcrank/internal/state/rcboard"
	"github.com/radishcrank/radishcrank/internal/state/rcconfig"
	"github.com/radishcrank/radishcrank/internal/state/rcwait"
	_ "github.com/radishcrank/radishcrank/internal/testing/rcseed"
)

// Each check runs a fleet for a minute of virtual time.
func init() { flag.Set("rapid.checks", "25") }

// fleet runs keepers with trackers on stand-ins, inside a synctest bubble.
type fleet struct {
	net   *rcfakepeer.Network
	table *rcfaketable.Table
	ctx   context.Context
	stop  context.CancelFunc

	mu        sync.Mutex
	cutZones  map[radishcrank.AvailabilityZone]bool // From other zones and from the platform.
	offline   map[radishcrank.AvailabilityZone]bool // Cut off from the platform alone.
	list      []radishcrank.Instance
	processes []*process
	running   sync.WaitGroup
	reverts   int
}

type process struct {
	*Syncer
	fleet   *fleet
	self    radishcrank.Instance
	tracker *rcmember.Tracker
	host    *rcfakepeer.Host
	cancel  context.CancelFunc
}

func newFleet(zones, perZone int) *fleet {
	f := &fleet{
		net: rcfakepeer.New(), table: rcfaketable.New(),
		cutZones: make(map[radishcrank.AvailabilityZone]bool), offline: make(map[radishcrank.AvailabilityZone]bool),
	}
	f.ctx, f.stop = context.WithCancel(context.Background())
	f.net.SetLinkFunc(func(from, to *rcfakepeer.Host) rcfakepeer.Link {
		f.mu.Lock()
		defer f.mu.Unlock()
		a, b := from.Identity.Zone, to.Identity.Zone
		return rcfakepeer.Link{Latency: time.Millisecond, Down: a != b && (f.cutZones[a] || f.cutZones[b])}
	})
	for z := range zones {
		for i := range perZone {
			f.list = append(f.list, radishcrank.Instance{
				ID:          radishcrank.InstanceID(fmt.Sprintf("eu-north-%d-router-%d", z, i)),
				Zone:        radishcrank.AvailabilityZone(fmt.Sprintf("eu-north-%d", z)),
				Peer:        netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(z), 0, byte(i + 1)}), 7000),
				Incarnation: 1764793000123456789,
			})
		}
	}
	for _, self := range f.list {
		f.processes = append(f.processes, f.start(self))
	}
	return f
}

// readList reads the platform's list each second, as rcwatch does, while the
// process can reach the platform.
func (p *process) readList(ctx context.Context) {
	for ctx.Err() == nil {
		if !p.isCut() {
			p.tracker.Merge(p.fleet.list)
		}
		rcwait.Sleep(ctx, time.Second)
	}
}

// bootstrap returns two addresses of a zone.
func (f *fleet) bootstrap(zone radishcrank.AvailabilityZone) (addrs []netip.AddrPort) {
	const most = 2
	for _, i := range f.list {
		if i.Zone == zone && len(addrs) < most {
			addrs = append(addrs, i.Peer)
		}
	}
	return addrs
}

func (f *fleet) start(self radishcrank.Instance) *process {
	handlers := rcrpc.NewHandlers()
	p := &process{fleet: f, self: self}
	p.host = f.net.NewHost(rcrpc.Identity{Instance: self.ID, Zone: self.Zone}, self.Peer, handlers)
	last := uint64(0)
	p.Syncer = New(Config{
		Self: self.ID, Table: p, Caller: p.host, Handlers: handlers, Log: zerolog.Nop(),
		IsReader:    func() bool { return p.tracker.IsAmongFirst(2) },
		SourcePeers: func() []netip.AddrPort { return p.tracker.SourcePeers(2) },
		OnChange: func(doc *rcconfig.Document) {
			f.mu.Lock()
			defer f.mu.Unlock()
			if doc.Revision <= last {
				f.reverts++
			}
			last = doc.Revision
		},
	})
	p.tracker = rcmember.New(rcmember.Config{
		Self: self, Board: rcboard.New(), Caller: p.host, Handlers: handlers, Bootstrap: f.bootstrap(self.Zone),
	})
	p.host.Listen()
	var ctx context.Context
	ctx, p.cancel = context.WithCancel(f.ctx)
	f.running.Go(func() { p.readList(ctx) })
	f.running.Go(func() { p.tracker.Run(ctx) })
	f.running.Go(func() { p.Syncer.Run(ctx) })
	return p
}

// restart replaces a process. It starts without a document.
func (f *fleet) restart(i int) {
	p := f.processes[i]
	p.cancel()
	p.host.Detach()
	next := p.self
	next.Incarnation++
	f.processes[i] = f.start(next)
}

func (f *fleet) cut(zone radishcrank.AvailabilityZone, down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cutZones[zone] = down
}

func (f *fleet) close() {
	f.stop()
	f.running.Wait()
}

// inForce returns how many instances have at least a revision in force.
func (f *fleet) inForce(revision uint64) int {
	n := 0
	for _, p := range f.processes {
		if doc := p.Current(); doc != nil && doc.Revision >= revision {
			n++
		}
	}
	return n
}

// wait returns how long it takes until a revision is in force everywhere.
func (f *fleet) wait(revision uint64, limit time.Duration) (time.Duration, bool) {
	begin := time.Now()
	for time.Since(begin) <= limit {
		if f.inForce(revision) == len(f.processes) {
			return time.Since(begin), true
		}
		time.Sleep(20 * time.Millisecond)
	}
	return limit, false
}

// The methods below make a process the client of its own path to the table.

// isCut reports whether the process cannot reach the platform.
func (p *process) isCut() bool {
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	return p.fleet.cutZones[p.self.Zone] || p.fleet.offline[p.self.Zone]
}

func (p *process) reach(ctx context.Context) error {
	if p.isCut() {
		<-ctx.Done()
		return radishcrank.ErrUnavailable
	}
	return nil
}

func (p *process) Commit(ctx context.Context, tx radishcrank.Transaction) error {
	if err := p.reach(ctx); err != nil {
		return err
	}
	return p.fleet.table.Commit(ctx, tx)
}

func (p *process) Get(ctx context.Context, keys ...string) ([]radishcrank.Row, error) {
	if err := p.reach(ctx); err != nil {
		return nil, err
	}
	return p.fleet.table.Get(ctx, keys...)
}

func (p *process) Scan(ctx context.Context, prefix, after string, limit int) ([]radishcrank.Row, error) {
	if err := p.reach(ctx); err != nil {
		return nil, err
	}
	return p.fleet.table.Scan(ctx, prefix, after, limit)
}

// text returns a document with a number of accounts and a value that differs.
func text(accounts, maxTokens int) string {
	var b strings.Builder
	fmt.Fprintf(&b, "[Defaults]\nMaxTokens = %d\n", maxTokens)
	for i := range accounts {
		id := fmt.Sprintf("account-%d", i)
		fmt.Fprintf(&b, "\n[Account.%s]\nKeyHashes = %s\nLeaving = false\nWeight = 1\n", id, rcconfig.HashKey(id))
	}
	return b.String()
}
