package rclimit

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/radishcrank/radishcrank"
)

// fleetSim runs the limiters of a fleet that exchange reports as instances do: directly, or
// through one relay per zone beyond 12 instances.
type fleetSim struct {
	random   *rand.Rand
	now      time.Time
	nodes    []*simNode
	limit    FleetRate
	bounds   FleetBounds
	delay    func() time.Duration // Of one message.
	messages []simMessage
	log      []simCharge
	limits   []simLimit
	central  float64 // Balance of a single bucket for all instances.
	offered  float64
	admitted float64
	accepted float64 // By the single bucket.
}

type simNode struct {
	id       radishcrank.InstanceID
	zone     int
	l        *FleetLimiter
	process  int64
	dead     bool
	frozen   bool
	side     int // Nodes on different sides do not reach each other.
	sent     map[*simNode]uint64
	failedAt map[*simNode]time.Time
	sentAt   time.Time
}

type simMessage struct {
	from, to *simNode
	at       time.Time
	process  int64
	reports  []UsageReport
	own      bool
}

type simCharge struct {
	at   time.Time
	cost float64
}

// simLimit is a limit that is in force from a time on.
type simLimit struct {
	FleetRate
	at time.Time
}

const (
	simStep  = 20 * time.Millisecond
	simZones = 3
	simKey   = AccountKey(7)
	// configApply is how long instances may take to apply a limit.
	configApply = 3 * time.Second
)

func newFleetSim(n int, seed uint64, limit FleetRate) *fleetSim {
	s := &fleetSim{
		random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1_800_000_000, 0), limit: limit,
		bounds: FleetBounds{Window: 8 * time.Second, Over: 0.1, Slack: 110_000},
	}
	s.setLimit(limit)
	s.delay = func() time.Duration { return time.Duration(20+s.random.IntN(60)) * time.Millisecond }
	if n <= 12 {
		s.delay = func() time.Duration { return time.Duration(50+s.random.IntN(300)) * time.Millisecond }
	}
	for i := range n {
		s.nodes = append(s.nodes, &simNode{id: radishcrank.InstanceID(fmt.Sprint("i", i)), zone: i % simZones})
	}
	for _, node := range s.nodes {
		s.start(node)
	}
	return s
}

func (s *fleetSim) setLimit(limit FleetRate) {
	s.limit = limit
	s.limits = append(s.limits, simLimit{limit, s.now})
	for _, node := range s.nodes {
		node.l.SetLimits(map[AccountKey]FleetRate{simKey: limit}, s.now)
	}
}

func (s *fleetSim) start(node *simNode) {
	node.process++
	node.dead, node.frozen = false, false
	node.sent, node.failedAt = map[*simNode]uint64{}, map[*simNode]time.Time{}
	node.l = NewFleetLimiter(FleetConfig{
		Instance: node.id, Zone: radishcrank.AvailabilityZone(fmt.Sprint("z", node.zone)), Process: node.process,
		Bounds: s.bounds, Random: s.random.Float64,
	})
	var others []FleetInstance
	for _, o := range s.nodes {
		if o != node {
			others = append(others, FleetInstance{o.id, radishcrank.AvailabilityZone(fmt.Sprint("z", o.zone))})
			delete(o.sent, node)
		}
	}
	node.l.SetInstances(others)
	node.l.SetLimits(map[AccountKey]FleetRate{simKey: s.limit}, s.now)
}

func (s *fleetSim) relay(of *simNode, zone int) *simNode {
	for _, o := range s.nodes {
		if o.zone == zone && (o == of || s.now.Sub(of.failedAt[o]) > 3*time.Second) {
			return o
		}
	}
	return nil
}

func (s *fleetSim) reaches(a, b *simNode) bool {
	return !a.dead && !b.dead && !a.frozen && !b.frozen && a.side == b.side
}

