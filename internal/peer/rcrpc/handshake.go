package rcrpc

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/gravitational/trace"

	"github.com/radishcrank/radishcrank"
)

// ProtocolVersion versions of this code. A peer is accepted if the ranges from
// MinProtocolVersion to ProtocolVersion overlap, so versions can be rolled out one at a time.
const (
	ProtocolVersion    = 1
	MinProtocolVersion = 1
)

const (
	nonceBytes = 32
	// maxHandshakeBytes bounds what a peer can make us read before it has proved anything.
	maxHandshakeBytes = 4 << 10
)

// Labels of the proofs. They differ, so that a peer cannot send our own proof back.
const (
	labelDialer   = "radishcrank peer dialer"
	labelListener = "radishcrank peer listener"
)

// ErrUnauthenticated says that a peer did not prove that it knows a shared key.
var ErrUnauthenticated = errors.New("peer does not know the shared key")

// VersionError says that two instances have no protocol version in common.
type VersionError struct{ Min, Max int }

// Error implements error.
func (e *VersionError) Error() string {
	return fmt.Sprintf("peer speaks protocol %d to %d, want %d to %d", e.Min, e.Max, MinProtocolVersion, ProtocolVersion)
}

// Identity describes one end of a connection.
type Identity struct {
	Instance radishcrank.InstanceID
	Zone     radishcrank.AvailabilityZone
}

// Keys are the shared keys of all instances. While keys are rotated, Old is
// also proved and accepted, so instances with either key reach each other.
type Keys struct {
	Current []byte
	Old     []byte // Empty outside of a rotation.
}

func (k Keys) list() [][]byte {
	if len(k.Old) == 0 {
		return [][]byte{k.Current}
	}
	return [][]byte{k.Current, k.Old}
}

// hello opens a connection in both directions.
type hello struct {
	Protocol    int
	MinProtocol int
	Instance    radishcrank.InstanceID
	Zone        radishcrank.AvailabilityZone
	Nonce       []byte
}

// proof holds one HMAC for each key that the sender knows.
type proof struct{ Sums [][]byte }

// handshake authenticates both ends. The listener proves itself only after the
// dialer has done so, and therefore tells a stranger nothing.
func handshake(conn net.Conn, own Identity, keys Keys, dialer bool, timeout time.Duration) (peer Identity, err error) {
	defer func() {
		if err != nil {
			err = trace.Wrap(err, "handshake")
		}
	}()
	if len(keys.Current) == 0 {
		return Identity{}, errors.New("no shared key is configured")
	}
	if err := conn.SetDeadline(time.Now().Add(timeout)); err != nil {
		return Identity{}, err
	}
	mine := hello{Protocol: ProtocolVersion, MinProtocol: MinProtocolVersion, Instance: own.Instance, Zone: own.Zone, Nonce: make([]byte, nonceBytes)}
	rand.Read(mine.Nonce)
	mineRaw, err := json.Marshal(mine)
	if err != nil {
		return Identity{}, err
	}
	var theirs hello
	if dialer {
		err = dial(conn, mineRaw, &theirs, keys)
	} else {
		err = accept(conn, mineRaw, &theirs, keys)
	}
	if err != nil {
		return Identity{}, err
	}
	return Identity{Instance: theirs.Instance, Zone: theirs.Zone}, conn.SetDeadline(time.Time{})
}

func dial(conn net.Conn, mine []byte, theirs *hello, keys Keys) error {
	if err := writeMessage(conn, json.RawMessage(mine)); err != nil {
		return err
	}
	raw, err := readHello(conn, theirs)
	if err != nil {
		return err
	}
	if err := writeMessage(conn, prove(keys, labelDialer, mine, raw)); err != nil {
		return err
	}
	return checkProof(conn, keys, labelListener, mine, raw)
}

func accept(conn net.Conn, mine []byte, theirs *hello, keys Keys) error {
	raw, err := readHello(conn, theirs)
	if err != nil {
		return err
	}
	if err := writeMessage(conn, json.RawMessage(mine)); err != nil {
		return err
	}
	if err := checkProof(conn, keys, labelDialer, raw, mine); err != nil {
		return err
	}
	return writeMessage(conn, prove(keys, labelListener, raw, mine))
}

func writeMessage(conn net.Conn, message any) error {
	frame, err := Encode(message)
	if err != nil {
		return err
	}
	_, err = conn.Write(frame)
	return err
}

// readHello returns the hello as it was sent: the proofs cover its bytes, with
// fields that this version does not know.
func readHello(conn net.Conn, h *hello) ([]byte, error) {
	raw, err := readFrame(conn, maxHandshakeBytes)
	if err != nil {
		return nil, err
	}
	if err := json.Unmarshal(raw, h); err != nil {
		return nil, err
	}
	if h.Protocol < MinProtocolVersion || h.MinProtocol > ProtocolVersion {
		return nil, &VersionError{Min: h.MinProtocol, Max: h.Protocol}
	}
	if len(h.Nonce) < nonceBytes {
		return nil, ErrUnauthenticated
	}
	return raw, nil
}

func prove(keys Keys, label string, dialer, listener []byte) proof {
	var p proof
	for _, key := range keys.list() {
		p.Sums = append(p.Sums, sum(key, label, dialer, listener))
	}
	return p
}

func checkProof(conn net.Conn, keys Keys, label string, dialer, listener []byte) error {
	var p proof
	if err := Decode(conn, maxHandshakeBytes, &p); err != nil {
		return err
	}
	for _, key := range keys.list() {
		want := sum(key, label, dialer, listener)
		for _, got := range p.Sums {
			if hmac.Equal(got, want) {
				return nil
			}
		}
	}
	return ErrUnauthenticated
}

// sum covers the label and both hellos. Each part is hashed first, so that no
// byte can move from one part to the next.
func sum(key []byte, label string, dialer, listener []byte) []byte {
	mac := hmac.New(sha256.New, key)
	for _, part := range [][]byte{[]byte(label), dialer, listener} {
		h := sha256.Sum256(part)
		mac.Write(h[:])
	}
	return mac.Sum(nil)
}
