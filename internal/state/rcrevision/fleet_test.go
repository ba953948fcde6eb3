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

// Each rapid check simulates a fleet for about a minute, so fewer than the default
// 100 are run.
func init() { flag.Set("rapid.checks", "25") }

// fleet runs the Syncers and Trackers of several instances on a fake network and a
// fake table, inside a synctest bubble.
type fleet struct {
	net   *rcfakepeer.Network
	table *rcfaketable.Table
	ctx   context.Context
	stop  context.CancelFunc

	mu            sync.Mutex
	isolatedZones map[radishcrank.AvailabilityZone]bool // Isolated from other zones and from the platform.
	platformDown  map[radishcrank.AvailabilityZone]bool // Isolated from the platform only.
	list          []radishcrank.Instance
	processes     []*process
	running       sync.WaitGroup
	reverts       int
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
		isolatedZones: make(map[radishcrank.AvailabilityZone]bool), platformDown: make(map[radishcrank.AvailabilityZone]bool),
	}
	f.ctx, f.stop = context.WithCancel(context.Background())
	f.net.SetLinkFunc(func(from, to *rcfakepeer.Host) rcfakepeer.Link {
		f.mu.Lock()
		defer f.mu.Unlock()
		a, b := from.Identity.Zone, to.Identity.Zone
		return rcfakepeer.Link{Latency: time.Millisecond, Down: a != b && (f.isolatedZones[a] || f.isolatedZones[b])}
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

// readList passes the platform's instance list to the tracker every second, as
// rcwatch does, while the process can reach the platform.
func (p *process) readList(ctx context.Context) {
	for ctx.Err() == nil {
		if !p.platformUnreachable() {
			p.tracker.Merge(p.fleet.list)
		}
		rcwait.Sleep(ctx, time.Second)
	}
}

// bootstrap returns the first two addresses of a zone.
func (f *fleet) bootstrap(zone radishcrank.AvailabilityZone) (addrs []netip.AddrPort) {
	const maxAddrs = 2
	for _, i := range f.list {
		if i.Zone == zone && len(addrs) < maxAddrs {
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

// restart replaces a process by one without a document.
func (f *fleet) restart(i int) {
	p := f.processes[i]
	p.cancel()
	p.host.Detach()
	next := p.self
	next.Incarnation++
	f.processes[i] = f.start(next)
}

func (f *fleet) isolate(zone radishcrank.AvailabilityZone, down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.isolatedZones[zone] = down
}

func (f *fleet) close() {
	f.stop()
	f.running.Wait()
}

// countApplied returns the number of instances that have applied a revision or a
// higher one.
func (f *fleet) countApplied(revision uint64) int {
	n := 0
	for _, p := range f.processes {
		if doc := p.Current(); doc != nil && doc.Revision >= revision {
			n++
		}
	}
	return n
}

// wait waits until all instances have applied a revision, at most for limit. It
// returns the time waited and whether all have.
func (f *fleet) wait(revision uint64, limit time.Duration) (time.Duration, bool) {
	begin := time.Now()
	for time.Since(begin) <= limit {
		if f.countApplied(revision) == len(f.processes) {
			return time.Since(begin), true
		}
		time.Sleep(20 * time.Millisecond)
	}
	return limit, false
}

// The methods below implement radishcrank.TableService for a process, which may be
// isolated from the table.

// platformUnreachable reports whether the process cannot reach the platform.
func (p *process) platformUnreachable() bool {
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	return p.fleet.isolatedZones[p.self.Zone] || p.fleet.platformDown[p.self.Zone]
}

func (p *process) checkReachable(ctx context.Context) error {
	if p.platformUnreachable() {
		<-ctx.Done()
		return radishcrank.ErrUnavailable
	}
	return nil
}

func (p *process) Commit(ctx context.Context, tx radishcrank.Transaction) error {
	if err := p.checkReachable(ctx); err != nil {
		return err
	}
	return p.fleet.table.Commit(ctx, tx)
}

func (p *process) Get(ctx context.Context, keys ...string) ([]radishcrank.Row, error) {
	if err := p.checkReachable(ctx); err != nil {
		return nil, err
	}
	return p.fleet.table.Get(ctx, keys...)
}

func (p *process) Scan(ctx context.Context, prefix, after string, limit int) ([]radishcrank.Row, error) {
	if err := p.checkReachable(ctx); err != nil {
		return nil, err
	}
	return p.fleet.table.Scan(ctx, prefix, after, limit)
}

// text returns a document with the given number of accounts. Documents with
// different maxTokens have different hashes.
func text(accounts, maxTokens int) string {
	var b strings.Builder
	fmt.Fprintf(&b, "[Defaults]\nMaxTokens = %d\n", maxTokens)
	for i := range accounts {
		id := fmt.Sprintf("account-%d", i)
		fmt.Fprintf(&b, "\n[Account.%s]\nKeyHashes = %s\nLeaving = false\nWeight = 1\n", id, rcconfig.HashKey(id))
	}
	return b.String()
}
