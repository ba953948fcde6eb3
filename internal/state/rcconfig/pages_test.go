package rcconfig

import (
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// documentNames are what a document has besides the settings: its kinds of
// sections, and the keys of sections, which parse.go reads.
var documentNames = []string{"Defaults", "Exception", "Account", "Service", "Model", "Upstream", "Zone", "Reason", "KeyHashes", "Leaving", "Weight", "Weights", "NonRepeatable"}

// unknownNames returns the settings and sections that a page names in code and
// that don't exist. prose is what pages name in code without it being one.
func unknownNames(page string, prose ...string) (unknown []string) {
	known := map[string]bool{}
	for _, name := range append(documentNames, prose...) {
		known[name] = true
	}
	for _, s := range SettingsTable() {
		known[s.Name] = true
	}
	var named []string
	for _, code := range regexp.MustCompile("`([^`\n]+)`").FindAllStringSubmatch(page, -1) {
		if m := regexp.MustCompile(`^\[?([A-Z][A-Za-z]+)(?:\.[A-Z]+\])?\]?(?: = .*)?$`).FindStringSubmatch(code[1]); m != nil {
			named = append(named, m[1])
		}
	}
	for l := range strings.Lines(page) {
		// Indented lines are documents or commands.
		for _, m := range regexp.MustCompile(`^    (?:\[([A-Z][A-Za-z]+)|([A-Z][A-Za-z]+) *= )`).FindAllStringSubmatch(l, -1) {
			named = append(named, m[1]+m[2])
		}
	}
	for _, name := range named {
		if !known[name] {
			unknown = append(unknown, name)
		}
	}
	return unknown
}

// TestPagesNameSettingsThatExist guards against a page that tells operators to set
// what a document refuses.
func TestPagesNameSettingsThatExist(t *testing.T) {
	for file, prose := range map[string][]string{
		"settings.md": {"B", "KiB", "MiB", "GiB"}, // Units.
		// The outcome of a call that was refused.
		"configuration.md": {"NotRun"},
	} {
		page, err := os.ReadFile("../../../docs/operators/" + file)
		require.NoError(t, err)
		require.Empty(t, unknownNames(string(page), prose...), file)
	}
}

// TestUnknownNames guards against a check of the pages that finds nothing.
func TestUnknownNames(t *testing.T) {
	page := "Set `MaxTokens`, `MaxTokenz`, `[Exception.NAME]`, `[Exeption.NAME]` or `Leavin = true`.\n\n" +
		"    [Acount.ID]\n    StreamTimeout = 1s\n    StremTimeout = 1s\n"
	require.Equal(t, []string{"MaxTokenz", "Exeption", "Leavin", "Acount", "StremTimeout"}, unknownNames(page))
	for _, name := range documentNames {
		require.Empty(t, unknownNames("`"+name+"`"))
	}
}

// TestDocumentNames guards against names of sections and keys that a document no
// longer takes.
func TestDocumentNames(t *testing.T) {
	hash := strings.Repeat("ab", 32)
	_, err := Parse([]byte("[Account.a]\nWeight = 2\nKeyHashes = " + hash + "\nLeaving = true\n" +
		"[Service.s]\nNonRepeatable = POST /x\n[Model.m]\nWeights = w1\n" +
		"[Exception.One]\nAccount = a\nReason = why\nPriority = 3\n[Exception.Two]\nModel = m\nReason = why\nPriority = 3\n" +
		"[Exception.Three]\nUpstream = u\nReason = why\nChecksFence = true\n[Exception.Four]\nZone = z\nReason = why\nCrossZoneCost = 9ms\n[Defaults]\nMaxTokens = 9\n"))
	require.NoError(t, err)
}
