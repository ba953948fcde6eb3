// Package rcaffinity places exchanges on upstreams. Instances agree on the
// owner of a shared prompt part by rendezvous hashing, without coordination. An
// exchange is placed elsewhere only if the load, weights or failures of the
// owner cost more than prefilling or copying the part on another engine.
//
// The placement is designed for loads in which many callers share a few long
// prompt prefixes while engines load weights, crash or slow down. Without
// owners every engine prefills every prefix; with strict ownership a hot prefix
// overloads its owner.
package rcaffinity

import (
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/state/rcfleet"
	"github.com/radishcrank/radishcrank/internal/state/rcweights"
)

const (
	// prefillRate is the prefill speed of engines in tokens per millisecond.
	// Deployments state two speeds; this is the lower one.
	prefillRate = 40
	// queuedRequestCost is the delay caused by each request that is queued
	// ahead inside an engine: about the prefill time of one chunk of 2,048
	// tokens.
	queuedRequestCost = 50 * time.Millisecond
	// runningRequestCost is the delay that each running request adds on an
	// upstream that serves no model.
	runningRequestCost = 10 * time.Millisecond
	// crossZoneCost is the round-trip time between two zones plus a surcharge
	// for the price of the traffic.
	crossZoneCost = 3 * time.Millisecond
	// nonOwnerCost keeps a prompt at its owner as long as the owner costs less
	// than storing a copy of the shared parts in the memory of another engine.
	nonOwnerCost = 25 * time.Millisecond
	// rankCost is the cost of each step down in the ranking of engines for a
	// prompt, on which all instances agree. Load reports of peers are some
	// hundred milliseconds old, which is the time to prefill one or two long
	// prompts, so smaller load differences between two engines are not
	// significant.
	rankCost = 50 * time.Millisecond
	// slotWaitCost is the wait for each request beyond the slots of an engine:
	// with chat answers of 2.5 s on 32 slots, a slot becomes free about every
	// 80 ms.
	slotWaitCost = 80 * time.Millisecond
	// evictionAge is the time since its last use after which a part may have
	// been evicted by an engine that is short of memory.
	evictionAge = 1500 * time.Millisecond
	// failureCost is the time lost by an exchange that fails.
	failureCost = 800 * time.Millisecond
	// probeCost is the cost of trying an upstream that has just failed.
	probeCost = 60 * time.Millisecond
	// replacedCost is added for weights that were replaced as the target more
	// than replacedCostAge ago: their answers lose a fifth of their value.
	replacedCost    = 250 * time.Millisecond
	replacedCostAge = 1200 * time.Millisecond
	// assumedOwnerTokens is the assumed length of the cached prefix of an owner
	// whose cache is unknown. It is minimal, so that the owner is used as a
	// source only if no other upstream is known to hold more.
	assumedOwnerTokens = 1
	// warmupCost is the penalty for an upstream that is still warming up.
	warmupCost = 50 * time.Millisecond
)

// Request holds the inputs for the placement of an exchange.
type Request struct {
	Zone           radishcrank.AvailabilityZone // Zone of this instance.
	Model          radishcrank.ModelID
	Parts          []radishcrank.PromptPart
	Salt           func(w radishcrank.WeightsVersion) string
	CachedPrefixes func(salt string) map[rcfleet.UpstreamKey]rcfleet.CachedPrefix // Prefixes of the prompt that upstreams and KV stores have cached.
	KVStores       []KVStore                                                      // Each shared part is kept by one of them.
	Exclude        func(id radishcrank.UpstreamID) bool
	TargetHistory  rcweights.History // Target weights of the model over time.
	// MaxReplacedAge is how long weights may be used after newer ones became
	// the target. Zero means no limit.
	MaxReplacedAge time.Duration
	Spread         uint64
	LatencyTarget  time.Duration // Of the request's route.
	MaxEventGap    time.Duration // Of the request's route; 0 if it has no target for gaps.
	PauseRatio     float64       // Share of the recent streams with a pause that was too long.
	// Deferred means that the exchange is read after those that are in time, so that it
	// waits for the deferred ones before it, too.
	Deferred bool
	// MaxWait is the longest acceptable queue wait. Healthy upstreams with a
	// longer one are chosen only if all of them exceed it. Zero means no limit.
	MaxWait time.Duration
	// Observe, if set, is called with each upstream and the terms of its cost.
	Observe func(c Candidate)
}

