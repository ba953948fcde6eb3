package rcinstance

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/radishcrank/radishcrank/internal/record/rclease"
	"github.com/radishcrank/radishcrank/internal/standin/rcfakestore"
	"github.com/radishcrank/radishcrank/internal/standin/rcfaketable"
	"github.com/radishcrank/radishcrank/platform"
)

// TestSharedKeyCreation guards against a fleet that starts at once and in which every
// instance tries to create the shared key (load test Riga grown: 57 refused writes),
// and against instances with different keys.
func TestSharedKeyCreation(t *testing.T) {
	const instances = 30
	fake := rcfakestore.New()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(30 * time.Millisecond) // So that all instances read before the first one writes.
		fake.ServeHTTP(w, r)
	}))
	defer server.Close()
	store := platform.NewStore(platform.StoreConfig{Addr: netip.MustParseAddrPort(server.Listener.Addr().String())})
	keys := make([]string, instances)
	var wg sync.WaitGroup
	for n := range instances {
		wg.Go(func() {
			table := &platform.Table{Store: store, Name: membersTable}
			m := &memberRegistry{table: table, source: table, log: zerolog.Nop()}
			key, err := m.sharedSecret(t.Context(), nil)
			assert.NoError(t, err)
			keys[n] = string(key)
		})
	}
	wg.Wait()
	for _, key := range keys {
		require.Equal(t, keys[0], key)
		require.Len(t, key, sharedKeyBytes)
	}
	// Two reads per instance, and a write and another read for each of the first ones.
	require.LessOrEqual(t, fake.Calls(), 2*instances+instances/3)
}

// TestNoCandidacyBeforeMembersAreRead guards against a fleet that starts at once and in
// which every instance competes for the lease before it knows the relays.
func TestNoCandidacyBeforeMembersAreRead(t *testing.T) {
	p := newPeerGroups(3, 1)[0]
	_, held := p.leaseHolderReport()
	require.True(t, held)
	p.membersRead = true
	_, held = p.leaseHolderReport()
	require.False(t, held)
}

// TestRenewalIsReportedImmediately guards against a takeover delay that starts only
// when the holder's reports stop, because its last renewal was not reported.
func TestRenewalIsReportedImmediately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPeerGroups(2, 1)[0]
		ctx, stop := context.WithCancel(t.Context())
		lease := rclease.New(rclease.Config{
			Table: rcfaketable.New(), Name: "orders", Instance: "a", Duration: leaseDuration, Margin: leaseMargin,
			Lead: func(ctx context.Context, term *rclease.Term) error {
				defer p.startTerm(term)()
				<-ctx.Done()
				return ctx.Err()
			},
		})
		go lease.Run(ctx)
		synctest.Wait()
		var reported uint64
		messages := 0
		for range 100 {
			p.mu.Lock()
			if version := p.leaseReportLocked(); version > 0 {
				reported = version
				messages++
			}
			held := p.term.Position()
			p.mu.Unlock()
			require.Equal(t, held, reported)
			time.Sleep(loadReportInterval)
		}
		require.LessOrEqual(t, messages, 30)
		stop()
		time.Sleep(time.Minute)
	})
}
