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

func recordProbes() []probe {
	answers := []int{64, 256, 1024, 4096}
	return []probe{
		{"Booking", "run one call at most once against stand-ins without delay", "byte of the answer", "µs",
			answers, bookingTime},
		{"RecordBytes", "key and value of the row of a finished call", "byte of the answer", "B",
			answers, recordBytes},
		{"CommitsPerBooking", "transactions of one call after the other, as Value", "byte of the answer", "commits",
			answers, commitsPerBooking},
		{"CommitBytes", "both transactions of one call, both directions with HTTP headers", "byte of the answer", "B",
			answers, commitBytes},
		{"ReadBytes", "one read of a row of this size, both directions with HTTP headers", "byte of the row", "B",
			[]int{0, 64, 256, 1024}, readBytes},
	}
}

// bookingClient is a plain service that answers at once.
type bookingClient struct{ body []byte }

func (c bookingClient) Call(context.Context, radishcrank.Upstream, radishcrank.ServiceCall) (radishcrank.ServiceResponse, error) {
	return radishcrank.ServiceResponse{Status: http.StatusOK, ContentType: "application/json", Body: c.body}, nil
}

func (c bookingClient) Lookup(context.Context, radishcrank.Upstream, radishcrank.ServiceCall) (radishcrank.ServiceResponse, bool, error) {
	return radishcrank.ServiceResponse{}, false, nil
}

func runnerOf(table radishcrank.TableService, answer int) *rcidem.Runner {
	board := rcboard.New()
	board.Upstreams.Put("booking-1", radishcrank.Upstream{ID: "booking-1", Role: radishcrank.RoleService, Service: "booking", Zone: zoneName})
	return rcidem.New(rcidem.Config{
		Instance: "eu-north-1-router-17", Incarnation: 1764793000123456789, Zone: zoneName,
		Board: board, Table: table, Client: bookingClient{[]byte(strings.Repeat("b", answer))},
	})
}

// book runs n calls with new keys.
func book(t *testing.T, r *rcidem.Runner, next *int, n int) {
	for range n {
		*next++
		_, err := r.Run(context.Background(), radishcrank.ServiceCall{
			Account: "account-17", Service: "booking", Method: http.MethodPost, Path: "/releases", ContentType: "application/json",
			Body: []byte(`{"Depot":"Riga-2","Container":"MSKU0000000"}`), IdempotencyKey: fmt.Sprintf("booking-%036d", *next),
		})
		check(t, err)
	}
}

func bookingTime(t *testing.T, answer int) Point {
	r, next := runnerOf(rcfaketable.New(), answer), 0
	return best(func() { book(t, r, &next, 1) })
}

// afterBookings runs calls to their stored end, one after the other.
func afterBookings(t *testing.T, table radishcrank.TableService, answer, calls int) {
	next := 0
	for range calls {
		r := runnerOf(table, answer)
		book(t, r, &next, 1)
		if left := r.Drain(context.Background()); len(left) > 0 {
			t.Fatal(left)
		}
	}
}

func recordBytes(t *testing.T, answer int) Point {
	table := rcfaketable.New()
	afterBookings(t, table, answer, 1)
	rows, err := table.Scan(context.Background(), "idem/", "", 1)
	check(t, err)
	return Point{Value: float64(len(rows[0].Key) + len(rows[0].Value))}
}

func commitsPerBooking(t *testing.T, answer int) Point {
	const calls = 100
	table := rcfaketable.New()
	afterBookings(t, table, answer, calls)
	return Point{Value: float64(table.Counts().Commits) / calls}
}

func commitBytes(t *testing.T, answer int) Point {
	const calls = 20
	s, client := tableServer(t, rcfaketable.New().Handler())
	afterBookings(t, client, answer, calls)
	return Point{Value: float64(s.bytes.Load()) / calls}
}

func readBytes(t *testing.T, row int) Point {
	table := rcfaketable.New()
	check(t, table.Commit(context.Background(), radishcrank.Transaction{
		Writes: []radishcrank.Write{{Key: "config/head", Value: make([]byte, row)}},
	}))
	s, client := tableServer(t, table.Handler())
	return s.bytesOf(t, func() error {
		_, err := client.Get(context.Background(), "config/head")
		return err
	})
}
