package rcadmission

import (
	"sync"
	"time"

	"github.com/radishcrank/radishcrank"
)

const (
	// recentSeconds is the number of full seconds that the demand of an account now is
	// taken from, and the current one.
	recentSeconds = 2
	// usualLag is how long ago the usual demand ends, so that a surge of some seconds does
	// not count as usual.
	usualLag = 8
	// usualSeconds is how far back the usual demand goes.
	usualSeconds = 60
	// minUsualSeconds is how much of it must be known.
	minUsualSeconds = 4
	// surgeFactor times its usual demand is more than an account has when all callers of a
	// request class send more, which is up to 2.6 times the usual.
	surgeFactor = 3
	// minSurge is by how many requests the recent demand must exceed that, so that chance
	// alone makes no surge.
	minSurge = 4
)

// Accounts tracks the demand of client accounts at this instance. It is safe for concurrent
// use.
//
// It addresses one account that sends many times its usual demand for some seconds: without
// it all accounts are late alike.
type Accounts struct {
	mu        sync.Mutex
	all       demand
	byAccount map[radishcrank.ClientAccountID]*demand
}

// demand counts requests by second.
type demand struct {
	counts [usualSeconds]uint32 // The count of second s is at index s modulo the length.
	first  int64                // Of the seconds that were counted.
	last   int64
}

// advance clears the seconds since the last count.
func (d *demand) advance(second int64) {
	if d.first == 0 {
		d.first, d.last = second, second
	}
	for s := max(d.last+1, second-usualSeconds+1); s <= second; s++ {
		d.counts[s%usualSeconds] = 0
	}
	d.last = max(d.last, second)
}

// rates returns the number of recent requests, and the number that is usual in the same
// time. known is false while there is no usual demand.
func (d *demand) rates(now time.Time) (recent, usual float64, known bool) {
	second := now.Unix()
	d.advance(second)
	for s := max(d.first, second-recentSeconds); s <= second; s++ {
		recent += float64(d.counts[s%usualSeconds])
	}
	begin, end := max(d.first, second-usualSeconds+1), second-usualLag
	if end-begin < minUsualSeconds {
		return recent, 0, false
	}
	for s := begin; s < end; s++ {
		usual += float64(d.counts[s%usualSeconds])
	}
	duration := recentSeconds + float64(now.Nanosecond())/1e9
	return recent, usual / float64(end-begin) * duration, true
}

// Record records a request of an account. excess is the share of the account's recent
// demand that exceeds its usual one, or 0 if that is not many times higher. Demand that has
// risen for the other accounts too, as when callers move here from elsewhere, is not excess.
func (a *Accounts) Record(account radishcrank.ClientAccountID, now time.Time) (excess float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.byAccount == nil {
		a.byAccount = map[radishcrank.ClientAccountID]*demand{}
	}
	d, ok := a.byAccount[account]
	if !ok {
		d = &demand{first: a.all.first}
		a.byAccount[account] = d
	}
	recent, usual, known := d.rates(now)
	allRecent, allUsual, _ := a.all.rates(now)
	d.counts[now.Unix()%usualSeconds]++
	a.all.counts[now.Unix()%usualSeconds]++
	if !known || account == "" {
		return 0
	}
	if others := allUsual - usual; others > 0 {
		usual *= max(1, (allRecent-recent)/others)
	}
	if recent <= surgeFactor*usual+minSurge {
		return 0
	}
	return 1 - usual/recent
}
