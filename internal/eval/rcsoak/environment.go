package rcsoak

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/radishcrank/radishcrank/internal/standin/rcfakestore"
	"github.com/radishcrank/radishcrank/internal/standin/rcfakeupstream"
)

const (
	engineCount  = 4
	serviceCount = 3
	streamEvents = 30
	// eventInterval and serviceDelay are short, so that a short run has many requests.
	eventInterval       = 5 * time.Millisecond
	serviceDelay        = 15 * time.Millisecond
	weightsLoadDuration = 400 * time.Millisecond
	// maxEngineWait exceeds the time that callers wait for the first event.
	maxEngineWait = 3 * time.Second
	// drainDuration is how long a draining upstream keeps serving. It exceeds the
	// platform's DrainMs, as on the real platform.
	drainDuration = 8 * time.Second
	// clockSkew is within the platform's MaxSkewMs.
	clockSkew = 2 * time.Second
	model     = "m"
)

const configTemplate = `{"Version":%[1]d,"Routes":[
 {"Name":"advice","Hostname":"a.example","Prefix":"/advice/","Kind":"streaming","Resumable":true,"Service":"llm","TimeoutMs":6000,"TargetLatencyMs":600,"GapAimMs":300,"MaxAttempts":3},
 {"Name":"chat","Hostname":"a.example","Prefix":"/chat/","Kind":"streaming","Resumable":true,"Service":"llm","TimeoutMs":6000,"TargetLatencyMs":600,"GapAimMs":300,"MaxAttempts":1},
 {"Name":"book","Hostname":"a.example","Prefix":"/book/","Kind":"non_idempotent","Service":"desk","TimeoutMs":1500,"TargetLatencyMs":150,"MaxAttempts":1},
 {"Name":"look","Hostname":"a.example","Prefix":"/look/","Kind":"idempotent","Service":"desk","TimeoutMs":1500,"TargetLatencyMs":150,"MaxAttempts":2},
 {"Name":"new","Hostname":"a.example","Prefix":"/new%[2]d/","Kind":"idempotent","Service":"desk","TimeoutMs":1500,"TargetLatencyMs":150,"MaxAttempts":2}],
"Services":[{"Name":"llm","Engine":{"Slots":32,%[4]s"Models":[{"Name":"m"}]}},{"Name":"desk"}],
"Limits":{"MaxBodyBytes":1000000},"Tenants":[{"Name":"t1","ApiKeys":["k1"]},{"Name":"t%[3]d","ApiKeys":["n%[3]d"]}%[5]s]}`

// upstream is a fake upstream behind a proxy.
type upstream struct {
	*rcfakeupstream.Upstream
	id                  string
	service             string
	link                *proxy
	linkFaults          faultWindow // Faults of its link.
	limit               rateLimit
	deliveries          deliveries
	announcements       announcements
	machine             machineState
	wait                atomic.Int64 // Longest wait of a request before it begins, as a time.Duration.
	occupations         atomic.Int32 // Number of actions because of which it rejects orders.
	createdAt           time.Time    // As it says.
	startedAt           time.Time
	software            string
	drainedAt           time.Time      // When the store had accepted the drain; zero before.
	acknowledged        map[string]int // Numbers of starts of the instances that know of the drain.
	lateRequestReported bool           // Whether a request after the drain was reported.
}

// callbacks are called by upstreams, concurrently.
type callbacks struct {
	order   func(u *upstream, o rcfakeupstream.Order) // An engine has accepted an order.
	sender  func(id, remoteAddr string)
	arrival func(u *upstream, id string) // A request has arrived.
	begin   func(u *upstream, id string, weights int64)
	admit   func(u *upstream, id string) (pause time.Duration, ok bool)
	// overflow is called when an engine runs out of memory.
	overflow func(u *upstream, id string, held int)
	// crashes reports whether a request that begins crashes the engine, and crashed is
	// called when it has.
	crashes func(u *upstream, r *http.Request) bool
	crashed func(u *upstream)
}