// KVStore is an external store of KV cache.
type KVStore struct {
	ID   radishcrank.UpstreamID // Name under which its cached parts are recorded.
	Addr netip.AddrPort
}

// Choice is the selected upstream for an exchange.
type Choice struct {
	Upstream rcfleet.State
	Weights  radishcrank.WeightsVersion
	// ReplacedFor is the time since newer weights became the target, or 0 if
	// there are none.
	ReplacedFor time.Duration
	Salt        string
	KVSource    netip.AddrPort // Engine or store that probably holds the parts that the upstream lacks.
	KVTarget    netip.AddrPort // Store to which the upstream writes the parts.
	// KVStoreUsed is the store that the exchange reads parts from or writes
	// them to, if any.
	KVStoreUsed    radishcrank.UpstreamID
	Cost           time.Duration
	QueueWait      time.Duration // Expected time until the upstream begins the exchange.
	StartWait      time.Duration // QueueWait without what it counts twice.
	Prefill        time.Duration // Expected time to read the tokens that are not cached.
	MinQueueWait   time.Duration // Shortest QueueWait of all upstreams that have not just failed.
	Owner          bool          // The upstream owns the shared part.
	UncachedTokens int           // Expected number of prompt tokens to prefill.
	HeldTokens     int           // Expected number of prompt tokens that it adds to the memory of the engine.
}

// Usable reports whether an upstream accepts new work at all.
func Usable(s *rcfleet.State, now time.Time) bool {
	return !s.Leaving && !s.Suspect && !s.Throttled && !s.Full && !s.Paused(now) && !s.Loading(now)
}

// Choose returns the usable upstream with the lowest expected cost. It reports
// false if there is none.
func Choose(req Request, states []rcfleet.State, now time.Time) (best Choice, ok bool) {
	shared := sharedParts(req.Parts)
	total, sharedTokens := tokens(req.Parts), tokens(shared)
	var preferred pool
	if req.Model != "" && poolLeaveCost(req.PauseRatio) >= minLeaveCost {
		preferred = poolFor(total, states)
	}
	ranks := rank(req, partKey(shared), states, preferred, now)
	cached := map[string]map[rcfleet.UpstreamKey]rcfleet.CachedPrefix{}
	cachedFor := func(salt string) map[rcfleet.UpstreamKey]rcfleet.CachedPrefix {
		prefixes, ok := cached[salt]
		if !ok && req.CachedPrefixes != nil {
			prefixes = req.CachedPrefixes(salt)
			cached[salt] = prefixes
		}
		return prefixes
	}
	fleet := fleetCapacityOf(req, states)
	var bestInTime Choice
	var minQueueWait time.Duration
	anyInTime, anyHealthy := false, false
	for i := range states {
		s := &states[i]
		if req.Exclude != nil && req.Exclude(s.ID) || !Usable(s, now) {
			req.observeObstacle(s, now)
			continue
		}
		t := req.terms()
		c := Choice{Upstream: *s, Owner: s.ID == ranks.owner}
		if req.Model != "" {
			c.Weights = s.Weights[req.Model]
			if c.Weights == "" {
				req.observe(c, t, obstacleNoWeights)
				continue
			}
			c.ReplacedFor = replacedFor(req, c.Weights, now)
			c.Salt = req.Salt(c.Weights)
			c.UncachedTokens = total - cachedFor(c.Salt)[rcfleet.KeyOf(s.ID)].Tokens
			if c.Owner {
				c.UncachedTokens = min(c.UncachedTokens, total-sharedTokens)
			}
		}
		c.HeldTokens = c.UncachedTokens
		limits := fleet.of(s)
		c.QueueWait, c.Prefill = queueWait(req, s, limits), limits.prefillTime(c.UncachedTokens)
		c.StartWait = startWait(req, s, limits, c.QueueWait)
		c.Cost = cost(req, s, c, limits, fleet, ranks.rankByID[s.ID], sharedTokens, now, t)
		if c.ReplacedFor > 0 && req.MaxReplacedAge > 0 && c.ReplacedFor >= req.MaxReplacedAge-c.Cost {
			req.observe(c, t, obstacleWeightsExpire)
			continue // The exchange would begin after the old weights expire.
		}
		if req.Model != "" {
			c.Cost += t.add("Interference", limits.interferenceCost(s, fleet, c.UncachedTokens)) + t.add("Spread", fleet.rankSpread(req, s))
		}
		if !preferred.has(s.ID) {
			c.Cost += t.add("OtherPool", poolLeaveCost(req.PauseRatio))
		}
		req.observe(c, t, "")
		if !ok || c.Cost < best.Cost {
			best, ok = c, true
		}
		if c.Upstream.Probing {
			// An upstream that has just failed doesn't count as healthy.
			// Otherwise a fleet whose other engines are full would send all of
			// its requests to it.
			continue
		}
		if !anyHealthy || c.QueueWait < minQueueWait {
			minQueueWait, anyHealthy = c.QueueWait, true
		}
		if c.QueueWait <= req.MaxWait && (!anyInTime || c.Cost < bestInTime.Cost) {
			bestInTime, anyInTime = c, true
		}
	}
	if req.MaxWait > 0 && best.QueueWait > req.MaxWait && anyInTime {
		best = bestInTime
	}
	if best.MinQueueWait = best.QueueWait; anyHealthy {
		best.MinQueueWait = minQueueWait
	}
	if ok && req.Model != "" && sharedTokens > 0 {
		best = withKVTransfer(best, states, cachedFor(best.Salt), sharedTokens, req, ranks.owner, now)
	}
	return best, ok
}

