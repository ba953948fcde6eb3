package rcconfig

import (
	"slices"
	"strings"
)

// maxReasonBytes limits reasons to a length that fits into a listing.
const maxReasonBytes = 500

// parseException parses one [Exception.NAME] section. Other sections are ignored.
func (p *parser) parseException(s section) {
	kind, name := s.splitName()
	if kind != sectionException || name == "" {
		return
	}
	if p.exceptionLine == nil {
		p.exceptionLine = make(map[string]int)
		p.overrideLine = make(map[string]int)
	}
	p.exceptionLine[name] = s.line
	e := Exception{Name: name}
	var settings []entry
	for _, entry := range s.entries {
		switch {
		case entry.name == keyReason:
			e.Reason = entry.value
		case slices.Contains(scopePrecedence, ScopeKind(entry.name)):
			p.parseTargets(&e, entry)
		default:
			settings = append(settings, entry)
		}
	}
	p.checkException(s, &e)
	if len(settings) == 0 {
		p.errors.addf(s.line, "exception %s overrides no setting", name)
	}
	for _, entry := range settings {
		p.parseOverride(&e, entry)
	}
	p.doc.Exceptions = append(p.doc.Exceptions, e)
}

func (p *parser) checkException(s section, e *Exception) {
	if e.Reason == "" {
		p.errors.addf(s.line, "exception %s has no Reason", e.Name)
	}
	if len(e.Reason) > maxReasonBytes {
		p.errors.addf(s.line, "the Reason of exception %s has more than %d bytes", e.Name, maxReasonBytes)
	}
	if e.Scope == "" {
		p.errors.addf(s.line, "exception %s has no scope; one of Account, Model, Upstream and Zone must be given", e.Name)
	}
}

func (p *parser) parseTargets(e *Exception, entry entry) {
	kind := ScopeKind(entry.name)
	if e.Scope != "" {
		p.errors.addf(entry.line, "exception %s already has the scope %s", e.Name, e.Scope)
		return
	}
	e.Scope = kind
	e.Targets = splitList(entry.value)
	if len(e.Targets) == 0 {
		p.errors.addf(entry.line, "%s names nothing", entry.name)
	}
	for i, target := range e.Targets {
		prefix := strings.TrimSuffix(target, "*")
		switch {
		case target == "" || strings.Contains(prefix, "*"):
			p.errors.addf(entry.line, "%s: %q must be a name, or the start of names followed by one *", entry.name, target)
		case slices.Contains(e.Targets[:i], target):
			p.errors.addf(entry.line, "%s names %q twice", entry.name, target)
		case !p.hasTarget(kind, target):
			p.errors.addf(entry.line, "%s %q is not in the document", entry.name, target)
		}
	}
}

func (p *parser) parseOverride(e *Exception, entry entry) {
	d, ok := settingByName[entry.name]
	if !ok {
		p.errors.addf(entry.line, "setting %s is unknown", entry.name)
		return
	}
	if e.Scope != "" && !d.allowsScope(e.Scope) {
		p.errors.addf(entry.line, "setting %s must not be overridden by %s", entry.name, e.Scope)
		return
	}
	if err := d.set(&e.values, entry.value); err != nil {
		p.errors.addf(entry.line, "%s = %q: %v", entry.name, entry.value, err)
		return
	}
	p.overrideLine[e.Name+"\x00"+entry.name] = entry.line
	e.Overrides = append(e.Overrides, Override{Name: entry.name, Value: d.format(&e.values)})
}

// checkExceptions rejects exceptions that have no effect or conflict with each other.
func (p *parser) checkExceptions() {
	for i := range p.doc.Exceptions {
		e := &p.doc.Exceptions[i]
		for _, o := range e.Overrides {
			p.checkOverride(i, e, o)
		}
	}
}

func (p *parser) checkOverride(i int, e *Exception, o Override) {
	line := p.overrideLine[e.Name+"\x00"+o.Name]
	// A value equal to the default matters only where it takes precedence over another exception.
	if o.Value == settingByName[o.Name].format(&p.doc.Defaults) && !p.doc.overriddenElsewhere(e, o.Name) {
		p.errors.addf(line, "%s = %s changes nothing, because it equals the default", o.Name, o.Value)
	}
	for _, other := range p.doc.Exceptions[:i] {
		if other.Scope != e.Scope || !slices.ContainsFunc(other.Overrides, func(x Override) bool { return x.Name == o.Name }) {
			continue
		}
		for _, target := range e.Targets {
			if slices.Contains(other.Targets, target) {
				p.errors.addf(line, "%s of %s %q is already overridden by exception %s in line %d",
					o.Name, e.Scope, target, other.Name, p.exceptionLine[other.Name])
			}
		}
	}
}
