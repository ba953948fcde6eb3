package rcfakestore

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// call makes one HTTP call to the store.
func call(s *Store, method, target string, body any) (status int, era string, a response) {
	text, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w := httptest.NewRecorder()
	s.ServeHTTP(w, httptest.NewRequest(method, target, bytes.NewReader(text)))
	_ = json.Unmarshal(w.Body.Bytes(), &a) // Responses with a failure have no body.
	return w.Code, w.Header().Get(eraHeader), a
}

func put(s *Store, key, value string) {
	call(s, http.MethodPost, "/radishcrank/rows-tx", map[string]any{"Puts": []Row{{Table: "own", Key: key, Value: []byte(value)}}})
}

// TestRestoreLosesOnlyOwnWrites guards against a stand-in that is kinder than a drill:
// one that keeps acknowledged writes, goes on counting versions or serves a feed from
// a version that it does not have.
func TestRestoreLosesOnlyOwnWrites(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New()
		s.Put("op", "config", 1)
		put(s, "kept", "a")
		time.Sleep(10 * time.Second)
		s.Put("servers", "gone", 1)
		time.Sleep(2 * time.Second)
		put(s, "kept", "b")
		put(s, "lost", "c")
		s.Put("op", "config", 2)
		s.Delete("servers", "gone")
		_, era, before := call(s, http.MethodGet, "/radishcrank/rows-get?Table=own", nil)
		require.Equal(t, "1", era)
		s.Restore(time.Second, 300*time.Millisecond, None)

		_, era, after := call(s, http.MethodGet, "/radishcrank/rows-get?Table=own", nil)
		require.Equal(t, "2", era)
		require.Less(t, after.Ver, before.Ver)
		require.Len(t, after.Rows, 1)
		require.Equal(t, "a", string(after.Rows[0].Value))
		status, era, _ := call(s, http.MethodGet, fmt.Sprintf("/radishcrank/rows-feed?Table=own&after=%d", before.Ver), nil)
		require.Equal(t, http.StatusGone, status)
		require.Equal(t, "2", era)
		require.Equal(t, "1", string(s.Value("op", "config")))
		require.NotNil(t, s.Value("servers", "gone"))

		time.Sleep(heartbeat)
		require.Equal(t, "2", string(s.Value("op", "config")))
		require.NotNil(t, s.Value("servers", "gone"))
		time.Sleep(lapseDelay)
		require.Nil(t, s.Value("servers", "gone"))
		s.Put("op", "config", 3)
		s.Restore(100*time.Millisecond, 0, Unavailable)
		s.Restore(100*time.Millisecond, 0, Unavailable)
		time.Sleep(heartbeat)
		require.Equal(t, "3", string(s.Value("op", "config")), "a write that two restores lose is repeated once")
		put(s, "new", "d")
		_, _, again := call(s, http.MethodGet, "/radishcrank/rows-get?Table=own", nil)
		require.LessOrEqual(t, again.Ver, before.Ver, "versions are given out again")
	})
}
