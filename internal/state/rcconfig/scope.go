package rcconfig

import (
	"slices"
	"strings"

	"github.com/radishcrank/radishcrank"
)

// ScopeKind is the kind of object to which an exception applies.
type ScopeKind string

// Kinds of scopes.
const (
	ScopeAccount  ScopeKind = "Account"
	ScopeModel    ScopeKind = "Model"
	ScopeUpstream ScopeKind = "Upstream"
	ScopeZone     ScopeKind = "Zone"
)

// scopePrecedence lists the scopes in ascending precedence, from the widest to the
// narrowest.
var scopePrecedence = []ScopeKind{ScopeZone, ScopeUpstream, ScopeModel, ScopeAccount}

// Override is one setting that an exception changes.
type Override struct {
	Name  string
	Value string // As written in a document.
}

// Exception overrides defaults for the targets of one scope.
type Exception struct {
	Name      string
	Scope     ScopeKind
	Targets   []string // Names; one that ends in "*" matches all names with that prefix.
	Reason    string
	Overrides []Override

	values Settings // Parsed values of the overrides; other fields are not used.
}

// Scope identifies the objects for which settings are requested. Empty fields match
// no exception.
type Scope struct {
	Account  radishcrank.ClientAccountID
	Model    radishcrank.ModelID
	Upstream radishcrank.UpstreamID
	Zone     radishcrank.AvailabilityZone
}

func (s Scope) name(kind ScopeKind) string {
	switch kind {
	case ScopeAccount:
		return string(s.Account)
	case ScopeModel:
		return string(s.Model)
	case ScopeUpstream:
		return string(s.Upstream)
	case ScopeZone:
		return string(s.Zone)
	}
	return ""
}

// AccountSettings returns the effective settings of an account.
func (d *Document) AccountSettings(account radishcrank.ClientAccountID) Settings {
	return d.EffectiveSettings(Scope{Account: account})
}

// EffectiveSettings returns the effective settings of a scope. If several exceptions
// override a setting, Account takes precedence over Model, Model over Upstream and
// Upstream over Zone; within a scope, a name takes precedence over a pattern and a
// longer pattern over a shorter one. Exceptions have an effect only in documents
// returned by Parse.
func (d *Document) EffectiveSettings(scope Scope) Settings {
	if d.index == nil || len(d.Exceptions) == 0 {
		return d.Defaults
	}
	if cached, ok := d.index.settingsCache.Load(scope); ok {
		return *cached.(*Settings)
	}
	s := d.computeSettings(scope)
	if d.index.settingsCacheSize.Add(1) <= maxCachedScopes {
		d.index.settingsCache.Store(scope, &s)
	}
	return s
}

// maxCachedScopes limits the size of the settings cache. It has room for 3,000
// accounts and for some combinations of them with models and zones. Each entry takes
// about 350 bytes.
const maxCachedScopes = 10000

func (d *Document) computeSettings(scope Scope) Settings {
	s := d.Defaults
	for _, kind := range scopePrecedence {
		name := scope.name(kind)
		if name == "" {
			continue
		}
		d.applyScope(&s, d.index.exceptions[kind], name)
	}
	return s
}

// applyScope applies the exceptions of one scope that match a name, in ascending
// precedence.
func (d *Document) applyScope(s *Settings, byTarget map[string][]int, name string) {
	if len(byTarget) == 0 {
		return
	}
	for end := range len(name) + 1 {
		d.apply(s, byTarget[name[:end]+"*"])
	}
	d.apply(s, byTarget[name])
}

func (d *Document) apply(s *Settings, exceptions []int) {
	for _, i := range exceptions {
		e := &d.Exceptions[i]
		for _, o := range e.Overrides {
			settingByName[o.Name].copyTo(s, &e.values)
		}
	}
}

// matches reports whether a target of an exception matches a name.
func matches(target, name string) bool {
	prefix, pattern := strings.CutSuffix(target, "*")
	if pattern {
		return strings.HasPrefix(name, prefix)
	}
	return target == name
}

// overriddenElsewhere reports whether an exception other than e overrides the setting.
func (d *Document) overriddenElsewhere(e *Exception, setting string) bool {
	return slices.ContainsFunc(d.Exceptions, func(other Exception) bool {
		return other.Name != e.Name && slices.ContainsFunc(other.Overrides, func(o Override) bool {
			return o.Name == setting
		})
	})
}
