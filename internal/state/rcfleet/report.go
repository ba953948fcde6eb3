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
	keys := slices.Sorted(maps.Keys(r))
	data := r.appendLoads(nil, keys)
	late, capacities := r.appendLate(nil), r.appendCapacities(nil, keys)
	if len(capacities) > 0 || len(late) > 1 {
		data = append(append(data, late...), capacities...)
	}
	return base64.RawStdEncoding.AppendEncode(nil, data), nil
}

func (r LoadReport) appendLoads(data []byte, keys []UpstreamKey) []byte {
	data = binary.AppendUvarint(data, uint64(len(keys)))
	last := UpstreamKey(0)
	for _, key := range keys {
		l := r[key]
		data = binary.AppendUvarint(data, uint64(key-last))
		data = binary.AppendUvarint(data, uint64(max(0, l.Running)))
		data = binary.AppendUvarint(data, uint64(max(0, l.Prefilling)+prefillingUnit-1)/prefillingUnit)
		last = key
	}
	return data
}

// appendLate appends the late part of the loads, which is an empty list if there is none.
// Instances of versions that know none ignore what follows the loads.
func (r LoadReport) appendLate(data []byte) []byte {
	late := LoadReport{}
	for key, l := range r {
		if l.Late != (Late{}) {
			late[key] = Load{Running: l.Late.Running, Prefilling: l.Late.Prefilling}
		}
	}
	return late.appendLoads(data, slices.Sorted(maps.Keys(late)))
}

// heldUnit is the unit in which reports count the tokens in memory, rounded up.
const heldUnit = 64

// appendCapacities appends what the report says of speed and memory, if anything. It follows
// the late part, where instances that do not know of it stop reading. Upstreams are named by
// their places in the list, since a key takes four bytes.
func (r LoadReport) appendCapacities(data []byte, keys []UpstreamKey) []byte {
	last := -1
	for i, key := range keys {
		l := r[key]
		if l.Held <= 0 && l.Speed.Count <= 0 {
			continue
		}
		data = binary.AppendUvarint(data, uint64(i-last))
		data = binary.AppendUvarint(data, uint64(max(0, l.Held)+heldUnit-1)/heldUnit)
		data = binary.AppendUvarint(data, uint64(max(0, l.Speed.Count)))
		if l.Speed.Count > 0 {
			data = binary.AppendUvarint(data, uint64(max(0, l.Speed.Sum)))
		}
		last = i
	}
	return data
}

// readCapacities reads what appendCapacities wrote for the upstreams in the order of the
// list.
func (r LoadReport) readCapacities(d *reportReader, keys []UpstreamKey) {
	for i := -1; len(d.data) > 0; {
		step := d.int()
		if step < 1 || step > len(keys)-1-i {
			d.next(0)
			return
		}
		i += step
		l := r[keys[i]]
		l.Held = d.int() * heldUnit
		if l.Speed.Count = d.int(); l.Speed.Count > 0 {
			l.Speed.Sum = d.int()
		}
		r[keys[i]] = l
	}
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (r *LoadReport) UnmarshalText(text []byte) error {
	d, err := newReportReader(text)
	if err != nil {
		return err
	}
	report, keys := d.loads()
	if len(d.data) > 0 {
		late, _ := d.loads()
		for key, load := range late {
			if l, ok := report[key]; ok {
				l.Late = Late{Running: load.Running, Prefilling: load.Prefilling}
				report[key] = l
			}
		}
	}
	report.readCapacities(d, keys)
	*r = report
	return d.err
}

// loads reads a list of loads and the order of their upstreams in it.
func (d *reportReader) loads() (loads LoadReport, keys []UpstreamKey) {
	n := d.count()
	loads, keys = make(LoadReport, n), make([]UpstreamKey, 0, n)
	key := UpstreamKey(0)
	for range n {
		key += UpstreamKey(d.uvarint())
		loads[key] = Load{Running: d.int(), Prefilling: d.int() * prefillingUnit}
		keys = append(keys, key)
	}
	return loads, keys
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
