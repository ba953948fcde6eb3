package rcsoak

import (
	"encoding/json"
	"fmt"
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
	// eventPause and serviceWork are short, so that much happens in a short run.
	eventPause  = 5 * time.Millisecond
	serviceWork = 15 * time.Millisecond
	loadTime    = 400 * time.Millisecond
	// drainTime is how long a leaving upstream goes on serving. It exceeds the
	// platform's DrainMs, as it does there.
	drainTime = 4 * time.Second
	// clockSkew is within the platform's MaxSkewMs.
	clockSkew = 2 * time.Second
	model     = "m"
)

const configText = `{"Version":%[1]d,"Routes":[
 {"Name":"advice","Hostname":"a.example","Prefix":"/advice/","Kind":"streaming","Resumable":true,"Service":"llm","TimeoutMs":6000,"TargetLatencyMs":600,"GapAimMs":300,"MaxAttempts":3},
 {"Name":"book","Hostname":"a.example","Prefix":"/book/","Kind":"non_idempotent","Service":"desk","TimeoutMs":1500,"TargetLatencyMs":150,"MaxAttempts":1},
 {"Name":"look","Hostname":"a.example","Prefix":"/look/","Kind":"idempotent","Service":"desk","TimeoutMs":1500,"TargetLatencyMs":150,"MaxAttempts":2},
 {"Name":"new","Hostname":"a.example","Prefix":"/new%[2]d/","Kind":"idempotent","Service":"desk","TimeoutMs":1500,"TargetLatencyMs":150,"MaxAttempts":2}],
"Services":[{"Name":"llm","Engine":{"Slots":32,"Models":[{"Name":"m"}]}},{"Name":"desk"}],
"Limits":{"MaxBodyBytes":1000000},"Tenants":[{"Name":"t1","ApiKeys":["k1"]},{"Name":"t%[3]d","ApiKeys":["n%[3]d"]}]}`

// upstream is one stand-in of an upstream behind its link.
type upstream struct {
	*rcfakeupstream.Upstream
	id      string
	service string
	link    *proxy
	held    faultTime // Of its link.
	born    time.Time
	leftAt  time.Time // When the store had accepted that it leaves; zero while it does not.
	late    bool      // It got a request long after that.
}

// world is what surrounds the instances.
type world struct {
	faultTime           // Of all faults.
	held      faultTime // Of the store.
	ordered   func()    // Called when an engine accepts an order.
	began     func(u *upstream, id string, weights int64)

	// peers holds the addresses by which instances reach each other, by those that
	// they announce. It is complete before the first one starts.
	peers map[string]string

	store  *rcfakestore.Store
	server *httptest.Server
	ledger *rcfakeupstream.RunCounter
	faulty [2]atomic.Int32 // Faults under way, of plain services and of engines.

	mu        sync.Mutex
	upstreams []*upstream
	left      []*upstream // Those that have announced that they leave.
	made      int
	config    desired
	named     []time.Time // When each version of the weights was named.
}

// desired is the newest configuration. Each has one route and one key that those
// before and after it lack.
type desired struct {
	version    int
	route, key int
	routeAt    time.Time // When the store had accepted the route.
	keyAt      time.Time
}

// Where instances keep their addresses and the lease of orders.
const (
	membersTable = "radishcrank-instances"
	peerField    = "Peer"
	leaseTable   = "radishcrank-lease"
	leaseKey     = "lease/orders"
)

func newWorld(ordered func(), began func(u *upstream, id string, weights int64)) (w *world, err error) {
	w = &world{store: rcfakestore.New(), ledger: rcfakeupstream.NewRunCounter(), ordered: ordered, began: began, peers: map[string]string{}}
	w.store.Rewrite = w.redirect
	w.server = httptest.NewServer(w.store)
	w.changeConfig(true, true)
	w.nameWeights()
	for range engineCount {
		if err := w.addUpstream("llm"); err != nil {
			return w, err
		}
	}
	for range serviceCount {
		if err := w.addUpstream("desk"); err != nil {
			return w, err
		}
	}
	return w, nil
}

func (w *world) storeAddr() string { return strings.TrimPrefix(w.server.URL, "http://") }

// redirect makes the rows of instances name the links to them, so that their
// messages to each other pass these.
func (w *world) redirect(table, _ string, value []byte) []byte {
	var row map[string]any
	if table != membersTable || json.Unmarshal(value, &row) != nil {
		return value // Also of the key that instances share.
	}
	if peer, ok := row[peerField].(string); ok {
		row[peerField] = w.peers[peer]
	}
	changed, err := json.Marshal(row)
	if err != nil {
		panic(err) // It was read from JSON.
	}
	return changed
}

