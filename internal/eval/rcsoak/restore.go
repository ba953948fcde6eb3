package rcsoak

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/radishcrank/radishcrank/internal/standin/rcfakecaller"
	"github.com/radishcrank/radishcrank/internal/standin/rcfakestore"
	"github.com/radishcrank/radishcrank/internal/standin/rcfakeupstream"
	"github.com/radishcrank/radishcrank/internal/state/rcwait"
)

const (
	// minCopyAge and maxCopyAge enclose the age of the copy that a restore brings back.
	minCopyAge = 200 * time.Millisecond
	maxCopyAge = 8 * time.Second
	// minAwayTime and maxAwayTime enclose how long the store is away before.
	minAwayTime = 50 * time.Millisecond
	maxAwayTime = 1500 * time.Millisecond
	// maxOtherWrites bounds the writes of other systems right after a restore, with
	// which versions reach those of before.
	maxOtherWrites = 400
	// maxCallsPerSecond bounds the calls of an instance to a store that has just come
	// back. Followers, the lease and records need a few each.
	maxCallsPerSecond = 50
	callCheckTime     = 2 * time.Second
	// leaseGap is the platform's LeaseMs, and thawTime its ThawMs plus the time for
	// which an order may be in transit.
	leaseGap = 3 * time.Second
	thawTime = 500 * time.Millisecond
)

// Tables in which instances keep records, besides membersTable and leaseTable.
const weightsTable = "radishcrank-weights"

// restore takes the store away and brings it back from an older copy.
func (s *soak) restore(ctx context.Context, a action) {
	age := minCopyAge + time.Duration(a.variant)*(maxCopyAge-minCopyAge)/oldestCopy
	how := []rcfakestore.Fault{rcfakestore.Unresponsive, rcfakestore.Unavailable}[a.target%2]
	end := time.Now().Add(a.duration + rcfakestore.RewriteTime)
	s.env.extend(end)
	s.env.storeFaults.extend(end)
	s.env.loads.restoreLimits(end)
	for _, i := range s.instances {
		i.extend(end)
	}
	s.background.Go(func() {
		s.env.store.Restore(age, a.duration, how)
		if a.variant%2 == 0 {
			// Its version is below those that instances know. The writes that follow hide that.
			s.env.changeConfig(true, a.variant%4 == 0)
		}
		for n := range a.target % maxOtherWrites {
			s.env.store.Put("other", fmt.Sprint(n), n)
		}
		calls := s.env.store.Calls()
		if !rcwait.Sleep(ctx, callCheckTime) {
			return
		}
		if n := s.env.store.Calls() - calls; n > len(s.instances)*maxCallsPerSecond*int(callCheckTime/time.Second) {
			s.violation("the store is not flooded", "%d calls of %d instances in %s after it came back", n, len(s.instances), callCheckTime)
		}
	})
}

// acceptedOrder is the last order that any engine has accepted.
type acceptedOrder struct {
	rcfakeupstream.Order
	at time.Time
}

// checkOrder checks that one instance gives orders at a time, with a fencing number of
// its own that is higher than all earlier ones. An instance that has just resumed after
// a pause may send one more order.
func (s *soak) checkOrder(u *upstream, o rcfakeupstream.Order) {
	now := time.Now()
	for _, i := range s.instances {
		if i.name() == o.Holder && !i.pauses.faultFreeSince(now.Add(-thawTime)) {
			return
		}
	}
	s.mu.Lock()
	last := s.lastOrder
	s.lastOrder = acceptedOrder{o, now}
	s.mu.Unlock()
	gap := now.Sub(last.at)
	switch {
	case last.Holder == "":
	case o.Fence < last.Fence, o.Fence == last.Fence && o.Holder != last.Holder:
		s.violation("one instance gives orders", "%s got an order of %s with fencing number %d, %s after one of %s with %d",
			u.id, o.Holder, o.Fence, gap, last.Holder, last.Fence)
	case o.Holder != last.Holder && gap+s.stalledSince(last.at) < leaseGap:
		s.violation("one instance gives orders", "%s got an order of %s %s after one of %s", u.id, o.Holder, gap, last.Holder)
	}
}

// recordAcknowledgments records which instances must know of the drain of an upstream:
// they have been running and free of faults since before it, for drainBound.
func (s *soak) recordAcknowledgments(ctx context.Context, u *upstream) {
	s.env.mu.Lock()
	since := u.drainedAt.Add(-faultGracePeriod)
	s.env.mu.Unlock()
	starts := map[string]int{}
	for _, i := range s.instances {
		starts[i.name()] = i.startCount()
	}
	if !rcwait.Sleep(ctx, drainBound) {
		return
	}
	s.awaitStallDetection()
	acknowledged := map[string]int{}
	for _, i := range s.instances {
		if i.startCount() == starts[i.name()] && i.faultFreeSince(since) && s.env.storeFaults.faultFreeSince(since) {
			acknowledged[i.name()] = starts[i.name()]
		}
	}
	s.env.mu.Lock()
	defer s.env.mu.Unlock()
	u.acknowledged = acknowledged
}

// checkDrain checks that an instance that knows of a drain sends no more requests, even
// if the store loses the drain.
func (s *soak) checkDrain(u *upstream, id string) {
	i := s.sender(id)
	if i == nil || !strings.HasPrefix(id, "i") {
		return // A probe of the configuration.
	}
	s.env.mu.Lock()
	starts, known := u.acknowledged[i.name()]
	reported := u.lateRequestReported
	s.env.mu.Unlock()
	if !known || reported || starts != i.startCount() || !i.pauses.faultFreeSince(time.Now().Add(-thawTime)) {
		return
	}
	s.env.mu.Lock()
	u.lateRequestReported = true
	s.env.mu.Unlock()
	s.violation("draining upstreams get no requests", "%s got %s from %s, %s after it announced its drain", u.id, id, i.name(), time.Since(u.drainedAt))
}

// checkNewestConfig checks that the newest configuration is in force on all instances,
// by its route and its key.
func (s *soak) checkNewestConfig() {
	client := &http.Client{Timeout: callerTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	c := s.env.currentConfig()
	for _, i := range s.instances {
		r := rcfakecaller.Send(client, rcfakecaller.Request{
			Addr: i.frontAddr, Path: fmt.Sprintf("/new%d/1", c.route), Key: fmt.Sprint("n", c.key),
			ID: fmt.Sprintf("p-%d-end", i.number), Timeout: callerTimeout,
		})
		if r.Status == http.StatusNotFound || r.Status == http.StatusUnauthorized {
			s.violation("configuration comes into force", "%s answers %d for route %d and key %d at the end", i.name(), r.Status, c.route, c.key)
		}
	}
}

// checkRecords checks that what instances keep in the store is there again.
func (s *soak) checkRecords() {
	if n := s.env.store.RowCount(membersTable); n < len(s.instances)+1 {
		s.violation("records are written again", "%d rows in %s, want those of %d instances and the shared key", n, membersTable, len(s.instances))
	}
	if s.env.store.RowCount(weightsTable) == 0 {
		s.violation("records are written again", "no row in %s", weightsTable)
	}
}
