package rccapacity

// mechanismLoad is the number of operations per second that one mechanism performs on
// the platform's services in the whole fleet.
type mechanismLoad struct {
	mechanism        string
	description      string
	tableWrites      float64
	tableReads       float64
	objectWrites     float64
	objectReads      float64
	onlyAfterRestart bool // Counted only while all instances restart.
}

// platformLoads returns the load of each mechanism on the table service and the object
// store.
func platformLoads(m *Measurements, d *Deployment) []mechanismLoad {
	commits := m.series("CommitsPerBooking").last().Value
	changes := d.ConfigChangesPerDay / secondsPerDay
	restarts := d.RestartsPerDay / secondsPerDay
	readers := configReadersPerZone * d.Zones
	return []mechanismLoad{
		{mechanism: "at-most-once records", description: "2 transactions per booking (measured); 1% of the requests are assumed to be bookings",
			tableWrites: commits * d.bookingsPerSecond()},
		{mechanism: "settlement and sweep of records", description: "one round every 5 s: scan of open calls, read of the cursor, page of 200 rows, write of the cursor",
			tableWrites: 1 / settleInterval, tableReads: 3 / settleInterval},
		{mechanism: "order lease", description: "one candidate of each availability zone reads and the holder writes, every 2.2 s on average",
			tableWrites: 1 / leaseInterval, tableReads: d.Zones / leaseInterval},
		{mechanism: "configuration readers", description: "2 instances of each availability zone read the head every second, and a delta for each change",
			tableWrites: changes, tableReads: readers * (1 + changes)},
		{mechanism: "verdicts", description: "one scan by each instance every 5 minutes and after a restart",
			tableReads: d.Instances/verdictInterval + restarts},
		{mechanism: "snapshots", description: "one write for each availability zone every 2 minutes, at most 2 reads after a restart",
			objectWrites: d.Zones / snapshotInterval, objectReads: 2 * restarts},
		{mechanism: "all instances restart together", description: "verdict scan, at most 10 configuration reads of each availability zone (bound of `TestBoundInForce`), at most 2 object reads, within 3 s",
			tableReads: (d.Instances + restartConfigReadsPerZone*d.Zones) / restartWindow, objectReads: 2 * d.Instances / restartWindow, onlyAfterRestart: true},
	}
}

// totals returns the total writes and reads of both services.
func totals(loads []mechanismLoad, restarting bool) (writes, reads float64) {
	for _, u := range loads {
		if u.onlyAfterRestart && !restarting {
			continue
		}
		writes += u.tableWrites + u.objectWrites
		reads += u.tableReads + u.objectReads
	}
	return writes, reads
}

// maxBookings returns the rate of bookings that exhausts the budget of writes.
func maxBookings(m *Measurements, d *Deployment) float64 {
	loads := platformLoads(m, d)
	writes, _ := totals(loads, false)
	perBooking := m.series("CommitsPerBooking").last().Value
	return (budgetWrites - (writes - perBooking*d.bookingsPerSecond())) / perBooking
}

// maxSweepRate is the rate of bookings at which the sweep no longer keeps up: it
// examines all rows, so it needs one step for each row within the retention.
const maxSweepRate = sweepPage / settleInterval

// retainedRows returns the mean number of retained rows. ok is false if it grows
// without bound. Each pass examines a row once until it finds the row expired, so a
// pass of duration T takes bookings × (retention + T) steps, and rows are retained
// for T/2 longer than the retention on average.
func retainedRows(bookings float64) (rows float64, ok bool) {
	if bookings >= maxSweepRate {
		return 0, false
	}
	pass := bookings * retention.Seconds() / (maxSweepRate - bookings)
	return bookings * (retention.Seconds() + pass/2), true
}

// reportAges returns the maximum age in seconds of the load reports of closely
// observed engines and of other engines.
func reportAges(d *Deployment) (observed, others float64) {
	if d.watchesAllEngines() {
		return reportInterval, reportInterval
	}
	watched := d.Engines * observersPerEngine / d.instancesPerZone()
	others = (d.Engines - watched + observedWeight*watched) * estimatedReportBytes / watchBytesPerSecond
	return others / observedWeight, others
}
