// Package rcfakefleet starts fakes of the upstreams and the platform services on
// loopback ports, for the demo and for tests with real router processes.
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

// Config holds the parameters of a fleet.
type Config struct {
	Zones          int
	EnginesPerZone int
	Engine         rcfakeengine.Config // Applies to all engines; the fleet sets the ID.
	Service        string              // Name of the plain service, which has one upstream in each availability zone.
}

// Fleet is a running set of fake upstreams and platform services.
type Fleet struct {
	Engines map[radishcrank.UpstreamID]*rcfakeengine.Engine
	// Listeners holds the listener of each engine, for injecting network faults.
	Listeners    map[radishcrank.UpstreamID]*rcfakeengine.Listener
	Service      *rcfakeservice.Service // The plain service.
	Table        *rcfaketable.Table
	Objects      *rcfakeobject.Store
	InstanceList *rcfakelist.List

	// Addresses of the platform services.
	TableAddr, ObjectsAddr, InstanceListAddr netip.AddrPort

	listing radishcrank.Listing
	servers []*http.Server
}

// Start starts a fleet.
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

// Zone returns the name of the n-th availability zone, counted from 1.
func Zone(n int) radishcrank.AvailabilityZone {
	return radishcrank.AvailabilityZone(fmt.Sprintf("zone-%d", n))
}

func (f *Fleet) startZone(cfg Config, zone radishcrank.AvailabilityZone) error {
	for n := 1; n <= cfg.EnginesPerZone; n++ {
		engineCfg := cfg.Engine
		engineCfg.ID = radishcrank.UpstreamID(fmt.Sprintf("%s-engine-%d", zone, n))
		fake := rcfakeengine.New(engineCfg)
		f.Engines[engineCfg.ID] = fake
		up := radishcrank.Upstream{ID: engineCfg.ID, Role: radishcrank.RoleEngine, Zone: zone}
		for model := range engineCfg.Models {
			up.Models = append(up.Models, model)
		}
		if err := f.startUpstream(fake.Handler(), up); err != nil {
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
	if f.TableAddr, err = f.serveLoopback(f.Table.Handler()); err != nil {
		return err
	}
	if f.ObjectsAddr, err = f.serveLoopback(f.Objects.Handler()); err != nil {
		return err
	}
	f.InstanceListAddr, err = f.serveLoopback(f.InstanceList.Handler())
	return err
}

func (f *Fleet) serveLoopback(h http.Handler) (addr netip.AddrPort, err error) {
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
			panic(fmt.Sprintf("fake server stopped: %v", err))
		}
	}()
}

// AddInstance adds a router instance to the instance list, replacing any instance
// with the same ID.
func (f *Fleet) AddInstance(i radishcrank.Instance) {
	instances := f.listing.Instances[:0:0]
	for _, old := range f.listing.Instances {
		if old.ID != i.ID {
			instances = append(instances, old)
		}
	}
	f.listing.Instances = append(instances, i)
	f.InstanceList.Set(f.listing)
}

// Close stops all servers of the fleet.
func (f *Fleet) Close() {
	for _, server := range f.servers {
		server.Close()
	}
}

// SetLeaving marks an upstream as leaving in the instance list.
func (f *Fleet) SetLeaving(id radishcrank.UpstreamID) {
	upstreams := slices.Clone(f.listing.Upstreams)
	for i := range upstreams {
		upstreams[i].Leaving = upstreams[i].Leaving || upstreams[i].ID == id
	}
	f.listing.Upstreams = upstreams
	f.InstanceList.Set(f.listing)
}
