package rcconfig

import (
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// documentNames lists the names in a document other than settings: the kinds of
// sections and the keys that parse.go reads.
var documentNames = []string{"Defaults", "Exception", "Account", "Service", "Model", "Upstream", "Zone", "Reason", "KeyHashes", "Leaving", "Weight", "Weights", "NonRepeatable"}

// unknownNames returns the names of settings and sections that a page mentions as
// code and that do not exist. otherNames lists further names that a page may mention.
func unknownNames(page string, otherNames ...string) (unknown []string) {
	known := map[string]bool{}
	for _, name := range append(documentNames, otherNames...) {
		known[name] = true
	}
	for _, s := range SettingsTable() {
		known[s.Name] = true
	}
	var mentioned []string
	for _, code := range regexp.MustCompile("`([^`\n]+)`").FindAllStringSubmatch(page, -1) {
		if m := regexp.MustCompile(`^\[?([A-Z][A-Za-z]+)(?:\.[A-Z]+\])?\]?(?: = .*)?$`).FindStringSubmatch(code[1]); m != nil {
			mentioned = append(mentioned, m[1])
		}
	}
	for l := range strings.Lines(page) {
		// Indented lines are documents or commands.
		for _, m := range regexp.MustCompile(`^    (?:\[([A-Z][A-Za-z]+)|([A-Z][A-Za-z]+) *= )`).FindAllStringSubmatch(l, -1) {
			mentioned = append(mentioned, m[1]+m[2])
		}
	}
	for _, name := range mentioned {
		if !known[name] {
			unknown = append(unknown, name)
		}
	}
	return unknown
}

// TestPagesMentionExistingSettings guards against a page that tells operators to use
// a setting or section that a document does not accept.
func TestPagesMentionExistingSettings(t *testing.T) {
	for file, otherNames := range map[string][]string{
		"settings.md": {"B", "KiB", "MiB", "GiB"}, // Units.
		// The outcome of a call that was refused.
		"configuration.md": {"NotRun"},
	} {
		page, err := os.ReadFile("../../../docs/operators/" + file)
		require.NoError(t, err)
		require.Empty(t, unknownNames(string(page), otherNames...), file)
	}
}

// TestUnknownNames guards against a check of the pages that reports nothing.
func TestUnknownNames(t *testing.T) {
	page := "Set `MaxTokens`, `MaxTokenz`, `[Exception.NAME]`, `[Exeption.NAME]` or `Leavin = true`.\n\n" +
		"    [Acount.ID]\n    StreamTimeout = 1s\n    StremTimeout = 1s\n"
	require.Equal(t, []string{"MaxTokenz", "Exeption", "Leavin", "Acount", "StremTimeout"}, unknownNames(page))
	for _, name := range documentNames {
		require.Empty(t, unknownNames("`"+name+"`"))
	}
}

// TestDocumentNames guards against section and key names in documentNames that a
// document no longer accepts.
func TestDocumentNames(t *testing.T) {
	hash := strings.Repeat("ab", 32)
	_, err := Parse([]byte("[Account.a]\nWeight = 2\nKeyHashes = " + hash + "\nLeaving = true\n" +
		"[Service.s]\nNonRepeatable = POST /x\n[Model.m]\nWeights = w1\n" +
		"[Exception.One]\nAccount = a\nReason = why\nPriority = 3\n[Exception.Two]\nModel = m\nReason = why\nPriority = 3\n" +
		"[Exception.Three]\nUpstream = u\nReason = why\nChecksFence = true\n[Exception.Four]\nZone = z\nReason = why\nCrossZoneCost = 9ms\n[Defaults]\nMaxTokens = 9\n"))
	require.NoError(t, err)
}
