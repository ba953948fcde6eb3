package rcfakeobject

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/platform/rcplatform"
)

// Handler returns the object store's HTTP API, through which several processes can
// share the store.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT "+rcplatform.PathObjects+"{name}", func(w http.ResponseWriter, r *http.Request) {
		data, err := io.ReadAll(r.Body)
		if err != nil {
			return // The client disconnected. A truncated object must not be stored.
		}
		writeError(w, s.Put(r.Context(), r.PathValue("name"), data))
	})
	mux.HandleFunc("GET "+rcplatform.PathObjects+"{name}", func(w http.ResponseWriter, r *http.Request) {
		data, err := s.Get(r.Context(), r.PathValue("name"))
		if !writeError(w, err) {
			w.Header().Set("Content-Type", "application/octet-stream")
			w.Write(data)
		}
	})
	mux.HandleFunc("GET "+rcplatform.PathObjectNames, func(w http.ResponseWriter, r *http.Request) {
		names, err := s.List(r.Context(), r.URL.Query().Get(rcplatform.QueryPrefix))
		if !writeError(w, err) {
			w.Header().Set("Content-Type", "application/json")
			json.NewEncoder(w).Encode(rcplatform.NameList{Names: names})
		}
	})
	return mux
}

// writeError responds with err if it is not nil, and reports whether it did.
func writeError(w http.ResponseWriter, err error) bool {
	switch {
	case err == nil:
		return false
	case errors.Is(err, radishcrank.ErrNotFound):
		http.Error(w, err.Error(), http.StatusNotFound)
	default:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	}
	return true
}
