package rcforward

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/limits/rcadmission"
	"github.com/radishcrank/radishcrank/internal/routing/rcaffinity"
	"github.com/radishcrank/radishcrank/internal/state/rcfleet"
	"github.com/radishcrank/radishcrank/internal/state/rcmetric"
)

// admission is what the decisions about exchanges with one service go by.
type admission struct {
	mix     rcadmission.Mix
	returns rcadmission.Returns
	demand  rcadmission.Accounts
	places  rcadmission.Places
}

// admissions holds the admission of each service. It is safe for concurrent use.
type admissions struct {
	mu        sync.Mutex
	byService map[string]*admission
}

func (a *admissions) of(service string) *admission {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.byService == nil {
		a.byService = map[string]*admission{}
	}
	s, ok := a.byService[service]
	if !ok {
		s = &admission{}
		a.byService[service] = s
	}
	return s
}

// admissionFor returns the input of the admission check for the chosen upstream. It goes by
// the upstream that would start the exchange first.
func (d *dispatch) admissionFor(choice rcaffinity.Choice) rcadmission.Params {
	p := d.admissionParams(d.waitOf(choice.MinQueueWait, time.Now()))
	if d.deferred {
		p.Late, p.UrgentTimeout = true, d.f.admissions.of(d.x.Service).mix.UrgentTimeout(d.x.Priority)
	}
	return p
}

// waitOf returns the part of the wait in a queue that is for exchanges that come before
// this one. A late exchange comes after all.
func (d *dispatch) waitOf(queue time.Duration, now time.Time) time.Duration {
	if d.deferred || !d.mayDefer() {
		return queue
	}
	return time.Duration(d.f.admissions.of(d.x.Service).mix.Ahead(d.x.Priority, now) * float64(queue))
}

// recordSent records an exchange that is sent to an engine.
func (d *dispatch) recordSent(choice rcaffinity.Choice) {
	if d.mayDefer() && !d.deferred {
		d.f.admissions.of(d.x.Service).mix.Record(d.x.Priority, choice.UncachedTokens, d.x.Route.AbandonAfter, time.Now())
	}
}

// recordBegin records the first event of a stream.
func (d *dispatch) recordBegin() { d.f.admissions.of(d.x.Service).returns.RecordBegin(time.Now()) }

// returnTime returns when the caller of a rejected exchange should return.
func (d *dispatch) returnTime(p rcadmission.Params) time.Duration {
	returns, now := &d.f.admissions.of(d.x.Service).returns, time.Now()
	after := returns.Book(p, rand.Float64(), now)
	if d.mayDefer() {
		returns.Tell(d.content(), after, now)
	}
	return after
}

// recordDemand records the demand of the account, and draws whether the exchange is in
// excess of what is usual.
func (d *dispatch) recordDemand() {
	if d.mayDefer() {
		excess := d.f.admissions.of(d.x.Service).demand.Record(d.x.Account, time.Now())
		d.excess = excess > 0 && rand.Float64() < excess
	}
}

// content identifies what a request asks for, for whom.
func (d *dispatch) content() uint64 {
	var h xxhash.Digest
	h.Reset()
	for _, text := range []string{string(d.x.Account), d.x.Method, d.x.Target, string(d.x.Model)} {
		h.WriteString(text + "\x00")
	}
	for _, p := range d.x.PromptParts {
		h.WriteString(p.ID + "\x00")
	}
	h.Write(d.x.Body)
	return h.Sum64()
}

// awaitPlace marks all upstreams of a plain service as full while the exchange waits for a
// place. At the end of the time that it may wait it tries one anyway.
func (d *dispatch) awaitPlace(states []rcfleet.State, now, limit time.Time) {
	if d.x.Generates() {
		return
	}
	places := &d.f.admissions.of(d.x.Service).places
	if d.attempts == 0 && d.placeAt.IsZero() && places.Full(now) {
		d.placeAt = now.Add(places.Wait(d.x.Route.LatencyTarget, 0, rand.Float64()))
	}
	if now.Before(d.placeAt) && now.Add(fullPollInterval).Before(limit) {
		for i := range states {
			states[i].Full = true
		}
	}
}

// observePlaces records what a reply says about the places of a plain upstream. One that has
// rejected the exchange may be tried again.
func (d *dispatch) observePlaces(up radishcrank.Upstream, reply *radishcrank.Reply) {
	if d.x.Generates() || !fromUpstream(up, reply) {
		return
	}
	places := &d.f.admissions.of(up.Service).places
	switch {
	case reply.Class == radishcrank.ReplyAnswered:
		places.Replied(time.Since(d.sentAt))
	case reply.Class == radishcrank.ReplyBusy && reply.Load != nil && reply.PauseFor == 0 && reply.Brittle == 0:
		wait, now := places.Wait(d.x.Route.LatencyTarget, d.attempts, rand.Float64()), time.Now()
		places.Rejected(wait, now)
		d.placeAt = now.Add(wait)
		delete(d.tried, up.ID)
		d.f.cfg.Metrics.Add(rcmetric.PlacesAwaited, 1)
	}
}
