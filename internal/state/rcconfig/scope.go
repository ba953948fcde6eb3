package rcconfig

import (
	"slices"
	"strings"

	"github.com/radishcrank/radishcrank"
)

// ScopeKind is what an exception is about.
type ScopeKind string

// Kinds of scopes.
const (
	ScopeAccount  ScopeKind = "Account"
	ScopeModel    ScopeKind = "Model"
	ScopeUpstream ScopeKind = "Upstream"
	ScopeZone     ScopeKind = "Zone"
)

// scopeOrder lists the scopes from the one that yields to the one that wins:
// the narrower the group that a scope speaks for, the later it comes.
var scopeOrder = []ScopeKind{ScopeZone, ScopeUpstream, ScopeModel, ScopeAccount}

// Override is one setting that an exception changes.
type Override struct {
	Name  string
	Value string // As written in a document.
}

// Exception overrides defaults for the targets of one scope.
type Exception struct {
	Name      string
	Scope     ScopeKind
	Targets   []string // Names; one that ends in "*" stands for all names with that prefix.
	Reason    string
	Overrides []Override

	values Settings // Holds the parsed overrides.
}

// Scope says for whom a setting is asked. Empty fields match no exception.
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

// AccountSettings returns the settings in force for an account.
func (d *Document) AccountSettings(account radishcrank.ClientAccountID) Settings {
	return d.EffectiveSettings(Scope{Account: account})
}

// EffectiveSettings returns the settings in force for a scope. Where several
// exceptions override a setting, Account wins over Model, Model over Upstream
// and Upstream over Zone; within a scope a name wins over a pattern and a longer
// pattern over a shorter one. Only documents from Parse have exceptions in force.
func (d *Document) EffectiveSettings(scope Scope) Settings {
	if d.index == nil || len(d.Exceptions) == 0 {
		return d.Defaults
	}
	if known, ok := d.index.memo.Load(scope); ok {
		return *known.(*Settings)
	}
	s := d.effective(scope)
	if d.index.known.Add(1) <= maxMemo {
		d.index.memo.Store(scope, &s)
	}
	return s
}

// maxMemo bounds the remembered scopes: 3,000 accounts alone, and some of them
// with models and zones. They take about 350 bytes each.
const maxMemo = 10000

func (d *Document) effective(scope Scope) Settings {
	s := d.Defaults
	for _, kind := range scopeOrder {
		name := scope.name(kind)
		if name == "" {
			continue
		}
		d.applyKind(&s, d.index.byName[kind], name)
	}
	return s
}

// applyKind applies the exceptions of one scope, the least specific first.
func (d *Document) applyKind(s *Settings, byName map[string][]int, name string) {
	if len(byName) == 0 {
		return
	}
	for end := range len(name) + 1 {
		d.apply(s, byName[name[:end]+"*"])
	}
	d.apply(s, byName[name])
}

func (d *Document) apply(s *Settings, exceptions []int) {
	for _, i := range exceptions {
		e := &d.Exceptions[i]
		for _, o := range e.Overrides {
			settingByName[o.Name].copyTo(s, &e.values)
		}
	}
}

// matches reports whether a target of an exception covers a name or pattern.
func matches(target, name string) bool {
	prefix, pattern := strings.CutSuffix(target, "*")
	if pattern {
		return strings.HasPrefix(name, prefix)
	}
	return target == name
}

// overridden reports whether an exception besides e overrides the setting.
func (d *Document) overridden(e *Exception, setting string) bool {
	return slices.ContainsFunc(d.Exceptions, func(other Exception) bool {
		return other.Name != e.Name && slices.ContainsFunc(other.Overrides, func(o Override) bool {
			return o.Name == setting
		})
	})
}
