package rclimit

import (
	"cmp"
	"encoding/base64"
	"encoding/binary"
	"errors"
	"slices"
	"time"

	"github.com/radishcrank/radishcrank"
)

var errMalformedUsage = errors.New("malformed report of usage")

// MarshalText implements encoding.TextMarshaler. Numbers are variable-length, and keys and
// slots are differences to the entry before and to the newest slot.
func (r UsageReport) MarshalText() ([]byte, error) {
	entries := slices.Clone(r.Entries)
	slices.SortFunc(entries, func(a, b UsageEntry) int {
		return cmp.Or(cmp.Compare(a.Key, b.Key), cmp.Compare(a.Slot, b.Slot))
	})
	newest := int64(0)
	for _, e := range entries {
		newest = max(newest, e.Slot)
	}
	var data []byte
	for _, name := range []string{string(r.Zone), string(r.From)} {
		data = binary.AppendUvarint(data, uint64(len(name)))
		data = append(data, name...)
	}
	for _, n := range []uint64{uint64(r.Process), r.Number, uint64(r.Members), uint64(max(0, r.Age) / time.Millisecond), uint64(newest)} {
		data = binary.AppendUvarint(data, n)
	}
	last := AccountKey(0)
	for _, e := range entries {
		data = binary.AppendUvarint(data, uint64(e.Key-last))
		data = binary.AppendUvarint(data, uint64(newest-e.Slot))
		data = binary.AppendUvarint(data, e.Used)
		data = binary.AppendUvarint(data, e.Offered-min(e.Offered, e.Used))
		last = e.Key
	}
	return base64.RawStdEncoding.AppendEncode(nil, data), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (r *UsageReport) UnmarshalText(text []byte) (err error) {
	data, err := base64.RawStdEncoding.AppendDecode(nil, text)
	if err != nil {
		return err
	}
	next := func() uint64 {
		v, n := binary.Uvarint(data)
		if n <= 0 {
			data, err = nil, errMalformedUsage
			return 0
		}
		data = data[n:]
		return v
	}
	name := func() (s string) {
		n := next()
		if n > uint64(len(data)) {
			data, err = nil, errMalformedUsage
			return ""
		}
		s, data = string(data[:n]), data[n:]
		return s
	}
	*r = UsageReport{Zone: radishcrank.AvailabilityZone(name()), From: radishcrank.InstanceID(name())}
	r.Process, r.Number, r.Members = int64(next()), next(), int(next())
	r.Age = min(time.Duration(next()), time.Hour/time.Millisecond) * time.Millisecond
	newest := int64(next())
	key := AccountKey(0)
	for err == nil && len(data) > 0 {
		key += AccountKey(next())
		e := UsageEntry{Key: key, Slot: newest - int64(next())}
		e.Used = next()
		e.Offered = e.Used + next()
		r.Entries = append(r.Entries, e)
	}
	return err
}
