package rcserve

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/standin/rcfakeservice"
)

// Guards against a broken answer of a service that reaches the caller, or that is recorded and
// given to repeats, whichever instance they reach.
func TestBrokenAnswersOfService(t *testing.T) {
	s := newTestSystem(t)
	a, b := s.startPair()
	for name, c := range map[string]struct {
		faults    rcfakeservice.Faults
		bodyBytes int
	}{
		"status 000":           {rcfakeservice.Faults{InvalidStatus: 1}, 10},
		"blank in field name":  {rcfakeservice.Faults{MalformedField: 1}, 10},
		"broken off, no reset": {rcfakeservice.Faults{BreakOffUnframed: 1}, 10},
		"early answer, reset":  {rcfakeservice.Faults{ResetUpload: 1}, 7 << 20}, // More than fits into the buffers of a connection.
	} {
		for n := range 5 {
			t.Run(fmt.Sprint(name, "/", n), func(t *testing.T) {
				id := strings.ReplaceAll(t.Name(), "/", "-")
				key := map[string]string{radishcrank.HeaderIdempotencyKey: id}
				body := id + strings.Repeat("x", c.bodyBytes)
				s.fleet.Service.SetFaults(c.faults)
				for _, p := range []*process{a, b} {
					got := s.postAndRead(p, "/services/booking/releases", body, key)
					if c.faults.ResetUpload > 0 {
						require.Equal(t, http.StatusBadGateway, got.status, got.body)
						require.Equal(t, radishcrank.OutcomeMayHaveRun, got.outcome)
						continue
					}
					require.Equal(t, http.StatusOK, got.status, got.body) // As the service's lookup says.
					var booking rcfakeservice.Booking
					require.NoError(t, json.Unmarshal([]byte(got.body), &booking))
					require.Equal(t, body, booking.Request)
				}
				require.LessOrEqual(t, s.fleet.Service.Runs("riga/"+id), 1)
			})
		}
	}
}
