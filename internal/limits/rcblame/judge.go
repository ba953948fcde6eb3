package rcblame

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// clusterTime is the time within which several crashes count once: a rack or a release
	// takes several upstreams with it.
	clusterTime = 100 * time.Millisecond
	// minBlamedCrashes is the least number of crashes for which a part is blamed, and
	// minClusters how many of them have to be apart in time.
	minBlamedCrashes = 4
	minClusters      = 3
	// minEvidence is how unlikely it has to be that a part was present at its crashes by
	// chance, as the negative natural logarithm: 1 in 160,000.
	minEvidence = 12
	// minSingledOut crashes and minSingledOutEvidence are needed to blame a part alone that
	// is convicted together with others, without counting the crashes that these explain.
	minSingledOut         = 2
	minSingledOutEvidence = 6
	// coverShare is the share of a part's crashes at which another one with more evidence
	// was present too, from which on that one is judged first.
	coverShare = 0.6
	// maxClusterEvidence bounds the evidence of one cluster: requests with a part may come
	// in a burst that coincides with a crash of many upstreams.
	maxClusterEvidence = 7
	// minAnswers is the number of answers to others that have to begin meanwhile, at any
	// instance. While nobody gets an answer, the cause is not in the prompts.
	minAnswers = 3
	// minPresence bounds the presence of a part from below. Parts that an instance has
	// hardly seen would be blamed for little.
	minPresence = 0.01
	// maxSet bounds the parts that are convicted together.
	maxSet = 4
)

// candidate is a part with the evidence against it.
type candidate struct {
	part     Key
	crashes  int // Crashes at which it was present.
	clusters int // Clusters of such crashes.
	since    int // Number of clusters since the first of them.
	presence float64
	evidence float64
}

// sighting is the presence of a part at the crashes of a cluster.
type sighting struct {
	presence
	cluster int // Index of the cluster.
	crashes int // Crashes of the cluster at which the part was present.
}

// judge convicts the parts that explain the known crashes.
func (t *Tracker) judge(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for len(t.crashes) > 0 && now.Sub(t.crashes[0].knownAt) >= crashRetention {
		t.removeCrashLocked(t.crashes[0])
	}
	if len(t.crashes) == 0 {
		return
	}
	if t.cfg.Convicted != nil {
		// A report may have been lost, for instance in a cut.
		current := t.cfg.Convicted()
		t.forgetLiftedLocked(current, now)
		for _, set := range current {
			t.rememberLocked(set)
		}
	}
	t.tellAnsweredLocked(now)
	t.narrowLocked(now)
	byService := map[string][]*crash{}
	for _, c := range t.crashes {
		if now.Sub(c.knownAt) >= settleTime {
			byService[c.service] = append(byService[c.service], c)
		}
	}
	for _, crashes := range byService {
		for t.convictNextLocked(crashes) {
		}
	}
}

