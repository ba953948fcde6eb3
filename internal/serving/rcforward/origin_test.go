package rcforward

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/limits/rcpoison"
	"github.com/radishcrank/radishcrank/internal/routing/rcaffinity"
	"github.com/radishcrank/radishcrank/internal/state/rcboard"
	"github.com/radishcrank/radishcrank/internal/state/rcfleet"
	"github.com/radishcrank/radishcrank/internal/state/rcmetric"
	"github.com/radishcrank/radishcrank/internal/state/rcorigin"
	"github.com/radishcrank/radishcrank/internal/state/rcweights"
)

// recordingOrigins holds the origins that a forwarder records.
type recordingOrigins struct {
	mu      sync.Mutex
	records map[radishcrank.RequestID]rcorigin.Origin
	doubted bool // What only the list says is wrong.
}

func (r *recordingOrigins) Record(rec rcorigin.Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.records[rec.Attempt] = rec.Origin
}

func (r *recordingOrigins) Verify(context.Context, rcorigin.Origin) bool { return !r.doubted }

func (r *recordingOrigins) Find(_ context.Context, q rcorigin.Query) (o rcorigin.Origin, known bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	o, known = r.records[q.Attempt]
	return o, known
}

func (r *recordingOrigins) Inspect(ctx context.Context, q rcorigin.Query) (o rcorigin.Origin, known bool) {
	return r.Find(ctx, q)
}

// versionedFleet is a service with several software versions.
type versionedFleet struct {
	fleet     *rcfleet.Fleet
	origins   *recordingOrigins
	restarted map[radishcrank.UpstreamID]bool // Upstreams that have restarted since they were listed.
	sender    *scriptedSender
}

func newVersionedFleet(versions map[radishcrank.UpstreamID]radishcrank.SoftwareVersion, steps ...step) *versionedFleet {
	v := &versionedFleet{
		fleet:     rcfleet.New(),
		origins:   &recordingOrigins{records: map[radishcrank.RequestID]rcorigin.Origin{}},
		restarted: map[radishcrank.UpstreamID]bool{},
		sender:    &scriptedSender{steps: steps},
	}
	var entries []rcfleet.Entry
	for id, version := range versions {
		entries = append(entries, rcfleet.Entry{Upstream: radishcrank.Upstream{ID: id, Service: "s", Incarnation: 5, Software: version}})
	}
	v.fleet.Replace(entries)
	return v
}

func (v *versionedFleet) serve(t *testing.T, x radishcrank.Exchange) (*httptest.ResponseRecorder, error) {
	f := New(Config{
		Fleet: v.fleet, Sender: v.sender, Budget: stubBudget{}, Guard: rcpoison.New(rcpoison.Config{Board: rcboard.New()}),
		Weights:       func(radishcrank.ModelID) rcweights.History { return rcweights.History{} },
		OldWeightsTTL: func() time.Duration { return 0 },
		KVStores:      func() []rcaffinity.KVStore { return nil },
		RecordCached:  func(radishcrank.UpstreamID, string, []radishcrank.PromptPart) {},
		Origins:       v.origins,
		Incarnation: func(_ context.Context, up radishcrank.Upstream) (radishcrank.Incarnation, error) {
			if v.restarted[up.ID] {
				return up.Incarnation + 1, nil
			}
			return up.Incarnation, nil
		},
		Metrics: &rcmetric.Set{}, Log: zerolog.Nop(),
	})
	if x.Services == nil {
		x.Services = []string{"s"}
	}
	x.ID, x.Service, x.Method, x.Target = "r1", "s", http.MethodPost, "/p"
	x.Route.Timeout = 6 * time.Second
	x.ReceivedAt, x.Deadline = time.Now(), time.Now().Add(x.Route.Timeout)
	w := httptest.NewRecorder()
	err := f.Serve(t.Context(), w, &x)
	return w, err
}

var (
	twoVersions = map[radishcrank.UpstreamID]radishcrank.SoftwareVersion{"a0": "a", "a1": "a", "b0": "b", "b1": "b", "b2": "b"}
	originA     = rcorigin.Origin{Service: "s", Software: "a"}
)

func firstEvents() step {
	return step{reply: okReply(), body: failingBody("id: 1\n\n")}
}

func otherEvents() step { return step{reply: okReply(), body: strings.NewReader("id: 2\n\n")} }

// TestAnswerMixesSoftwareVersions guards against an answer that goes on at another
// software version, or waits although none of its own is left.
func TestAnswerMixesSoftwareVersions(t *testing.T) {
	for range 20 { // Placement is the same for all upstreams, and the order of the map is not.
		synctest.Test(t, func(t *testing.T) {
			v := newVersionedFleet(twoVersions, firstEvents(), otherEvents())
			w, err := v.serve(t, streaming(radishcrank.RetryResume))
			require.NoError(t, err)
			require.Equal(t, "id: 1\n\nid: 2\n\n", w.Body.String())
			require.Equal(t, v.sender.sent[0].up[0], v.sender.sent[1].up[0])
			require.Equal(t, string(v.sender.sent[0].up[0]), string(v.origins.records["r1"].Software))
		})
		synctest.Test(t, func(t *testing.T) {
			start := time.Now()
			v := newVersionedFleet(map[radishcrank.UpstreamID]radishcrank.SoftwareVersion{"a0": "a", "b0": "b"}, firstEvents())
			_, err := v.serve(t, streaming(radishcrank.RetryResume))
			require.ErrorIs(t, err, ErrTruncated)
			require.Len(t, v.sender.sent, 1)
			require.Zero(t, time.Since(start), "it waited for a version that nothing serves")
		})
	}
}

