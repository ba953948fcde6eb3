package rccapacity

import "time"

// Budgets from the design document: for the control plane of each instance, and for
// the table service and the object store together. "Several hundred writes/s" is
// taken as 300.
const (
	budgetCPU     = 28.0   // ms/s
	budgetMemory  = 256.0  // MB
	budgetTraffic = 3000.0 // B/s
	budgetWrites  = 300.0
	budgetReads   = 2000.0
)

// Constants of other packages that they do not export.
const (
	listReadsPerSecond        = 1.0  // rcwatch.
	reportInterval            = 0.25 // rcwatch, seconds.
	watchBytesPerSecond       = 2000 // rcwatch, defaultBytesPerSecond; applies above observeAll engines.
	maxFullyWatchedEngines    = 64   // rcwatch, observeAll.
	estimatedReportBytes      = 700  // rcwatch, reportBytes.
	observersPerEngine        = 2    // rcwatch, for each engine.
	observedWeight            = 4    // rcwatch.
	maxUsagePeers             = 15   // rcdaemon, maxUsagePeers.
	usageInterval             = 2    // rcdaemon, seconds.
	maxCapacitySumsPerSecond  = 4.0  // rcdaemon, 1/capacityAge.
	configReadersPerZone      = 2    // rcdaemon, readersPerZone; rcrevision reads each second.
	leaseInterval             = 10.0 / 4 * 7 / 8
	verdictInterval           = 300.0 // rcdaemon, seconds.
	snapshotInterval          = 120.0 // rcsnapshot, seconds.
	snapshotEntries           = 8000  // rcsnapshot, MaxEntries.
	settleInterval            = 5.0   // rcidem, seconds between two rounds of the whole fleet.
	sweepPage                 = 200   // rcidem, rows in one round.
	retention                 = 72 * time.Hour
	replayBytes               = 32 << 20 // rcrelay, MaxReplayTotalBytes.
	replayRetention           = 60.0     // rcrelay, seconds.
	replayTokenBytes          = 32 + 5   // rcrelay, tokenOverhead plus a text of 5 bytes.
	replayStreamBytes         = 1024     // rcrelay, streamOverhead.
	maxFrameBytes             = 64 << 10 // rcrpc, MaxMessageBytes.
	restartWindow             = 3.0      // rcsnapshot, warmUpTimeout in seconds.
	restartConfigReadsPerZone = 10       // The bound in TestBoundInForce of rcrevision.
)

// Traffic in B/s that rcrevision sends to peers in a fleet of 374 instances, as
// logged by TestBoundInForce on 2026-12-04: the mean of all instances, and that of
// the busiest reader.
const (
	configClientBytes = 155.0
	configReaderBytes = 1215.0
)

// Assumptions that the design document does not state.
const (
	bookingShare         = 0.01 // Share of all requests.
	bookingResponseBytes = 256  // Bytes.
	headRowBytes         = 64   // Size of the row config/head in bytes.
)

// Deployment describes the size and the traffic of a fleet.
type Deployment struct {
	Name                 string
	Zones                float64
	Instances            float64
	Upstreams            float64 // All upstreams in the instance list.
	Engines              float64 // Engines on the board of one instance.
	CacheBlocksPerEngine float64
	RequestsPerSecond    float64 // Of the whole fleet, as are the other rates.
	TokensPerSecond      float64
	CacheEventsPerSecond float64
	Accounts             float64
	ConfigChangesPerDay  float64
	RestartsPerDay       float64 // Including those after failures.
	DemandPeers          float64 // Peers to which an instance sends its demands.
}

// perInstanceShare returns the mean part of one instance in a total of the fleet.
func (d *Deployment) perInstanceShare(total float64) float64 { return total / d.Instances }

// instancesPerZone returns the mean number of instances in an availability zone.
func (d *Deployment) instancesPerZone() float64 { return d.Instances / d.Zones }

// bookingsPerSecond returns the rate of calls that run at most once.
func (d *Deployment) bookingsPerSecond() float64 { return bookingShare * d.RequestsPerSecond }

// watchesAllEngines reports whether an instance reads the load reports and cache
// events of all engines.
func (d *Deployment) watchesAllEngines() bool { return d.Engines <= maxFullyWatchedEngines }

// indexEntries returns the number of index entries of one instance. The index holds
// all reported blocks up to its capacity.
func (d *Deployment) indexEntries() float64 {
	return min(float64(fullIndexEntries), d.Engines*d.CacheBlocksPerEngine)
}

// newDeployment returns d with DemandPeers set. Larger fleets do not exchange demands.
func newDeployment(d Deployment) Deployment {
	if d.Instances <= maxUsagePeers+1 {
		d.DemandPeers = d.Instances - 1
	}
	return d
}

// Target is the target size in the design document.
var Target = newDeployment(Deployment{
	Name: "target", Zones: 11, Instances: 370, Upstreams: 5500, Engines: 500, CacheBlocksPerEngine: 36_364,
	RequestsPerSecond: 14_000, TokensPerSecond: 3_200_000, CacheEventsPerSecond: 280_000, Accounts: 3000, ConfigChangesPerDay: 3700, RestartsPerDay: 1810,
})

// The design document states no rates for the current fleets. These are upper bounds
// from the engine model of docs/measurements.md: 12 engines that each decode 16
// requests at 100 tokens/s and prefill 20,000 tokens/s, which stores 10 blocks of
// 2,000 tokens and evicts as many per second.
const (
	currentTokensPerSecond      = 12 * 16 * 100
	currentCacheEventsPerSecond = 12 * 2 * 10
	// 90% of the capacity that the TestTarget tests of rceval print with seed 20261203.
	rigaRequestsPerSecond  = 72.0
	sofiaRequestsPerSecond = 85.7
)

// Riga and Sofia are the current fleets with 6 instances, the smallest number, at
// which the load of each instance is highest. The numbers of changes and restarts
// per day are assumed.
var (
	Riga = newDeployment(Deployment{
		Name: "Riga", Zones: 3, Instances: 6, Upstreams: 15, Engines: 12, CacheBlocksPerEngine: 2000,
		RequestsPerSecond: rigaRequestsPerSecond, TokensPerSecond: currentTokensPerSecond, CacheEventsPerSecond: currentCacheEventsPerSecond, Accounts: 8, ConfigChangesPerDay: 24, RestartsPerDay: 24,
	})
	Sofia = newDeployment(Deployment{
		Name: "Sofia", Zones: 4, Instances: 6, Upstreams: 16, Engines: 12, CacheBlocksPerEngine: 2000,
		RequestsPerSecond: sofiaRequestsPerSecond, TokensPerSecond: currentTokensPerSecond, CacheEventsPerSecond: currentCacheEventsPerSecond, Accounts: 8, ConfigChangesPerDay: 24, RestartsPerDay: 24,
	})
)

const secondsPerDay = 24 * 3600