// convictNextLocked convicts the part with the strongest evidence. It returns false if no
// evidence is strong enough.
func (t *Tracker) convictNextLocked(crashes []*crash) bool {
	if len(crashes) < minBlamedCrashes {
		return false
	}
	clusters := clustersOf(crashes)
	sightings := map[Key][]sighting{}
	for n, cluster := range clusters {
		for _, c := range cluster {
			for p, seen := range c.presence {
				found := sightings[p]
				if len(found) == 0 || found[len(found)-1].cluster != n {
					found = append(found, sighting{cluster: n})
				}
				last := &found[len(found)-1]
				last.presence, last.crashes = last.plus(seen), last.crashes+1
				sightings[p] = found
			}
		}
	}
	var all []candidate
	now := time.Now()
	instances := t.cfg.Instances()
	for p, found := range sightings {
		all = append(all, weigh(p, found, clusters, instances))
	}
	slices.SortFunc(all, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.evidence, a.evidence), cmp.Compare(a.part, b.part))
	})
	for n, c := range all {
		if !c.isEnough() && !t.isSingledOutLocked(c.part, clusters, sightings) || !t.othersAnsweredLocked(c.part, crashes) {
			continue
		}
		answered := t.answered.has(c.part, now)
		if slices.ContainsFunc(all[:n], func(stronger candidate) bool {
			return (answered || !t.answered.has(stronger.part, now)) && covers(stronger.part, c.part, crashes)
		}) {
			continue
		}
		if _, accompanied := t.accompliceLocked(c.part, crashes, all); answered && accompanied {
			continue // Parts that have had no answer are judged first.
		}
		set := t.companionsLocked(c.part, crashes)
		if len(set) == 1 {
			if q, found := t.accompliceLocked(c.part, crashes, all); found {
				set = []Key{min(c.part, q), max(c.part, q)}
			}
		}
		if t.isConvictedLocked(set) {
			continue
		}
		t.cfg.Log.Warn().Str("Event", "PartConvicted").Str("Part", string(c.part)).Int("Parts", len(set)).
			Int("Crashes", c.crashes).Int("Clusters", c.clusters).Int("ClustersSince", c.since).Float64("Presence", c.presence).Float64("Evidence", c.evidence).Send()
		t.convictLocked(set, true)
		return true
	}
	return false
}

// isEnough reports whether the evidence against a part is enough to convict it.
func (c candidate) isEnough() bool {
	return c.crashes >= minBlamedCrashes && c.clusters >= minClusters && c.evidence >= minEvidence
}

// isSingledOutLocked reports whether the evidence against a part that is convicted together
// with others is enough to convict it alone. Only the crashes count at which nothing else is
// to blame: the part may come along with the next crashing one.
func (t *Tracker) isSingledOutLocked(p Key, clusters [][]*crash, sightings map[Key][]sighting) bool {
	if !t.inConvictedLocked(p) {
		return false
	}
	now := time.Now()
	return t.isBlamedAloneLocked(p, clusters, func(c *crash) bool { return t.isAccompaniedLocked(p, c, sightings, now) })
}

// isBlamedAloneLocked reports whether the crashes at which a part was not accompanied are
// enough to blame it alone.
func (t *Tracker) isBlamedAloneLocked(p Key, clusters [][]*crash, accompanied func(*crash) bool) bool {
	var found []sighting
	for n, cluster := range clusters {
		s := sighting{cluster: n}
		for _, c := range cluster {
			if seen, present := c.presence[p]; present && !accompanied(c) {
				s.presence, s.crashes = s.plus(seen), s.crashes+1
			}
		}
		if s.crashes > 0 {
			found = append(found, s)
		}
	}
	if len(found) == 0 {
		return false
	}
	c := weigh(p, found, clusters, t.cfg.Instances())
	return c.crashes >= minSingledOut && c.evidence >= minSingledOutEvidence
}

// isAccompaniedLocked reports whether a part that has had no answer was at a crash beside p:
// in the same run, or in another one and at a further crash.
func (t *Tracker) isAccompaniedLocked(p Key, c *crash, sightings map[Key][]sighting, now time.Time) bool {
	for q := range c.presence {
		if q == p || t.answered.has(q, now) {
			continue
		}
		if found := sightings[q]; len(found) > 1 || found[0].crashes > 1 {
			return true
		}
		if slices.ContainsFunc(c.runs, func(run []Key) bool { return slices.Contains(run, p) && slices.Contains(run, q) }) {
			return true
		}
	}
	return false
}

// covers reports whether a part was present at nearly all crashes of another one, so
// that it may be to blame for them instead.
func covers(p, other Key, crashes []*crash) bool {
	both, all := 0, 0
	for _, c := range crashes {
		if _, present := c.presence[other]; !present || c.explained {
			continue
		}
		all++
		if _, present := c.presence[p]; present {
			both++
		}
	}
	return float64(both) >= coverShare*float64(all)
}

