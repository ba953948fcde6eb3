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

// Range of protocol versions that this package supports. A peer is accepted if
// its range overlaps this one, so that instances can be upgraded one at a time.
const (
	ProtocolVersion    = 1
	MinProtocolVersion = 1
)

const (
	nonceBytes = 32
	// maxHandshakeBytes bounds the messages that are read from a peer before it is
	// authenticated.
	maxHandshakeBytes = 4 << 10
)

// Labels of the proofs of the two ends. They differ to prevent reflection: a peer
// cannot authenticate by sending back the proof it received.
const (
	labelDialer   = "radishcrank peer dialer"
	labelListener = "radishcrank peer listener"
)

// ErrUnauthenticated reports that a peer did not prove knowledge of a shared key.
var ErrUnauthenticated = errors.New("peer does not know the shared key")

// VersionError reports that a peer has no protocol version in common with this
// package. Min and Max are the peer's range.
type VersionError struct{ Min, Max int }

// Error implements error.
func (e *VersionError) Error() string {
	return fmt.Sprintf("peer supports protocol versions %d to %d, want %d to %d", e.Min, e.Max, MinProtocolVersion, ProtocolVersion)
}

// Identity identifies the instance at one end of a connection.
type Identity struct {
	Instance radishcrank.InstanceID
	Zone     radishcrank.AvailabilityZone
}

// Keys holds the keys that all instances share. During a key rotation, Old is
// used and accepted as well, so that instances with either key can connect.
type Keys struct {
	Current []byte
	Old     []byte // Empty except during a rotation.
}

// FixedKeys returns a Config.Keys for keys that never change.
func FixedKeys(k Keys) func() Keys { return func() Keys { return k } }

func (k Keys) list() [][]byte {
	if len(k.Old) == 0 {
		return [][]byte{k.Current}
	}
	return [][]byte{k.Current, k.Old}
}

// hello is the first message that each end of a connection sends.
type hello struct {
	Protocol    int
	MinProtocol int
	Instance    radishcrank.InstanceID
	Zone        radishcrank.AvailabilityZone
	Nonce       []byte
}

// proof is the second message of each end. It holds one HMAC for each key that
// the sender knows.
type proof struct{ Sums [][]byte }

// handshake authenticates both ends of a connection. The listener sends its proof
// only after it has verified that of the dialer, so an unauthenticated dialer
// never receives one.
func handshake(conn net.Conn, identity Identity, keys Keys, dialer bool, timeout time.Duration) (peer Identity, err error) {
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
	local := hello{Protocol: ProtocolVersion, MinProtocol: MinProtocolVersion, Instance: identity.Instance, Zone: identity.Zone, Nonce: make([]byte, nonceBytes)}
	rand.Read(local.Nonce)
	localRaw, err := json.Marshal(local)
	if err != nil {
		return Identity{}, err
	}
	var remote hello
	if dialer {
		err = dialerHandshake(conn, localRaw, &remote, keys)
	} else {
		err = listenerHandshake(conn, localRaw, &remote, keys)
	}
	if err != nil {
		return Identity{}, err
	}
	return Identity{Instance: remote.Instance, Zone: remote.Zone}, conn.SetDeadline(time.Time{})
}

func dialerHandshake(conn net.Conn, localRaw []byte, remote *hello, keys Keys) error {
	if err := writeMessage(conn, json.RawMessage(localRaw)); err != nil {
		return err
	}
	remoteRaw, err := readHello(conn, remote)
	if err != nil {
		return err
	}
	if err := writeMessage(conn, newProof(keys, labelDialer, localRaw, remoteRaw)); err != nil {
		return err
	}
	return verifyProof(conn, keys, labelListener, localRaw, remoteRaw)
}

func listenerHandshake(conn net.Conn, localRaw []byte, remote *hello, keys Keys) error {
	remoteRaw, err := readHello(conn, remote)
	if err != nil {
		return err
	}
	if err := writeMessage(conn, json.RawMessage(localRaw)); err != nil {
		return err
	}
	if err := verifyProof(conn, keys, labelDialer, remoteRaw, localRaw); err != nil {
		return err
	}
	return writeMessage(conn, newProof(keys, labelListener, remoteRaw, localRaw))
}

func writeMessage(conn net.Conn, message any) error {
	frame, err := Encode(message)
	if err != nil {
		return err
	}
	_, err = conn.Write(frame)
	return err
}

// readHello decodes the peer's hello into h and returns its raw bytes. The proofs
// cover the raw bytes, including fields that this version does not know.
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

func newProof(keys Keys, label string, dialer, listener []byte) proof {
	var p proof
	for _, key := range keys.list() {
		p.Sums = append(p.Sums, proofMAC(key, label, dialer, listener))
	}
	return p
}

func verifyProof(conn net.Conn, keys Keys, label string, dialer, listener []byte) error {
	var p proof
	if err := Decode(conn, maxHandshakeBytes, &p); err != nil {
		return err
	}
	for _, key := range keys.list() {
		want := proofMAC(key, label, dialer, listener)
		for _, got := range p.Sums {
			if hmac.Equal(got, want) {
				return nil
			}
		}
	}
	return ErrUnauthenticated
}

// proofMAC returns the HMAC of the label and both hellos. Each part is hashed
// first, so that moving bytes between adjacent parts changes the result.
func proofMAC(key []byte, label string, dialer, listener []byte) []byte {
	mac := hmac.New(sha256.New, key)
	for _, part := range [][]byte{[]byte(label), dialer, listener} {
		h := sha256.Sum256(part)
		mac.Write(h[:])
	}
	return mac.Sum(nil)
}
