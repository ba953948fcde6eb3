package rcinstance

import (
	"slices"
	"time"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/state/rcsoftware"
	"github.com/radishcrank/radishcrank/platform"
)

func (i *Instance) newSoftwareRecorder() *rcsoftware.Recorder {
	return rcsoftware.New(rcsoftware.Config{
		Table: &platform.Table{Store: i.store, Name: softwareTable}, Now: i.storeClock.Now, Era: i.storeEra,
		Services: i.resumableServices,
		Versions: func(service string) ([]radishcrank.SoftwareVersion, bool) {
			return i.fleet.SoftwareVersions(service, time.Minute)
		},
		Records: func() bool { return i.fleet.Synced() && i.fleet.Reachable() && i.peers.isStoreReader() },
		Log:     i.log,
	})
}

// resumableServices returns the services whose streams clients may take up.
func (i *Instance) resumableServices() (names []string) {
	t := i.routes.Load()
	if t == nil {
		return nil
	}
	for _, r := range t.Routes {
		if r.Retry != radishcrank.RetryResume {
			continue
		}
		for _, s := range r.Services() {
			if !slices.Contains(names, s) {
				names = append(names, s)
			}
		}
	}
	return names
}
