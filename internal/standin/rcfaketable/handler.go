package rcfaketable

import (
	"encoding/json"
	"errors"
	"net/http"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/platform/rcplatform"
)

// Handler returns the table service's HTTP API, through which several processes can
// share the table. A commit that returns ErrUnknownOutcome breaks the connection, as
// a lost response does in production.
func (t *Table) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+rcplatform.PathCommit, t.serveCommit)
	mux.HandleFunc("POST "+rcplatform.PathGet, t.serveGet)
	mux.HandleFunc("POST "+rcplatform.PathScan, t.serveScan)
	return mux
}

func (t *Table) serveCommit(w http.ResponseWriter, r *http.Request) {
	var tx radishcrank.Transaction
	if !decodeRequest(w, r, &tx) {
		return
	}
	err := t.Commit(r.Context(), tx)
	if errors.Is(err, radishcrank.ErrUnknownOutcome) {
		panic(http.ErrAbortHandler)
	}
	respond(w, struct{}{}, err)
}

func (t *Table) serveGet(w http.ResponseWriter, r *http.Request) {
	var req rcplatform.GetRequest
	if !decodeRequest(w, r, &req) {
		return
	}
	rows, err := t.Get(r.Context(), req.Keys...)
	respond(w, rcplatform.RowList{Rows: rows}, err)
}

func (t *Table) serveScan(w http.ResponseWriter, r *http.Request) {
	var req rcplatform.ScanRequest
	if !decodeRequest(w, r, &req) {
		return
	}
	rows, err := t.Scan(r.Context(), req.Prefix, req.After, max(0, req.Limit))
	respond(w, rcplatform.RowList{Rows: rows}, err)
}

func decodeRequest(w http.ResponseWriter, r *http.Request, v any) bool {
	err := json.NewDecoder(r.Body).Decode(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
	return err == nil
}

func respond(w http.ResponseWriter, v any, err error) {
	switch {
	case err == nil:
		w.Header().Set("Content-Type", "application/json")
		json.NewEncoder(w).Encode(v)
	case errors.Is(err, radishcrank.ErrConflict):
		http.Error(w, err.Error(), http.StatusConflict)
	default:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	}
}
