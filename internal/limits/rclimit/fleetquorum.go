package rclimit

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/radishcrank/radishcrank"
)

// Instances that do not hear of some others may use minorityFraction of their equal share of
// a limit. If they are more than half of the registered instances and all of them hear of the
// same ones, they may use what remains of the limit.
//
// It addresses network partitions: at most one side can have a majority, so that the sides
// together stay within the limit. That all of a side hear of the same instances is required
// because links may fail in one direction, or between two zones that both reach a third one;
// two sides with common members could both have a majority then.

const (
	// minorityFraction is above the usual demand of an account, which is 0.56 of its limit.
	minorityFraction = 0.6
	// A majority that does not agree for disagreeDelay is limited as a minority after another
	// disagreeRamp. Instances detect a failure up to 0.7 s apart.
	disagreeDelay = 1500 * time.Millisecond
	disagreeRamp  = 2500 * time.Millisecond
	// majorityDelay is how long a majority has to agree before its share grows, over
	// majorityRamp. By then the shares of all others have shrunk: equalShareDelay after they
	// fell silent, or disagreeDelay and disagreeRamp after they disagreed.
	majorityDelay = 5 * time.Second
	majorityRamp  = 2 * time.Second
)

// instanceSet is a hash of a set of instances: the exclusive or of the hashes of its members.
type instanceSet uint32

const (
	instanceSetBits = 21 // They fit into 3 bytes of a report.
	// abstains is announced by instances that know majorities and hear of programs that do
	// not. Those use all of their equal share, so that nobody may use more.
	abstains instanceSet = 1
)

func setOf(id radishcrank.InstanceID) instanceSet {
	return instanceSet(xxhash.Sum64String(string(id)) & (1<<instanceSetBits - 1))
}

// nonZero returns a set that is distinct from 0 and abstains, for announcements.
func (s instanceSet) nonZero() instanceSet {
	if s <= abstains {
		return s + 2
	}
	return s
}

// quorum decides which part of a limit the instances may use that are heard of.
type quorum struct {
	view    instanceSet // Instances heard of.
	since   time.Time   // Since when the view and whether the others agree have not changed.
	agreed  bool
	unaware time.Time // When a program that knows no majorities was last heard of.
	blocked bool      // Such programs were heard of when instances fell silent, or later.
	abstain bool
	// silentScale is the share of the limit that is left to silent instances, as a multiple
	// of their equal share.
	silentScale float64
}

// announced returns what reports say of the instances that this one hears of.
func (q *quorum) announced() instanceSet {
	if q.abstain {
		return abstains
	}
	return q.view.nonZero()
}

// heard records the view of a report.
func (q *quorum) heard(view instanceSet, now time.Time) {
	switch view {
	case 0:
		q.abstain, q.blocked, q.unaware = true, true, now
	case abstains:
		q.blocked, q.unaware = true, now
	}
}

// update computes silentScale from the instances that were heard of, whether they agree, and
// their number.
func (q *quorum) update(view instanceSet, agreed bool, heard, total int, now time.Time) {
	if heard >= total && now.Sub(q.unaware) >= relayMemory {
		q.abstain, q.blocked = false, false
	}
	majority := 2*heard > total
	if agreed = agreed && majority && !q.blocked; agreed != q.agreed || agreed && view != q.view {
		q.since, q.agreed = now, agreed
	}
	q.view = view
	share, age := float64(heard)/float64(total), now.Sub(q.since)
	rest, part := 1-share, 0.0
	switch {
	case rest <= 0:
		q.silentScale = 1
		return
	case agreed:
		part = ramp(age-majorityDelay, majorityRamp)
		q.silentScale = 1 - part*(1-minorityFraction)
		return
	case majority:
		part = ramp(age-disagreeDelay, disagreeRamp)
	default:
		part = 1
	}
	q.silentScale = (rest + part*(1-minorityFraction)*share) / rest
}

func ramp(age, length time.Duration) float64 {
	return min(1, max(0, age.Seconds()/length.Seconds()))
}

// agreeLocked reports whether all instances that report to this one hear of the same ones as
// this one.
func (l *FleetLimiter) agreeLocked(view instanceSet, now time.Time) bool {
	for _, zone := range l.zones {
		if !zone.direct && now.Sub(zone.reportAt) < silenceGrace && zone.view != view {
			return false
		}
	}
	for _, p := range l.peers {
		if l.zones[p.zone].direct && now.Sub(p.heardAt) < silenceGrace && now.Sub(p.relayAt) >= relayMemory && p.view != view {
			return false
		}
	}
	return true
}
