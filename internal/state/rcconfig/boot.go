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

// minSecretBytes is the length of the HMAC-SHA256 output. A shorter key would be
// weaker than the MAC.
const minSecretBytes = sha256.Size

// redacted is printed in place of secrets.
const redacted = "[redacted]"

// Secret is key material that is redacted in dumps, logs and errors.
type Secret []byte

// Format implements fmt.Formatter for all verbs.
func (Secret) Format(f fmt.State, _ rune) { io.WriteString(f, redacted) }

// MarshalText implements encoding.TextMarshaler.
func (Secret) MarshalText() ([]byte, error) { return []byte(redacted), nil }

// BootSettings holds the settings of one instance that it needs before it can fetch
// the configuration document.
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

	Bootstrap  []netip.AddrPort // Peers to contact while the instance list is unreachable.
	PeerKey    Secret           // Shared by all instances.
	OldPeerKey Secret           // Also accepted during the rotation of PeerKey.

	OperatorKeyHashes []string // SHA-256 of the operators' bearer keys, in hexadecimal.

	Certificate          string // File names; empty without TLS.
	PrivateKey           string
	CertificateAuthority string
}

// bootField describes one key of the boot settings. The error of set must not
// contain the value, because the value may be a secret.
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
	{"Listeners", "Callers", true, setAddress(func(b *BootSettings) *netip.AddrPort { return &b.Callers })},
	{"Listeners", "Peers", true, setAddress(func(b *BootSettings) *netip.AddrPort { return &b.Peers })},
	{"Listeners", "Operators", true, setAddress(func(b *BootSettings) *netip.AddrPort { return &b.Operators })},
	{"Platform", "Table", true, setAddress(func(b *BootSettings) *netip.AddrPort { return &b.Table })},
	{"Platform", "Objects", true, setAddress(func(b *BootSettings) *netip.AddrPort { return &b.Objects })},
	{"Platform", "Instances", true, setAddress(func(b *BootSettings) *netip.AddrPort { return &b.Instances })},
	{"Platform", "Weights", true, setAddress(func(b *BootSettings) *netip.AddrPort { return &b.Weights })},
	{"Peers", "Bootstrap", false, setBootstrap},
	{"Peers", "Key", true, setSecret(func(b *BootSettings) *Secret { return &b.PeerKey })},
	{"Peers", "OldKey", false, setSecret(func(b *BootSettings) *Secret { return &b.OldPeerKey })},
	{"Operators", "KeyHashes", true, setOperatorKeys},
	{"TLS", "Certificate", false, func(b *BootSettings, v string) error { b.Certificate = v; return nil }},
	{"TLS", "PrivateKey", false, func(b *BootSettings, v string) error { b.PrivateKey = v; return nil }},
	{"TLS", "CertificateAuthority", false, func(b *BootSettings, v string) error { b.CertificateAuthority = v; return nil }},
}

// ParseBootSettings parses and validates the boot settings of one instance. The
// error is of type Errors, lists every error with its line and contains no values.
func ParseBootSettings(data []byte) (*BootSettings, error) {
	var errs errorList
	b := &BootSettings{}
	sections := make(map[string]int)
	seen := make(map[string]bool)
	for _, s := range readINI(data, &errs) {
		sections[s.name] = s.line
		if !isBootSection(s.name) {
			errs.addf(s.line, "section [%s] is unknown", s.name)
			continue
		}
		for _, e := range s.entries {
			seen[s.name+"."+e.name] = e.value != ""
			readBootEntry(b, s, e, &errs)
		}
	}
	for _, field := range bootFields {
		if field.required && !seen[field.section+"."+field.name] {
			errs.addf(max(1, sections[field.section]), "%s is missing in section [%s]", field.name, field.section)
		}
	}
	if (b.Certificate == "") != (b.PrivateKey == "") {
		errs.addf(max(1, sections["TLS"]), "Certificate and PrivateKey must be given together")
	}
	if err := errs.err(); err != nil {
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

func readBootEntry(b *BootSettings, s section, e entry, errs *errorList) {
	for _, field := range bootFields {
		if field.section != s.name || field.name != e.name {
			continue
		}
		if e.value == "" {
			return // Reported as missing if it is required.
		}
		if err := field.set(b, e.value); err != nil {
			errs.addf(e.line, "%s: %v", e.name, err)
		}
		return
	}
	errs.addf(e.line, "key %s is unknown in section [%s]", e.name, s.name)
}

func setAddress(field func(*BootSettings) *netip.AddrPort) func(*BootSettings, string) error {
	return func(b *BootSettings, value string) error {
		addr, err := netip.ParseAddrPort(value)
		if err != nil {
			return errAddress
		}
		*field(b) = addr
		return nil
	}
}

func setSecret(field func(*BootSettings) *Secret) func(*BootSettings, string) error {
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
