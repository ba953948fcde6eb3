package rcsnapshot

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/radishcrank/radishcrank/internal/routing/rcindex"
)

// confidenceScale is the encoded value of confidence 1. With 250, the value fits a
// byte and 0.5 is exact.
const confidenceScale = 250

// appendRow encodes an entry: the block, the account tag and the confidence,
// followed by three uvarints: the index of its process, the depth plus one, and the
// age in seconds.
func appendRow(data []byte, e rcindex.Entry, process int, taken time.Time) []byte {
	data = append(data, e.Block[:]...)
	data = binary.BigEndian.AppendUint32(data, e.AccountTag)
	data = append(data, byte(math.Round(max(0, min(1, e.Confidence))*confidenceScale)))
	data = binary.AppendUvarint(data, uint64(process))
	data = binary.AppendUvarint(data, uint64(max(0, e.Depth+1)))
	return binary.AppendUvarint(data, uint64(max(0, taken.Sub(e.LastSeen))/time.Second))
}

// readRow decodes the first entry, without its upstream. It returns the entry, the
// index of its process and the encoded length, which is 0 if the data is corrupt.
func readRow(data []byte, taken time.Time) (e rcindex.Entry, process uint64, n int) {
	const fixedBytes = len(e.Block) + 4 + 1
	const maxDepth, maxAgeSeconds = 1 << 20, 1 << 30
	if len(data) < fixedBytes || data[fixedBytes-1] > confidenceScale {
		return e, 0, 0
	}
	n = copy(e.Block[:], data)
	e.AccountTag = binary.BigEndian.Uint32(data[n:])
	e.Confidence = float64(data[fixedBytes-1]) / confidenceScale
	n = fixedBytes
	var values [3]uint64
	for i := range values {
		v, size := binary.Uvarint(data[n:])
		if size <= 0 {
			return e, 0, 0
		}
		values[i] = v
		n += size
	}
	if values[1] > maxDepth || values[2] > maxAgeSeconds {
		return e, 0, 0
	}
	e.Depth = int(values[1]) - 1
	e.LastSeen = taken.Add(-time.Duration(values[2]) * time.Second)
	return e, values[0], n
}
