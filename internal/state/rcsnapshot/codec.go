package rcsnapshot

import (
	"bytes"
	"errors"
	"fmt"
	"time"

	"github.com/gravitational/trace"
	"github.com/zeebo/blake3"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/routing/rcindex"
	"github.com/radishcrank/radishcrank/internal/state/rcpack"
)

// A snapshot starts with the magic number, the format version and the BLAKE3 hash
// of the payload.
const (
	magic         = "RCSN"
	formatVersion = 1
	sumBytes      = 32
	headerBytes   = len(magic) + 1 + sumBytes
)

const (
	// MaxBytes bounds an encoded snapshot. One with MaxEntries entries and 5,500
	// circuit breakers takes less than 1 MB.
	MaxBytes = 4 << 20
	// MaxEntries bounds the prefix entries. 8,000 entries take about 230 KB, which an
	// instance can push every two minutes at 2 KB/s.
	MaxEntries = 8000
	// maxItems bounds each decoded list. A fleet has 5,500 upstreams.
	maxItems = 20000
	// maxClockSkew is the tolerated difference between the clocks of two instances.
	maxClockSkew = time.Minute
)

// Errors of Decode.
var (
	ErrCorrupt   = errors.New("snapshot is corrupt")
	ErrStale     = errors.New("snapshot is too old or from the future")
	ErrWrongZone = errors.New("snapshot belongs to another availability zone")
)

// VersionError is returned for a snapshot in a format that this program version
// cannot read.
type VersionError struct{ Version byte }

// Error implements error.
func (e *VersionError) Error() string {
	return fmt.Sprintf("snapshot has format version %d, want %d", e.Version, formatVersion)
}

// Suspect is a request content that was in flight when upstreams crashed.
type Suspect struct {
	Key       string
	Crashes   int
	Verdict   bool
	LastCrash time.Time
}

// Breaker is the state of the circuit breaker of one upstream.
type Breaker struct {
	Upstream  radishcrank.UpstreamID
	State     string
	Failures  int
	ChangedAt time.Time
}

// Content is the state that a restarted instance restores.
type Content struct {
	Prefixes []rcindex.Entry // Most valuable first.
	Suspects []Suspect
	Breakers []Breaker
}

// Snapshot is the content of one instance at TakenAt.
type Snapshot struct {
	Instance radishcrank.InstanceID
	Zone     radishcrank.AvailabilityZone
	TakenAt  time.Time
	Content
}

// process is one incarnation of an upstream. Entries refer to it by index.
type process struct {
	Upstream    radishcrank.UpstreamID
	Incarnation radishcrank.Incarnation
}

// body is the encoded payload. Fields may be added under the same format version;
// the version is increased when the meaning of a field changes.
type body struct {
	Instance  radishcrank.InstanceID
	Zone      radishcrank.AvailabilityZone
	TakenAt   int64 // Unix time in milliseconds.
	Processes []process
	Rows      []byte // Encoded by appendRow: with field names, these would take two thirds of the snapshot.
	Suspects  []Suspect
	Breakers  []Breaker
}

// Encode returns the encoded snapshot. Entries beyond MaxEntries are omitted.
func Encode(s Snapshot) (data []byte, err error) {
	defer func() {
		if err != nil {
			err = trace.Wrap(err, "encode snapshot")
		}
	}()
	b := body{
		Instance: s.Instance, Zone: s.Zone, TakenAt: s.TakenAt.UnixMilli(),
		Suspects: s.Suspects, Breakers: s.Breakers,
	}
	index := make(map[process]int)
	for _, e := range s.Prefixes[:min(len(s.Prefixes), MaxEntries)] {
		p := process{Upstream: e.Upstream, Incarnation: e.Incarnation}
		at, ok := index[p]
		if !ok {
			at = len(b.Processes)
			index[p] = at
			b.Processes = append(b.Processes, p)
		}
		b.Rows = appendRow(b.Rows, e, at, s.TakenAt)
	}
	payload, err := rcpack.Marshal(&b)
	if err != nil {
		return nil, err
	}
	if len(payload)+headerBytes > MaxBytes {
		return nil, fmt.Errorf("snapshot has %d bytes, limit is %d", len(payload)+headerBytes, MaxBytes)
	}
	return addHeader(payload), nil
}

// addHeader returns the payload with the header in front.
func addHeader(payload []byte) []byte {
	sum := blake3.Sum256(payload)
	data := make([]byte, 0, headerBytes+len(payload))
	data = append(data, magic...)
	data = append(data, formatVersion)
	data = append(data, sum[:]...)
	return append(data, payload...)
}

// Decode decodes a snapshot. It fails if the snapshot is corrupt, older than
// maxAge, from the future, or of another zone.
func Decode(data []byte, zone radishcrank.AvailabilityZone, now time.Time, maxAge time.Duration) (s Snapshot, err error) {
	defer func() {
		if err != nil {
			err = trace.Wrap(err, "decode snapshot of %d bytes", len(data))
		}
	}()
	payload, err := checkHeader(data)
	if err != nil {
		return Snapshot{}, err
	}
	var b body
	if err := rcpack.Unmarshal(payload, maxItems, &b); err != nil {
		return Snapshot{}, errors.Join(ErrCorrupt, err)
	}
	taken := time.UnixMilli(b.TakenAt)
	if age := now.Sub(taken); age > maxAge || age < -maxClockSkew {
		return Snapshot{}, ErrStale
	}
	if b.Zone != zone {
		return Snapshot{}, ErrWrongZone
	}
	return b.snapshot(taken)
}

// checkHeader checks the header and returns the payload.
func checkHeader(data []byte) ([]byte, error) {
	if len(data) < headerBytes || len(data) > MaxBytes || string(data[:len(magic)]) != magic {
		return nil, ErrCorrupt
	}
	if v := data[len(magic)]; v != formatVersion {
		return nil, &VersionError{Version: v}
	}
	payload := data[headerBytes:]
	if sum := blake3.Sum256(payload); !bytes.Equal(sum[:], data[len(magic)+1:headerBytes]) {
		return nil, ErrCorrupt
	}
	return payload, nil
}

// snapshot decodes the rows and returns the snapshot.
func (b *body) snapshot(taken time.Time) (Snapshot, error) {
	s := Snapshot{Instance: b.Instance, Zone: b.Zone, TakenAt: taken}
	s.Suspects, s.Breakers = b.Suspects, b.Breakers
	for rest := b.Rows; len(rest) > 0; {
		e, at, n := readRow(rest, taken)
		if n <= 0 || at >= uint64(len(b.Processes)) || len(s.Prefixes) == MaxEntries {
			return Snapshot{}, ErrCorrupt
		}
		e.Upstream, e.Incarnation = b.Processes[at].Upstream, b.Processes[at].Incarnation
		s.Prefixes = append(s.Prefixes, e)
		rest = rest[n:]
	}
	return s, nil
}
