// Package rcblame finds prompt parts that crash the upstreams that begin to answer on
// them, although no two requests with such a part are alike.
//
// All parts in a prompt that was beginning on an upstream when it crashed become
// suspects; instances report them to each other. An answer that outlasts its beginning
// clears the parts of its prompt. What remains is judged by chance: a part that many
// requests hold is often present at a crash with another cause, a rare one hardly ever,
// and hardly ever again and again. A crash that is explained by a convicted part counts
// against no other.
package rcblame

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/radishcrank/radishcrank"
)

const (
	// settleTime is how long a crash waits for the reports and answers of others before
	// it is judged. Reports pass two relays in large fleets.
	settleTime = 600 * time.Millisecond
	// judgeInterval is the time between two judgments while crashes are known.
	judgeInterval = 200 * time.Millisecond
)

// Config configures a Tracker.
type Config struct {
	Instance radishcrank.InstanceID
	// Instances returns the number of instances, including this one.
	Instances func() int
	// Upstreams returns the number of upstreams of a service that take requests.
	Upstreams func(service string) int
	// Announce tells the other instances. It must not call the Tracker.
	Announce func(r Report)
	// Convict refuses requests that hold all of the parts. It must not call the Tracker.
	Convict func(parts []Key)
	// Convicted returns the sets that are refused, on the word of any instance; nil means
	// that only Convict and reports make sets known.
	Convicted func() [][]Key
	Log       zerolog.Logger
}

// Tracker holds the runs of this instance and the crashes that all instances report. It
// is safe for concurrent use.
type Tracker struct {
	cfg Config

	mu        sync.Mutex
	runs      map[radishcrank.UpstreamID]map[*Run]bool
	crashes   []*crash // By the time at which they became known.
	suspected map[Key]int
	sound     recentParts // Cleared by an answer not longer than soundTime ago.
	answered  recentParts // That had an answer not longer than answeredTime ago, here or elsewhere.
	told      recentParts // Told to have had an answer not longer than tellInterval ago.
	usage     usage
	answers   map[string][]answer // The last ones that have begun at any instance, by service.
	convicted [][]Key
	// unknownCrashes counts crashes of upstreams whose incarnation is unknown.
	unknownCrashes int
}

// New returns a Tracker.
func New(cfg Config) *Tracker {
	return &Tracker{
		cfg: cfg, runs: map[radishcrank.UpstreamID]map[*Run]bool{}, suspected: map[Key]int{},
		answers: map[string][]answer{},
		sound:   recentParts{lifetime: soundTime}, answered: recentParts{lifetime: answeredTime},
		told: recentParts{lifetime: tellInterval}, usage: newUsage(),
	}
}

// Reply records that an upstream has answered a request that was sent at sentAt, on a
// connection that was opened at openedAt. Connections do not outlive a process: if this
// one is older than a crash of it, there was none.
func (t *Tracker) Reply(up radishcrank.Upstream, openedAt, sentAt time.Time) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.crashes) == 0 || openedAt.IsZero() {
		return
	}
	if c := t.crashLocked(crashID(up)); c != nil && openedAt.Before(c.knownAt) && sentAt.After(c.knownAt) {
		t.removeCrashLocked(c)
		t.cfg.Announce(Report{Alive: []string{c.id}})
	}
}

// Merge adds what another instance reports.
func (t *Tracker) Merge(r Report) {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if r.Crash != "" {
		t.addCrashLocked(r, now)
	}
	if len(r.Begun) > 0 {
		t.addAnswerLocked(r.Service, answer{at: now, parts: r.Begun})
	}
	if len(r.Convicted) > 0 {
		t.convictLocked(r.Convicted, false)
	}
	t.removeSuspectsLocked(r.Sound, now)
	for _, a := range r.Answered[:min(len(r.Answered), maxTold)] {
		t.answered.addAt(a.Part, now.Add(-max(a.Ago, 0)), now)
		t.told.add(a.Part, now)
	}
	for _, id := range r.Alive {
		if c := t.crashLocked(id); c != nil {
			t.removeCrashLocked(c)
		}
	}
}

// Run judges the known crashes until ctx is done.
func (t *Tracker) Run(ctx context.Context) error {
	ticker := time.NewTicker(judgeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			t.judge(time.Now())
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// without returns a set of parts without one of them.
func without(set []Key, p Key) (rest []Key) {
	for _, q := range set {
		if q != p {
			rest = append(rest, q)
		}
	}
	return rest
}
