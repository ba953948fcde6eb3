package rcinstance

import (
	"fmt"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/routing/rcroute"
	"github.com/radishcrank/radishcrank/internal/state/rcfeed"
	"github.com/radishcrank/radishcrank/internal/state/rcfleet"
)

// TestConfigNeverGoesBack guards against a row that is read late and puts an older
// configuration or older weights into force.
func TestConfigNeverGoesBack(t *testing.T) {
	var versions []int64
	var weights []radishcrank.WeightsVersion
	d := &directory{
		log: zerolog.Nop(), fleet: rcfleet.New(),
		setConfig: func(t *rcroute.Table) { versions = append(versions, t.Version) },
		setWeights: func(_ radishcrank.ModelID, w radishcrank.WeightsVersion, _ rcfeed.Provenance) {
			weights = append(weights, w)
		},
	}
	row := func(version int) rcfeed.Row {
		return rcfeed.Row{Key: "config", Value: fmt.Appendf(nil, configTemplate, version, "")}
	}
	now := rcfeed.Provenance{}
	d.applyOperatorRow(row(7), now)
	d.applyOperatorRow(row(9), now)
	d.applyOperatorRow(row(7), now)
	d.applyOperatorRow(rcfeed.Row{Key: "config", Value: []byte("{")}, now)
	d.applyOperatorRow(rcfeed.Row{Key: "config", Removed: true}, now)
	require.Equal(t, []int64{7, 9}, versions)
	d.applyOperatorRow(rcfeed.Row{Key: "version/m", Value: []byte(`{"Model":"m","Version":2}`)}, now)
	d.applyOperatorRow(rcfeed.Row{Key: "version/m", Value: []byte(`{"Model":"m","Version":"x"}`)}, now)
	require.Equal(t, []radishcrank.WeightsVersion{"2"}, weights)
}

// TestRemovedUpstream guards against an upstream that stays in use after its entry was
// removed or replaced by one that cannot be parsed.
func TestRemovedUpstream(t *testing.T) {
	d := &directory{log: zerolog.Nop(), fleet: rcfleet.New()}
	good := []byte(`{"Service":"s","Address":"10.0.0.1:80","State":"ready","born":1}`)
	d.resetUpstreams([]rcfeed.Row{{Key: "a", Value: good}, {Key: "b", Value: good}, {Key: "c", Value: []byte("{")}}, rcfeed.Provenance{})
	require.Len(t, d.fleet.All(), 2)
	d.applyUpstreamRow(rcfeed.Row{Key: "a", Removed: true}, rcfeed.Provenance{})
	d.applyUpstreamRow(rcfeed.Row{Key: "b", Value: []byte("[]")}, rcfeed.Provenance{})
	require.Empty(t, d.fleet.All())
}

// TestRestoredRowDoesNotTakeBackDeparture guards against requests to an upstream that has
// announced that it leaves, because a store that came back from an older copy lists it
// as ready.
func TestRestoredRowDoesNotTakeBackDeparture(t *testing.T) {
	d := &directory{log: zerolog.Nop(), fleet: rcfleet.New()}
	row := func(state string) rcfeed.Row {
		return rcfeed.Row{Key: "a", Value: fmt.Appendf(nil, `{"Service":"s","Address":"10.0.0.1:80","State":%q,"born":1}`, state)}
	}
	d.resetUpstreams([]rcfeed.Row{row("ready")}, rcfeed.Provenance{})
	d.applyUpstreamRow(row("draining"), rcfeed.Provenance{})
	for name, apply := range map[string]func(){
		"whole table": func() { d.resetUpstreams([]rcfeed.Row{row("ready")}, rcfeed.Provenance{Restored: true}) },
		"one row":     func() { d.applyUpstreamRow(row("ready"), rcfeed.Provenance{Restored: true}) },
	} {
		apply()
		s, ok := d.fleet.Get("a")
		require.True(t, ok)
		require.True(t, s.Leaving, name)
	}
}
