package rcplatform_test

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/platform/rcplatform"
	"github.com/radishcrank/radishcrank/internal/standin/rcfakelist"
	"github.com/radishcrank/radishcrank/internal/standin/rcfakeobject"
	"github.com/radishcrank/radishcrank/internal/standin/rcfaketable"
)

func serve(t *testing.T, h http.Handler) rcplatform.Config {
	server := httptest.NewServer(h)
	t.Cleanup(server.Close)
	return rcplatform.Config{Addr: netip.MustParseAddrPort(server.Listener.Addr().String())}
}

// Guards against reporting a commit whose outcome is unknown as one that wrote
// nothing, and the reverse.
func TestCommitErrors(t *testing.T) {
	ctx := t.Context()
	fake := rcfaketable.New()
	table := rcplatform.NewTableClient(serve(t, fake.Handler()))
	insert := radishcrank.Transaction{
		Checks: []radishcrank.Check{{Key: "a/1"}},
		Writes: []radishcrank.Write{{Key: "a/1", Value: []byte{0, 255}}},
	}
	version := func() uint64 {
		rows, err := fake.Get(ctx, "a/1")
		require.NoError(t, err)
		return rows[0].Version
	}
	fake.SetFaults(rcfaketable.Faults{DropCommits: 1})
	require.ErrorIs(t, table.Commit(ctx, insert), radishcrank.ErrUnknownOutcome)
	require.Zero(t, version())
	fake.SetFaults(rcfaketable.Faults{Down: true})
	require.ErrorIs(t, table.Commit(ctx, insert), radishcrank.ErrUnavailable)
	fake.SetFaults(rcfaketable.Faults{LoseResponses: 1})
	require.ErrorIs(t, table.Commit(ctx, insert), radishcrank.ErrUnknownOutcome)
	require.EqualValues(t, 1, version())
	require.ErrorIs(t, table.Commit(ctx, insert), radishcrank.ErrConflict)

	rows, err := table.Get(ctx, "none", "a/1")
	require.NoError(t, err)
	require.Equal(t, []radishcrank.Row{{Key: "none"}, {Key: "a/1", Value: []byte{0, 255}, Version: 1}}, rows)
	rows, err = table.Scan(ctx, "a/", "", 10)
	require.NoError(t, err)
	require.Len(t, rows, 1)
	fake.SetFaults(rcfaketable.Faults{Down: true})
	_, err = table.Get(ctx, "a/1")
	require.ErrorIs(t, err, radishcrank.ErrUnavailable)
}

// Guards against reporting a refused connection as an unknown outcome, and
// against reporting an unresponsive connection or an unexpected status as
// nothing written.
func TestConnectionFailures(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	unresponsive := netip.MustParseAddrPort(l.Addr().String())
	table := rcplatform.NewTableClient(rcplatform.Config{Addr: unresponsive, Timeout: 50 * time.Millisecond})
	require.ErrorIs(t, table.Commit(t.Context(), radishcrank.Transaction{}), radishcrank.ErrUnknownOutcome)
	require.NoError(t, l.Close())
	require.ErrorIs(t, table.Commit(t.Context(), radishcrank.Transaction{}), radishcrank.ErrUnavailable)
	for _, status := range []int{http.StatusFound, http.StatusBadGateway, http.StatusGatewayTimeout, http.StatusInternalServerError} {
		failing := rcplatform.NewTableClient(serve(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Location", "/")
			w.WriteHeader(status)
		})))
		require.ErrorIs(t, failing.Commit(t.Context(), radishcrank.Transaction{}), radishcrank.ErrUnknownOutcome, "status %d", status)
	}
}

// Guards against object names that are corrupted by escaping, and against
// reporting a missing object as an outage.
func TestObjectsAndList(t *testing.T) {
	ctx := t.Context()
	store := rcfakeobject.New()
	objects := rcplatform.NewObjectStoreClient(serve(t, store.Handler()))
	name := "snapshot/zone a/1%2F?x"
	require.NoError(t, objects.Put(ctx, name, []byte{1, 0, 2}))
	data, err := objects.Get(ctx, name)
	require.NoError(t, err)
	require.Equal(t, []byte{1, 0, 2}, data)
	names, err := objects.List(ctx, "snapshot/zone a/")
	require.NoError(t, err)
	require.Equal(t, []string{name}, names)
	_, err = objects.Get(ctx, "none")
	require.ErrorIs(t, err, radishcrank.ErrNotFound)
	store.SetDown(true)
	_, err = objects.Get(ctx, name)
	require.ErrorIs(t, err, radishcrank.ErrUnavailable)

	listing := radishcrank.Listing{
		Instances: []radishcrank.Instance{{ID: "i-1", Peer: netip.MustParseAddrPort("127.0.0.1:1")}},
		Upstreams: []radishcrank.Upstream{{ID: "e-1", Role: radishcrank.RoleEngine, ChecksFence: true, Models: []radishcrank.ModelID{"m"}}},
	}
	got, err := rcplatform.NewInstanceListClient(serve(t, rcfakelist.New(listing).Handler())).List(ctx)
	require.NoError(t, err)
	require.Equal(t, listing, got)
}

// Guards against losing the Retry-After time of the weight store's rate limit.
func TestWeightsRateLimit(t *testing.T) {
	weights := rcplatform.NewWeightStoreClient(serve(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Retry-After", "7")
		w.WriteHeader(http.StatusTooManyRequests)
	})))
	_, err := weights.Info(t.Context(), "m", "w1")
	var rateLimit *rcplatform.RateLimitError
	require.ErrorAs(t, err, &rateLimit)
	require.Equal(t, 7*time.Second, rateLimit.RetryAfter)
	require.ErrorIs(t, err, radishcrank.ErrUnavailable)
}

// Guards against a write that is taken for done by the status of an answer that broke off: a service
// may answer and close the connection before it has read the request.
func TestBrokenOffAnswerToWrite(t *testing.T) {
	objects := rcplatform.NewObjectStoreClient(serve(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer conn.Close() // Resets the connection, since the object has not been read.
		io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\n{}")
		<-time.After(10 * time.Millisecond)
	})))
	for range 10 {
		require.ErrorIs(t, objects.Put(t.Context(), "snapshot", make([]byte, 8<<20)), radishcrank.ErrUnknownOutcome)
	}
}

// Guards against an answer with a malformed head that is taken for the platform's: what it says of
// a write is unknown.
func TestMalformedHead(t *testing.T) {
	for _, head := range []string{"HTTP/1.1 000 x\r\n", "HTTP/1.1 200 OK\r\nX Y: 1\r\n", "HTTP/1.1 409 Conflict\r\nX-Y : 1\r\n"} {
		table := rcplatform.NewTableClient(serve(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			conn, _, err := http.NewResponseController(w).Hijack()
			if err != nil {
				return
			}
			defer conn.Close()
			io.WriteString(conn, head+"Content-Length: 2\r\n\r\n{}")
		})))
		require.ErrorIs(t, table.Commit(t.Context(), radishcrank.Transaction{}), radishcrank.ErrUnknownOutcome, head)
		_, err := table.Get(t.Context(), "a")
		require.ErrorIs(t, err, radishcrank.ErrUnavailable, head)
		require.ErrorContains(t, err, "malformed", head)
	}
}
