package rcinstance

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/peer/rcrpc"
	"github.com/radishcrank/radishcrank/internal/state/rcfleet"
	"github.com/radishcrank/radishcrank/internal/state/rcorigin"
)

// TestOnlyVersionIsNotUsed guards against clients that do not name the attempt that began
// their stream and are refused although the service has one software version, and
// against taking the version that is listed now for the one that began the stream.
func TestOnlyVersionIsNotUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const streamTime = 6 * time.Second
		p := newPeerGroups(1, 1)[0]
		entry := func(id radishcrank.UpstreamID, version radishcrank.SoftwareVersion) rcfleet.Entry {
			return rcfleet.Entry{Upstream: radishcrank.Upstream{ID: id, Service: "s", Software: version}}
		}
		p.instance.fleet.Replace([]rcfleet.Entry{entry("a0", "a"), entry("a1", "a")})
		known := func(attempt radishcrank.RequestID) bool {
			q := rcorigin.Query{Attempt: attempt, Service: "s", Within: streamTime}
			answer, err := p.origins.handleQuery(t.Context(), rcrpc.Identity{}, q)
			require.NoError(t, err)
			o, found := p.origins.Find(t.Context(), q)
			require.Equal(t, answer.Known, found)
			require.Equal(t, answer.Origin, o)
			return found
		}
		require.False(t, known(""), "another version may have left before the list was known")
		time.Sleep(streamTime)
		require.True(t, known(""))
		p.instance.fleet.Put(entry("b0", "b"))
		require.False(t, known(""))
		p.instance.fleet.Remove("b0")
		require.False(t, known(""), "the stream may have begun at an upstream that has just left")
		p.origins.Record(rcorigin.Record{Attempt: "r0", Origin: rcorigin.Origin{Service: "s", Software: "b"}})
		require.True(t, known("r0"))
		time.Sleep(streamTime)
		require.True(t, known(""))
		p.instance.fleet.Replace([]rcfleet.Entry{entry("a0", "")})
		time.Sleep(streamTime)
		require.False(t, known(""), "entries without a version")
	})
}

// TestStaleListDecidesOrigin guards against a stream that is taken up at an instance which is
// out of step, and goes on at the only software version that its old list names.
func TestStaleListDecidesOrigin(t *testing.T) {
	entry := func(id radishcrank.UpstreamID, version radishcrank.SoftwareVersion) rcfleet.Entry {
		return rcfleet.Entry{Upstream: radishcrank.Upstream{ID: id, Service: "s", Software: version, Incarnation: 1}}
	}
	for name, c := range map[string]struct {
		newer []rcfleet.Entry
		gone  []radishcrank.UpstreamID
		err   error
		want  bool
	}{
		"nothing is newer":                 {want: true},
		"an upstream of the same version":  {newer: []rcfleet.Entry{entry("a1", "a")}, want: true},
		"a known upstream is gone":         {gone: []radishcrank.UpstreamID{"a0"}, want: true},
		"one of another version":           {newer: []rcfleet.Entry{entry("b0", "b")}},
		"one has come and gone":            {gone: []radishcrank.UpstreamID{"b0"}},
		"the store cannot be read":         {err: errors.New("silent")},
		"another version under a known ID": {newer: []rcfleet.Entry{entry("a0", "b")}},
		"one of another service is listed": {newer: []rcfleet.Entry{{Upstream: radishcrank.Upstream{ID: "c", Service: "other", Software: "c"}}}, want: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newPeerGroups(1, 1)[0]
				p.origins.newerEntries = func(context.Context) ([]rcfleet.Entry, []radishcrank.UpstreamID, error) {
					return c.newer, c.gone, c.err
				}
				p.instance.fleet.Replace([]rcfleet.Entry{entry("a0", "a")})
				time.Sleep(time.Minute)
				_, known := p.origins.Find(t.Context(), rcorigin.Query{Attempt: "r0", Service: "s", Within: 6 * time.Second})
				require.Equal(t, c.want, known)
			})
		})
	}
}

