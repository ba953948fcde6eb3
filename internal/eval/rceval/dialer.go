package rceval

import (
	"context"

	"github.com/radishcrank/radishcrank"
)

// fleet implements radishcrank.EngineDialer and radishcrank.InstanceLister for
// rcwatch.Watcher. Its methods must only read, because the watcher calls them
// from several goroutines while the event loop waits.

// Engine implements radishcrank.EngineDialer.
func (f *fleet) Engine(up radishcrank.Upstream) radishcrank.Engine {
	return engineClient{engine: f.byID[up.ID]}
}

// List implements radishcrank.InstanceLister.
func (f *fleet) List(context.Context) (listing radishcrank.Listing, err error) {
	for _, e := range f.engines {
		listing.Upstreams = append(listing.Upstreams, radishcrank.Upstream{
			ID:     e.id,
			Role:   radishcrank.RoleEngine,
			Zone:   e.zone,
			Models: []radishcrank.ModelID{model},
		})
	}
	return listing, nil
}

// engineClient provides an engine's load reports and cache events to the watcher.
// Generations are submitted to the engine directly.
type engineClient struct {
	radishcrank.Engine // Nil; the watcher does not call the other methods.
	engine             *engine
}

// Load implements radishcrank.Engine.
func (c engineClient) Load(context.Context) (radishcrank.LoadReport, error) {
	if !c.engine.up {
		return radishcrank.LoadReport{}, radishcrank.ErrNotSent
	}
	report, ok := c.engine.readableReport()
	if !ok {
		return report, radishcrank.ErrNotSent
	}
	return report, nil
}

// Events implements radishcrank.Engine.
func (c engineClient) Events(_ context.Context, from uint64) (radishcrank.CacheEventBatch, error) {
	if !c.engine.up {
		return radishcrank.CacheEventBatch{}, radishcrank.ErrNotSent
	}
	return c.engine.readableEvents(from), nil
}
