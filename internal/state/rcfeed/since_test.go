package rcfeed

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

// frozenSource simulates the store for a process that is frozen during a call:
// the response without rows arrives later by the time for which the process is
// frozen, and a row that was written in the meantime arrives with the next
// call.
type frozenSource struct {
	frozen    time.Duration
	calls     int
	changedAt time.Time // When the row was written.
}

func (s *frozenSource) Read(context.Context, string) (Response, error) {
	return Response{Version: 1, At: time.Now()}, nil
}

func (s *frozenSource) Changes(ctx context.Context, _ string, _ uint64, wait, _ time.Duration) (Response, error) {
	s.calls++
	switch s.calls {
	case 1:
		time.Sleep(wait)
		resp := Response{Version: 1, At: time.Now()}
		time.Sleep(s.frozen / 2)
		s.changedAt = time.Now()
		time.Sleep(s.frozen / 2)
		return resp, nil
	case 2:
		return Response{Version: 2, At: time.Now(), Rows: []Row{{Key: "row", Version: 2}}}, nil
	}
	<-ctx.Done()
	return Response{}, ctx.Err()
}

// TestSinceAfterFreeze guards against a change that counts from the time when a
// process that was frozen between two of its calls continues. Other instances
// use the time that such a process records.
func TestSinceAfterFreeze(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := &frozenSource{frozen: 6 * time.Second}
		var provenance Provenance
		f := New(Config{
			Source: source, Table: "t", Log: zerolog.Nop(),
			OnReset:  func([]Row, Provenance) {},
			OnChange: func(_ Row, s Provenance) { provenance = s },
		})
		ctx, stop := context.WithCancel(t.Context())
		go f.Run(ctx)
		time.Sleep(time.Minute)
		stop()
		synctest.Wait()
		require.False(t, provenance.Since.IsZero())
		require.False(t, provenance.Since.After(source.changedAt), "change counts from %s after it was made", provenance.Since.Sub(source.changedAt))
	})
}
