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

// TestFewMakeTheKey guards against a fleet that starts at once and of which every
// instance tries to make the shared key (Riga grown: 57 refused writes), and
// against instances with different keys.
func TestFewMakeTheKey(t *testing.T) {
	const instances = 30
	fake := rcfakestore.New()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(30 * time.Millisecond) // So that all have read before the first one writes.
		fake.ServeHTTP(w, r)
	}))
	defer server.Close()
	store := platform.NewStore(platform.StoreConfig{Addr: netip.MustParseAddrPort(server.Listener.Addr().String())})
	keys := make([]string, instances)
	var wg sync.WaitGroup
	for n := range instances {
		wg.Go(func() {
			m := &members{table: &platform.Table{Store: store, Name: membersTable}, log: zerolog.Nop()}
			key, err := m.sharedSecret(t.Context())
			assert.NoError(t, err)
			keys[n] = string(key)
		})
	}
	wg.Wait()
	for _, key := range keys {
		require.Equal(t, keys[0], key)
		require.Len(t, key, sharedKeyBytes)
	}
	// Two reads each, and a write and another read of those that come first together.
	require.LessOrEqual(t, fake.Calls(), 2*instances+instances/3)
}

// TestLeaseWaitsForTheOthers guards against a fleet that starts at once and of
// which every instance competes for the lease, before it knows who the relays are.
func TestLeaseWaitsForTheOthers(t *testing.T) {
	p := fleetOf(3, 1)[0]
	_, held := p.leaseHeard()
	require.True(t, held)
	p.known = true
	_, held = p.leaseHeard()
	require.False(t, held)
}

// TestRenewalIsToldAtOnce guards against a takeover that starts to wait only when
// the holder is no longer heard of, since its last renewal had not been told.
func TestRenewalIsToldAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := fleetOf(2, 1)[0]
		ctx, stop := context.WithCancel(t.Context())
		lease := rclease.New(rclease.Config{
			Table: rcfaketable.New(), Name: "orders", Instance: "a", Duration: leaseDuration, Margin: leaseMargin,
			Lead: func(ctx context.Context, term *rclease.Term) error {
				defer p.lead(term)()
				<-ctx.Done()
				return ctx.Err()
			},
		})
		go lease.Run(ctx)
		synctest.Wait()
		var told uint64
		messages := 0
		for range 100 {
			p.mu.Lock()
			if news := p.leaseNewsLocked(); news > 0 {
				told = news
				messages++
			}
			held := p.term.Version()
			p.mu.Unlock()
			require.Equal(t, held, told)
			time.Sleep(loadsPace)
		}
		require.LessOrEqual(t, messages, 30)
		stop()
		time.Sleep(time.Minute)
	})
}
