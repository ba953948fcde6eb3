package rcorigin

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/radishcrank/radishcrank"
)

// TestOriginIsForgottenEarly guards against an origin that is dropped while its stream may
// still be taken up, against one that a later message replaces, and against memory that
// grows with all streams.
func TestOriginIsForgottenEarly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := New()
		time.Sleep(retention - time.Second)
		r.Add(Record{"a", Origin{Service: "s", Software: "v1"}})
		r.Add(Record{"a", Origin{Service: "s", Software: "v2"}})
		for _, wait := range []time.Duration{2 * time.Second, retention - 3*time.Second} {
			time.Sleep(wait)
			r.Add(Record{radishcrank.RequestID(wait.String()), Origin{Service: "s", Software: "v1"}})
			o, known := r.Get("a")
			require.True(t, known)
			require.Equal(t, Origin{Service: "s", Software: "v1"}, o)
		}
		for range 3 {
			time.Sleep(retention)
			r.Add(Record{"later", Origin{Service: "s", Software: "v1"}})
		}
		_, known := r.Get("a")
		require.False(t, known)
	})
}
