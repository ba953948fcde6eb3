package rcconfig

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strings"

	"github.com/radishcrank/radishcrank"
)

// Kinds of sections.
const (
	sectionDefaults  = "Defaults"
	sectionException = "Exception"
	sectionAccount   = "Account"
	sectionService   = "Service"
	sectionModel     = "Model"
)

// Names of keys that are not settings.
const (
	keyReason        = "Reason"
	keyKeyHashes     = "KeyHashes"
	keyLeaving       = "Leaving"
	keyWeight        = "Weight"
	keyNonRepeatable = "NonRepeatable"
	keyWeights       = "Weights"
)

// Weights of the fair queue. The bounds keep one account from starving the others by a slip.
const (
	defaultAccountWeight = 1
	minAccountWeight     = 0.01
	maxAccountWeight     = 1000
)

// Parse reads and checks a document. The error is of type Errors and names
// every fault with its line.
func Parse(data []byte) (*Document, error) {
	p := &parser{doc: &Document{Defaults: DefaultSettings()}}
	sections := readINI(data, &p.faults)
	// Exceptions are checked against defaults, accounts and models.
	for _, s := range sections {
		p.inventory(s)
	}
	p.checkDefaults()
	for _, s := range sections {
		p.exception(s)
	}
	p.checkExceptions()
	if err := p.faults.err(); err != nil {
		return nil, err
	}
	p.doc.buildIndex()
	return p.doc, nil
}

type parser struct {
	doc           *Document
	faults        faults
	defaultsLine  int
	hashLines     map[string]int // Line of each key hash.
	exceptionLine map[string]int // Line of each exception.
	overrideLine  map[string]int // Line of each override, by exception and setting.
}

func (p *parser) inventory(s section) {
	kind, id := s.split()
	if kind == sectionDefaults && id == "" && s.name == sectionDefaults {
		p.defaults(s)
		return
	}
	switch kind {
	case sectionException, sectionAccount, sectionService, sectionModel:
		if id == "" {
			p.faults.add(s.line, "section [%s] has no name after the dot", s.name)
			return
		}
	}
	switch kind {
	case sectionException: // Read later.
	case sectionAccount:
		p.account(s, id)
	case sectionService:
		p.service(s, id)
	case sectionModel:
		p.model(s, id)
	default:
		p.faults.add(s.line, "section [%s] is unknown", s.name)
	}
}

func (p *parser) defaults(s section) {
	p.defaultsLine = s.line
	for _, e := range s.entries {
		d, ok := settingByName[e.name]
		if !ok {
			p.faults.add(e.line, "setting %s is unknown", e.name)
			continue
		}
		if err := d.set(&p.doc.Defaults, e.value); err != nil {
			p.faults.add(e.line, "%s = %q: %v", e.name, e.value, err)
		}
	}
}

// checkDefaults checks rules between settings. They have no exceptions.
func (p *parser) checkDefaults() {
	d := &p.doc.Defaults
	if 2*d.LeaseMargin >= d.LeaseDuration {
		p.faults.add(p.defaultsLine, "LeaseMargin %v must be below half of LeaseDuration %v", d.LeaseMargin, d.LeaseDuration)
	}
}

func (p *parser) account(s section, id string) {
	a := Account{ID: radishcrank.ClientAccountID(id), Weight: defaultAccountWeight}
	for _, e := range s.entries {
		switch e.name {
		case keyKeyHashes:
			a.KeyHashes = p.keyHashes(e)
		case keyLeaving:
			a.Leaving = p.flag(e)
		case keyWeight:
			a.Weight = p.weight(e)
		default:
			p.faults.add(e.line, "key %s is unknown in section [%s]", e.name, s.name)
		}
	}
	if len(a.KeyHashes) == 0 {
		p.faults.add(s.line, "account %s has no KeyHashes", id)
	}
	p.doc.Accounts = append(p.doc.Accounts, a)
}

// keyHashes checks hashes without printing them: a bearer key that was entered
// in place of its hash must not end up in a log.
func (p *parser) keyHashes(e entry) []string {
	if p.hashLines == nil {
		p.hashLines = make(map[string]int)
	}
	hashes := splitList(e.value)
	for i, h := range hashes {
		hashes[i] = strings.ToLower(h)
		if sum, err := hex.DecodeString(h); err != nil || len(sum) != sha256.Size {
			p.faults.add(e.line, "item %d of %s must be a SHA-256 hash of 64 hexadecimal characters", i+1, e.name)
			continue
		}
		if first, ok := p.hashLines[hashes[i]]; ok {
			p.faults.add(e.line, "item %d of %s repeats a hash of line %d", i+1, e.name, first)
			continue
		}
		p.hashLines[hashes[i]] = e.line
	}
	return hashes
}

func (p *parser) flag(e entry) bool {
	v, err := parseFlag(e.value)
	if err != nil {
		p.faults.add(e.line, "%s = %q: %v", e.name, e.value, err)
	}
	return v
}

func (p *parser) weight(e entry) float64 {
	v, err := parseNumber(e.value)
	if err != nil {
		p.faults.add(e.line, "%s = %q: %v", e.name, e.value, err)
		return defaultAccountWeight
	}
	if v < minAccountWeight || v > maxAccountWeight {
		p.faults.add(e.line, "%s = %q: the value must be between %v and %v", e.name, e.value, minAccountWeight, maxAccountWeight)
	}
	return v
}

func (p *parser) service(s section, name string) {
	service := Service{Name: name}
	for _, e := range s.entries {
		if e.name != keyNonRepeatable {
			p.faults.add(e.line, "key %s is unknown in section [%s]", e.name, s.name)
			continue
		}
		service.NonRepeatable = splitList(e.value)
		for _, rule := range service.NonRepeatable {
			if err := checkRule(rule); err != nil {
				p.faults.add(e.line, "%s: %q: %v", e.name, rule, err)
			}
		}
	}
	p.doc.Services = append(p.doc.Services, service)
}

func (p *parser) model(s section, id string) {
	m := Model{ID: radishcrank.ModelID(id)}
	for _, e := range s.entries {
		if e.name != keyWeights {
			p.faults.add(e.line, "key %s is unknown in section [%s]", e.name, s.name)
			continue
		}
		m.Weights = radishcrank.WeightsVersion(e.value)
	}
	if m.Weights == "" {
		p.faults.add(s.line, "model %s has no Weights", id)
	}
	p.doc.Models = append(p.doc.Models, m)
}

func (p *parser) hasTarget(kind ScopeKind, target string) bool {
	switch kind {
	case ScopeAccount:
		return slices.ContainsFunc(p.doc.Accounts, func(a Account) bool { return matches(target, string(a.ID)) })
	case ScopeModel:
		return slices.ContainsFunc(p.doc.Models, func(m Model) bool { return matches(target, string(m.ID)) })
	}
	return true // The document does not list upstreams and zones.
}