// environment holds the fake store and upstreams that the instances interact with.
type environment struct {
	faultWindow             // All faults that affect requests.
	storeFaults faultWindow // Faults of the store only.
	peerFaults  faultWindow // Faults of the links between instances only.
	loads       *loads      // Nil in schedules without demanding loads.
	callbacks   callbacks

	// peers maps the peer addresses that instances announce to those of their
	// proxies. It is complete before the first instance starts.
	peers map[string]string

	store        *rcfakestore.Store
	server       *httptest.Server
	runCounter   *rcfakeupstream.RunCounter
	activeFaults [2]atomic.Int32 // Active faults of plain services and of engines.

	software []string // Versions of engines, which run side by side.

	mu               sync.Mutex
	upstreams        []*upstream
	draining         []*upstream // Upstreams that were told to drain.
	leaving          []*upstream // Upstreams that say that they leave.
	created          int
	config           configState
	weightsWrittenAt []time.Time // When each version of the weights was written to the store.
}

// configState describes the newest configuration. Each route and each key exists
// only until the next one replaces it.
type configState struct {
	version    int
	route, key int
	routeAt    time.Time // When the store had accepted the route.
	keyAt      time.Time
}

// Tables of the instances' addresses and of the lease for orders.
const (
	membersTable = "radishcrank-instances"
	peerField    = "Peer"
	leaseTable   = "radishcrank-lease"
	leaseKey     = "lease/orders"
)

func newEnvironment(c callbacks, software []string, l *loads) (e *environment, err error) {
	e = &environment{store: rcfakestore.New(), runCounter: rcfakeupstream.NewRunCounter(), callbacks: c, peers: map[string]string{}, software: software, loads: l}
	e.store.Rewrite = e.redirectPeers
	if l != nil {
		e.store.SetAge(l.storeAge)
	}
	e.server = httptest.NewServer(e.store)
	e.changeConfig(true, true)
	e.nameWeights()
	for range engineCount {
		if err := e.addUpstream("llm"); err != nil {
			return e, err
		}
	}
	for range serviceCount {
		if err := e.addUpstream("desk"); err != nil {
			return e, err
		}
	}
	return e, nil
}

func (e *environment) storeAddr() string { return strings.TrimPrefix(e.server.URL, "http://") }

// redirectPeers replaces the peer address in rows of instances by that of the proxy
// in front of the instance, so that messages between instances pass the proxy.
func (e *environment) redirectPeers(table, _ string, value []byte) []byte {
	var row map[string]any
	if table != membersTable || json.Unmarshal(value, &row) != nil {
		return value // Other tables, and the row of the key that instances share.
	}
	if peer, ok := row[peerField].(string); ok {
		row[peerField] = e.peers[peer]
	}
	changed, err := json.Marshal(row)
	if err != nil {
		panic(err) // Cannot fail for a value decoded from JSON.
	}
	return changed
}