// addUpstream starts an upstream with the newest weights, as a new server has them.
func (w *world) addUpstream(service string) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.made++
	faulty, asked := &w.faulty[0], atomic.Int32{}
	if service == "llm" {
		faulty = &w.faulty[1]
	}
	cfg := rcfakeupstream.Config{ID: fmt.Sprint("u", w.made), Runs: w.ledger, Delay: serviceWork, Fault: func() rcfakeupstream.Fault {
		n := asked.Add(1)
		if n%2 == 0 || faulty.Load() == 0 {
			return rcfakeupstream.None
		}
		return []rcfakeupstream.Fault{rcfakeupstream.Refuse, rcfakeupstream.Reset, rcfakeupstream.Fail, rcfakeupstream.Truncate}[n/2%4]
	}}
	if service == "llm" {
		cfg.Model, cfg.EventCount, cfg.Delay, cfg.LoadTime, cfg.Weights = model, streamEvents, eventPause, loadTime, int64(len(w.named))
	}
	u := &upstream{id: cfg.ID, service: service}
	cfg.OnLoaded, cfg.OnOrder = func() { w.renew(u) }, w.ordered
	if service == "llm" {
		cfg.OnRequest = func(id string, weights int64) { w.began(u, id, weights) }
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
	u.Upstream, u.link, u.born = server, link, time.Now()
	w.upstreams = append(w.upstreams, u)
	// The time of day differs between machines.
	u.born = u.born.Add(time.Duration(w.made%3-1) * clockSkew)
	w.writeUpstream(u, "ready")
	return nil
}

func (w *world) writeUpstream(u *upstream, state string) {
	w.store.Put("servers", u.id, map[string]any{
		"Service": u.service, "Address": u.link.addr(), "Zone": "z0", "State": state, "Slots": 32, "born": u.born.UnixMilli(),
		"Models": []any{map[string]any{"Name": model, "Version": u.Weights()}},
	})
}

// renew writes the entry of an upstream that has loaded weights.
func (w *world) renew(u *upstream) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if slices.Contains(w.upstreams, u) {
		w.writeUpstream(u, "ready")
	}
}

// take removes one upstream from those in use, if its service keeps others.
func (w *world) take(target int) *upstream {
	w.mu.Lock()
	defer w.mu.Unlock()
	u := w.upstreams[target%len(w.upstreams)]
	others := 0
	kept := make([]*upstream, 0, len(w.upstreams))
	for _, o := range w.upstreams {
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
	w.upstreams = kept
	return u
}

// crash ends an upstream without notice; its entry lapses later, and it is back
// as a new one.
func (w *world) crash(target int) {
	u := w.take(target)
	if u == nil {
		return
	}
	u.Close()
	u.link.close()
	time.AfterFunc(time.Second, func() { w.store.Delete("servers", u.id) })
	w.replace(u)
}

// drain lets an upstream announce that it leaves.
func (w *world) drain(target int) {
	u := w.take(target)
	if u == nil {
		return
	}
	w.writeUpstream(u, "draining")
	w.mu.Lock()
	u.leftAt = time.Now()
	w.left = append(w.left, u)
	w.mu.Unlock()
	time.AfterFunc(drainTime, func() {
		w.store.Delete("servers", u.id)
		u.Close()
		u.link.close()
	})
	w.replace(u)
}

func (w *world) replace(u *upstream) {
	time.AfterFunc(500*time.Millisecond, func() {
		if err := w.addUpstream(u.service); err != nil {
			panic(err) // No port is left on loopback.
		}
	})
}

// changeConfig replaces the route, the key or both.
func (w *world) changeConfig(route, key bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	next := w.config
	next.version += 3 // Versions rise, but need not follow on.
	if route {
		next.route++
	}
	if key {
		next.key++
	}
	w.store.PutBytes("op", "config", fmt.Appendf(nil, configText, next.version, next.route, next.key))
	if route {
		next.routeAt = time.Now()
	}
	if key {
		next.keyAt = time.Now()
	}
	w.config = next
}

func (w *world) nameWeights() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.store.Put("op", "version/"+model, map[string]any{"Model": model, "Version": len(w.named) + 1})
	w.named = append(w.named, time.Now())
}

// replacedAt returns when the first weights newer than some were named. ok is
// false while these are the newest.
func (w *world) replacedAt(weights int64) (at time.Time, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if weights >= int64(len(w.named)) {
		return at, false
	}
	return w.named[weights], true
}

func (w *world) current() desired {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.config
}

// occupy returns some engines that carry out no orders until they are told to.
func (w *world) occupy(target, variant int) (engines []*upstream) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for n := range w.upstreams {
		if u := w.upstreams[(target+n)%len(w.upstreams)]; u.service == "llm" && len(engines) <= variant%engineCount {
			u.SetRejectOrders(true)
			engines = append(engines, u)
		}
	}
	return engines
}

// leaseHolder returns the instance that gives orders, or "" if none does.
func (w *world) leaseHolder() string {
	var row struct{ Holder string }
	if err := json.Unmarshal(w.store.Value(leaseTable, leaseKey), &row); err != nil {
		return "" // No instance has held it yet.
	}
	name, _, _ := strings.Cut(row.Holder, "/")
	return name
}

// outdated returns the engines in use that do not have the newest weights.
func (w *world) outdated() (ids []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, u := range w.upstreams {
		if u.service == "llm" && u.Weights() != int64(len(w.named)) {
			ids = append(ids, u.id)
		}
	}
	return ids
}

func (w *world) upstream(target int) *upstream {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.upstreams[target%len(w.upstreams)]
}

func (w *world) close() {
	w.store.SetFault(rcfakestore.None)
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, u := range append(w.upstreams, w.left...) {
		u.Close()
		u.link.close()
	}
	w.server.CloseClientConnections()
	w.server.Close()
}
