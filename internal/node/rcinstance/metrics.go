package rcinstance

import (
	"expvar"
	"fmt"
	"net/http"
)

// metrics are the counters of one instance, as expvar prints them.
type metrics struct {
	counters *expvar.Map
}

func newMetrics() *metrics { return &metrics{counters: new(expvar.Map).Init()} }

// Count implements rcforward.Metrics.
func (m *metrics) Count(name string) { m.counters.Add(name, 1) }

// ServeHTTP implements http.Handler.
func (m *metrics) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	fmt.Fprintf(w, "{\"Counters\": %s}\n", m.counters)
}