// queueWait returns the expected time until an engine begins an exchange. It is
// 0 for upstreams without a model, which refuse requests that exceed their
// capacity.
func queueWait(req Request, s *rcfleet.State, limits capacity) (d time.Duration) {
	if req.Model == "" {
		return 0
	}
	running, prefilling, waiting := s.Ahead(req.Deferred)
	d = limits.prefillTime(prefilling) + limits.time(time.Duration(waiting)*queuedRequestCost)
	if over := running + 1 - s.Slots; s.Slots > 0 && over > 0 {
		d += limits.slotWait(over)
	}
	return d
}

// replacedFor returns the time since newer weights became the target, or 0 if
// there are none.
func replacedFor(req Request, w radishcrank.WeightsVersion, now time.Time) time.Duration {
	if at, ok := req.TargetHistory.ReplacedAt(w); ok {
		return now.Sub(at)
	}
	return 0
}

func cost(req Request, s *rcfleet.State, c Choice, limits capacity, fleet fleetCapacity, rank int, sharedTokens int, now time.Time, t *terms) time.Duration {
	var d time.Duration
	if req.Model != "" {
		d = t.add("QueueWait", c.QueueWait) + t.add("Prefill", limits.prefillTime(c.UncachedTokens)) + t.add("Memory", limits.memoryCost(s, c.HeldTokens))
		if !c.Owner && c.UncachedTokens > 0 && sharedTokens > 0 {
			// Parts that could be copied count as if they were prefilled, since
			// each copy evicts other parts from the memory of the engine.
			d += t.add("NonOwner", nonOwnerCost) + t.add("Rank", time.Duration(rank)*rankCost)
		}
		if replacedFor(req, c.Weights, now) >= replacedCostAge {
			d += t.add("ReplacedWeights", replacedCost)
		}
	} else {
		d = t.add("Running", limits.plainCost(req, s, fleet))
	}
	if s.Zone != req.Zone {
		d += t.add("OtherZone", crossZoneCost)
	}
	if s.Probing {
		d += t.add("HasFailed", probeCost*time.Duration(1+s.Running))
	}
	if now.Before(s.WarmupUntil) {
		d += t.add("Warmup", warmupCost)
	}
	return d + t.add("Failures", time.Duration(s.FailureRate*float64(failureCost)))
}

