package rccapacity

import "math"

// load is the resource usage of a role on one instance.
type load struct {
	CPU     float64 // ms/s
	Memory  float64 // MB
	Traffic float64 // B/s, sent and received if the measured message counts both.
}

func (l load) plus(o load) load {
	return load{l.CPU + o.CPU, l.Memory + o.Memory, l.Traffic + o.Traffic}
}

// headroom returns the smallest ratio of a budget to its usage by l.
func (l load) headroom() float64 {
	headroom := math.Inf(1)
	for _, part := range []float64{l.CPU / budgetCPU, l.Memory / budgetMemory, l.Traffic / budgetTraffic} {
		if part > 0 {
			headroom = min(headroom, 1/part)
		}
	}
	return headroom
}

const bytesPerMB = 1e6

// role is one function of an instance.
type role struct {
	name         string
	mechanism    string
	state        string
	bottleneck   string
	dataPath     bool // On the path of requests and responses, not control.
	singleHolder bool // Held by one instance of each availability zone or of the fleet.
	zoneReaders  bool // Sends messages only on the two readers of each availability zone.
	load         func(m *Measurements, d *Deployment) load
}

var roles = []role{
	{"relay", "`rcrelay`, `rcsse`: one buffer per stream, bounded replay", "active streams, 32 MiB of replay",
		"processor time; then the replay buffers, which are retained for less than 60 s once they are full", true, false, false, relayLoad},
	{"engine selection with prefix index", "`rcdecision`, `rcplacement`, `rcindex`: rendezvous candidates, bounded index", "index entries, 500 engines",
		"memory of the index, which `MaxBytes` bounds; blocks outside of the index are found by placement only", false, false, false, chooserLoad},
	{"limiter", "`rclimit`: shares, fair queue; `rcdaemon` sums the batch sizes of all engines at most 4 times per second", "active accounts",
		"processor time of the sum, which grows with the number of engines", false, false, false, limiterLoad},
	{"upstream watcher", "`rcwatch`: load reports within 2,000 B/s, no cache events at this size", "Upstreams table",
		"age of load reports", false, false, false, watcherLoad},
	{"instance list reader", "`rcwatch` reads the complete list every second, also for `rcmember`", "370 members",
		"size and decoding of the list", false, false, false, instanceListLoad},
	{"configuration reader", "`rcrevision`, `rcconfig`: two readers in each availability zone, which answer the other instances; deltas; a full parse for each change", "one parsed document",
		"parsing, which grows with the product of accounts and changes", false, false, true, configLoad},
	{"configuration client", "`rcrevision`: one request per second to a reader of the zone", "none",
		"responses of the two readers, which grow with the zone", false, false, false, configClientLoad},
	{"order leader", "`rclease`, `rcorder`: one lease row, intent rows", "intents",
		"nothing at this size: one row is renewed", false, true, false, leaderLoad},
	{"snapshot writer", "`rcsnapshot`: one instance of each availability zone, every two minutes", "one encoded snapshot",
		"size of a snapshot; entries above 8,000 are omitted", false, true, false, snapshotLoad},
	{"at-most-once records", "`rcidem`: two transactions per booking, grouped only while other transactions run", "calls in flight",
		"retention: the sweep examines 40 rows/s (see below)", false, false, false, recordLoad},
}

func relayLoad(m *Measurements, d *Deployment) load {
	relay, tokens := m.series("Relay"), d.perInstanceShare(d.TokensPerSecond)
	return load{
		CPU:     (tokens*relay.Slope + d.perInstanceShare(d.RequestsPerSecond)*relay.Intercept) / 1e3,
		Memory:  min(replayBytes, replayDemandBytes(d)) / bytesPerMB,
		Traffic: tokens * m.series("TokenBytes").Slope,
	}
}

// replayDemandBytes returns the bytes needed to retain all responses for the whole
// replay retention.
func replayDemandBytes(d *Deployment) float64 {
	return replayRetention * (d.perInstanceShare(d.TokensPerSecond)*replayTokenBytes + d.perInstanceShare(d.RequestsPerSecond)*replayStreamBytes)
}

func chooserLoad(m *Measurements, d *Deployment) load {
	cpu := d.perInstanceShare(d.RequestsPerSecond) * m.series("Decision").at(d.Engines)
	if d.watchesAllEngines() {
		cpu += d.CacheEventsPerSecond * m.series("Event").at(1) // Each instance reads the events of all engines.
	}
	return load{CPU: cpu / 1e3, Memory: m.series("IndexMemory").at(d.indexEntries()) / bytesPerMB}
}

