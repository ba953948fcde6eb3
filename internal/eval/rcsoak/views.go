package rcsoak

import (
	"encoding/json"
	"errors"
	"maps"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/radishcrank/radishcrank/internal/standin/rcfakestore"
)

// upstreamLinks are the links of one instance to all upstreams. The instance gets its own
// view of the store, in which the addresses of upstreams are those of its links.
type upstreamLinks struct {
	instance *instance
	store    *rcfakestore.Store
	server   *httptest.Server

	mu    sync.Mutex
	isCut bool
	links map[string]*proxy // By address in the store.
}

// newUpstreamLinks returns links without an instance, which has to be set before use.
func newUpstreamLinks(store *rcfakestore.Store) *upstreamLinks {
	l := &upstreamLinks{store: store, links: map[string]*proxy{}}
	l.server = httptest.NewServer(l)
	return l
}

func (l *upstreamLinks) storeAddr() string { return l.server.Listener.Addr().String() }

// cut resets all connections and refuses new ones until heal is called.
func (l *upstreamLinks) cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.isCut = true
	for _, p := range l.links {
		p.refuse()
	}
}

func (l *upstreamLinks) heal() (err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.isCut = false
	for _, p := range l.links {
		err = errors.Join(err, p.accepting())
	}
	return err
}

// addr returns the address of the link to an upstream.
func (l *upstreamLinks) addr(target string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	p, ok := l.links[target]
	if !ok {
		var err error
		if p, err = newStableProxy(target, l.instance); err != nil {
			return target // Without a listener the link cannot be cut.
		}
		if l.isCut {
			p.refuse()
		}
		l.links[target] = p
	}
	return p.addr()
}

// ServeHTTP implements http.Handler. It serves the store's content.
func (l *upstreamLinks) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Get("Table") != "servers" {
		l.store.ServeHTTP(w, r)
		return
	}
	buffered := httptest.NewRecorder()
	l.store.ServeHTTP(buffered, r)
	maps.Copy(w.Header(), buffered.Header())
	text := buffered.Body.Bytes()
	var body map[string]any
	if json.Unmarshal(text, &body) == nil {
		text = l.redirect(body, text)
	}
	w.WriteHeader(buffered.Code)
	w.Write(text) // An error means that the instance disconnected.
}

// redirect replaces the addresses in rows of upstreams.
func (l *upstreamLinks) redirect(body map[string]any, unchanged []byte) []byte {
	rows, _ := body["Rows"].([]any)
	for _, row := range rows {
		fields, ok := row.(map[string]any)
		if !ok {
			continue
		}
		var value []byte
		quoted, err := json.Marshal(fields["Value"])
		if err != nil || json.Unmarshal(quoted, &value) != nil {
			continue
		}
		var entry map[string]any
		if json.Unmarshal(value, &entry) != nil {
			continue
		}
		if addr, ok := entry["Address"].(string); ok {
			entry["Address"] = l.addr(addr)
		}
		if changed, err := json.Marshal(entry); err == nil {
			fields["Value"] = changed
		}
	}
	if changed, err := json.Marshal(body); err == nil {
		return changed
	}
	return unchanged
}

func (l *upstreamLinks) close() {
	l.server.CloseClientConnections()
	l.server.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, p := range l.links {
		p.close()
	}
}

// cutOff cuts an instance off from all upstreams. While it lasts and nothing else is wrong,
// requests of its callers must be served all the same.
func (s *soak) cutOff(a action, later func(func())) {
	i := s.targets(a)[0]
	if i.upstreamLinks == nil {
		return
	}
	end := time.Now().Add(a.duration)
	i.cuts.begin(end)
	i.upstreamLinks.cut()
	s.env.extend(time.Now()) // What is in flight breaks.
	later(func() {
		if err := i.upstreamLinks.heal(); err != nil {
			s.violation("soak harness works", "%v", err)
		}
	})
}

// service counts requests and how many of them are served at the first attempt.
type service struct{ sent, served atomic.Int64 }

// countServed counts a request in the time in which nothing but cuts from upstreams is wrong:
// apart those to instances that have been cut off for faultGracePeriod and still are, while
// another instance is sound.
func (s *soak) countServed(i *instance, id string, start time.Time, served bool) {
	since := start.Add(-faultGracePeriod)
	cutSince, until := i.cuts.span()
	isCut := time.Now().Before(until)
	if isCut && start.Sub(cutSince) < faultGracePeriod || !isCut && !until.Before(since) {
		return // It has just begun or ended.
	}
	if !s.isSound(i) || !s.env.faultFreeSince(since) || s.stalledSince(since) > 0 || !slices.ContainsFunc(s.instances, func(o *instance) bool {
		_, cutUntil := o.cuts.span()
		return o != i && s.isSound(o) && cutUntil.Before(since)
	}) {
		return
	}
	to := &s.elsewhere
	if isCut {
		to = &s.cutOffService
	}
	to.sent.Add(1)
	if served {
		to.served.Add(1)
	} else if isCut {
		s.logf("%s  not served while %s is cut off from upstreams: %s", s.elapsed(start), i.name(), id)
	}
}

// checkCutOff checks the platform's bound on what callers of instances that are cut off from
// all upstreams may lose.
func (s *soak) checkCutOff() {
	sent, served := float64(s.cutOffService.sent.Load()), float64(s.cutOffService.served.Load())
	others := float64(s.elsewhere.served.Load()) / float64(max(1, s.elsewhere.sent.Load()))
	s.logf("instances cut off from upstreams served %.0f of %.0f requests, the others %.3f", served, sent, others)
	if failed := sent - served; failed > 10+sent/50 && served/sent < others*2/3 {
		s.violation("cut-off instances serve their callers", "%.0f of %.0f requests, the others %.3f", served, sent, others)
	}
}

// newCutActions returns when instances are cut off from all upstreams, one at a time.
func newCutActions(cfg Config) (actions []action) {
	rng := rand.New(rand.NewPCG(cfg.Seed, cutStream))
	between := func(low, high time.Duration) time.Duration { return low + time.Duration(rng.Int64N(int64(high-low))) }
	for at := between(minActionGap, maxTroubleGap); at < cfg.Duration; {
		a := action{at: at, kind: cutFromUpstreams, target: rng.IntN(1 << 10), variant: rng.IntN(1 << 10), duration: between(minCutDuration, maxCutDuration)}
		actions = append(actions, a)
		at += a.duration + between(minTroubleGap, maxTroubleGap)
	}
	return actions
}