func prefillTime(n int) time.Duration { return time.Duration(n) * time.Millisecond / prefillRate }

// withKVTransfer sets the source from which the chosen engine can copy shared
// parts that it may lack, and the store to which it writes them. Copied parts
// don't count as tokens to prefill: copying takes a tenth of the time, and
// counting it as a backlog would drive prompts away from engines without one. A
// request to a source that lacks the parts costs about a millisecond, but a
// request to a dead one costs hundreds, so suspects are excluded. Of several
// sources the most recent user of the parts is preferred, as it is the least
// likely to have evicted them.
func withKVTransfer(c Choice, states []rcfleet.State, cached map[rcfleet.UpstreamKey]rcfleet.CachedPrefix, sharedTokens int, req Request, owner radishcrank.UpstreamID, now time.Time) Choice {
	store, hasStore := storeFor(partKey(sharedParts(req.Parts)), req.KVStores)
	stored := hasStore && cached[rcfleet.KeyOf(store.ID)].Tokens >= sharedTokens
	if hasStore && !stored {
		c.KVTarget, c.KVStoreUsed = store.Addr, store.ID
	}
	own := cached[rcfleet.KeyOf(c.Upstream.ID)]
	if own.Tokens >= sharedTokens && own.Age < evictionAge {
		return c
	}
	var best rcfleet.CachedPrefix
	sameZone := false
	for i := range states {
		s := &states[i]
		if s.ID == c.Upstream.ID || s.Suspect || s.Probing || s.Leaving || s.Loading(now) || s.Weights[req.Model] != c.Weights {
			continue
		}
		h := cached[rcfleet.KeyOf(s.ID)]
		if h.Tokens == 0 && s.ID == owner {
			h.Tokens = assumedOwnerTokens // The owner may have cached the parts for another instance.
		}
		inZone := s.Zone == c.Upstream.Zone
		if h.Tokens > best.Tokens || h.Tokens == best.Tokens && h.Tokens > 0 && (inZone && !sameZone || inZone == sameZone && h.Age < best.Age) {
			best, c.KVSource, sameZone = h, s.Addr, inZone
		}
	}
	switch {
	case stored && (best.Tokens < sharedTokens || best.Age >= evictionAge):
		c.KVSource, c.KVStoreUsed = store.Addr, store.ID
		best.Tokens = cached[rcfleet.KeyOf(store.ID)].Tokens
	case hasStore && !c.KVSource.IsValid():
		// The store may have the first parts of the prompt from other prompts.
		c.KVSource = store.Addr
	}
	if best.Tokens > assumedOwnerTokens {
		c.UncachedTokens = min(c.UncachedTokens, tokens(req.Parts)-min(best.Tokens, sharedTokens))
	}
	return c
}

// storeFor returns the store that keeps a part, by rendezvous hashing.
func storeFor(key string, stores []KVStore) (store KVStore, ok bool) {
	keyHash := xxhash.Sum64String(key)
	var most uint64
	for _, s := range stores {
		if h := mix(keyHash ^ xxhash.Sum64String(string(s.ID))); !ok || h > most {
			store, most, ok = s, h, true
		}
	}
	return store, ok
}

// sharedParts returns all parts but the last, which belongs to the request or
// its session.
func sharedParts(parts []radishcrank.PromptPart) []radishcrank.PromptPart {
	if len(parts) == 0 {
		return nil
	}
	return parts[:len(parts)-1]
}

func partKey(shared []radishcrank.PromptPart) string {
	if len(shared) == 0 {
		return ""
	}
	return shared[len(shared)-1].ID
}

func tokens(parts []radishcrank.PromptPart) (n int) {
	for _, p := range parts {
		n += p.Tokens
	}
	return n
}

// mix is the finalizer of SplitMix64, which distributes each input bit over all
// output bits.
func mix(h uint64) uint64 {
	h = (h ^ h>>30) * 0xbf58476d1ce4e5b9
	h = (h ^ h>>27) * 0x94d049bb133111eb
	return h ^ h>>31
}
