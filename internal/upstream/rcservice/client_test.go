package rcservice_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/standin/rcfakeservice"
	"github.com/radishcrank/radishcrank/internal/upstream/rcservice"
)

func serve(t *testing.T, h http.Handler) (radishcrank.Upstream, *httptest.Server) {
	server := httptest.NewServer(h)
	t.Cleanup(server.Close)
	return radishcrank.Upstream{ID: "s", Addr: netip.MustParseAddrPort(server.Listener.Addr().String())}, server
}

func booking(key string) radishcrank.ServiceCall {
	return radishcrank.ServiceCall{Account: "a", Service: "booking", Method: http.MethodPost, Path: "/releases", Body: []byte("b"), IdempotencyKey: key}
}

// TestBrokenOffCallLooksComplete guards against a response that its service broke off and
// that is recorded and replayed as if it were whole.
func TestBrokenOffCallLooksComplete(t *testing.T) {
	ledger := rcfakeservice.New()
	up, _ := serve(t, ledger.Handler())
	ledger.SetFaults(rcfakeservice.Faults{BreakOffUnframed: 1})
	_, err := rcservice.New().Call(t.Context(), up, booking("k"))
	require.Error(t, err)
	require.NotErrorIs(t, err, radishcrank.ErrNotSent)
	require.NotErrorIs(t, err, radishcrank.ErrUpstreamBusy)
	require.Equal(t, 1, ledger.Runs("a/k"))
}

// Guards against reporting a call as not run although it may have run, against a
// call that net/http sends twice, and against lookups that disagree with the
// calls that ran.
func TestCallFailures(t *testing.T) {
	for _, c := range []struct {
		name    string
		faults  rcfakeservice.Faults
		runs    int
		wantErr error // Nil if the error must not claim that the call did not run.
	}{
		{"CrashBefore", rcfakeservice.Faults{CrashBefore: 1}, 0, nil},
		{"CrashAfter", rcfakeservice.Faults{CrashAfter: 1}, 1, nil},
		{"LoseAnswer", rcfakeservice.Faults{TruncateResponses: 1}, 1, nil},
		{"Refuse", rcfakeservice.Faults{Refuse: 1}, 0, radishcrank.ErrUpstreamBusy},
	} {
		t.Run(c.name, func(t *testing.T) {
			ledger := rcfakeservice.New()
			up, _ := serve(t, ledger.Handler())
			client := rcservice.New()
			// The first call leaves an idle connection that the second one might reuse.
			_, err := client.Call(t.Context(), up, booking("first"))
			require.NoError(t, err)
			ledger.SetFaults(c.faults)
			_, err = client.Call(t.Context(), up, booking("k"))
			require.Error(t, err)
			if c.wantErr != nil {
				require.ErrorIs(t, err, c.wantErr)
			} else {
				require.NotErrorIs(t, err, radishcrank.ErrNotSent)
				require.NotErrorIs(t, err, radishcrank.ErrUpstreamBusy)
			}
			require.Equal(t, c.runs, ledger.Runs("a/k"))
			_, found, err := client.Lookup(t.Context(), up, booking("k"))
			require.NoError(t, err)
			require.Equal(t, c.runs == 1, found)
		})
	}
}

// Guards against a refused connection that is not reported as ErrNotSent.
func TestRefusedConnection(t *testing.T) {
	up, server := serve(t, http.NotFoundHandler())
	server.Close()
	_, err := rcservice.New().Call(t.Context(), up, booking("k"))
	require.ErrorIs(t, err, radishcrank.ErrNotSent)
}

// Guards against following a redirect, which would send a call twice, and against
// a lookup that takes a 200 response without the key or an error page for a
// confirmation.
func TestRedirectAndForeignLookupResponses(t *testing.T) {
	calls := 0
	status := http.StatusTemporaryRedirect
	up, _ := serve(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		calls++
		w.Header().Set("Location", "/elsewhere")
		w.WriteHeader(status)
	}))
	client := rcservice.New()
	answer, err := client.Call(t.Context(), up, booking("k"))
	require.NoError(t, err)
	require.Equal(t, http.StatusTemporaryRedirect, answer.Status)
	require.Equal(t, 1, calls)
	status = http.StatusOK
	_, found, err := client.Lookup(t.Context(), up, booking("k"))
	require.NoError(t, err)
	require.False(t, found)
	status = http.StatusInternalServerError
	_, found, err = client.Lookup(t.Context(), up, booking("k"))
	require.Error(t, err)
	require.False(t, found)
}

// TestResetCallLooksComplete guards against a response without a length that is recorded as whole
// although its service reset the connection before it had read the call.
func TestResetCallLooksComplete(t *testing.T) {
	up, _ := serve(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer conn.Close() // Resets the connection, since the call has not been read.
		io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n{\"Number\":1}")
		<-time.After(10 * time.Millisecond)
	}))
	call := booking("k")
	call.Body = make([]byte, 8<<20)
	for range 20 {
		_, err := rcservice.New().Call(t.Context(), up, call)
		require.Error(t, err)
		require.NotErrorIs(t, err, radishcrank.ErrNotSent)
		require.NotErrorIs(t, err, radishcrank.ErrUpstreamBusy)
	}
}
