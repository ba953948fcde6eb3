package rcorigin

import (
	"fmt"
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

// TestPagesLackOrigins guards against records that an instance which asks for what it lacks
// does not get, gets twice or long after their streams have ended.
func TestPagesLackOrigins(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := New()
		r.AddOwn(Record{"old", Origin{Service: "s"}})
		time.Sleep(30 * time.Second)
		for n := range 25 {
			rec := Record{radishcrank.RequestID(fmt.Sprint("r", n)), Origin{Service: "s"}}
			if r.Add(rec); n%5 == 0 {
				r.AddOwn(Record{"own " + rec.Attempt, rec.Origin})
			}
		}
		time.Sleep(retention - 29*time.Second)
		r.Add(Record{"rotated", Origin{Service: "s"}})
		for own, want := range map[bool]int{true: 5, false: 31} {
			got := map[radishcrank.RequestID]bool{}
			s := Selection{Own: own, MaxAge: 40 * time.Second}
			for more := true; more; {
				var page []Record
				page, more = r.Page(s, 10)
				for _, rec := range page {
					require.False(t, got[rec.Attempt])
					got[rec.Attempt], s.After = true, rec.Attempt
				}
			}
			require.Len(t, got, want)
			require.False(t, got["old"])
		}
	})
}
