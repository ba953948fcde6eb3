package rcfeed

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

// thawing is the store as a process sees it that is frozen while a call waits: the
// answer without rows arrives frozen later than it was made, and a row that was
// written meanwhile comes with the next call.
type thawing struct {
	frozen time.Duration
	calls  int
	made   time.Time // When the row was written.
}

func (s *thawing) Read(context.Context, string) (Response, error) {
	return Response{Version: 1, At: time.Now()}, nil
}

func (s *thawing) Changes(ctx context.Context, _ string, _ uint64, wait, _ time.Duration) (Response, error) {
	s.calls++
	switch s.calls {
	case 1:
		time.Sleep(wait)
		a := Response{Version: 1, At: time.Now()}
		time.Sleep(s.frozen / 2)
		s.made = time.Now()
		time.Sleep(s.frozen / 2)
		return a, nil
	case 2:
		return Response{Version: 2, At: time.Now(), Rows: []Row{{Key: "row", Version: 2}}}, nil
	}
	<-ctx.Done()
	return Response{}, ctx.Err()
}

// TestSinceAfterAFreeze guards against news that counts from the thaw of a process
// that was frozen between two of its calls, and whose witness others go by.
func TestSinceAfterAFreeze(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := &thawing{frozen: 6 * time.Second}
		var sight Provenance
		f := New(Config{
			Source: source, Table: "t", Log: zerolog.Nop(),
			OnReset:  func([]Row, Provenance) {},
			OnChange: func(_ Row, s Provenance) { sight = s },
		})
		ctx, stop := context.WithCancel(t.Context())
		go f.Run(ctx)
		time.Sleep(time.Minute)
		stop()
		synctest.Wait()
		require.False(t, sight.Since.IsZero())
		require.False(t, sight.Since.After(source.made), "news counts from %s after it was made", sight.Since.Sub(source.made))
	})
}
