package rcfleet

import (
	"encoding/base64"
	"encoding/binary"
	"errors"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/radishcrank/radishcrank"
)

// Instances report to each other several times a second what they know of all
// upstreams. The reports name upstreams and prompt parts by hashes, since IDs, salts and
// part names would take more than nine tenths of them. Two upstreams whose keys collide
// count each other's load, which misplaces some requests: among 500 upstreams any two
// collide with a probability of 3 in 100,000.

// UpstreamKey names an upstream or KV store in reports.
type UpstreamKey uint32

// KeyOf returns the key of an upstream or KV store.
func KeyOf(id radishcrank.UpstreamID) UpstreamKey { return keyOfHash(xxhash.Sum64String(string(id))) }

func keyOfHash(h uint64) UpstreamKey { return UpstreamKey(h >> 32) }

// PartKey names a prompt part within its cache scope.
type PartKey uint64

func keyOfPart(salt, part string) PartKey {
	var d xxhash.Digest
	d.Reset()
	d.WriteString(salt)
	d.WriteString("\x00")
	d.WriteString(part)
	return PartKey(d.Sum64())
}

// LoadReport is the load on upstreams. Those that are missing have none.
type LoadReport map[UpstreamKey]Load

// prefillingUnit is the unit in which reports count prompt tokens, rounded up.
const prefillingUnit = 16

// maxReportEntries bounds what a report may make its reader allocate.
const maxReportEntries = 1 << 16

var errMalformedReport = errors.New("malformed report")

// MarshalText implements encoding.TextMarshaler.
func (r LoadReport) MarshalText() ([]byte, error) {
	data := r.appendLoads(nil)
	return base64.RawStdEncoding.AppendEncode(nil, r.appendLate(data)), nil
}

func (r LoadReport) appendLoads(data []byte) []byte {
	data = binary.AppendUvarint(data, uint64(len(r)))
	last := UpstreamKey(0)
	for _, key := range slices.Sorted(maps.Keys(r)) {
		l := r[key]
		data = binary.AppendUvarint(data, uint64(key-last))
		data = binary.AppendUvarint(data, uint64(max(0, l.Running)))
		data = binary.AppendUvarint(data, uint64(max(0, l.Prefilling)+prefillingUnit-1)/prefillingUnit)
		last = key
	}
	return data
}

// appendLate appends the late part of the loads. Instances of versions that know none
// ignore what follows the loads.
func (r LoadReport) appendLate(data []byte) []byte {
	late := LoadReport{}
	for key, l := range r {
		if l.Late != (Late{}) {
			late[key] = Load{Running: l.Late.Running, Prefilling: l.Late.Prefilling}
		}
	}
	if len(late) == 0 {
		return data
	}
	return late.appendLoads(data)
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (r *LoadReport) UnmarshalText(text []byte) error {
	d, err := newReportReader(text)
	if err != nil {
		return err
	}
	report := d.loads()
	if len(d.data) > 0 {
		for key, late := range d.loads() {
			if l, ok := report[key]; ok {
				l.Late = Late{Running: late.Running, Prefilling: late.Prefilling}
				report[key] = l
			}
		}
	}
	*r = report
	return d.err
}

func (d *reportReader) loads() LoadReport {
	n := d.count()
	loads := make(LoadReport, n)
	key := UpstreamKey(0)
	for range n {
		key += UpstreamKey(d.uvarint())
		loads[key] = Load{Running: d.int(), Prefilling: d.int() * prefillingUnit}
	}
	return loads
}

// CachedParts reports that an upstream or KV store has prompt parts in its cache.
type CachedParts struct {
	Upstream UpstreamKey
	Parts    []PartKey // In the order of the prompt.
}

// NewCachedParts returns the report of parts that are cached under a salt.
func NewCachedParts(id radishcrank.UpstreamID, salt string, parts []radishcrank.PromptPart) (c CachedParts) {
	c.Upstream = KeyOf(id)
	for _, p := range parts {
		c.Parts = append(c.Parts, keyOfPart(salt, p.ID))
	}
	return c
}

// CachedReport is a list of reports on cached parts.
type CachedReport []CachedParts

// MarshalText implements encoding.TextMarshaler.
func (r CachedReport) MarshalText() ([]byte, error) {
	data := binary.AppendUvarint(nil, uint64(len(r)))
	for _, c := range r {
		data = binary.LittleEndian.AppendUint32(data, uint32(c.Upstream))
		data = binary.AppendUvarint(data, uint64(len(c.Parts)))
		for _, p := range c.Parts {
			data = binary.LittleEndian.AppendUint64(data, uint64(p))
		}
	}
	return base64.RawStdEncoding.AppendEncode(nil, data), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (r *CachedReport) UnmarshalText(text []byte) error {
	d, err := newReportReader(text)
	if err != nil {
		return err
	}
	report := make(CachedReport, d.count())
	for i := range report {
		report[i].Upstream = UpstreamKey(d.uint32())
		report[i].Parts = make([]PartKey, d.count())
		for j := range report[i].Parts {
			report[i].Parts[j] = PartKey(d.uint64())
		}
	}
	*r = report
	return d.err
}

// reportReader reads the binary form of a report. After an error it returns zeros.
type reportReader struct {
	data []byte
	err  error
}

func newReportReader(text []byte) (d *reportReader, err error) {
	data, err := base64.RawStdEncoding.AppendDecode(nil, text)
	return &reportReader{data: data}, err
}

func (d *reportReader) next(n int) (b []byte) {
	if n <= 0 || n > len(d.data) {
		d.data, d.err = nil, errMalformedReport
		return make([]byte, 8)
	}
	b, d.data = d.data[:n], d.data[n:]
	return b
}

func (d *reportReader) uint32() uint32 { return binary.LittleEndian.Uint32(d.next(4)) }

func (d *reportReader) uint64() uint64 { return binary.LittleEndian.Uint64(d.next(8)) }

func (d *reportReader) uvarint() uint64 {
	v, n := binary.Uvarint(d.data)
	if n <= 0 {
		d.next(0)
		return 0
	}
	d.next(n)
	return v
}

// int reads a number that is far below the limits of int.
func (d *reportReader) int() int { return int(min(d.uvarint(), 1<<31-1)) }

// count reads a number of entries, of which each takes at least a byte.
func (d *reportReader) count() int {
	n := d.uvarint()
	if n > uint64(len(d.data)) || n > maxReportEntries {
		d.next(0)
		return 0
	}
	return int(n)
}
