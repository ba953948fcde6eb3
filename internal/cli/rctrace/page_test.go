package rctrace

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/radishcrank/radishcrank/internal/state/rcmetric"
)

const root = "../../.."

// eventFolders contain all code that writes log events on the users' platform. Below
// them, rctrace is excluded because it only reads events.
var eventFolders = []string{"platform", "internal"}

// TestPageNamesAllEvents guards against a log event that is missing from
// docs/OPERATIONS.md, and against an event on that page that is no longer written.
func TestPageNamesAllEvents(t *testing.T) {
	written := map[string]bool{}
	event := regexp.MustCompile(`"Event\\?",? ?:?\\?"([A-Za-z]+)\\?"|"Event", "([A-Za-z]+)"`)
	for _, folder := range eventFolders {
		err := filepath.WalkDir(filepath.Join(root, folder), func(path string, _ fs.DirEntry, err error) error {
			if err != nil || strings.Contains(path, "/rctrace/") || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			text, err := os.ReadFile(path)
			for _, m := range event.FindAllStringSubmatch(string(text), -1) {
				written[m[1]+m[2]] = true
			}
			return err
		})
		require.NoError(t, err)
	}
	page, err := os.ReadFile(filepath.Join(root, "docs/OPERATIONS.md"))
	require.NoError(t, err)
	_, table, _ := strings.Cut(string(page), "| Event |")
	table, _, _ = strings.Cut(table, "\n\n")
	explained := map[string]bool{}
	for row := range strings.Lines(table) {
		first, _, _ := strings.Cut(strings.TrimPrefix(row, "|"), "|")
		for _, m := range regexp.MustCompile("`([A-Za-z]+)`").FindAllStringSubmatch(first, -1) {
			explained[m[1]] = true
		}
	}
	require.Equal(t, written, explained)
}

// TestPagesNameMetricsThatExist guards against a runbook that refers to a counter or
// histogram that no longer exists.
func TestPagesNameMetricsThatExist(t *testing.T) {
	known := map[string]bool{}
	for _, m := range append(append([]rcmetric.CounterInfo{}, rcmetric.Counters...), rcmetric.PlatformCounters...) {
		known[string(m.Name)] = true
	}
	for _, m := range rcmetric.Histograms {
		known[string(m.Name)] = true
	}
	page, err := os.ReadFile(filepath.Join(root, "docs/operators/runbooks.md"))
	require.NoError(t, err)
	for _, m := range regexp.MustCompile("(?:counter|histogram) `([A-Za-z0-9]+)`").FindAllStringSubmatch(string(page), -1) {
		require.True(t, known[m[1]], m[1])
	}
}
