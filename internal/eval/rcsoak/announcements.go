package rcsoak

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/radishcrank/radishcrank/internal/standin/rcfakecaller"
)

const (
	// pauseToldDelay and maxPausedRequests are the platform's bounds: from so long after
	// an upstream has asked an instance for a pause, it gets at most so many requests
	// from it until the end of the pause.
	pauseToldDelay    = 500 * time.Millisecond
	maxPausedRequests = 2
	// minPause and maxPause enclose the pauses that upstreams ask for. None outlasts
	// faultGracePeriod, after which service must have recovered.
	minPause = time.Second
	maxPause = 3 * time.Second
	// pauseResolution is the resolution with which upstreams name pauses.
	pauseResolution = 10 * time.Millisecond
	// missingEntryTime is how long the entry of a leaving upstream is missing.
	missingEntryTime = 1200 * time.Millisecond
	// missingPausingTime is how long that of a pausing upstream is missing: long enough to
	// be noticed, and shorter than most pauses.
	missingPausingTime = 600 * time.Millisecond
)

// announcements judge the requests that an upstream gets after it has told instances that
// it leaves or wants a pause.
type announcements struct {
	pausing atomic.Int32 // Actions because of which it asks for pauses.

	mu       sync.Mutex
	leaving  map[int]toldLeaving // By instance.
	pauses   map[int]toldPause
	reported bool
}

// pausedSince reports whether the upstream may still be pausing for an instance, or was at
// some time since t.
func (a *announcements) pausedSince(t time.Time) bool {
	if a.pausing.Load() > 0 {
		return true
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, told := range a.pauses {
		if told.until.After(t) {
			return true
		}
	}
	return false
}

// toldLeaving is when an instance passed on an answer that says that the upstream leaves.
type toldLeaving struct {
	at     time.Time
	starts int // Starts of the instance before.
}

// toldPause is when an instance was asked for a pause, and the requests that came later.
type toldPause struct {
	at, until time.Time
	starts    int
	requests  int
}

// announceLeaving makes an upstream say that it leaves. Its entry says so too, says that it
// is ready, or is missing for a while.
func (s *soak) announceLeaving(a action) {
	u := s.env.removeUpstream(a.target)
	if u == nil {
		return
	}
	s.env.mu.Lock()
	s.env.leaving = append(s.env.leaving, u)
	s.env.mu.Unlock()
	u.SetLeaving(true)
	switch a.variant % 3 {
	case 0:
		s.env.putEntry(u, "draining")
	case 1:
		s.env.store.Delete("servers", u.id)
		time.AfterFunc(missingEntryTime, func() { s.env.putEntry(u, "ready") })
	}
	time.AfterFunc(drainDuration, func() {
		s.env.store.Delete("servers", u.id)
		u.Close()
		u.link.close()
	})
	s.env.addReplacement(u)
}

// askForPauses makes an upstream ask for pauses. At half of the time its entry is missing
// for a moment meanwhile.
func (s *soak) askForPauses(a action, later func(func())) {
	u := s.env.upstream(a.target)
	u.announcements.pausing.Add(1)
	later(func() { u.announcements.pausing.Add(-1) })
	if a.variant%2 == 0 {
		time.AfterFunc(minPause, func() {
			s.env.store.Delete("servers", u.id)
			time.AfterFunc(missingPausingTime, func() { s.env.updateEntry(u) })
		})
	}
}

// recordToldLeaving records that an instance has passed on an answer that says that its
// upstream leaves.
func (s *soak) recordToldLeaving(i *instance, r rcfakecaller.Result) {
	if !r.Leaving {
		return
	}
	s.env.mu.Lock()
	defer s.env.mu.Unlock()
	for _, u := range s.env.leaving {
		if u.id != r.Upstream {
			continue
		}
		told := &u.announcements
		told.mu.Lock()
		if starts := i.startCount(); told.leaving[i.number].starts != starts {
			if told.leaving == nil {
				told.leaving = map[int]toldLeaving{}
			}
			told.leaving[i.number] = toldLeaving{time.Now(), starts}
		}
		told.mu.Unlock()
	}
}

// checkLeaving checks that an instance sends nothing to an upstream from drainBound after
// it has passed on that it leaves.
func (s *soak) checkLeaving(u *upstream, id string) {
	i, sent := s.sender(id), s.sentAt(id)
	if i == nil || sent.IsZero() {
		return
	}
	a := &u.announcements
	a.mu.Lock()
	defer a.mu.Unlock()
	told, ok := a.leaving[i.number]
	if !ok || a.reported || told.starts != i.startCount() || !i.pauses.faultFreeSince(told.at) || sent.Sub(told.at) < drainBound {
		return
	}
	a.reported = true
	s.violation("leaving upstreams get no requests", "%s got %s from %s, sent %s after it had passed on that it leaves", u.id, id, i.name(), sent.Sub(told.at))
}

// admit turns away every other request while the upstream asks for pauses, and checks that
// instances keep to these.
func (s *soak) admit(u *upstream, id string) (pause time.Duration, ok bool) {
	i, now := s.sender(id), time.Now()
	if i == nil {
		return 0, true
	}
	a := &u.announcements
	a.mu.Lock()
	defer a.mu.Unlock()
	told, asked := a.pauses[i.number]
	if asked && now.Before(told.until) && now.Sub(told.at) > pauseToldDelay && told.starts == i.startCount() &&
		i.pauses.faultFreeSince(told.at) && u.linkFaults.faultFreeSince(told.at) && s.stalledSince(told.at) == 0 {
		told.requests++
		a.pauses[i.number] = told
		if told.requests == maxPausedRequests+1 {
			s.violation("pausing upstreams get no requests", "%s got %s from %s, the %d. request since %s after it had asked for a pause of %s, %s ago",
				u.id, id, i.name(), told.requests, pauseToldDelay, told.until.Sub(told.at), now.Sub(told.at))
		}
	}
	if a.pausing.Load() == 0 || rand.IntN(2) == 0 {
		return 0, true
	}
	pause = (minPause + time.Duration(rand.Int64N(int64(maxPause-minPause)))).Round(pauseResolution)
	if !asked || now.After(told.until) || told.starts != i.startCount() {
		if a.pauses == nil {
			a.pauses = map[int]toldPause{}
		}
		a.pauses[i.number] = toldPause{at: now, until: now.Add(pause), starts: i.startCount()}
	}
	return pause, false
}

// newAnnouncementActions returns when upstreams leave or ask for pauses, all through the
// run.
func newAnnouncementActions(cfg Config) (actions []action) {
	rng := rand.New(rand.NewPCG(cfg.Seed, announcementStream))
	between := func(low, high time.Duration) time.Duration { return low + time.Duration(rng.Int64N(int64(high-low))) }
	for at := between(minActionGap, maxActionGap); at < cfg.Duration; at += between(minTroubleGap, maxTroubleGap) {
		actions = append(actions, action{
			at: at, kind: []actionKind{sayLeaving, askForPauses}[rng.IntN(2)], target: rng.IntN(1 << 10), variant: rng.IntN(1 << 10),
			duration: between(minLimitDuration, maxLimitDuration),
		})
	}
	return actions
}