// TestRestartedInstanceTrustsRecord guards against streams that no instance takes up because
// all have restarted, and against one that goes on by a record that the list contradicts.
func TestRestartedInstanceTrustsRecord(t *testing.T) {
	entry := func(version radishcrank.SoftwareVersion) rcfleet.Entry {
		return rcfleet.Entry{Upstream: radishcrank.Upstream{ID: "u/" + radishcrank.UpstreamID(version), Service: "s", Software: version, Incarnation: 1}}
	}
	for name, c := range map[string]struct {
		listed, newer []rcfleet.Entry
		recorded      bool
		err           error
		want          bool
	}{
		"recorded":                {listed: []rcfleet.Entry{entry("a")}, recorded: true, want: true},
		"not recorded":            {listed: []rcfleet.Entry{entry("a")}},
		"two versions are listed": {listed: []rcfleet.Entry{entry("a"), entry("b")}, recorded: true},
		"another one has started": {listed: []rcfleet.Entry{entry("a")}, newer: []rcfleet.Entry{entry("b")}, recorded: true},
		"the list is out of date": {listed: []rcfleet.Entry{entry("a")}, err: errors.New("silent"), recorded: true},
		"nothing is listed":       {recorded: true},
	} {
		t.Run(name, func(t *testing.T) {
			p := newPeerGroups(1, 1)[0]
			p.origins.newerEntries = func(context.Context) ([]rcfleet.Entry, []radishcrank.UpstreamID, error) { return c.newer, nil, c.err }
			p.origins.recordedAsOnly = func(_ context.Context, _ string, v radishcrank.SoftwareVersion, _ time.Duration) bool {
				return c.recorded && v == "a"
			}
			p.instance.fleet.Replace(c.listed)
			_, known := p.origins.Find(t.Context(), rcorigin.Query{Service: "s", Within: 15 * time.Second})
			require.Equal(t, c.want, known)
		})
	}
}

// TestListedOriginIsTrusted guards against a stream that began at an upstream which had
// restarted with other software under its ID, and goes on at the version that was listed.
func TestListedOriginIsTrusted(t *testing.T) {
	entry := func(incarnation radishcrank.Incarnation, version radishcrank.SoftwareVersion) rcfleet.Entry {
		return rcfleet.Entry{Upstream: radishcrank.Upstream{ID: "u", Service: "s", Software: version, Incarnation: incarnation}}
	}
	down := errors.New("silent")
	for name, c := range map[string]struct {
		newer   []rcfleet.Entry
		err     error
		running radishcrank.Incarnation // What the upstream says itself; 0 if it does not answer.
		want    bool
	}{
		"still listed":                          {want: true},
		"restarted with the same software":      {newer: []rcfleet.Entry{entry(2, "a")}, want: true},
		"restarted with other software":         {newer: []rcfleet.Entry{entry(2, "b")}},
		"store is down, the upstream runs on":   {err: down, running: 1, want: true},
		"store is down, the upstream restarted": {err: down, running: 2},
		"store is down, the upstream is silent": {err: down},
	} {
		t.Run(name, func(t *testing.T) {
			p := newPeerGroups(1, 1)[0]
			p.instance.fleet.Replace([]rcfleet.Entry{entry(1, "a")})
			p.origins.newerEntries = func(context.Context) ([]rcfleet.Entry, []radishcrank.UpstreamID, error) { return c.newer, nil, c.err }
			p.origins.incarnation = func(context.Context, radishcrank.Upstream) (radishcrank.Incarnation, error) {
				if c.running == 0 {
					return 0, down
				}
				return c.running, nil
			}
			p.origins.Record(rcorigin.Record{Attempt: "r", Origin: rcorigin.Origin{Service: "s", Software: "a", Upstream: "u", Incarnation: 1}})
			o, known := p.origins.Find(t.Context(), rcorigin.Query{Attempt: "r"})
			require.Equal(t, c.want, known)
			require.Equal(t, rcorigin.Origin{Service: "s", Software: "a"}, o)
		})
	}
}

// TestRestartLosesOrigins guards against streams that cannot be taken up because the
// instances that know where they began have been stopped one after the other.
func TestRestartLosesOrigins(t *testing.T) {
	t.Parallel()
	s := startDeployment(t, 3, nil)
	s.awaitPeers()
	stop := func(n int) {
		s.stops[n]()
		<-s.stopped[n]
	}
	origin := rcorigin.Origin{Service: "llm", Software: "v1"}
	record := func(n int, prefix string) {
		for k := range 2 * maxSentOrigins {
			s.instances[n].peers.origins.Record(rcorigin.Record{Attempt: radishcrank.RequestID(fmt.Sprint(prefix, k)), Origin: origin})
		}
	}
	requireKnown := func(n int, prefix string) {
		t.Helper()
		for k := range 2 * maxSentOrigins {
			_, known := s.instances[n].peers.origins.registry.Get(radishcrank.RequestID(fmt.Sprint(prefix, k)))
			require.True(t, known, "%s%d at instance %d", prefix, k, n)
		}
	}
	stop(2)
	record(0, "a")
	record(1, "b")
	<-time.After(5 * loadReportInterval) // They are sent.
	s.start(10 * time.Second)            // Instance 3.
	require.Eventually(t, func() bool {
		_, known := s.instances[3].peers.origins.registry.Get(radishcrank.RequestID(fmt.Sprint("b", 2*maxSentOrigins-1)))
		return known
	}, 3*time.Second, 20*time.Millisecond)
	stop(0)
	stop(1)
	requireKnown(3, "a")
	requireKnown(3, "b")
}
