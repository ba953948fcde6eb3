// Package rcroute selects the route and service of a request from an immutable
// table that one configuration describes.
package rcroute

import (
	"hash/maphash"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/radishcrank/radishcrank"
)

// Route leads requests of a host and path prefix to services.
type Route struct {
	radishcrank.RoutePolicy
	Host   string
	Prefix string
	Split  []WeightedService
}

// WeightedService is the part of a route's requests that goes to a service.
type WeightedService struct {
	Service string
	Weight  int
}

// Service describes the upstreams of one service as the configuration does.
type Service struct {
	Name        string
	Models      []radishcrank.ModelID
	Slots       int // Requests that an engine batches; 0 for plain services.
	CacheTokens int // Tokens that an engine's memory holds.
	LinkMbps    float64
	// KVStore is the address of the store of kept KV cache that this service is; invalid for services with upstreams.
	KVStore netip.AddrPort
}

// Account is a client account with its API keys.
type Account struct {
	ID       radishcrank.ClientAccountID
	Keys     []string
	Priority *int // Overrides the route's priority where set.
	Isolated bool
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Table is one version of the configuration. It must not be changed.
type Table struct {
	Version  int64
	Routes   []Route
	Services []Service
	Accounts []Account
	Limits   Limits

	hosts    map[string][]*Route
	services map[string]*Service
	keys     map[string]*Account
}

// BuildIndex prepares a table for look-ups and returns it.
func (t *Table) BuildIndex() *Table {
	t.hosts = map[string][]*Route{}
	for i := range t.Routes {
		r := &t.Routes[i]
		host := strings.ToLower(r.Host)
		t.hosts[host] = append(t.hosts[host], r)
	}
	for _, routes := range t.hosts {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	t.services = map[string]*Service{}
	for i := range t.Services {
		t.services[t.Services[i].Name] = &t.Services[i]
	}
	t.keys = map[string]*Account{}
	for i := range t.Accounts {
		for _, key := range t.Accounts[i].Keys {
			t.keys[key] = &t.Accounts[i]
		}
	}
	return t
}

// Match returns the route of the host with the longest prefix of the path.
func (t *Table) Match(host, path string) (*Route, bool) {
	host = strings.ToLower(host)
	routes, ok := t.hosts[host]
	if !ok {
		if name, _, found := strings.Cut(host, ":"); found {
			routes = t.hosts[name]
		}
	}
	for _, r := range routes {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// AccountByKey returns the account that holds an API key.
func (t *Table) AccountByKey(key string) (*Account, bool) {
	a, ok := t.keys[key]
	return a, ok
}

// Service returns a service by name.
func (t *Table) Service(name string) (*Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// HasAccounts reports whether requests need an API key at all.
func (t *Table) HasAccounts() bool { return len(t.Accounts) > 0 }

var splitSeed = maphash.MakeSeed()

// PickService returns the service for one request of the route, by weight. Requests
// with the same key get the same service within a process.
func (r *Route) PickService(key string) string {
	total := 0
	for _, s := range r.Split {
		total += s.Weight
	}
	if total <= 0 {
		if len(r.Split) == 0 {
			return ""
		}
		return r.Split[0].Service
	}
	n := int(maphash.String(splitSeed, key) % uint64(total))
	for _, s := range r.Split {
		if n -= s.Weight; n < 0 {
			return s.Service
		}
	}
	return r.Split[len(r.Split)-1].Service
}
