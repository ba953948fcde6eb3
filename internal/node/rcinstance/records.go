package rcinstance

import (
	"cmp"
	"slices"
	"time"

	"github.com/radishcrank/radishcrank/internal/limits/rcpoison"
)

const (
	// recentRecordTime is how long a crash record takes precedence over older ones.
	recentRecordTime = 2 * time.Second
	// maxUrgentBytes and maxOtherBytes bound the sizes of the crash records in one message,
	// of the 64 KiB that it may have.
	maxUrgentBytes = 20 << 10
	maxOtherBytes  = 2 << 10
	// recordBytes, crashBytes and voidedBytes are the sizes of a record and its entries.
	recordBytes = 150
	crashBytes  = 110
	voidedBytes = 40
)

// recordExchange selects the crash records for each message: verdicts and recent records,
// and some of the others in turn. An instance that lacks a verdict, for instance after a
// cut, harms upstreams.
type recordExchange struct {
	last rcpoison.Key // Of the other records, the last one that was sent.
}

// next returns the records for the next message. records is sorted by key.
func (e *recordExchange) next(records []rcpoison.Record, now time.Time) (selected []rcpoison.Record) {
	var urgent, others []rcpoison.Record
	for _, r := range records {
		if r.Verdict || now.Sub(r.Updated) < recentRecordTime {
			urgent = append(urgent, r)
		} else {
			others = append(others, r)
		}
	}
	slices.SortStableFunc(urgent, func(a, b rcpoison.Record) int {
		return cmp.Or(cmp.Compare(urgency(a), urgency(b)), b.Updated.Compare(a.Updated))
	})
	selected = fitting(urgent, maxUrgentBytes)
	first, _ := slices.BinarySearchFunc(others, e.last+"\x00", func(r rcpoison.Record, k rcpoison.Key) int { return cmp.Compare(r.Key, k) })
	inTurn := fitting(slices.Concat(others[first:], others[:first]), maxOtherBytes)
	if len(inTurn) > 0 {
		e.last = inTurn[len(inTurn)-1].Key
	}
	return append(selected, inTurn...)
}

// fitting returns the first records that fit into a number of bytes.
func fitting(records []rcpoison.Record, bytes int) []rcpoison.Record {
	for n, r := range records {
		if bytes -= recordBytes + crashBytes*len(r.Crashes) + voidedBytes*len(r.Voided); bytes < 0 {
			return records[:n]
		}
	}
	return records
}

func urgency(r rcpoison.Record) int {
	if r.Verdict {
		return 0
	}
	return 1
}
