package rcconfig

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net/netip"
	"strings"

	"github.com/radishcrank/radishcrank"
)

// minSecretBytes is the length of the HMAC-SHA256 output; a shorter key would be the weakest part.
const minSecretBytes = sha256.Size

// redacted replaces secrets wherever they are printed.
const redacted = "[redacted]"

// Secret is key material that no dump, log or error shows.
type Secret []byte

// Format implements fmt.Formatter for all verbs.
func (Secret) Format(f fmt.State, _ rune) { io.WriteString(f, redacted) }

// MarshalText implements encoding.TextMarshaler.
func (Secret) MarshalText() ([]byte, error) { return []byte(redacted), nil }

// BootSettings holds the settings of one instance that must be known before it can
// fetch the configuration document.
type BootSettings struct {
	ID        radishcrank.InstanceID
	Region    string
	Zone      radishcrank.AvailabilityZone
	Callers   netip.AddrPort // Listener for callers.
	Peers     netip.AddrPort // Listener for other instances.
	Operators netip.AddrPort // Listener for operators.

	Table     netip.AddrPort // Table service.
	Objects   netip.AddrPort // Object store.
	Instances netip.AddrPort // Instance list.
	Weights   netip.AddrPort // Weight store.

	Bootstrap  []netip.AddrPort // Peers to ask while the instance list is unreachable.
	PeerKey    Secret           // Shared by all instances.
	OldPeerKey Secret           // Also accepted while PeerKey is being rotated.

	OperatorKeyHashes []string // SHA-256 of the operators' bearer keys, in hexadecimal.

	Certificate          string // File names; empty without TLS.
	PrivateKey           string
	CertificateAuthority string
}

// bootField reads one key of the boot settings. Its error must not contain the value.
type bootField struct {
	section  string
	name     string
	required bool
	set      func(b *BootSettings, value string) error
}

var bootFields = []bootField{
	{"Instance", "ID", true, func(b *BootSettings, v string) error { b.ID = radishcrank.InstanceID(v); return nil }},
	{"Instance", "Region", true, func(b *BootSettings, v string) error { b.Region = v; return nil }},
	{"Instance", "Zone", true, func(b *BootSettings, v string) error { b.Zone = radishcrank.AvailabilityZone(v); return nil }},
	{"Listeners", "Callers", true, address(func(b *BootSettings) *netip.AddrPort { return &b.Callers })},
	{"Listeners", "Peers", true, address(func(b *BootSettings) *netip.AddrPort { return &b.Peers })},
	{"Listeners", "Operators", true, address(func(b *BootSettings) *netip.AddrPort { return &b.Operators })},
	{"Platform", "Table", true, address(func(b *BootSettings) *netip.AddrPort { return &b.Table })},
	{"Platform", "Objects", true, address(func(b *BootSettings) *netip.AddrPort { return &b.Objects })},
	{"Platform", "Instances", true, address(func(b *BootSettings) *netip.AddrPort { return &b.Instances })},
	{"Platform", "Weights", true, address(func(b *BootSettings) *netip.AddrPort { return &b.Weights })},
	{"Peers", "Bootstrap", false, setBootstrap},
	{"Peers", "Key", true, secret(func(b *BootSettings) *Secret { return &b.PeerKey })},
	{"Peers", "OldKey", false, secret(func(b *BootSettings) *Secret { return &b.OldPeerKey })},
	{"Operators", "KeyHashes", true, setOperatorKeys},
	{"TLS", "Certificate", false, func(b *BootSettings, v string) error { b.Certificate = v; return nil }},
	{"TLS", "PrivateKey", false, func(b *BootSettings, v string) error { b.PrivateKey = v; return nil }},
	{"TLS", "CertificateAuthority", false, func(b *BootSettings, v string) error { b.CertificateAuthority = v; return nil }},
}

// ParseBootSettings reads and checks the boot settings of one instance. The error is of
// type Errors, names every fault with its line and shows no value.
func ParseBootSettings(data []byte) (*BootSettings, error) {
	var f faults
	b := &BootSettings{}
	sections := make(map[string]int)
	seen := make(map[string]bool)
	for _, s := range readINI(data, &f) {
		sections[s.name] = s.line
		if !isBootSection(s.name) {
			f.add(s.line, "section [%s] is unknown", s.name)
			continue
		}
		for _, e := range s.entries {
			seen[s.name+"."+e.name] = e.value != ""
			readBootEntry(b, s, e, &f)
		}
	}
	for _, field := range bootFields {
		if field.required && !seen[field.section+"."+field.name] {
			f.add(max(1, sections[field.section]), "%s is missing in section [%s]", field.name, field.section)
		}
	}
	if (b.Certificate == "") != (b.PrivateKey == "") {
		f.add(max(1, sections["TLS"]), "Certificate and PrivateKey must be given together")
	}
	if err := f.err(); err != nil {
		return nil, err
	}
	return b, nil
}

func isBootSection(name string) bool {
	for _, field := range bootFields {
		if field.section == name {
			return true
		}
	}
	return false
}

func readBootEntry(b *BootSettings, s section, e entry, f *faults) {
	for _, field := range bootFields {
		if field.section != s.name || field.name != e.name {
			continue
		}
		if e.value == "" {
			return // Reported as missing if it is required.
		}
		if err := field.set(b, e.value); err != nil {
			f.add(e.line, "%s: %v", e.name, err)
		}
		return
	}
	f.add(e.line, "key %s is unknown in section [%s]", e.name, s.name)
}

func address(field func(*BootSettings) *netip.AddrPort) func(*BootSettings, string) error {
	return func(b *BootSettings, value string) error {
		addr, err := netip.ParseAddrPort(value)
		if err != nil {
			return errAddress
		}
		*field(b) = addr
		return nil
	}
}

func secret(field func(*BootSettings) *Secret) func(*BootSettings, string) error {
	return func(b *BootSettings, value string) error {
		key, err := hex.DecodeString(value)
		if err != nil || len(key) < minSecretBytes {
			return errSecret
		}
		*field(b) = key
		return nil
	}
}

func setBootstrap(b *BootSettings, value string) error {
	for _, item := range splitList(value) {
		addr, err := netip.ParseAddrPort(item)
		if err != nil {
			return errAddress
		}
		b.Bootstrap = append(b.Bootstrap, addr)
	}
	return nil
}

func setOperatorKeys(b *BootSettings, value string) error {
	for _, item := range splitList(value) {
		if sum, err := hex.DecodeString(item); err != nil || len(sum) != sha256.Size {
			return errKeyHash
		}
		b.OperatorKeyHashes = append(b.OperatorKeyHashes, strings.ToLower(item))
	}
	return nil
}
