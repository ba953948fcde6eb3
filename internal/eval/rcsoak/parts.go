package rcsoak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/radishcrank/radishcrank/internal/standin/rcfakecaller"
	"github.com/radishcrank/radishcrank/internal/state/rcwait"
)

const (
	// crashingPartPrefix begins the names of prompt parts that crash engines.
	crashingPartPrefix = "dead"
	// crashingInterval is the mean time between two requests with such a part.
	crashingInterval = 300 * time.Millisecond
	// engineDownTime is how long an engine is gone after a crash.
	engineDownTime = 400 * time.Millisecond
	// maxPartCrashes and maxLateRequests are the platform's bounds: after so many crashes
	// and faultGracePeriod, so many requests with the part may reach engines from instances
	// in touch.
	maxPartCrashes  = 5
	maxLateRequests = 3
)

// crashingParts judges the requests with parts that crash engines.
type crashingParts struct {
	mu       sync.Mutex
	created  int
	crashes  map[string][]time.Time // By part.
	late     map[string]int
	answered map[string]int // Requests that were refused as crashing.
}

func newCrashingParts() *crashingParts {
	return &crashingParts{crashes: map[string][]time.Time{}, late: map[string]int{}, answered: map[string]int{}}
}

// partOf returns the crashing part of a request, or "".
func partOf(r *http.Request) string {
	for _, entry := range strings.Split(r.Header.Get("Radishcrank-Prefix-Hash"), ",") {
		if strings.HasPrefix(entry, crashingPartPrefix) {
			return entry
		}
	}
	return ""
}

// sendCrashingPart sends requests with a new crashing part to all instances until the end
// of an action. No two of them are alike, and sound ones share their other parts.
func (s *soak) sendCrashingPart(ctx context.Context, a action) {
	s.parts.mu.Lock()
	s.parts.created++
	part := fmt.Sprintf("%s%d:500", crashingPartPrefix, s.parts.created)
	s.parts.mu.Unlock()
	rng := rand.New(rand.NewPCG(s.cfg.Seed, uint64(partStream)<<16+uint64(a.target)))
	client := &http.Client{Timeout: callerTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	end := time.Now().Add(a.duration)
	s.background.Go(func() {
		for k := 0; time.Now().Before(end); k++ {
			if !rcwait.Sleep(ctx, time.Duration(rng.Int64N(int64(2*crashingInterval)))) {
				return
			}
			n := rng.IntN(len(s.instances))
			id := fmt.Sprintf("i%d-%s-%d", n, strings.TrimSuffix(part, ":500"), k)
			path := []string{"/advice/1", "/chat/1"}[rng.IntN(2)]
			s.background.Go(func() {
				r := rcfakecaller.Send(client, rcfakecaller.Request{
					Addr: s.instances[n].frontAddr, Path: path, ID: id, Timeout: callerTimeout, Model: model, Part: part,
				})
				if r.Status == http.StatusBadRequest {
					s.checkFinalRefusal(part, id)
				}
			})
		}
	})
}

// checkFinalRefusal checks that a request that was refused as crashing has not run.
func (s *soak) checkFinalRefusal(part, id string) {
	s.parts.mu.Lock()
	s.parts.answered[part]++
	s.parts.mu.Unlock()
	if n := s.env.runCounter.Runs(id); n > 0 {
		s.violation("refusals are true", "%s was refused as crashing and ran %d times", id, n)
	}
}

// crashes reports whether a request crashes the engine, and judges it.
func (s *soak) crashes(u *upstream, r *http.Request) bool {
	part := partOf(r)
	if part == "" {
		return false
	}
	now, id := time.Now(), r.Header.Get("Radishcrank-Attempt-Id")
	i := s.sender(id)
	s.parts.mu.Lock()
	crashes := append(s.parts.crashes[part], now)
	s.parts.crashes[part] = crashes
	late := 0
	if len(crashes) > maxPartCrashes && i != nil && s.inTouch(i, now) {
		if since := now.Sub(crashes[maxPartCrashes-1]); since > faultGracePeriod+s.stalledSince(crashes[maxPartCrashes-1]) {
			s.parts.late[part]++
			late = s.parts.late[part]
		}
	}
	s.parts.mu.Unlock()
	if late == maxLateRequests+1 {
		s.violation("crashing parts reach no upstream", "%s reached %s from i%d, the %d. request with %s later than %s after the fifth crash; %d crashes in all",
			id, u.id, i.number, late, part, faultGracePeriod, len(crashes))
	}
	return true
}

// inTouch reports whether an instance has been running for long enough without faults of
// itself, its links and the store.
func (s *soak) inTouch(i *instance, now time.Time) bool {
	since := now.Add(-faultGracePeriod)
	return s.isSound(i) && i.pauses.faultFreeSince(since) && s.env.storeFaults.faultFreeSince(since) && i.storeLinkFaults.faultFreeSince(since)
}

// crashInPlace crashes an engine, which is back a little later.
func (s *soak) crashInPlace(u *upstream) {
	end := time.Now().Add(engineDownTime)
	s.env.extend(end)
	u.linkFaults.extend(end)
	u.link.setFault(linkReset)
	time.AfterFunc(engineDownTime, func() {
		s.env.restartAs(u, u.software)
		u.link.setFault(linkHealthy)
		s.env.updateEntry(u)
	})
}

// restartAs gives an engine a new incarnation with a software version.
func (e *environment) restartAs(u *upstream, software string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	u.link.reset() // Connections do not outlive a process, also if other actions have healed the link.
	now := time.Now()
	u.createdAt = u.createdAt.Add(now.Sub(u.startedAt)) // Its clock is still skewed.
	u.software, u.startedAt = software, now
	u.Restart(e.softwareMark(u), u.createdAt.UnixMilli())
}

// logParts logs how often each crashing part crashed engines.
func (s *soak) logParts() {
	s.parts.mu.Lock()
	defer s.parts.mu.Unlock()
	for part, crashes := range s.parts.crashes {
		s.logf("%s crashed %d engines, %d requests were late, %d were refused", part, len(crashes), s.parts.late[part], s.parts.answered[part])
	}
}

// checkSoundRefusal checks that a sound request is not refused because of its parts.
func (c *callers) checkSoundRefusal(path, id string, r rcfakecaller.Result) {
	if generates(path) && r.Status == http.StatusBadRequest && !errors.Is(r.Err, errOutOfRotation) {
		c.s.violation("sound requests are not refused", "%s to %s: status %d", id, path, r.Status)
	}
}

// newCrashingPartActions returns when requests with crashing parts come: up to two parts at
// once, in all parts of the run.
func newCrashingPartActions(cfg Config) (actions []action) {
	rng := rand.New(rand.NewPCG(cfg.Seed, partStream))
	between := func(low, high time.Duration) time.Duration { return low + time.Duration(rng.Int64N(int64(high-low))) }
	for at := between(minActionGap, maxTroubleGap); at < cfg.Duration; at += between(cfg.Duration/4, cfg.Duration/2) {
		actions = append(actions, action{at: at, kind: sendCrashingPart, target: rng.IntN(1 << 10), duration: between(cfg.Duration/3, cfg.Duration/2)})
	}
	return slices.Clip(actions)
}
