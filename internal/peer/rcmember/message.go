package rcmember

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/peer/rcrpc"
)

// exchangeTimeout is below the interval of heartbeats to one peer, so that lost
// ones do not pile up.
const exchangeTimeout = 2 * time.Second

// Methods between instances.
var (
	MethodHeartbeat = rcrpc.Method[Heartbeat, Answer]{Name: "Heartbeat", Timeout: exchangeTimeout}
	MethodMembers   = rcrpc.Method[MembersRequest, Members]{Name: "Members", Timeout: exchangeTimeout}
)

// Digest is what an instance says of itself with each heartbeat and answer.
type Digest struct {
	Instance       radishcrank.InstanceID
	Incarnation    radishcrank.Incarnation
	Counter        uint64 // Rises by one with each round of heartbeats.
	ConfigRevision uint64 `json:",omitempty"` // Of the configuration in force; 0 in an answer means the same as asked.
	ConfigHash     string `json:",omitempty"`
	// ConfigAge is how long ago the revision was known to be the newest one, in
	// tenths of a second. It is rounded up, or instances that are cut off together
	// would keep confirming each other; ageUnknown says that it never was.
	ConfigAge uint32 `json:",omitempty"`
	Leaving   bool   `json:",omitempty"`
}

// Heartbeat is sent to two random peers each second.
type Heartbeat struct {
	Digest
	Self   *radishcrank.Instance `json:",omitempty"` // Only in the first one to a peer.
	Rumors []Rumor               `json:",omitempty"`
}

// Answer is the answer to a heartbeat.
type Answer struct {
	Digest
	Unknown bool `json:",omitempty"` // The sender shall introduce itself.
}

const (
	ageUnit    = 100 * time.Millisecond
	ageUnknown = math.MaxUint32
)

func encodeAge(age time.Duration) uint32 {
	if age < 0 {
		return ageUnknown
	}
	return uint32(min((age+ageUnit-1)/ageUnit, ageUnknown-1))
}

func decodeAge(units uint32) time.Duration {
	if units == ageUnknown {
		return -1
	}
	return time.Duration(units) * ageUnit
}

// RumorKind says what a rumor is about.
type RumorKind int

// Kinds of rumors.
const (
	RumorAlive RumorKind = iota // The counter was seen.
	RumorDead                   // The instance's own availability zone found it dead at this counter.
)

// Tag stands for one process in rumors. It is 48 bits of a hash of the instance
// and its incarnation in base64: among 370 instances two share a tag with a
// probability of 2e-10.
type Tag string

func tagOf(id radishcrank.InstanceID, incarnation radishcrank.Incarnation) Tag {
	const tagBytes = 6
	sum := xxhash.Sum64String(fmt.Sprintf("%s\x00%d", id, incarnation))
	raw := binary.BigEndian.AppendUint64(nil, sum)
	return Tag(base64.RawURLEncoding.EncodeToString(raw[:tagBytes]))
}

// Rumor passes on what an instance knows of another process. It is encoded as
// an array with a tag: with names, eight rumors took two thirds of a heartbeat.
type Rumor struct {
	Tag     Tag
	Counter uint64
	Kind    RumorKind
}

// MarshalJSON implements json.Marshaler.
func (r Rumor) MarshalJSON() ([]byte, error) {
	fields := []any{r.Tag, r.Counter}
	if r.Kind != RumorAlive {
		fields = append(fields, r.Kind)
	}
	return json.Marshal(fields)
}

// UnmarshalJSON implements json.Unmarshaler. Further elements are ignored.
func (r *Rumor) UnmarshalJSON(data []byte) error {
	var fields []json.RawMessage
	if err := json.Unmarshal(data, &fields); err != nil {
		return err
	}
	const required = 2
	if len(fields) < required {
		return fmt.Errorf("rumor has %d elements, want at least %d", len(fields), required)
	}
	*r = Rumor{}
	targets := []any{&r.Tag, &r.Counter, &r.Kind}
	for i := range min(len(fields), len(targets)) {
		if err := json.Unmarshal(fields[i], targets[i]); err != nil {
			return err
		}
	}
	return nil
}

// MembersRequest asks for the descriptions of instances: of those with the
// tags, or of all in an availability zone.
type MembersRequest struct {
	Tags []Tag                        `json:",omitempty"`
	Zone radishcrank.AvailabilityZone `json:",omitempty"`
}

// Members describes instances.
type Members struct{ Instances []radishcrank.Instance }
