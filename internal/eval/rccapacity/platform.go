package rccapacity

// use is what one mechanism asks of the platform in a second, in the whole fleet.
type use struct {
	mechanism     string
	how           string
	tableWrites   float64
	tableReads    float64
	objectWrites  float64
	objectReads   float64
	onlyAfterHerd bool // Counted only in the seconds after all instances restart.
}

// platformUse returns the load of every mechanism on the table service and the object store.
func platformUse(m *Measurements, d *Deployment) []use {
	commits := m.series("CommitsPerBooking").last().Value
	changes := d.ConfigChangesPerDay / daySeconds
	restarts := d.RestartsPerDay / daySeconds
	readers := configReaders * d.Zones
	return []use{
		{mechanism: "at-most-once records", how: "2 transactions for each booking (measured), 1% of the requests assumed to be bookings",
			tableWrites: commits * d.bookings()},
		{mechanism: "settlement and sweep of records", how: "one round in 5 s: scan of open calls, cursor, page of 200 rows, cursor written",
			tableWrites: 1 / settleInterval, tableReads: 3 / settleInterval},
		{mechanism: "order lease", how: "one candidate of each availability zone reads, the holder writes, every 2.2 s on average",
			tableWrites: 1 / leaseInterval, tableReads: d.Zones / leaseInterval},
		{mechanism: "configuration readers", how: "2 of each availability zone read the head each second, and a delta for each change",
			tableWrites: changes, tableReads: readers * (1 + changes)},
		{mechanism: "verdicts", how: "one scan by each instance in 5 minutes and after a restart",
			tableReads: d.Instances/verdictInterval + restarts},
		{mechanism: "snapshots", how: "one pusher of each availability zone in 2 minutes, at most 2 reads after a restart",
			objectWrites: d.Zones / snapshotInterval, objectReads: 2 * restarts},
		{mechanism: "all instances restart together", how: "verdict scan, at most 10 configuration reads of each availability zone (bound of `TestBoundInForce`), at most 2 object reads, within 3 s",
			tableReads: (d.Instances + herdConfigReads*d.Zones) / herdSeconds, objectReads: 2 * d.Instances / herdSeconds, onlyAfterHerd: true},
	}
}

// sum adds up what is asked of both services.
func sum(uses []use, herd bool) (writes, reads float64) {
	for _, u := range uses {
		if u.onlyAfterHerd && !herd {
			continue
		}
		writes += u.tableWrites + u.objectWrites
		reads += u.tableReads + u.objectReads
	}
	return writes, reads
}

// maxBookings returns the rate of bookings that uses up the writes.
func maxBookings(m *Measurements, d *Deployment) float64 {
	uses := platformUse(m, d)
	writes, _ := sum(uses, false)
	perBooking := m.series("CommitsPerBooking").last().Value
	return (budgetWrites - (writes - perBooking*d.bookings())) / perBooking
}

// maxSweep returns the rate of bookings at which the sweep no longer keeps up:
// it looks at all rows, so it needs one step for each row of the retention.
const maxSweep = sweepPage / settleInterval

// keptRows returns the mean number of rows that are kept, or ok false if they
// grow without end. A row is looked at once in each pass until a pass finds it
// expired, so a pass of duration T takes bookings × (retention + T) steps, and
// rows are kept for T/2 longer than the retention on average.
func keptRows(bookings float64) (rows float64, ok bool) {
	if bookings >= maxSweep {
		return 0, false
	}
	pass := bookings * retention.Seconds() / (maxSweep - bookings)
	return bookings * (retention.Seconds() + pass/2), true
}

// reportAges returns how old the load reports of closely observed and of other
// engines get, in seconds.
func reportAges(d *Deployment) (observed, others float64) {
	if d.watchesAll() {
		return reportInterval, reportInterval
	}
	watched := d.Engines * observers / d.perZone()
	others = (d.Engines - watched + observedWeight*watched) * reportEstimate / watchBytes
	return others / observedWeight, others
}
