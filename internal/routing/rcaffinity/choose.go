// Package rcaffinity places exchanges on upstreams. Instances agree on the owner
// of a shared prompt part by rendezvous hashing, without talking to each other,
// and leave the owner only where its load, weights or faults cost more than
// reading or copying the part elsewhere.
//
// It answers loads in which many callers share a few long prompt prefixes while
// engines load weights, crash or slow down: without an owner every engine reads
// every prefix, with nothing but an owner a hot prefix overloads it.
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
	// prefillPerMS is the speed at which engines read prompts, in tokens a
	// millisecond: the lower of the two that the deployments state.
	prefillPerMS = 40
	// waitingCost is the delay that a request pays for each one that waits ahead
	// of it inside an engine: about the prefill of one chunk of 2,048 tokens.
	waitingCost = 50 * time.Millisecond
	// runningCost is the delay that each running request adds to a plain service.
	runningCost = 10 * time.Millisecond
	// crossZoneCost is the round trip between two zones, with something on top
	// for the price of the bytes.
	crossZoneCost = 3 * time.Millisecond
	// strayCost keeps a prompt at its owner while that costs less than a copy of
	// its shared parts in another engine's memory.
	strayCost = 25 * time.Millisecond
	// rankCost is the price of each step down in the order of engines that all
	// instances agree on for a prompt. Loads that are told are some hundred
	// milliseconds old, as long as it takes to read one or two long prompts, so a
	// smaller difference between two engines says little.
	rankCost = 50 * time.Millisecond
	// slotCost is the wait for each request beyond an engine's slots: a chat
	// answer of 2.5 s on 32 slots frees one in 80 ms.
	slotCost = 80 * time.Millisecond
	// evictedAfter is how long after its last use a part may have yielded to others
	// in an engine's memory when that is short.
	evictedAfter = 1500 * time.Millisecond
	// faultCost is the loss from an exchange that fails, in time.
	faultCost = 800 * time.Millisecond
	// probeCost is what it costs to try an upstream that has just failed.
	probeCost = 60 * time.Millisecond
	// staleCost weighs answers from older weights once newer ones have been named
	// for staleAfter: they lose a fifth of their worth.
	staleCost  = 250 * time.Millisecond
	staleAfter = 1200 * time.Millisecond
	// guessedTokens stand for what an owner may hold that is not known to: it is
	// asked only where nobody is known to hold more.
	guessedTokens = 1
	// coldCost is the disadvantage of an upstream that has just started.
	coldCost = 50 * time.Millisecond
)

// Request is what the placement of an exchange depends on.
type Request struct {
	Zone           radishcrank.AvailabilityZone // Of this instance.
	Model          radishcrank.ModelID
	Parts          []radishcrank.PromptPart
	Salt           func(w radishcrank.WeightsVersion) string
	CachedPrefixes func(salt string) map[radishcrank.UpstreamID]rcfleet.CachedPrefix // What upstreams and the store keep of the prompt.
	KVStores       []KVStore                                                         // Stores of kept KV cache. Each shared part has one of them.
	Exclude        func(id radishcrank.UpstreamID) bool
	TargetHistory  rcweights.History // Weights that were named for the model.
	// MaxReplacedAge is how long weights may be used after newer ones were named; 0 is for ever.
	MaxReplacedAge time.Duration
	PauseRatio     float64 // Share of the latest streams that paused for too long.
	// MaxWait is the longest wait that serves the caller; sound upstreams with a
	// longer one are chosen only if all have one. 0 is any wait.
	MaxWait time.Duration
}

// KVStore is a store of kept KV cache.
type KVStore struct {
	ID   radishcrank.UpstreamID // Name under which its parts are remembered.
	Addr netip.AddrPort
}

// Choice is the upstream for an exchange.
type Choice struct {
	Upstream rcfleet.State
	Weights  radishcrank.WeightsVersion
	// ReplacedFor is how long newer weights have been named; 0 means that there are none.
	ReplacedFor time.Duration
	Salt        string
	KVSource    netip.AddrPort // Engine or store that is likely to hold what this one lacks.
	KVTarget    netip.AddrPort // Store that is to get the parts.
	// KVStoreUsed names the store if the exchange reads parts from it or writes them to it.
	KVStoreUsed    radishcrank.UpstreamID
	Cost           time.Duration
	QueueWait      time.Duration // Expected wait for what stands before the exchange there.
	MinQueueWait   time.Duration // The shortest such wait at any upstream that has not just failed.
	Owner          bool          // The upstream owns the shared part.
	UncachedTokens int           // Prompt tokens to prefill, if this instance's picture is right.
}

