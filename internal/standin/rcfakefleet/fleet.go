// Package rcfakefleet starts stand-ins of the upstreams and the platform on
// loopback, for the demo and for tests with real router processes.
package rcfakefleet

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"time"

	"github.com/gravitational/trace"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/standin/rcfakeengine"
	"github.com/radishcrank/radishcrank/internal/standin/rcfakelist"
	"github.com/radishcrank/radishcrank/internal/standin/rcfakeobject"
	"github.com/radishcrank/radishcrank/internal/standin/rcfakeservice"
	"github.com/radishcrank/radishcrank/internal/standin/rcfaketable"
)

// Config holds the size of a fleet of stand-ins.
type Config struct {
	Zones          int
	EnginesPerZone int
	Engine         rcfakeengine.Config // For all engines; the ID is set by the fleet.
	Service        string              // Name of the plain service; each zone has one upstream of it.
}

// Fleet is a running set of stand-ins.
type Fleet struct {
	Engines map[radishcrank.UpstreamID]*rcfakeengine.Engine
	// Listeners can silence the open connections of an engine.
	Listeners    map[radishcrank.UpstreamID]*rcfakeengine.Listener
	Service      *rcfakeservice.Service // Bookings of the plain service.
	Table        *rcfaketable.Table
	Objects      *rcfakeobject.Store
	InstanceList *rcfakelist.List

	// Addresses of the platform's services.
	TableAddr, ObjectsAddr, InstanceListAddr netip.AddrPort

	listing radishcrank.Listing
	servers []*http.Server
}

// Start starts the stand-ins.
func Start(cfg Config) (f *Fleet, err error) {
	defer func() {
		if err != nil {
			f.Close()
			err = trace.Wrap(err, "stand-ins")
		}
	}()
	f = &Fleet{
		Engines:      make(map[radishcrank.UpstreamID]*rcfakeengine.Engine),
		Listeners:    make(map[radishcrank.UpstreamID]*rcfakeengine.Listener),
		Service:      rcfakeservice.New(),
		Table:        rcfaketable.New(),
		Objects:      rcfakeobject.New(),
		InstanceList: rcfakelist.New(radishcrank.Listing{}),
	}
	for z := 1; z <= cfg.Zones; z++ {
		if err := f.startZone(cfg, Zone(z)); err != nil {
			return f, err
		}
	}
	f.InstanceList.Set(f.listing)
	return f, f.startPlatform()
}

// Zone returns the name of the availability zone with a number from 1 on.
func Zone(n int) radishcrank.AvailabilityZone {
	return radishcrank.AvailabilityZone(fmt.Sprintf("zone-%d", n))
}

func (f *Fleet) startZone(cfg Config, zone radishcrank.AvailabilityZone) error {
	for n := 1; n <= cfg.EnginesPerZone; n++ {
		engine := cfg.Engine
		engine.ID = radishcrank.UpstreamID(fmt.Sprintf("%s-engine-%d", zone, n))
		running := rcfakeengine.New(engine)
		f.Engines[engine.ID] = running
		up := radishcrank.Upstream{ID: engine.ID, Role: radishcrank.RoleEngine, Zone: zone}
		for model := range engine.Models {
			up.Models = append(up.Models, model)
		}
		if err := f.startUpstream(running.Handler(), up); err != nil {
			return err
		}
	}
	id := radishcrank.UpstreamID(fmt.Sprintf("%s-%s", zone, cfg.Service))
	return f.startUpstream(f.Service.Handler(), radishcrank.Upstream{ID: id, Role: radishcrank.RoleService, Zone: zone, Service: cfg.Service})
}

func (f *Fleet) startUpstream(h http.Handler, up radishcrank.Upstream) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	up.Addr = l.Addr().(*net.TCPAddr).AddrPort()
	f.listing.Upstreams = append(f.listing.Upstreams, up)
	if up.Role == radishcrank.RoleEngine {
		f.Listeners[up.ID] = rcfakeengine.NewListener(l)
		l = f.Listeners[up.ID]
	}
	f.serveOn(l, h)
	return nil
}

func (f *Fleet) startPlatform() (err error) {
	if f.TableAddr, err = f.serve(f.Table.Handler()); err != nil {
		return err
	}
	if f.ObjectsAddr, err = f.serve(f.Objects.Handler()); err != nil {
		return err
	}
	f.InstanceListAddr, err = f.serve(f.InstanceList.Handler())
	return err
}

func (f *Fleet) serve(h http.Handler) (addr netip.AddrPort, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return addr, err
	}
	f.serveOn(l, h)
	return l.Addr().(*net.TCPAddr).AddrPort(), nil
}

func (f *Fleet) serveOn(l net.Listener, h http.Handler) {
	server := &http.Server{Handler: h, ReadHeaderTimeout: time.Second}
	f.servers = append(f.servers, server)
	go func() {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			panic(fmt.Sprintf("stand-in stopped serving: %v", err))
		}
	}()
}

// AddInstance adds a router instance to the instance list, or replaces the one of its ID.
func (f *Fleet) AddInstance(i radishcrank.Instance) {
	kept := f.listing.Instances[:0:0]
	for _, old := range f.listing.Instances {
		if old.ID != i.ID {
			kept = append(kept, old)
		}
	}
	f.listing.Instances = append(kept, i)
	f.InstanceList.Set(f.listing)
}

// Close ends all stand-ins.
func (f *Fleet) Close() {
	for _, server := range f.servers {
		server.Close()
	}
}

// SetLeaving makes the instance list say that an upstream is about to leave.
func (f *Fleet) SetLeaving(id radishcrank.UpstreamID) {
	upstreams := slices.Clone(f.listing.Upstreams)
	for i := range upstreams {
		upstreams[i].Leaving = upstreams[i].Leaving || upstreams[i].ID == id
	}
	f.listing.Upstreams = upstreams
	f.InstanceList.Set(f.listing)
}
