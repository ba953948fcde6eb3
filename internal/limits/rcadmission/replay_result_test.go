package rcadmission

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// longTail returns the size of a rank, from 0 to 1, relative to the mean, in a Pareto
// distribution that is cut off at the largest size. A tenth has 1.72 or more: of prompts with a
// mean of 9,200 tokens, the smallest has 5,070, the largest tenth 15,800 to 25,000.
func longTail(rank float64) float64 {
	const smallest, largest, shape = 0.551, 2.717, 1.5
	return smallest / math.Pow(1-rank*(1-math.Pow(smallest/largest, shape)), 1/shape)
}

type tally struct{ sent, inTime, late, refused, gone int }

type replayResult struct {
	classes  map[string]tally
	sizes    map[string]tally           // Of each route.
	firsts   map[string][]time.Duration // Times to first events.
	deferred int
}

func newReplayResult() replayResult {
	return replayResult{classes: map[string]tally{}, sizes: map[string]tally{}, firsts: map[string][]time.Duration{}}
}

// merge adds the sizes of another replay.
func (r replayResult) merge(other replayResult) {
	for name, o := range other.sizes {
		c := r.sizes[name]
		r.sizes[name] = tally{c.sent + o.sent, c.inTime + o.inTime, c.late + o.late, c.refused + o.refused, c.gone + o.gone}
		r.firsts[name] = append(r.firsts[name], other.firsts[name]...)
	}
}

const (
	usualSize    = "usual size"
	fifthBelow   = "fifth below it"
	largestTenth = "largest tenth"
)

// ofRoute names the size within the route.
func (c *replayCall) ofRoute() string { return c.route.name + ", " + c.size() }

func (c *replayCall) size() string {
	switch {
	case c.rank > 0.9:
		return largestTenth
	case c.rank > 0.7:
		return fifthBelow
	}
	return usualSize
}

func (r replayResult) add(c *replayCall, f func(*tally)) {
	for _, name := range []string{"all", c.route.name, fmt.Sprintf("account %d", c.account), c.size(), fmt.Sprintf("zone %d", c.instance%3)} {
		t := r.classes[name]
		f(&t)
		r.classes[name] = t
	}
	t := r.sizes[c.ofRoute()]
	f(&t)
	r.sizes[c.ofRoute()] = t
}

func (r replayResult) inTime() int   { return r.classes["all"].inTime }
func (r replayResult) answered() int { return r.classes["all"].inTime + r.classes["all"].late }
func (r replayResult) String() string {
	return fmt.Sprintf("%+v deferred %d", r.classes["all"], r.deferred)
}

// requireFair checks that no class, account, prompt size or zone is served less than half as
// often as all together.
func (r replayResult) requireFair(t *testing.T) {
	t.Helper()
	all := r.classes["all"].served()
	for name, c := range r.classes {
		require.GreaterOrEqual(t, c.served(), all/2, "%s: %+v of %+v", name, c, r.classes["all"])
	}
	r.requireFairSizes(t)
}

// requireFairSizes checks that the large prompts of no class are served less than half as often
// as the class.
func (r replayResult) requireFairSizes(t *testing.T) {
	t.Helper()
	for _, route := range replayRoutes {
		class := r.classes[route.name]
		for _, size := range []string{fifthBelow, largestTenth} {
			c := r.sizes[route.name+", "+size]
			require.GreaterOrEqual(t, c.served(), class.served()/2, "%s of %s: %+v of %+v", size, route.name, c, class)
		}
	}
}

// served returns the share of the calls that were answered.
func (c tally) served() float64 { return float64(c.inTime+c.late) / float64(max(1, c.sent)) }

// describe tells what became of the calls of one size of a route, with the time to the first
// event, from the first attempt of the caller, that 50 and 95 in 100 of those answered do not
// exceed.
func (r replayResult) describe(name string) string {
	c, firsts := r.sizes[name], slices.Sorted(slices.Values(r.firsts[name]))
	if len(firsts) == 0 {
		return fmt.Sprintf("%s: none of %d", name, c.sent)
	}
	return fmt.Sprintf("%s: %d, served %.3f, in time %.3f, rejected %.3f, first event %d and %d ms", name, c.sent, c.served(),
		float64(c.inTime)/float64(c.sent), float64(c.refused)/float64(c.sent), firsts[len(firsts)/2].Milliseconds(), firsts[len(firsts)*95/100].Milliseconds())
}
