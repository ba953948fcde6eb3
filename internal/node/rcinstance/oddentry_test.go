package rcinstance

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/radishcrank/radishcrank/internal/state/rcfeed"
	"github.com/radishcrank/radishcrank/internal/state/rcfleet"
)

// oddEntries are values that another writer may leave among the entries of upstreams. None
// names an upstream to use.
func oddEntries() map[string]string {
	entry := func(fields string) string {
		return `{"Service":"desk","Address":"127.0.0.1:9","Zone":"z","State":"ready","Slots":8,"born":1,"Version":"v1"` + fields + `}`
	}
	nested := func(n int) string { return strings.Repeat("[", n) + strings.Repeat("]", n) }
	return map[string]string{
		"nested models":       entry(`,"Models":` + nested(9_000)),
		"nested unknown":      entry(`,"Extra":` + nested(20_000)),
		"unbalanced":          strings.Repeat(`{"a":`, 9_000),
		"slots beyond floats": entry(`,"Slots":1e400`),
		"slots beyond ints":   entry(`,"Slots":99999999999999999999`),
		"slots too many":      entry(`,"Slots":9000000000000000000`),
		"slots negative":      entry(`,"Slots":-9000000000000000000`),
		"cold forever":        entry(`,"ColdRemainingMs":1e308`),
		"cold negative":       entry(`,"ColdRemainingMs":-1e308`),
		"born at the end":     entry(`,"born":9223372036854775807`),
		"born beyond":         entry(`,"born":1e30`),
		"born before":         entry(`,"born":-9223372036854775808`),
		"port out of range":   entry(`,"Address":"127.0.0.1:99999"`),
		"port zero":           entry(`,"Address":"127.0.0.1:0"`),
		"no port":             entry(`,"Address":"127.0.0.1"`),
		"address of no host":  entry(`,"Address":"0.0.0.0:80"`),
		"weights too large":   entry(`,"Models":[{"Name":"m","Version":1e40}]`),
		"null":                `null`,
		"nothing":             ``,
		"not text":            "\xff\xfe\x00",
	}
}

// TestOddEntryIsUsed guards against an upstream that an entry of another writer names.
func TestOddEntryIsUsed(t *testing.T) {
	for name, value := range oddEntries() {
		d := &directory{log: zerolog.Nop(), fleet: rcfleet.New()}
		d.applyUpstreamRow(rcfeed.Row{Key: name, Value: []byte(value)}, rcfeed.Provenance{})
		d.resetUpstreams([]rcfeed.Row{{Key: name, Value: []byte(value)}}, rcfeed.Provenance{})
		require.Empty(t, d.fleet.All(), name)
	}
}

// TestOddEntryStopsList guards against instances that end, or stop following the list of
// upstreams, because of an entry of another writer.
func TestOddEntryStopsList(t *testing.T) {
	t.Parallel()
	o := deploymentOptions{instances: 2}
	s := startDeploymentWith(t, o)
	for name, value := range oddEntries() {
		s.store.PutBytes("servers", "odd "+name, []byte(value))
	}
	s.start(10 * time.Second) // Reads them with the whole table.
	for n := range serviceCount {
		s.store.Delete("servers", fmt.Sprint("u", engineCount+n))
	}
	s.startUpstream(deploymentOptions{engines: engineCount}, engineCount+serviceCount, "new")
	for i := range s.instances {
		require.Eventually(t, func() bool {
			status, _, _ := s.call(i, http.MethodPost, "/book/1", fmt.Sprint("odd-", i, "-", time.Now().UnixNano()))
			states := s.instances[i].fleet.AppendStates("desk", nil)
			return status == http.StatusOK && len(states) == 1 && states[0].ID == "new"
		}, 5*time.Second, 20*time.Millisecond, "instance %d", i)
	}
}