// Usable reports whether new work may go to an upstream at all.
func Usable(s *rcfleet.State, now time.Time) bool {
	return !s.Leaving && !s.Suspect && !s.Loading(now)
}

// Choose returns the upstream with the least expected cost. It reports false if
// none may take the exchange.
func Choose(req Request, states []rcfleet.State, now time.Time) (best Choice, ok bool) {
	shared := sharedParts(req.Parts)
	total, sharedTokens := tokens(req.Parts), tokens(shared)
	var preferred lane
	if req.Model != "" && leaveCost(req.PauseRatio) >= leastLaneCost {
		preferred = laneFor(total, states)
	}
	ranks := rank(req, partKey(shared), states, preferred, now)
	held := map[string]map[radishcrank.UpstreamID]rcfleet.CachedPrefix{}
	heldUnder := func(salt string) map[radishcrank.UpstreamID]rcfleet.CachedPrefix {
		h, ok := held[salt]
		if !ok && req.CachedPrefixes != nil {
			h = req.CachedPrefixes(salt)
			held[salt] = h
		}
		return h
	}
	var bestInTime Choice
	var least time.Duration
	anyInTime, anySound := false, false
	for i := range states {
		s := &states[i]
		if req.Exclude != nil && req.Exclude(s.ID) || !Usable(s, now) {
			continue
		}
		c := Choice{Upstream: *s, Owner: s.ID == ranks.owner}
		if req.Model != "" {
			c.Weights = s.Weights[req.Model]
			if c.Weights == "" {
				continue
			}
			c.ReplacedFor = oldFor(req, c.Weights, now)
			c.Salt = req.Salt(c.Weights)
			c.UncachedTokens = total - heldUnder(c.Salt)[s.ID].Tokens
			if c.Owner {
				c.UncachedTokens = min(c.UncachedTokens, total-sharedTokens)
			}
		}
		c.QueueWait = ahead(req, s)
		c.Cost = cost(req, s, c, ranks.of[s.ID], sharedTokens, now)
		if c.ReplacedFor > 0 && req.MaxReplacedAge > 0 && c.ReplacedFor >= req.MaxReplacedAge-c.Cost {
			continue // It would begin on the old weights after their time.
		}
		if !preferred.has(s.ID) {
			c.Cost += leaveCost(req.PauseRatio)
		}
		if !ok || c.Cost < best.Cost {
			best, ok = c, true
		}
		if c.Upstream.Probing {
			// A fleet whose other engines are full must not send all that it has to one
			// that has just failed.
			continue
		}
		if !anySound || c.QueueWait < least {
			least, anySound = c.QueueWait, true
		}
		if c.QueueWait <= req.MaxWait && (!anyInTime || c.Cost < bestInTime.Cost) {
			bestInTime, anyInTime = c, true
		}
	}
	if req.MaxWait > 0 && best.QueueWait > req.MaxWait && anyInTime {
		best = bestInTime
	}
	if best.MinQueueWait = best.QueueWait; anySound {
		best.MinQueueWait = least
	}
	if ok && req.Model != "" && sharedTokens > 0 {
		best = withSource(best, states, heldUnder(best.Salt), sharedTokens, req, ranks.owner, now)
	}
	return best, ok
}

// ahead is the expected wait for what an engine has to do before it begins an
// exchange. Plain services refuse what they have no room for.
func ahead(req Request, s *rcfleet.State) (d time.Duration) {
	if req.Model == "" {
		return 0
	}
	d = prefillTime(s.Prefilling+s.PeerLoad.Prefilling) + time.Duration(s.Reported.Waiting)*waitingCost
	if over := s.Running + s.PeerLoad.Running + 1 - s.Slots; s.Slots > 0 && over > 0 {
		d += time.Duration(over) * slotCost
	}
	return d
}

// oldFor returns how long newer weights have been named; 0 means that there are none.
func oldFor(req Request, w radishcrank.WeightsVersion, now time.Time) time.Duration {
	if at, ok := req.TargetHistory.ReplacedAt(w); ok {
		return now.Sub(at)
	}
	return 0
}