// addUpstream starts an upstream. Engines start with the newest weights.
func (e *environment) addUpstream(service string) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.created++
	faulty, requests := &e.activeFaults[0], atomic.Int32{}
	if service == "llm" {
		faulty = &e.activeFaults[1]
	}
	cfg := rcfakeupstream.Config{ID: fmt.Sprint("u", e.created), Runs: e.runCounter, Delay: serviceDelay, Fault: func() rcfakeupstream.Fault {
		n := requests.Add(1)
		if n%2 == 0 || faulty.Load() == 0 {
			return rcfakeupstream.None
		}
		return []rcfakeupstream.Fault{rcfakeupstream.Refuse, rcfakeupstream.Reset, rcfakeupstream.Fail, rcfakeupstream.Truncate}[n/2%4]
	}}
	if service == "llm" {
		cfg.Model, cfg.EventCount, cfg.Delay, cfg.LoadTime, cfg.Weights = model, streamEvents, eventInterval, weightsLoadDuration, int64(len(e.weightsWrittenAt))
	}
	u := &upstream{id: cfg.ID, service: service, software: e.software[e.created%len(e.software)], startedAt: time.Now()}
	// Simulates clock skew between machines.
	u.createdAt = u.startedAt.Add(time.Duration(e.created%3-1) * clockSkew)
	cfg.Born, cfg.SoftwareVersion = u.createdAt.UnixMilli(), e.softwareMark(u)
	cfg.Delivery = u.deliveries.next
	cfg.OnLoaded = func() { e.updateEntry(u) }
	cfg.OnOrder = func(o rcfakeupstream.Order) { e.callbacks.order(u, o) }
	cfg.OnSender = e.callbacks.sender
	cfg.OnArrival = func(id string) { e.callbacks.arrival(u, id) }
	cfg.Admit = func(id string) (time.Duration, bool) { return e.callbacks.admit(u, id) }
	if service == "llm" {
		cfg.Wait = u.nextWait
		cfg.Crashes = func(r *http.Request) bool { return e.callbacks.crashes(u, r) }
		cfg.OnCrash = func() { e.callbacks.crashed(u) }
		cfg.OnRequest = func(id string, weights int64) { e.callbacks.begin(u, id, weights) }
	}
	if e.loads != nil {
		e.loads.equip(u, e.created, &cfg, e.callbacks)
	}
	server, err := rcfakeupstream.Start(cfg)
	if err != nil {
		return err
	}
	link, err := newProxy(server.Addr)
	if err != nil {
		server.Close()
		return err
	}
	u.Upstream, u.link = server, link
	e.upstreams = append(e.upstreams, u)
	e.putEntry(u, "ready")
	return nil
}

// softwareMark returns what an engine adds to its events: nothing if there is one version
// only.
func (e *environment) softwareMark(u *upstream) string {
	if len(e.software) == 1 {
		return ""
	}
	return u.software
}

func (e *environment) putEntry(u *upstream, state string) {
	e.store.Put("servers", u.id, map[string]any{
		"Service": u.service, "Address": u.link.addr(), "Zone": "z0", "State": state, "Slots": 32, "born": u.createdAt.UnixMilli(), "Version": u.software,
		"Models": []any{map[string]any{"Name": model, "Version": u.Weights()}},
	})
}

// updateEntry writes the entry of an upstream after it loaded weights or restarted.
func (e *environment) updateEntry(u *upstream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if slices.Contains(e.upstreams, u) {
		e.putEntry(u, "ready")
	}
}

// removeUpstream removes one upstream from those in use and returns it. It returns
// nil if less than two others of the service would remain.
func (e *environment) removeUpstream(target int) *upstream {
	e.mu.Lock()
	defer e.mu.Unlock()
	u := e.upstreams[target%len(e.upstreams)]
	others := 0
	kept := make([]*upstream, 0, len(e.upstreams))
	for _, o := range e.upstreams {
		if o == u {
			continue
		}
		kept = append(kept, o)
		if o.service == u.service {
			others++
		}
	}
	if others < 2 {
		return nil
	}
	e.upstreams = kept
	return u
}

// crash stops an upstream without notice. Its entry is removed a second later, and a
// new upstream replaces it.
func (e *environment) crash(target int) {
	u := e.removeUpstream(target)
	if u == nil {
		return
	}
	u.Close()
	u.link.close()
	time.AfterFunc(time.Second, func() { e.store.Delete("servers", u.id) })
	e.addReplacement(u)
}

// drain announces the drain of an upstream, and stops and replaces it later. It returns
// nil if the upstream is needed.
func (e *environment) drain(target int) (u *upstream) {
	if u = e.removeUpstream(target); u == nil {
		return nil
	}
	e.putEntry(u, "draining")
	e.mu.Lock()
	u.drainedAt = time.Now()
	e.draining = append(e.draining, u)
	e.mu.Unlock()
	time.AfterFunc(drainDuration, func() {
		e.store.Delete("servers", u.id)
		u.Close()
		u.link.close()
	})
	e.addReplacement(u)
	return u
}