// exchange sends what a node reports now.
func (s *fleetSim) exchange(node *simNode) {
	node.l.Revise(s.now)
	if len(s.nodes) <= 12 {
		for _, o := range s.nodes {
			if o != node {
				s.send(node, o, true, node.l.Own(node.sent[o]))
			}
		}
		return
	}
	if relay := s.relay(node, node.zone); relay != node {
		s.send(node, relay, true, node.l.Own(node.sent[relay]))
		return
	}
	for _, o := range s.nodes {
		switch {
		case o == node:
		case o.zone == node.zone:
			after := node.sent[o]
			s.send(node, o, false, append(node.l.OtherZones(after, s.now), node.l.Zone(after, s.now))...)
		case s.relay(node, o.zone) == o:
			s.send(node, o, false, node.l.Zone(node.sent[o], s.now))
		}
	}
}

func (s *fleetSim) send(from, to *simNode, own bool, reports ...UsageReport) {
	until := uint64(math.MaxUint64)
	for _, r := range reports {
		until = min(until, r.Until)
	}
	from.sent[to] = until
	s.messages = append(s.messages, simMessage{from, to, s.now.Add(s.delay()), from.process, reports, own})
}

// step advances the time and delivers messages.
func (s *fleetSim) step() {
	s.now = s.now.Add(simStep)
	s.central = min(s.limit.Burst, s.central+s.limit.Rate*simStep.Seconds())
	kept := s.messages[:0]
	for _, m := range s.messages {
		if m.at.After(s.now) {
			kept = append(kept, m)
			continue
		}
		if m.from.process != m.process || m.from.dead {
			s.deliver(m) // Sent before its sender was killed.
			continue
		}
		if !s.reaches(m.from, m.to) {
			m.from.sent[m.to], m.from.failedAt[m.to] = 0, s.now
			continue
		}
		delete(m.from.failedAt, m.to)
		s.deliver(m)
		if m.own && len(s.nodes) > 12 {
			m.from.l.Confirm(m.reports[0])
		}
	}
	s.messages = kept
	interval := 100 * time.Millisecond
	if len(s.nodes) > 12 {
		interval = 120 * time.Millisecond
	}
	for i, node := range s.nodes {
		if node.dead || node.frozen {
			continue
		}
		if s.now.Sub(node.sentAt) >= interval+time.Duration(i%5)*simStep {
			node.sentAt = s.now
			s.exchange(node)
		}
	}
}

func (s *fleetSim) deliver(m simMessage) {
	if m.to.dead || m.to.frozen || m.from.side != m.to.side {
		return
	}
	m.to.l.Heard(m.from.id, radishcrank.AvailabilityZone(fmt.Sprint("z", m.from.zone)), s.now)
	for _, r := range m.reports {
		m.to.l.Merge(r, m.from.id, s.now)
	}
}

// ask lets requests arrive at a node at a rate of cost per second, for one step.
func (s *fleetSim) ask(node *simNode, rate float64, costs []float64) {
	mean := 0.0
	for _, c := range costs {
		mean += c / float64(len(costs))
	}
	for s.random.Float64() < rate*simStep.Seconds()/mean/(1+rate*simStep.Seconds()/mean) {
		cost := costs[s.random.IntN(len(costs))]
		s.offered += cost
		if s.central >= min(cost, s.limit.Burst) {
			s.central -= cost
			s.accepted += cost
		}
		if node.l.Admit(simKey, cost, false, s.now).Admitted {
			s.admitted += cost
			s.log = append(s.log, simCharge{s.now, cost})
		}
	}
}

// worst returns the highest ratio of usage within a window to its bound.
func (s *fleetSim) worst() (ratio float64) {
	b := s.bounds
	sum, first, old := 0.0, 0, 0
	for _, c := range s.log {
		sum += c.cost
		for c.at.Sub(s.log[first].at) > b.Window {
			sum -= s.log[first].cost
			first++
		}
		// A lowered limit is binding once the window does not begin before it was applied.
		for old+1 < len(s.limits) && !s.limits[old+1].at.After(c.at.Add(-b.Window-configApply)) {
			old++
		}
		limit := 0.0
		for _, l := range s.limits[old:] {
			if !l.at.After(c.at) {
				limit = max(limit, l.Rate*b.Window.Seconds()+l.Burst)
			}
		}
		ratio = max(ratio, sum/(limit*(1+b.Over)+b.Slack))
	}
	return ratio
}