func cost(req Request, s *rcfleet.State, c Choice, rank int, sharedTokens int, now time.Time) time.Duration {
	var d time.Duration
	if req.Model != "" {
		d = c.QueueWait + prefillTime(c.UncachedTokens)
		if !c.Owner && c.UncachedTokens > 0 && sharedTokens > 0 {
			// Parts that could be copied count as if they were read: each copy pushes
			// other parts out of an engine's memory.
			d += strayCost + time.Duration(rank)*rankCost
		}
		if oldFor(req, c.Weights, now) >= staleAfter {
			d += staleCost
		}
	} else {
		queue := max(s.Running+s.PeerLoad.Running, s.Reported.Running+s.Reported.Waiting)
		d = time.Duration(queue) * runningCost
		if s.Slots > 0 && queue >= s.Slots {
			d += time.Duration(queue-s.Slots+1) * waitingCost
		}
	}
	if s.Zone != req.Zone {
		d += crossZoneCost
	}
	if s.Probing {
		d += probeCost * time.Duration(1+s.Running)
	}
	if now.Before(s.WarmupUntil) {
		d += coldCost
	}
	return d + time.Duration(s.FailureRate*float64(faultCost))
}

func prefillTime(n int) time.Duration { return time.Duration(n) * time.Millisecond / prefillPerMS }

// withSource names where the chosen engine can copy the shared parts that it may
// lack, and whether the store is to get them. What is copied counts as read: it
// takes a tenth of the time, and counting it as a backlog drives prompts away
// from engines that have none. Asking a source that lacks the parts costs about a
// millisecond; asking a dead one costs hundreds, so suspects are left out. Of
// several holders the one that used the parts last is the least likely to have
// dropped them.
func withSource(c Choice, states []rcfleet.State, held map[radishcrank.UpstreamID]rcfleet.CachedPrefix, sharedTokens int, req Request, owner radishcrank.UpstreamID, now time.Time) Choice {
	store, hasStore := storeOf(partKey(sharedParts(req.Parts)), req.KVStores)
	stored := hasStore && held[store.ID].Tokens >= sharedTokens
	if hasStore && !stored {
		c.KVTarget, c.KVStoreUsed = store.Addr, store.ID
	}
	own := held[c.Upstream.ID]
	if own.Tokens >= sharedTokens && own.Age < evictedAfter {
		return c
	}
	var best rcfleet.CachedPrefix
	sameZone := false
	for i := range states {
		s := &states[i]
		if s.ID == c.Upstream.ID || s.Suspect || s.Probing || s.Leaving || s.Loading(now) || s.Weights[req.Model] != c.Weights {
			continue
		}
		h := held[s.ID]
		if h.Tokens == 0 && s.ID == owner {
			h.Tokens = guessedTokens // The owner may have read the parts for another instance.
		}
		inZone := s.Zone == c.Upstream.Zone
		if h.Tokens > best.Tokens || h.Tokens == best.Tokens && h.Tokens > 0 && (inZone && !sameZone || inZone == sameZone && h.Age < best.Age) {
			best, c.KVSource, sameZone = h, s.Addr, inZone
		}
	}
	switch {
	case stored && (best.Tokens < sharedTokens || best.Age >= evictedAfter):
		c.KVSource, c.KVStoreUsed = store.Addr, store.ID
		best.Tokens = held[store.ID].Tokens
	case hasStore && !c.KVSource.IsValid():
		// It may have got the prompt's first parts with other prompts.
		c.KVSource = store.Addr
	}
	if best.Tokens > guessedTokens {
		c.UncachedTokens = min(c.UncachedTokens, tokens(req.Parts)-min(best.Tokens, sharedTokens))
	}
	return c
}

// storeOf returns the store that keeps a part, by rendezvous hashing.
func storeOf(key string, stores []KVStore) (store KVStore, ok bool) {
	keyHash := xxhash.Sum64String(key)
	var most uint64
	for _, s := range stores {
		if h := mix(keyHash ^ xxhash.Sum64String(string(s.ID))); !ok || h > most {
			store, most, ok = s, h, true
		}
	}
	return store, ok
}

// sharedParts are all parts but the last one, which belongs to the request or its session.
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

// mix spreads the bits of a number over all of its bits, as the finalizer of
// SplitMix64 does.
func mix(h uint64) uint64 {
	h = (h ^ h>>30) * 0xbf58476d1ce4e5b9
	h = (h ^ h>>27) * 0x94d049bb133111eb
	return h ^ h>>31
}