// weigh returns the evidence against a part. Of n clusters since its first one it was
// present at k. The probability of that by chance is at most the number of ways to choose
// k of n, times the probability for each of the k. Within a cluster, crashes and presence
// are weighed in the same way.
func weigh(p Key, found []sighting, clusters [][]*crash, instances int) candidate {
	c := candidate{part: p, clusters: len(found), since: len(clusters) - found[0].cluster}
	var total presence
	for _, f := range found {
		c.crashes += f.crashes
		total = total.plus(f.presence)
	}
	// Requests with a part come at any instance.
	c.presence = min(max(total.mean()*float64(instances), minPresence), 1)
	for _, f := range found {
		unlikely := -float64(f.crashes)*math.Log(c.presence) - logChoose(len(clusters[f.cluster]), f.crashes)
		c.evidence += min(max(unlikely, 0), maxClusterEvidence)
	}
	c.evidence -= logChoose(c.since, c.clusters)
	return c
}

// clustersOf groups the crashes that no convicted set explains.
func clustersOf(crashes []*crash) (clusters [][]*crash) {
	for _, c := range crashes {
		if c.explained {
			continue
		}
		last := len(clusters) - 1
		if last >= 0 && c.knownAt.Sub(clusters[last][0].knownAt) < clusterTime {
			clusters[last] = append(clusters[last], c)
		} else {
			clusters = append(clusters, []*crash{c})
		}
	}
	return clusters
}

// othersAnsweredLocked reports whether answers to requests without a part have begun since
// its first crash. If all requests hold the part, none has, and it is not blamed: the cause
// may be anything, and nothing could be served any more.
func (t *Tracker) othersAnsweredLocked(p Key, crashes []*crash) bool {
	for _, c := range crashes {
		if _, present := c.presence[p]; present {
			return t.answersWithoutLocked(p, c) >= minAnswers
		}
	}
	return false
}

// answersWithoutLocked counts the answers to requests without a part that have begun since a
// crash of their service.
func (t *Tracker) answersWithoutLocked(p Key, since *crash) (n int) {
	for _, a := range t.answers[since.service] {
		if a.at.After(since.knownAt) && !slices.Contains(a.parts, p) {
			n++
		}
	}
	return n
}

// explain records whether a run at the crash held all parts of a convicted set.
func (c *crash) explain(set []Key) {
	c.explained = c.explained || c.holds(set)
}

// holds reports whether a run at the crash held all parts of a set.
func (c *crash) holds(set []Key) bool {
	return slices.ContainsFunc(c.runs, func(run []Key) bool { return containsAll(run, set) })
}

// companionsLocked returns the parts that all runs with p at the crashes hold. If p was
// always together with parts that have had no answer, nothing tells which is to blame.
func (t *Tracker) companionsLocked(p Key, crashes []*crash) (set []Key) {
	for _, c := range crashes {
		for _, run := range c.runs {
			switch {
			case !slices.Contains(run, p):
			case set == nil:
				set = slices.Clone(run)
			default:
				set = slices.DeleteFunc(set, func(q Key) bool { return !slices.Contains(run, q) })
			}
		}
	}
	slices.SortFunc(set, func(a, b Key) int {
		return cmp.Or(cmp.Compare(boolInt(b == p), boolInt(a == p)), cmp.Compare(a, b))
	})
	now := time.Now()
	set = slices.DeleteFunc(slices.Compact(set), func(q Key) bool { return q != p && t.answered.has(q, now) })
	set = set[:min(len(set), maxSet)]
	slices.Sort(set)
	return set
}

func boolInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// accompliceLocked returns the part that was most often in a run together with p, if parts that
// have had no answer and were in several crashes were at nearly all crashes with p: p may only
// have come along with several crashing parts, and have been in other runs beside these or
// further ones.
func (t *Tracker) accompliceLocked(p Key, crashes []*crash, all []candidate) (best Key, found bool) {
	now := time.Now()
	if !t.answered.any(now) {
		return best, false // Nothing tells sound parts from others.
	}
	together := map[Key]int{} // Runs with p and another such part.
	for _, c := range all {
		if c.part != p && c.crashes > 1 && !t.answered.has(c.part, now) {
			together[c.part] = 0
		}
	}
	for _, c := range crashes {
		for _, run := range c.runs {
			if c.explained || !slices.Contains(run, p) {
				continue
			}
			for _, q := range run {
				if n, ok := together[q]; ok {
					together[q] = n + 1
				}
			}
		}
	}
	if t.isBlamedAloneLocked(p, clustersOf(crashes), func(c *crash) bool {
		for q := range c.presence {
			if _, known := together[q]; known {
				return true
			}
		}
		return false
	}) {
		return best, false
	}
	for q, n := range together {
		if n > 0 && (!found || n > together[best] || n == together[best] && q < best) {
			best, found = q, true
		}
	}
	return best, found
}

func (t *Tracker) inConvictedLocked(p Key) bool {
	return slices.ContainsFunc(t.convicted, func(set []Key) bool { return slices.Contains(set, p) })
}

func (t *Tracker) isConvictedLocked(set []Key) bool {
	return slices.ContainsFunc(t.convicted, func(other []Key) bool { return containsAll(set, other) })
}

// maxConvicted bounds the sets that explain crashes. The refusals that follow from a
// conviction are kept elsewhere.
const maxConvicted = 256

// rememberLocked makes a set explain crashes. It returns false if one did already.
func (t *Tracker) rememberLocked(set []Key) bool {
	if t.isConvictedLocked(set) {
		return false
	}
	if len(t.convicted) >= maxConvicted {
		t.convicted = t.convicted[1:]
	}
	t.convicted = append(t.convicted, set)
	for _, c := range t.crashes {
		c.explain(set)
	}
	return true
}

// forgetLiftedLocked removes the sets whose conviction was lifted: an answer to a request with
// all of their parts was complete.
func (t *Tracker) forgetLiftedLocked(current [][]Key, now time.Time) {
	var lifted [][]Key
	t.convicted = slices.DeleteFunc(t.convicted, func(set []Key) bool {
		if slices.ContainsFunc(current, func(other []Key) bool { return len(other) == len(set) && containsAll(other, set) }) {
			return false
		}
		lifted = append(lifted, set)
		return true
	})
	if len(lifted) == 0 {
		return
	}
	for _, c := range t.crashes {
		c.explained = false
		for _, set := range t.convicted {
			c.explain(set)
		}
	}
	for _, set := range lifted {
		t.removeSuspectsLocked(set, now)
	}
}

// narrowLocked convicts sets without the parts that have had an answer since the first crash
// that such a set explains.
func (t *Tracker) narrowLocked(now time.Time) {
	for _, set := range slices.Clone(t.convicted) {
		if len(set) == 1 {
			continue
		}
		for _, c := range t.crashes {
			if !c.holds(set) {
				continue
			}
			rest := slices.DeleteFunc(slices.Clone(set), func(p Key) bool {
				at, ok := t.answered.at(p)
				return ok && at.After(c.knownAt) && t.answered.has(p, now)
			})
			if len(rest) > 0 && len(rest) < len(set) {
				t.convictLocked(rest, true)
			}
			break
		}
	}
}

// convictLocked convicts a set of parts and, if announce is set, tells the others.
func (t *Tracker) convictLocked(set []Key, announce bool) {
	if !t.rememberLocked(set) {
		return
	}
	t.cfg.Convict(set)
	if announce {
		t.cfg.Announce(Report{Convicted: set})
	}
}

// containsAll reports whether a prompt holds all parts of a set.
func containsAll(parts, set []Key) bool {
	for _, p := range set {
		if !slices.Contains(parts, p) {
			return false
		}
	}
	return true
}

// logChoose returns the natural logarithm of the number of ways to choose k of n.
func logChoose(n, k int) float64 {
	a, _ := math.Lgamma(float64(n + 1))
	b, _ := math.Lgamma(float64(k + 1))
	c, _ := math.Lgamma(float64(n - k + 1))
	return a - b - c
}
