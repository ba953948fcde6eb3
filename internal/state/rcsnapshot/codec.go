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

// A snapshot starts with the magic, the version and the BLAKE3 sum of the rest.
const (
	magic       = "RCSN"
	codecNumber = 1
	sumBytes    = 32
	headerBytes = len(magic) + 1 + sumBytes
)

const (
	// MaxBytes bounds a snapshot that is read. One with all entries and 5,500
	// breakers takes under 1 MB.
	MaxBytes = 4 << 20
	// MaxEntries bounds the prefix entries: 8,000 take about 230 KB, which an
	// instance can push every two minutes at 2 KB/s.
	MaxEntries = 8000
	// maxItems is above the 5,500 upstreams of a fleet.
	maxItems = 20000
	// maxSkew is how far the clocks of two instances may differ.
	maxSkew = time.Minute
)

// Errors of Decode.
var (
	ErrCorrupt   = errors.New("snapshot is corrupt")
	ErrStale     = errors.New("snapshot is too old or from the future")
	ErrWrongZone = errors.New("snapshot is of another availability zone")
)

// VersionError says that a snapshot has a format that this version cannot read.
type VersionError struct{ Version byte }

// Error implements error.
func (e *VersionError) Error() string {
	return fmt.Sprintf("snapshot has format %d, want %d", e.Version, codecNumber)
}

// Suspect is a request content that was in flight in crashes.
type Suspect struct {
	Key       string
	Crashes   int
	Verdict   bool
	LastCrash time.Time
}

// Breaker is the circuit breaker of one upstream.
type Breaker struct {
	Upstream  radishcrank.UpstreamID
	State     string
	Failures  int
	ChangedAt time.Time
}

// Content is what an instance needs to serve as if it had not restarted.
type Content struct {
	Prefixes []rcindex.Entry // Those worth most first.
	Suspects []Suspect
	Breakers []Breaker
}

// Snapshot is the content of one instance at one time.
type Snapshot struct {
	Instance radishcrank.InstanceID
	Zone     radishcrank.AvailabilityZone
	TakenAt  time.Time
	Content
}

// process is one incarnation of an upstream, named once for all its entries.
type process struct {
	Upstream    radishcrank.UpstreamID
	Incarnation radishcrank.Incarnation
}

// body is the encoded form. Fields may be added; the version changes when one
// changes its meaning.
type body struct {
	Instance  radishcrank.InstanceID
	Zone      radishcrank.AvailabilityZone
	TakenAt   int64 // Milliseconds since 1970.
	Processes []process
	Rows      []byte // As of appendRow, because field names would take two thirds of the snapshot.
	Suspects  []Suspect
	Breakers  []Breaker
}

// Encode returns the encoded snapshot. Entries beyond MaxEntries are left out.
func Encode(s Snapshot) (data []byte, err error) {
	defer func() {
		if err != nil {
			err = trace.Wrap(err, "encoding of a snapshot")
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
		return nil, fmt.Errorf("%d bytes are more than %d", len(payload)+headerBytes, MaxBytes)
	}
	return seal(payload), nil
}

// seal puts the header before a payload.
func seal(payload []byte) []byte {
	sum := blake3.Sum256(payload)
	data := make([]byte, 0, headerBytes+len(payload))
	data = append(data, magic...)
	data = append(data, codecNumber)
	data = append(data, sum[:]...)
	return append(data, payload...)
}

// Decode reads a snapshot and refuses one that is damaged, too old or of another zone.
func Decode(data []byte, zone radishcrank.AvailabilityZone, now time.Time, maxAge time.Duration) (s Snapshot, err error) {
	defer func() {
		if err != nil {
			err = trace.Wrap(err, "snapshot of %d bytes", len(data))
		}
	}()
	payload, err := open(data)
	if err != nil {
		return Snapshot{}, err
	}
	var b body
	if err := rcpack.Unmarshal(payload, maxItems, &b); err != nil {
		return Snapshot{}, errors.Join(ErrCorrupt, err)
	}
	taken := time.UnixMilli(b.TakenAt)
	if age := now.Sub(taken); age > maxAge || age < -maxSkew {
		return Snapshot{}, ErrStale
	}
	if b.Zone != zone {
		return Snapshot{}, ErrWrongZone
	}
	return b.snapshot(taken)
}

// open checks the header and returns the payload.
func open(data []byte) ([]byte, error) {
	if len(data) < headerBytes || len(data) > MaxBytes || string(data[:len(magic)]) != magic {
		return nil, ErrCorrupt
	}
	if v := data[len(magic)]; v != codecNumber {
		return nil, &VersionError{Version: v}
	}
	payload := data[headerBytes:]
	if sum := blake3.Sum256(payload); !bytes.Equal(sum[:], data[len(magic)+1:headerBytes]) {
		return nil, ErrCorrupt
	}
	return payload, nil
}

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
