package rcsoak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/radishcrank/radishcrank/internal/standin/rcfakecaller"
	"github.com/radishcrank/radishcrank/internal/state/rcwait"
)

const (
	// takeUpProbability is the share of the resumable streams whose callers close the
	// connection early and take them up at another instance.
	takeUpProbability = 0.3
	maxTakeUps        = 4
	// minTakeUps is the number of streams from which on their share is judged that goes on.
	minTakeUps = 12
	// maxUnlistedTime is how long an upstream that is back under its ID may be listed with
	// its earlier software.
	maxUnlistedTime = 1500 * time.Millisecond
	// maxRestartTime bounds how long it is gone before. The platform's heartbeats are not
	// missed in that time.
	maxRestartTime = time.Second
)

// softwareVersions are the versions that engines run side by side.
var softwareVersions = []string{"v1.1", "v1.2"}

// softwareMark is what an engine adds to the data of its events.
var softwareMark = regexp.MustCompile(` by (\S+)`)

// splitSoftware returns the body of a stream without the marks of its engines, and the
// software versions that wrote it.
func splitSoftware(body string) (plain string, versions []string) {
	for _, match := range softwareMark.FindAllStringSubmatch(body, -1) {
		versions = append(versions, match[1])
	}
	slices.Sort(versions)
	return softwareMark.ReplaceAllString(body, ""), slices.Compact(versions)
}

// takeUps counts the streams that are judged.
type takeUps struct {
	tried, continued int // Taken up at instances that are free of faults, and how many went on.
	began, begun     int // New streams at such instances, and how many had an event.
}

// streamInPieces reads a stream, closes the connection early or loses it, and takes the
// stream up at other instances until it is complete. It checks that all events come from
// one software version.
func (c *callers) streamInPieces(clients []*http.Client, rng *rand.Rand, name string) {
	var body, first string
	for attempt := range 1 + maxTakeUps {
		n := rng.IntN(len(clients))
		i := c.s.instances[n]
		id := fmt.Sprintf("i%d-%s-%d", n, name, attempt)
		q := rcfakecaller.Request{Addr: i.frontAddr, Path: "/advice/1", ID: id, Timeout: callerTimeout, Model: model}
		if attempt < maxTakeUps {
			q.MaxEvents = 1 + rng.IntN(streamEvents)
		}
		last, version := "", ""
		if body != "" {
			last, version = lastEvent(body)
			q.Resumes, q.LastEventID = first, last
		}
		sound := c.s.isSound(i) && (version == "" || c.s.env.soundEngines(version) >= 2)
		c.s.requestTimes.Store(id, time.Now())
		r := rcfakecaller.Send(clients[n], q)
		if errors.Is(r.Err, errOutOfRotation) {
			continue
		}
		c.sent.Add(1)
		c.s.recordTold(i, r)
		c.s.recordToldLeaving(i, r)
		events := ""
		if r.Status == http.StatusOK {
			events = wholeEvents(r.Body)
		}
		if sound && c.s.isSound(i) && (version == "" || c.s.env.soundEngines(version) >= 2) {
			c.countTakeUp(version != "", events != "" || last == fmt.Sprint(streamEvents))
		}
		if body == "" && events != "" {
			first = id
		}
		body += events
		plain, versions := splitSoftware(body)
		switch {
		case len(versions) > 1:
			c.s.violation("streams keep their software version", "%s, which %s began, holds events of %v", id, first, versions)
			return
		case !strings.HasPrefix(expectedStream(), plain):
			c.s.violation("answers are whole", "%s, which %s began: got %q", id, first, plain)
			return
		case plain == expectedStream():
			c.answered.Add(1)
			return
		}
	}
}

// countTakeUp counts a stream that an instance in touch began or went on with.
func (c *callers) countTakeUp(takenUp, served bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	all, ok := &c.takeUps.began, &c.takeUps.begun
	if takenUp {
		all, ok = &c.takeUps.tried, &c.takeUps.continued
	}
	*all++
	if served {
		*ok++
	}
}

// checkTakeUps checks that streams go on about as often as new ones begin.
func (c *callers) checkTakeUps() {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.takeUps
	c.s.logf("%d of %d streams went on, %d of %d began", t.continued, t.tried, t.begun, t.began)
	if t.tried < minTakeUps || t.began == 0 {
		return
	}
	if goOn, begin := float64(t.continued)/float64(t.tried), float64(t.begun)/float64(t.began); goOn < begin/2 {
		c.s.violation("streams go on", "%d of %d streams went on, while %d of %d new ones began", t.continued, t.tried, t.begun, t.began)
	}
}

// isSound reports whether an instance has been running without faults for long enough.
func (s *soak) isSound(i *instance) bool {
	since := time.Now().Add(-faultGracePeriod)
	return i.running() && i.lastStart().Before(since) && i.faultFreeSince(since)
}

// lastEvent returns the ID of the last event of a stream, and the version that wrote it.
func lastEvent(body string) (id, version string) {
	events := strings.Split(strings.TrimSpace(body), "\n\n")
	if _, err := fmt.Sscanf(events[len(events)-1], "id: %s", &id); err != nil {
		return "", ""
	}
	if match := softwareMark.FindStringSubmatch(body); match != nil {
		version = match[1]
	}
	return id, version
}

// wholeEvents returns the events of a stream that are complete.
func wholeEvents(body string) string {
	return body[:strings.LastIndex(body, "\n\n")+len("\n\n")*min(1, strings.Count(body, "\n\n"))]
}

// soundEngines returns the number of engines with a version that take new requests.
func (e *environment) soundEngines(version string) (n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	since := time.Now().Add(-faultGracePeriod)
	for _, u := range e.upstreams {
		u.limit.mu.Lock()
		limited := u.limit.actions > 0
		u.limit.mu.Unlock()
		if u.software == version && !limited && !u.announcements.pausedSince(since) && u.startedAt.Before(since) && u.linkFaults.faultFreeSince(since) {
			n++
		}
	}
	return n
}

// replaceSoftware restarts an engine under its ID with another software version. Its
// entry says so only later.
func (s *soak) replaceSoftware(ctx context.Context, a action) {
	u := s.env.engine(a.target)
	if u == nil {
		return
	}
	gone := min(a.duration, maxRestartTime)
	unlisted := time.Duration(a.variant) * maxUnlistedTime / oldestCopy
	end := time.Now().Add(gone + unlisted)
	s.env.extend(end)
	u.linkFaults.extend(end)
	u.link.setFault(linkReset)
	s.background.Go(func() {
		rcwait.Sleep(ctx, gone)
		s.env.restart(u)
		u.link.setFault(linkHealthy)
		rcwait.Sleep(ctx, unlisted)
		s.env.updateEntry(u)
	})
}

// engine returns an engine that is in use.
func (e *environment) engine(target int) *upstream {
	e.mu.Lock()
	defer e.mu.Unlock()
	for n := range e.upstreams {
		if u := e.upstreams[(target+n)%len(e.upstreams)]; u.service == "llm" {
			return u
		}
	}
	return nil
}

// restart gives an engine a new incarnation with the next software version.
func (e *environment) restart(u *upstream) {
	e.mu.Lock()
	next := (slices.Index(e.software, u.software) + 1) % len(e.software)
	e.mu.Unlock()
	e.restartAs(u, e.software[next])
}
