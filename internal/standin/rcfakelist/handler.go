package rcfakelist

import (
	"encoding/json"
	"net/http"

	"github.com/radishcrank/radishcrank/internal/platform/rcplatform"
)

// Handler returns the instance list's HTTP API, through which several processes can
// share the list.
func (l *List) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+rcplatform.PathInstances, func(w http.ResponseWriter, r *http.Request) {
		listing, err := l.List(r.Context())
		if err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		json.NewEncoder(w).Encode(listing)
	})
	return mux
}
