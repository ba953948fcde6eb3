package rcconfig

import (
	"bytes"
	"fmt"
	"strings"
)

const pageHeader = `# Settings

This page is generated from the settings table in ` + "`internal/state/rcconfig/table.go`" + `.
To bring it up to date, run:

    go test ./internal/state/rcconfig -run TestSettingsPage -update

Durations need a unit (` + "`ms`, `s`, `m`, `h`" + `), as do sizes (` + "`B`, `KiB`, `MiB`, `GiB`" + `).
All settings can be set in ` + "`[Defaults]`" + `. Those with scopes can also be overridden in an
` + "`[Exception.NAME]`" + ` section, which names one scope (` + "`Account`, `Model`, `Upstream` or `Zone`" + `)
and gives a ` + "`Reason`" + `. If several exceptions override a setting, ` + "`Account`" + ` takes precedence over
` + "`Model`, `Model` over `Upstream` and `Upstream` over `Zone`" + `. A target that ends in ` + "`*`" + ` matches
all names with that prefix; a longer prefix takes precedence over a shorter one, and a full name over both.

`

// SettingsPage returns the reference page of all settings in Markdown.
func SettingsPage() []byte {
	var b bytes.Buffer
	b.WriteString(pageHeader)
	b.WriteString("| setting | type | default | minimum | maximum | scopes of exceptions | meaning |\n")
	b.WriteString("|---|---|---|---|---|---|---|\n")
	for _, s := range settingTable {
		kind := string(s.Kind)
		if s.Unit != "" {
			kind += ", " + s.Unit
		}
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s | %s | %s | %s |\n",
			s.Name, kind, s.Default, orDash(s.Min), orDash(s.Max), orDash(joinScopes(s.Scopes)), s.Doc)
	}
	return b.Bytes()
}

func joinScopes(scopes []ScopeKind) string {
	names := make([]string, 0, len(scopes))
	for _, k := range scopes {
		names = append(names, string(k))
	}
	return strings.Join(names, ", ")
}

func orDash(s string) string {
	if s == "" {
		return "—"
	}
	return s
}
