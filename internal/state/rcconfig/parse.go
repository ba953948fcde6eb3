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

// Weights in the fair queue. The bounds keep one account from starving the others
// because of a typing error.
const (
	defaultAccountWeight = 1
	minAccountWeight     = 0.01
	maxAccountWeight     = 1000
)

// Parse parses and validates a document. The error is of type Errors and lists
// every error with its line.
func Parse(data []byte) (*Document, error) {
	p := &parser{doc: &Document{Defaults: DefaultSettings()}}
	sections := readINI(data, &p.errors)
	// Exceptions are checked against the defaults, accounts and models, so they are
	// parsed last.
	for _, s := range sections {
		p.parseSection(s)
	}
	p.checkDefaults()
	for _, s := range sections {
		p.parseException(s)
	}
	p.checkExceptions()
	if err := p.errors.err(); err != nil {
		return nil, err
	}
	p.doc.buildIndex()
	return p.doc, nil
}

type parser struct {
	doc           *Document
	errors        errorList
	defaultsLine  int
	hashLines     map[string]int // Line of each key hash.
	exceptionLine map[string]int // Line of each exception.
	overrideLine  map[string]int // Line of each override, by exception and setting.
}

func (p *parser) parseSection(s section) {
	kind, id := s.splitName()
	if kind == sectionDefaults && id == "" && s.name == sectionDefaults {
		p.parseDefaults(s)
		return
	}
	switch kind {
	case sectionException, sectionAccount, sectionService, sectionModel:
		if id == "" {
			p.errors.addf(s.line, "section [%s] has no name after the dot", s.name)
			return
		}
	}
	switch kind {
	case sectionException: // Handled by parseException.
	case sectionAccount:
		p.parseAccount(s, id)
	case sectionService:
		p.parseService(s, id)
	case sectionModel:
		p.parseModel(s, id)
	default:
		p.errors.addf(s.line, "section [%s] is unknown", s.name)
	}
}

func (p *parser) parseDefaults(s section) {
	p.defaultsLine = s.line
	for _, e := range s.entries {
		d, ok := settingByName[e.name]
		if !ok {
			p.errors.addf(e.line, "setting %s is unknown", e.name)
			continue
		}
		if err := d.set(&p.doc.Defaults, e.value); err != nil {
			p.errors.addf(e.line, "%s = %q: %v", e.name, e.value, err)
		}
	}
}

// checkDefaults checks constraints between settings. Exceptions cannot override
// these settings.
func (p *parser) checkDefaults() {
	d := &p.doc.Defaults
	if 2*d.LeaseMargin >= d.LeaseDuration {
		p.errors.addf(p.defaultsLine, "LeaseMargin %v must be below half of LeaseDuration %v", d.LeaseMargin, d.LeaseDuration)
	}
}

func (p *parser) parseAccount(s section, id string) {
	a := Account{ID: radishcrank.ClientAccountID(id), Weight: defaultAccountWeight}
	for _, e := range s.entries {
		switch e.name {
		case keyKeyHashes:
			a.KeyHashes = p.parseKeyHashes(e)
		case keyLeaving:
			a.Leaving = p.parseFlagEntry(e)
		case keyWeight:
			a.Weight = p.parseWeight(e)
		default:
			p.errors.addf(e.line, "key %s is unknown in section [%s]", e.name, s.name)
		}
	}
	if len(a.KeyHashes) == 0 {
		p.errors.addf(s.line, "account %s has no KeyHashes", id)
	}
	p.doc.Accounts = append(p.doc.Accounts, a)
}

// parseKeyHashes checks hashes without printing them: a bearer key that was entered
// instead of its hash must not end up in a log.
func (p *parser) parseKeyHashes(e entry) []string {
	if p.hashLines == nil {
		p.hashLines = make(map[string]int)
	}
	hashes := splitList(e.value)
	for i, h := range hashes {
		hashes[i] = strings.ToLower(h)
		if sum, err := hex.DecodeString(h); err != nil || len(sum) != sha256.Size {
			p.errors.addf(e.line, "item %d of %s must be a SHA-256 hash of 64 hexadecimal characters", i+1, e.name)
			continue
		}
		if first, ok := p.hashLines[hashes[i]]; ok {
			p.errors.addf(e.line, "item %d of %s repeats a hash of line %d", i+1, e.name, first)
			continue
		}
		p.hashLines[hashes[i]] = e.line
	}
	return hashes
}

func (p *parser) parseFlagEntry(e entry) bool {
	v, err := parseFlag(e.value)
	if err != nil {
		p.errors.addf(e.line, "%s = %q: %v", e.name, e.value, err)
	}
	return v
}

func (p *parser) parseWeight(e entry) float64 {
	v, err := parseNumber(e.value)
	if err != nil {
		p.errors.addf(e.line, "%s = %q: %v", e.name, e.value, err)
		return defaultAccountWeight
	}
	if v < minAccountWeight || v > maxAccountWeight {
		p.errors.addf(e.line, "%s = %q: the value must be between %v and %v", e.name, e.value, minAccountWeight, maxAccountWeight)
	}
	return v
}

func (p *parser) parseService(s section, name string) {
	service := Service{Name: name}
	for _, e := range s.entries {
		if e.name != keyNonRepeatable {
			p.errors.addf(e.line, "key %s is unknown in section [%s]", e.name, s.name)
			continue
		}
		service.NonRepeatable = splitList(e.value)
		for _, rule := range service.NonRepeatable {
			if err := checkRule(rule); err != nil {
				p.errors.addf(e.line, "%s: %q: %v", e.name, rule, err)
			}
		}
	}
	p.doc.Services = append(p.doc.Services, service)
}

func (p *parser) parseModel(s section, id string) {
	m := Model{ID: radishcrank.ModelID(id)}
	for _, e := range s.entries {
		if e.name != keyWeights {
			p.errors.addf(e.line, "key %s is unknown in section [%s]", e.name, s.name)
			continue
		}
		m.Weights = radishcrank.WeightsVersion(e.value)
	}
	if m.Weights == "" {
		p.errors.addf(s.line, "model %s has no Weights", id)
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
	return true // Upstreams and zones are not listed in the document.
}