// TestTakenUpStreamMixesSoftwareVersions guards against a stream that a client takes up
// and that goes on at another version, at another service or where that is unknown.
func TestTakenUpStreamMixesSoftwareVersions(t *testing.T) {
	x := takenUp()
	for range 20 {
		v := newVersionedFleet(twoVersions, otherEvents())
		v.origins.records["r0"] = originA
		w, err := v.serve(t, x)
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, w.Code)
		require.Equal(t, byte('a'), v.sender.sent[0].up[0])
		require.Equal(t, "1", v.sender.sent[0].o.LastEventID)
		require.NotContains(t, v.origins.records, radishcrank.RequestID("r1"), "another attempt brought the first event")
	}
	split := x
	split.Services = []string{"other"}
	for name, c := range map[string]struct {
		x       radishcrank.Exchange
		origins map[radishcrank.RequestID]rcorigin.Origin
	}{
		"unknown":                     {x: x, origins: map[radishcrank.RequestID]rcorigin.Origin{}},
		"version is gone":             {x: x, origins: map[radishcrank.RequestID]rcorigin.Origin{"r0": {Service: "s", Software: "c"}}},
		"service is not on the route": {x: split, origins: map[radishcrank.RequestID]rcorigin.Origin{"r0": originA}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				start := time.Now()
				v := newVersionedFleet(twoVersions)
				v.origins.records = c.origins
				w, err := v.serve(t, c.x)
				require.NoError(t, err)
				require.Equal(t, http.StatusServiceUnavailable, w.Code)
				require.NotEmpty(t, w.Header().Get("Retry-After"))
				require.Empty(t, v.sender.sent)
				require.Zero(t, time.Since(start))
			})
		})
	}
}

// TestSplitRouteMovesStream guards against a stream that goes on at the other service of
// a route that splits its requests.
func TestSplitRouteMovesStream(t *testing.T) {
	v := newVersionedFleet(twoVersions, otherEvents())
	v.fleet.Put(rcfleet.Entry{Upstream: radishcrank.Upstream{ID: "o0", Service: "other", Software: "a"}})
	v.origins.records["r0"] = rcorigin.Origin{Service: "other", Software: "a"}
	x := takenUp()
	x.Services = []string{"s", "other"}
	w, err := v.serve(t, x)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, w.Code)
	require.Equal(t, radishcrank.UpstreamID("o0"), v.sender.sent[0].up)
}

// TestRestartedUpstreamMixesSoftwareVersions guards against a stream that goes on at an
// upstream that is back with another version and still listed with the earlier one, and
// against an origin that is recorded with the earlier one.
func TestRestartedUpstreamMixesSoftwareVersions(t *testing.T) {
	for range 20 {
		v := newVersionedFleet(twoVersions, otherEvents(), otherEvents())
		v.origins.records["r0"] = originA
		v.restarted["a0"] = true
		w, err := v.serve(t, takenUp())
		require.NoError(t, err)
		require.Equal(t, "id: 2\n\n", w.Body.String())
		require.Equal(t, radishcrank.UpstreamID("a1"), v.sender.sent[len(v.sender.sent)-1].up)

		synctest.Test(t, func(t *testing.T) {
			v := newVersionedFleet(twoVersions, firstEvents())
			for id := range twoVersions {
				v.restarted[id] = true
			}
			_, err := v.serve(t, streaming(radishcrank.RetryResume))
			require.ErrorIs(t, err, ErrTruncated)
			synctest.Wait()
			require.Empty(t, v.origins.records)
			require.Len(t, v.sender.sent, 1)
		})
	}
}

// TestStreamGoesOnAtListedVersion guards against a broken stream that goes on at the version
// that was listed when it began, although that is not the one that began it.
func TestStreamGoesOnAtListedVersion(t *testing.T) {
	for _, doubted := range []bool{false, true} {
		v := newVersionedFleet(map[radishcrank.UpstreamID]radishcrank.SoftwareVersion{"a0": "a", "a1": "a"}, firstEvents(), otherEvents())
		v.origins.doubted = doubted
		_, err := v.serve(t, streaming(radishcrank.RetryResume))
		if doubted {
			require.ErrorIs(t, err, ErrTruncated)
			require.Len(t, v.sender.sent, 1)
		} else {
			require.NoError(t, err)
			require.Len(t, v.sender.sent, 2)
		}
		require.True(t, v.origins.records["r1"].Listed())
	}
}