func limiterLoad(m *Measurements, d *Deployment) load {
	calls := m.series("AdmitCapacityCalls").last().Value
	request := max(m.series("AdmitAccounts").at(d.Accounts), m.series("AdmitPeers").at(d.DemandPeers)) + m.series("FindAccount").at(d.Accounts)
	sums := min(calls*d.perInstanceShare(d.RequestsPerSecond), maxCapacitySumsPerSecond)
	l := load{
		CPU:    (d.perInstanceShare(d.RequestsPerSecond)*request + sums*m.series("Capacity").at(d.Engines)) / 1e3,
		Memory: m.series("AccountMemory").at(d.Accounts) / bytesPerMB,
	}
	if d.DemandPeers > 0 {
		l.CPU += m.series("Demands").at(d.Accounts) / usageInterval / 1e3
		l.Traffic = d.DemandPeers * m.series("UsageBytes").at(d.Accounts) / usageInterval
	}
	return l
}

func watcherLoad(m *Measurements, d *Deployment) load {
	reports, traffic := watchBytesPerSecond/float64(estimatedReportBytes), float64(watchBytesPerSecond)
	if d.watchesAllEngines() {
		polls := d.Engines / reportInterval
		reports = polls
		events := m.series("EventBatchBytes")
		traffic = polls*(m.series("ReportBytes").at(1)+events.Intercept) + d.CacheEventsPerSecond*events.Slope
	}
	return load{
		CPU:     reports * m.series("ReportRead").at(1) / 1e3,
		Memory:  m.series("UpstreamMemory").at(d.Engines) / bytesPerMB,
		Traffic: traffic,
	}
}

func instanceListLoad(m *Measurements, d *Deployment) load {
	return load{
		CPU:     listReadsPerSecond * m.series("ListDecode").at(d.Upstreams) / 1e3,
		Traffic: listReadsPerSecond * m.series("ListBytes").at(d.Upstreams),
	}
}

func configLoad(m *Measurements, d *Deployment) load {
	return load{
		CPU:     d.ConfigChangesPerDay / secondsPerDay * m.series("ConfigParse").at(d.Accounts) / 1e3,
		Memory:  (m.series("ConfigMemory").at(d.Accounts) + m.series("ConfigBytes").at(d.Accounts)) / bytesPerMB,
		Traffic: m.series("ReadBytes").at(headRowBytes) + configPeerTraffic(d, configReaderBytes),
	}
}

func configClientLoad(_ *Measurements, d *Deployment) load {
	return load{Traffic: configPeerTraffic(d, configClientBytes)}
}

// configPeerTraffic returns bytes, or 0 if all instances are readers, which send no
// requests to each other.
func configPeerTraffic(d *Deployment, bytes float64) float64 {
	if d.instancesPerZone() <= configReadersPerZone {
		return 0
	}
	return bytes
}

func leaderLoad(m *Measurements, _ *Deployment) load {
	return load{Traffic: m.series("CommitBytes").Intercept / 2 / leaseInterval}
}

func snapshotLoad(m *Measurements, d *Deployment) load {
	entries := min(snapshotEntries, d.indexEntries())
	size := m.series("SnapshotBytes").at(entries)
	return load{
		CPU:     (m.series("HotEntries").at(d.indexEntries()) + m.series("SnapshotEncode").at(entries)) / snapshotInterval / 1e3,
		Memory:  size / bytesPerMB,
		Traffic: size / snapshotInterval,
	}
}

func recordLoad(m *Measurements, d *Deployment) load {
	bookings := d.perInstanceShare(d.bookingsPerSecond())
	return load{
		CPU:     bookings * m.series("Booking").at(bookingResponseBytes) / 1e3,
		Traffic: bookings * m.series("CommitBytes").at(bookingResponseBytes),
	}
}

// controlLoad returns the total load of all control roles on one instance.
func controlLoad(m *Measurements, d *Deployment) (sum load) {
	for _, r := range roles {
		if !r.dataPath {
			sum = sum.plus(r.load(m, d))
		}
	}
	return sum
}

// ordinaryControlLoad returns the total load of the control roles that all instances
// have.
func ordinaryControlLoad(m *Measurements, d *Deployment) (sum load) {
	for _, r := range roles {
		if r.dataPath || r.singleHolder {
			continue
		}
		l := r.load(m, d)
		if r.zoneReaders {
			l.Traffic = 0
		}
		sum = sum.plus(l)
	}
	return sum
}