func (e *environment) addReplacement(u *upstream) {
	time.AfterFunc(500*time.Millisecond, func() {
		if err := e.addUpstream(u.service); err != nil {
			panic(err) // Only if loopback has no free port.
		}
	})
}

// changeConfig replaces the route, the key or both.
func (e *environment) changeConfig(route, key bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	next := e.config
	next.version += 3 // Versions increase but need not be consecutive.
	if route {
		next.route++
	}
	if key {
		next.key++
	}
	e.putConfigLocked(next)
	if route {
		next.routeAt = time.Now()
	}
	if key {
		next.keyAt = time.Now()
	}
	e.config = next
}

func (e *environment) putConfigLocked(c configState) {
	e.store.PutBytes("op", "config", fmt.Appendf(nil, configTemplate, c.version, c.route, c.key, e.loads.engineFields(), e.loads.accountEntries()))
}

func (e *environment) nameWeights() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.store.Put("op", "version/"+model, map[string]any{"Model": model, "Version": len(e.weightsWrittenAt) + 1})
	e.weightsWrittenAt = append(e.weightsWrittenAt, time.Now())
}

// supersededAt returns when the next version after the given weights was written to
// the store. ok is false if these weights are the newest.
func (e *environment) supersededAt(weights int64) (at time.Time, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if weights >= int64(len(e.weightsWrittenAt)) {
		return at, false
	}
	return e.weightsWrittenAt[weights], true
}

func (e *environment) currentConfig() configState {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.config
}

// occupy makes some engines reject orders and returns them. They do so until release is
// called on them, for each of several overlapping occupations.
func (e *environment) occupy(target, variant int) (engines []*upstream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for n := range e.upstreams {
		if u := e.upstreams[(target+n)%len(e.upstreams)]; u.service == "llm" && len(engines) <= variant%engineCount {
			u.occupations.Add(1)
			u.SetRejectOrders(true)
			engines = append(engines, u)
		}
	}
	return engines
}

func (u *upstream) release() { u.SetRejectOrders(u.occupations.Add(-1) > 0) }

// slowDown makes requests wait at some engines and returns these.
func (e *environment) slowDown(target, variant int) (engines []*upstream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for n := range e.upstreams {
		if u := e.upstreams[(target+n)%len(e.upstreams)]; u.service == "llm" && len(engines) <= variant%engineCount {
			u.wait.Store(int64(maxEngineWait))
			engines = append(engines, u)
		}
	}
	return engines
}

// nextWait returns how long the next request waits before it begins. Waits differ, so
// that no prediction of them holds.
func (u *upstream) nextWait() time.Duration {
	longest := u.wait.Load()
	if longest == 0 {
		return 0
	}
	return time.Duration(rand.Int64N(longest))
}

// leaseHolder returns the name of the instance that holds the lease for orders, or
// "" if none ever did.
func (e *environment) leaseHolder() string {
	var row struct{ Holder string }
	if err := json.Unmarshal(e.store.Value(leaseTable, leaseKey), &row); err != nil {
		return "" // No instance has held it yet.
	}
	name, _, _ := strings.Cut(row.Holder, "/")
	return name
}

// outdatedEngines returns the IDs of engines in use without the newest weights.
func (e *environment) outdatedEngines() (ids []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, u := range e.upstreams {
		if u.service == "llm" && u.Weights() != int64(len(e.weightsWrittenAt)) {
			ids = append(ids, u.id)
		}
	}
	return ids
}

// findUpstream returns the upstream in use with an ID, or nil.
func (e *environment) findUpstream(id string) *upstream {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, u := range e.upstreams {
		if u.id == id {
			return u
		}
	}
	return nil
}

func (e *environment) upstream(target int) *upstream {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.upstreams[target%len(e.upstreams)]
}

func (e *environment) close() {
	e.store.SetFault(rcfakestore.None)
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, u := range slices.Concat(e.upstreams, e.draining, e.leaving) {
		u.Close()
		u.link.close()
	}
	e.server.CloseClientConnections()
	e.server.Close()
}
