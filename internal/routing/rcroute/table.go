// Package rcroute selects the route and service of a request from an immutable
// table built from one version of the configuration.
package rcroute

import (
	"hash/maphash"
	"maps"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/limits/rcadmission"
)

// Route maps requests for a host and path prefix to services.
type Route struct {
	radishcrank.RoutePolicy
	Host   string
	Prefix string
	Split  []WeightedService
}

// WeightedService is a service with its weight in the traffic split of a route.
type WeightedService struct {
	Service string
	Weight  int
}

// Service is the configuration of a service.
type Service struct {
	Name        string
	Models      []radishcrank.ModelID
	Slots       int // Requests that an engine runs in one batch; 0 for plain services.
	CacheTokens int // KV cache capacity of an engine, in tokens.
	LinkMbps    float64
	// KVStore is the address of the KV store if the service is one; the zero value
	// for services with upstreams.
	KVStore netip.AddrPort
}

// Account is a client account with its API keys.
type Account struct {
	ID       radishcrank.ClientAccountID
	Keys     []string
	Priority *int // Overrides the route's priority if set.
	Isolated bool
	Limit    RateLimit
}

// RateLimit is the limit of an account over all instances together. The zero value means
// none.
type RateLimit struct {
	Rate        float64 // Cost per second.
	Burst       float64
	Tokens      bool    // Cost counts tokens, not requests.
	PlainTokens float64 // Cost in tokens of a request without token counts.
}

// Limited reports whether there is a limit.
func (r RateLimit) Limited() bool { return r.Rate > 0 }

// Cost returns the cost of a request.
func (r RateLimit) Cost(promptTokens, outputTokens int) float64 {
	switch tokens := float64(max(0, promptTokens)) + float64(max(0, outputTokens)); {
	case !r.Tokens:
		return 1
	case tokens > 0:
		return tokens
	default:
		return r.PlainTokens
	}
}

// Limits bound the requests and connections of callers.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Table is one version of the configuration. It must not be modified after
// BuildIndex.
type Table struct {
	Version  int64
	Routes   []Route
	Services []Service
	Accounts []Account
	Limits   Limits

	limited       bool
	hosts         map[string][]*Route
	services      map[string]*Service
	accountsByKey map[string]*Account
	priorities    map[rcadmission.Urgency]int
	latePriority  map[int]int
	accountsByID  map[radishcrank.ClientAccountID]*Account
}

// BuildIndex builds the lookup maps of the table and returns it.
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
	t.accountsByKey = map[string]*Account{}
	t.accountsByID = map[radishcrank.ClientAccountID]*Account{}
	for i := range t.Accounts {
		t.accountsByID[t.Accounts[i].ID] = &t.Accounts[i]
		t.limited = t.limited || t.Accounts[i].Limit.Limited()
		for _, key := range t.Accounts[i].Keys {
			t.accountsByKey[key] = &t.Accounts[i]
		}
	}
	t.priorities = rcadmission.EnginePriorities(t.urgencies())
	t.latePriority = rcadmission.LatePriorities(slices.Collect(maps.Values(t.priorities)))
	return t
}

// urgencies returns those that the streams of the routes and accounts can have.
func (t *Table) urgencies() (inUse []rcadmission.Urgency) {
	accounts := map[int]bool{}
	for i := range t.Accounts {
		if p := t.Accounts[i].Priority; p != nil {
			accounts[*p] = true
		}
	}
	for i := range t.Routes {
		r := &t.Routes[i]
		if !r.Stream {
			continue
		}
		inUse = append(inUse, rcadmission.Urgency{Priority: r.Priority, Route: r.Priority})
		for p := range accounts {
			inUse = append(inUse, rcadmission.Urgency{Priority: p, Route: r.Priority})
		}
	}
	return inUse
}

// EnginePriority returns the priority with which engines queue a stream of a route.
// priority is that of its account or, if it has none, of the route.
func (t *Table) EnginePriority(priority, route int) int {
	if p, ok := t.priorities[rcadmission.Urgency{Priority: priority, Route: route}]; ok {
		return p
	}
	return min(max(priority, 0), rcadmission.LowestPriority)
}

// LatePriority returns the priority of a stream that is past its latency target, below all
// that streams in time have, or the priority itself if none is
// free.
func (t *Table) LatePriority(priority int) int {
	if late, ok := t.latePriority[priority]; ok {
		return late
	}
	return priority
}

// Match returns the route of the host with the longest matching path prefix.
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

// AccountByKey returns the account that owns an API key.
func (t *Table) AccountByKey(key string) (*Account, bool) {
	a, ok := t.accountsByKey[key]
	return a, ok
}

// Account returns an account by ID.
func (t *Table) Account(id radishcrank.ClientAccountID) (*Account, bool) {
	a, ok := t.accountsByID[id]
	return a, ok
}

// HasRateLimits reports whether the rate of any account is limited.
func (t *Table) HasRateLimits() bool { return t.limited }

// Service returns a service by name.
func (t *Table) Service(name string) (*Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// HasAccounts reports whether any account is configured. If not, requests need no
// API key.
func (t *Table) HasAccounts() bool { return len(t.Accounts) > 0 }

var splitSeed = maphash.MakeSeed()

// Services returns the names of the services among which the route splits its requests.
func (r *Route) Services() (names []string) {
	for _, s := range r.Split {
		names = append(names, s.Service)
	}
	return names
}

// PickService returns the service for a request of the route, selected by weight.
// Within a process, requests with the same key get the same service.
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
