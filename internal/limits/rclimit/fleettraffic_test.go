package rclimit

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/radishcrank/radishcrank"
)

// traffic measures reports in a fleet of three zones with a relay each, in which one limiter
// stands for all other instances of its zone: reports of relays are as large as with 370
// instances, since they hold the sum of a zone.
type traffic struct {
	random     *rand.Rand
	now        time.Time
	relays     []*FleetLimiter
	members    []*FleetLimiter
	toRelay    []uint64
	toRelays   []uint64
	toZone     []uint64
	reportedAt [simZones]time.Time // When each relay last reported to its zone.
	bytes      int                 // From the first relay to an instance of its zone.
}

func newTraffic(accounts int, limit FleetRate) *traffic {
	f := &traffic{random: rand.New(rand.NewPCG(1, 1)), now: time.Unix(1_800_000_000, 0), toRelay: make([]uint64, simZones), toRelays: make([]uint64, simZones), toZone: make([]uint64, simZones)}
	limits := map[AccountKey]FleetRate{}
	for a := range accounts {
		limits[trafficKey(a)] = limit
	}
	var all []FleetInstance
	for z := range simZones {
		for _, name := range []string{"relay", "member"} {
			all = append(all, FleetInstance{radishcrank.InstanceID(fmt.Sprintf("%s-%d-7c9d5", name, z)), radishcrank.AvailabilityZone(fmt.Sprint("zone-", z))})
		}
	}
	for i, self := range all {
		l := NewFleetLimiter(FleetConfig{Instance: self.ID, Zone: self.Zone, Process: 1_800_000_000_000, Bounds: FleetBounds{Over: 0.1, Slack: 110_000}, Random: f.random.Float64})
		var others []FleetInstance
		others = append(append(others, all[:i]...), all[i+1:]...)
		l.SetInstances(others)
		l.SetLimits(limits, f.now)
		if i%2 == 0 {
			f.relays = append(f.relays, l)
		} else {
			f.members = append(f.members, l)
		}
	}
	return f
}

func trafficKey(account int) AccountKey {
	return KeyOfAccount(radishcrank.ClientAccountID(fmt.Sprint("account", account)), true)
}

// exchange lets members report to their relay, and relays to each other and to their zone.
func (f *traffic) exchange() {
	for z, m := range f.members {
		m.Revise(f.now)
		r := m.Own(f.toRelay[z])
		f.toRelay[z] = r.Until
		f.relays[z].Heard(r.From, r.Zone, f.now)
		f.relays[z].Merge(r, r.From, f.now)
		m.Confirm(r)
		f.relays[z].Revise(f.now)
	}
	for z, relay := range f.relays {
		toRelays := relay.Zone(f.toRelays[z], f.now)
		f.toRelays[z] = toRelays.Until
		for to, other := range f.relays {
			if to != z {
				other.Merge(toRelays, toRelays.From, f.now)
			}
		}
		if f.now.Sub(f.reportedAt[z]) < relay.ReportInterval() {
			continue
		}
		f.reportedAt[z] = f.now
		after := f.toZone[z]
		zone := relay.Zone(after, f.now)
		reports := append(relay.OtherZones(after, f.now), zone)
		f.toZone[z] = zone.Until
		for _, r := range reports {
			f.members[z].Merge(r, zone.From, f.now)
			f.toZone[z] = min(f.toZone[z], r.Until)
		}
		if z == 0 {
			message, _ := json.Marshal(struct{ Usage []UsageReport }{reports})
			f.bytes += len(message)
		}
	}
}

// measure returns the bytes per second from a relay to an instance if some accounts ask for
// 1.5 times their limit and the others for a fraction of theirs, and the highest usage of a busy
// account in 8 s as fraction of the bound.
func measure(accounts int, busyPart, quiet float64) (perSecond, worst, admitted float64) {
	const requests, meanCost, seconds = 14_000, 4202, 11
	busy := max(1, int(float64(accounts)*busyPart))
	limit := requests * meanCost / (1.5*float64(busy) + quiet*float64(accounts-busy))
	f := newTraffic(accounts, FleetRate{limit, limit})
	used := make([]float64, accounts)
	offered, total := 0.0, 0.0
	for step := range simSeconds(seconds) {
		f.now = f.now.Add(simStep)
		for range int(requests * simStep.Seconds()) {
			a := busy + f.random.IntN(max(1, accounts-busy))
			if accounts == busy || f.random.Float64() < 1.5*float64(busy)*limit/(requests*meanCost) {
				a = f.random.IntN(busy)
			}
			cost := []float64{870, 870, 870, 9200, 9200}[f.random.IntN(5)]
			if !f.members[f.random.IntN(simZones)].Admit(trafficKey(a), cost, false, f.now).Admitted {
				cost = 0
			}
			if step >= simSeconds(seconds-8) {
				used[a] += cost
				total += cost
			}
		}
		if step >= simSeconds(seconds-8) {
			offered += float64(busy) * limit * simStep.Seconds()
		}
		if step == simSeconds(seconds-8) {
			f.bytes = 0
		}
		if step%6 == 0 {
			f.exchange()
		}
	}
	for _, n := range used[:busy] {
		worst = max(worst, n/((limit*8+limit)*1.1+110_000))
	}
	sum := 0.0
	for _, n := range used[:busy] {
		sum += n
	}
	return float64(f.bytes) / 8, worst, sum / offered
}

// TestReportTraffic guards against reports that take more than the budget of control traffic
// while few accounts are busy, and against more usage than the bound where accounts are
// reported seldom. It prints the table of the design note.
func TestReportTraffic(t *testing.T) {
	for _, accounts := range []int{16, 83, 300, 3000} {
		for _, part := range []float64{0.01, 0.1, 1} {
			perSecond, worst, admitted := measure(accounts, part, 0.1)
			t.Logf("%4d accounts, %3.0f%% busy: %6.0f B/s, busy ones used %.2f of their limits, at most %.2f of the bound", accounts, part*100, perSecond, admitted, worst)
			require.LessOrEqual(t, worst, 1.0)
			if part == 0.01 {
				require.LessOrEqual(t, perSecond, 3000.0)
			}
		}
	}
}

// TestQuietAccountIsReportedWithHistory guards against reports of an account far below its limit,
// and against usage that stays unknown once another zone comes near the limit.
func TestQuietAccountIsReportedWithHistory(t *testing.T) {
	const limit = 100_000
	f := newTraffic(1, FleetRate{limit, limit})
	key, quiet := trafficKey(0), 0.0
	for step := range simSeconds(8) {
		f.now = f.now.Add(simStep)
		if step%10 == 0 && step > simSeconds(2) {
			require.True(t, f.members[1].Admit(key, 4000, false, f.now).Admitted)
			quiet += 4000
		}
		if step%6 == 0 {
			f.exchange()
			require.Empty(t, f.relays[1].Zone(0, f.now).Entries)
		}
	}
	before := f.members[0].Used(key, f.now)
	require.Zero(t, before)
	require.True(t, f.members[0].Admit(key, 60_000, false, f.now).Admitted)
	for range simSeconds(1) / 6 {
		f.now = f.now.Add(6 * simStep)
		f.exchange()
	}
	require.InDelta(t, quiet+60_000, f.members[2].Used(key, f.now), 1)
}
