package rccapacity

import "math"

// load is what a role takes on one instance.
type load struct {
	CPU     float64 // ms/s
	Memory  float64 // MB
	Traffic float64 // B/s, sent and received as far as the measured message counts both.
}

func (l load) plus(o load) load {
	return load{l.CPU + o.CPU, l.Memory + o.Memory, l.Traffic + o.Traffic}
}

// headroom returns how many times the role fits the tightest of its budgets alone.
func (l load) headroom() float64 {
	room := math.Inf(1)
	for _, part := range []float64{l.CPU / budgetCPU, l.Memory / budgetMemory, l.Traffic / budgetTraffic} {
		if part > 0 {
			room = min(room, 1/part)
		}
	}
	return room
}

const megabyte = 1e6

// role is one job of an instance.
type role struct {
	name      string
	mechanism string
	state     string
	breaks    string
	data      bool // On the way of requests and answers, not control.
	few       bool // Held by one instance of each availability zone, or of the fleet.
	fewRead   bool // Its messages are those of two instances of each availability zone.
	load      func(m *Measurements, d *Deployment) load
}

var roles = []role{
	{"relay", "`rcrelay`, `rcsse`: one buffer for each stream, bounded replay", "streams in flight, 32 MiB of replay",
		"processor time; then the replay buffers, which are kept for less than 60 s once they are full", true, false, false, relayLoad},
	{"chooser with prefix index", "`rcdecision`, `rcplacement`, `rcindex`: rendezvous candidates, bounded index", "index entries, 500 engines",
		"memory of the index, which `MaxBytes` bounds; blocks beyond it are found by placement only", false, false, false, chooserLoad},
	{"limiter", "`rclimit`: shares, fair queue; `rcdaemon` sums up the batches of all engines at most 4 times a second", "accounts in use",
		"processor time of the sum, which grows with the engines", false, false, false, limiterLoad},
	{"watcher of upstreams", "`rcwatch`: load reports within 2,000 B/s, events of no engine at this size", "Upstreams table",
		"age of load reports", false, false, false, watcherLoad},
	{"reader of the instance list", "`rcwatch` reads the whole list each second, also for `rcmember`", "370 members",
		"bytes and decoding of the list", false, false, false, listLoad},
	{"configuration reader", "`rcrevision`, `rcconfig`: two readers of each availability zone, which answer the others, deltas, a full parse for each change", "one parsed document",
		"parsing, which grows with accounts times changes", false, false, true, configLoad},
	{"asker of the configuration", "`rcrevision`: one question a second to a reader of the zone", "none",
		"answers of the two readers, which grow with the zone", false, false, false, askLoad},
	{"order leader", "`rclease`, `rcorder`: one lease row, intent rows", "intents",
		"nothing at this size: one row is renewed", false, true, false, leaderLoad},
	{"snapshot pusher", "`rcsnapshot`: one pusher of each availability zone, every two minutes", "one encoded snapshot",
		"bytes of a snapshot; entries beyond 8,000 are left out", false, true, false, snapshotLoad},
	{"at-most-once records", "`rcidem`: two transactions for each booking, grouped only while others run", "calls under way",
		"retention: the sweep looks at 40 rows/s (see below)", false, false, false, recordLoad},
}

func relayLoad(m *Measurements, d *Deployment) load {
	relay, tokens := m.series("Relay"), d.perInstance(d.TokensPerSecond)
	return load{
		CPU:     (tokens*relay.Slope + d.perInstance(d.RequestsPerSecond)*relay.Intercept) / 1e3,
		Memory:  min(replayBytes, replayNeed(d)) / megabyte,
		Traffic: tokens * m.series("TokenBytes").Slope,
	}
}

// replayNeed returns the bytes that keep all answers for the whole retention.
func replayNeed(d *Deployment) float64 {
	return replayRetention * (d.perInstance(d.TokensPerSecond)*replayToken + d.perInstance(d.RequestsPerSecond)*replayStream)
}

func chooserLoad(m *Measurements, d *Deployment) load {
	cpu := d.perInstance(d.RequestsPerSecond) * m.series("Decision").at(d.Engines)
	if d.watchesAll() {
		cpu += d.CacheEventsPerSecond * m.series("Event").at(1) // Each instance reads the events of all engines.
	}
	return load{CPU: cpu / 1e3, Memory: m.series("IndexMemory").at(d.entries()) / megabyte}
}

