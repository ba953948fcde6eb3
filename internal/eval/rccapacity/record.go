package rccapacity

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/record/rcidem"
	"github.com/radishcrank/radishcrank/internal/standin/rcfaketable"
	"github.com/radishcrank/radishcrank/internal/state/rcboard"
)

func recordBenchmarks() []benchmark {
	responseSizes := []int{64, 256, 1024, 4096}
	return []benchmark{
		{"Booking", "run one call at most once against stand-ins without delay", "byte of the answer", "µs",
			responseSizes, measureBooking},
		{"RecordBytes", "key and value of the row of a finished call", "byte of the answer", "B",
			responseSizes, measureRecordBytes},
		{"CommitsPerBooking", "transactions of one call after the other, as Value", "byte of the answer", "commits",
			responseSizes, measureCommitsPerBooking},
		{"CommitBytes", "both transactions of one call, both directions with HTTP headers", "byte of the answer", "B",
			responseSizes, measureCommitBytes},
		{"ReadBytes", "one read of a row of this size, both directions with HTTP headers", "byte of the row", "B",
			[]int{0, 64, 256, 1024}, measureReadBytes},
	}
}

// bookingClient is the client of a plain service that responds without delay.
type bookingClient struct{ body []byte }

func (c bookingClient) Call(context.Context, radishcrank.Upstream, radishcrank.ServiceCall) (radishcrank.ServiceResponse, error) {
	return radishcrank.ServiceResponse{Status: http.StatusOK, ContentType: "application/json", Body: c.body}, nil
}

func (c bookingClient) Lookup(context.Context, radishcrank.Upstream, radishcrank.ServiceCall) (radishcrank.ServiceResponse, bool, error) {
	return radishcrank.ServiceResponse{}, false, nil
}

func newRunner(table radishcrank.TableService, responseBytes int) *rcidem.Runner {
	board := rcboard.New()
	board.Upstreams.Put("booking-1", radishcrank.Upstream{ID: "booking-1", Role: radishcrank.RoleService, Service: "booking", Zone: zoneName})
	return rcidem.New(rcidem.Config{
		Instance: "eu-north-1-router-17", Incarnation: 1764793000123456789, Zone: zoneName,
		Board: board, Table: table, Client: bookingClient{[]byte(strings.Repeat("b", responseBytes))},
	})
}

// runBookings runs n calls with new idempotency keys.
func runBookings(t *testing.T, r *rcidem.Runner, next *int, n int) {
	for range n {
		*next++
		_, err := r.Run(context.Background(), radishcrank.ServiceCall{
			Account: "account-17", Service: "booking", Method: http.MethodPost, Path: "/releases", ContentType: "application/json",
			Body: []byte(`{"Depot":"Riga-2","Container":"MSKU0000000"}`), IdempotencyKey: fmt.Sprintf("booking-%036d", *next),
		})
		must(t, err)
	}
}

func measureBooking(t *testing.T, responseBytes int) Point {
	r, next := newRunner(rcfaketable.New(), responseBytes), 0
	return minCost(func() { runBookings(t, r, &next, 1) })
}

// settleBookings runs calls one after the other until each result is stored.
func settleBookings(t *testing.T, table radishcrank.TableService, responseBytes, calls int) {
	next := 0
	for range calls {
		r := newRunner(table, responseBytes)
		runBookings(t, r, &next, 1)
		if left := r.Drain(context.Background()); len(left) > 0 {
			t.Fatal(left)
		}
	}
}

func measureRecordBytes(t *testing.T, responseBytes int) Point {
	table := rcfaketable.New()
	settleBookings(t, table, responseBytes, 1)
	rows, err := table.Scan(context.Background(), "idem/", "", 1)
	must(t, err)
	return Point{Value: float64(len(rows[0].Key) + len(rows[0].Value))}
}

func measureCommitsPerBooking(t *testing.T, responseBytes int) Point {
	const calls = 100
	table := rcfaketable.New()
	settleBookings(t, table, responseBytes, calls)
	return Point{Value: float64(table.Counts().Commits) / calls}
}

func measureCommitBytes(t *testing.T, responseBytes int) Point {
	const calls = 20
	s, client := startTableServer(t, rcfaketable.New().Handler())
	settleBookings(t, client, responseBytes, calls)
	return Point{Value: float64(s.bytes.Load()) / calls}
}

func measureReadBytes(t *testing.T, row int) Point {
	table := rcfaketable.New()
	must(t, table.Commit(context.Background(), radishcrank.Transaction{
		Writes: []radishcrank.Write{{Key: "config/head", Value: make([]byte, row)}},
	}))
	s, client := startTableServer(t, table.Handler())
	return s.measureBytes(t, func() error {
		_, err := client.Get(context.Background(), "config/head")
		return err
	})
}
