package rccapacity

import "time"

// Budgets of the design page: per instance for control, and for the table
// service and the object store together. "Several hundred writes/s" is read as 300.
const (
	budgetCPU     = 28.0  // ms/s
	budgetMemory  = 256.0 // MB
	budgetTraffic = 3000.0
	budgetWrites  = 300.0
	budgetReads   = 2000.0
)

// Constants of other packages that they do not export.
const (
	listReads        = 1.0  // rcwatch, a second.
	reportInterval   = 0.25 // rcwatch, seconds.
	watchBytes       = 2000 // rcwatch, B/s above observeAll engines.
	watchAll         = 64   // rcwatch, observeAll.
	reportEstimate   = 700  // rcwatch, reportBytes.
	observers        = 2    // rcwatch, of each engine.
	observedWeight   = 4    // rcwatch.
	usagePeers       = 15   // rcdaemon, maxUsagePeers.
	usageInterval    = 2    // rcdaemon, seconds.
	capacitySums     = 4.0  // rcdaemon, a second at most.
	configReaders    = 2    // Of an availability zone; rcrevision reads each second.
	leaseInterval    = 10.0 / 4 * 7 / 8
	verdictInterval  = 300.0 // rcdaemon, seconds.
	snapshotInterval = 120.0 // rcsnapshot, seconds.
	snapshotEntries  = 8000  // rcsnapshot, MaxEntries.
	settleInterval   = 5.0   // rcidem, seconds between two rounds in the whole fleet.
	sweepPage        = 200   // rcidem, rows of one round.
	retention        = 72 * time.Hour
	replayBytes      = 32 << 20 // rcrelay, MaxReplayTotalBytes.
	replayRetention  = 60.0     // rcrelay, seconds.
	replayToken      = 32 + 5   // rcrelay, tokenOverhead and a text of 5 bytes.
	replayStream     = 1024     // rcrelay, streamOverhead.
	maxFrame         = 64 << 10 // rcrpc, MaxMessageBytes.
	herdSeconds      = 3.0      // rcsnapshot, warmUpTimeout.
	herdConfigReads  = 10       // Of a zone, as TestBoundInForce of rcrevision allows.
)

// B/s that rcrevision sends to peers with 374 instances, as TestBoundInForce
// logged it on 2026-12-04: each instance in the mean, and the busiest reader.
const (
	configAskBytes    = 155.0
	configReaderBytes = 1215.0
)

// Assumptions that the design page does not state.
const (
	bookingShare  = 0.01 // Of the requests.
	bookingAnswer = 256  // Bytes.
	headRow       = 64   // Bytes of config/head.
)

// Deployment is the size of a fleet.
type Deployment struct {
	Name                 string
	Zones                float64
	Instances            float64
	Upstreams            float64 // All that the instance list names.
	Engines              float64 // On the board of one instance.
	CacheBlocksPerEngine float64 // Of one engine.
	RequestsPerSecond    float64 // A second, in the whole fleet.
	TokensPerSecond      float64
	CacheEventsPerSecond float64
	Accounts             float64
	ConfigChangesPerDay  float64 // A day.
	RestartsPerDay       float64 // A day, failures included.
	DemandPeers          float64 // Peers that an instance sends demands to.
}

// perInstance returns the part of one instance.
func (d *Deployment) perInstance(total float64) float64 { return total / d.Instances }

// perZone returns the instances of one availability zone.
func (d *Deployment) perZone() float64 { return d.Instances / d.Zones }

// bookings returns the calls a second that run at most once.
func (d *Deployment) bookings() float64 { return bookingShare * d.RequestsPerSecond }

// watchesAll reports whether an instance reads the reports and events of all engines.
func (d *Deployment) watchesAll() bool { return d.Engines <= watchAll }

// entries returns the index entries of one instance, which holds all blocks that
// it hears of up to its bound.
func (d *Deployment) entries() float64 {
	return min(float64(fullIndex), d.Engines*d.CacheBlocksPerEngine)
}

func newDeployment(d Deployment) Deployment {
	if d.Instances <= usagePeers+1 {
		d.DemandPeers = d.Instances - 1
	}
	return d
}

// Target is the target size of the design page.
var Target = newDeployment(Deployment{
	Name: "target", Zones: 11, Instances: 370, Upstreams: 5500, Engines: 500, CacheBlocksPerEngine: 36_364,
	RequestsPerSecond: 14_000, TokensPerSecond: 3_200_000, CacheEventsPerSecond: 280_000, Accounts: 3000, ConfigChangesPerDay: 3700, RestartsPerDay: 1810,
})

// Rates of today's fleets are ceilings of the engine model of
// docs/measurements.md, since the design page states none: 12 engines that
// decode 16 requests at 100 tokens/s each and prefill 20,000 tokens/s, which
// stores and evicts 10 blocks of 2,000 tokens a second each.
const (
	todayTokens = 12 * 16 * 100
	todayEvents = 12 * 2 * 10
	// 90% of the capacity that TestTarget of rceval prints, seed 20261203.
	rigaRequests  = 72.0
	sofiaRequests = 85.7
)

// Riga and Sofia are today's fleets with 6 instances, the fewest, which have
// the largest parts. Changes and restarts a day are assumed.
var (
	Riga = newDeployment(Deployment{
		Name: "Riga", Zones: 3, Instances: 6, Upstreams: 15, Engines: 12, CacheBlocksPerEngine: 2000,
		RequestsPerSecond: rigaRequests, TokensPerSecond: todayTokens, CacheEventsPerSecond: todayEvents, Accounts: 8, ConfigChangesPerDay: 24, RestartsPerDay: 24,
	})
	Sofia = newDeployment(Deployment{
		Name: "Sofia", Zones: 4, Instances: 6, Upstreams: 16, Engines: 12, CacheBlocksPerEngine: 2000,
		RequestsPerSecond: sofiaRequests, TokensPerSecond: todayTokens, CacheEventsPerSecond: todayEvents, Accounts: 8, ConfigChangesPerDay: 24, RestartsPerDay: 24,
	})
)

const daySeconds = 24 * 3600