func limiterLoad(m *Measurements, d *Deployment) load {
	calls := m.series("AdmitCapacityCalls").last().Value
	request := max(m.series("AdmitAccounts").at(d.Accounts), m.series("AdmitPeers").at(d.DemandPeers)) + m.series("FindAccount").at(d.Accounts)
	sums := min(calls*d.perInstance(d.RequestsPerSecond), capacitySums)
	l := load{
		CPU:    (d.perInstance(d.RequestsPerSecond)*request + sums*m.series("Capacity").at(d.Engines)) / 1e3,
		Memory: m.series("AccountMemory").at(d.Accounts) / megabyte,
	}
	if d.DemandPeers > 0 {
		l.CPU += m.series("Demands").at(d.Accounts) / usageInterval / 1e3
		l.Traffic = d.DemandPeers * m.series("UsageBytes").at(d.Accounts) / usageInterval
	}
	return l
}

func watcherLoad(m *Measurements, d *Deployment) load {
	reports, traffic := watchBytes/float64(reportEstimate), float64(watchBytes)
	if d.watchesAll() {
		polls := d.Engines / reportInterval
		reports = polls
		events := m.series("EventBatchBytes")
		traffic = polls*(m.series("ReportBytes").at(1)+events.Intercept) + d.CacheEventsPerSecond*events.Slope
	}
	return load{
		CPU:     reports * m.series("ReportRead").at(1) / 1e3,
		Memory:  m.series("UpstreamMemory").at(d.Engines) / megabyte,
		Traffic: traffic,
	}
}

func listLoad(m *Measurements, d *Deployment) load {
	return load{
		CPU:     listReads * m.series("ListDecode").at(d.Upstreams) / 1e3,
		Traffic: listReads * m.series("ListBytes").at(d.Upstreams),
	}
}

func configLoad(m *Measurements, d *Deployment) load {
	return load{
		CPU:     d.ConfigChangesPerDay / daySeconds * m.series("ConfigParse").at(d.Accounts) / 1e3,
		Memory:  (m.series("ConfigMemory").at(d.Accounts) + m.series("ConfigBytes").at(d.Accounts)) / megabyte,
		Traffic: m.series("ReadBytes").at(headRow) + askTraffic(d, configReaderBytes),
	}
}

func askLoad(_ *Measurements, d *Deployment) load {
	return load{Traffic: askTraffic(d, configAskBytes)}
}

// askTraffic returns bytes unless all instances are readers, which ask nobody.
func askTraffic(d *Deployment, bytes float64) float64 {
	if d.perZone() <= configReaders {
		return 0
	}
	return bytes
}

func leaderLoad(m *Measurements, _ *Deployment) load {
	return load{Traffic: m.series("CommitBytes").Intercept / 2 / leaseInterval}
}

func snapshotLoad(m *Measurements, d *Deployment) load {
	entries := min(snapshotEntries, d.entries())
	size := m.series("SnapshotBytes").at(entries)
	return load{
		CPU:     (m.series("HotEntries").at(d.entries()) + m.series("SnapshotEncode").at(entries)) / snapshotInterval / 1e3,
		Memory:  size / megabyte,
		Traffic: size / snapshotInterval,
	}
}

func recordLoad(m *Measurements, d *Deployment) load {
	bookings := d.perInstance(d.bookings())
	return load{
		CPU:     bookings * m.series("Booking").at(bookingAnswer) / 1e3,
		Traffic: bookings * m.series("CommitBytes").at(bookingAnswer),
	}
}

// control returns the sum of all control roles on one instance.
func control(m *Measurements, d *Deployment) (sum load) {
	for _, r := range roles {
		if !r.data {
			sum = sum.plus(r.load(m, d))
		}
	}
	return sum
}

// ordinary returns the sum of the control roles that each instance has.
func ordinary(m *Measurements, d *Deployment) (sum load) {
	for _, r := range roles {
		if r.data || r.few {
			continue
		}
		l := r.load(m, d)
		if r.fewRead {
			l.Traffic = 0
		}
		sum = sum.plus(l)
	}
	return sum
}
