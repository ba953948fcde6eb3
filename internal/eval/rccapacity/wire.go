package rccapacity

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/platform/rcplatform"
	"github.com/radishcrank/radishcrank/internal/standin/rcfakelist"
	"github.com/radishcrank/radishcrank/internal/upstream/rcengine"
)

func wireBenchmarks() []benchmark {
	return []benchmark{
		{"ReportBytes", "one load report, both directions with HTTP headers", "model of the engine", "B",
			[]int{1, 2, 4, 8}, measureReportBytes},
		{"EventBatchBytes", "one batch of events of one block each, both directions with HTTP headers", "event", "B",
			[]int{0, 8, 32, 128}, measureEventBatchBytes},
		{"ListBytes", "one read of the instance list with 370 instances, both directions with HTTP headers", "upstream", "B",
			[]int{12, 1000, 2750, 5500}, measureListBytes},
		{"ListRead", "the same, CPU time of the stand-in included", "upstream", "µs",
			[]int{12, 1000, 2750, 5500}, measureListRead},
		{"ListDecode", "decode the answer alone", "upstream", "µs",
			[]int{12, 1000, 2750, 5500}, measureListDecode},
	}
}

// server is an HTTP server on loopback that counts the bytes on its connections.
type server struct {
	addr  netip.AddrPort
	bytes *atomic.Int64
}

type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return countingConn{conn, l.bytes}, err
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// startServer starts a server that is closed at the end of the test.
func startServer(t *testing.T, handler http.Handler) server {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must(t, err)
	s := server{listener.Addr().(*net.TCPAddr).AddrPort(), &atomic.Int64{}}
	srv := &http.Server{Handler: handler}
	go srv.Serve(countingListener{listener, s.bytes})
	t.Cleanup(func() { srv.Close() })
	return s
}

// measureBytes returns the mean number of bytes of an exchange on an open connection.
func (s server) measureBytes(t *testing.T, exchange func() error) Point {
	const exchanges = 20
	must(t, exchange())
	before := s.bytes.Load()
	for range exchanges {
		must(t, exchange())
	}
	return Point{Value: float64(s.bytes.Load()-before) / exchanges}
}

// startJSONServer starts a server that responds to all requests with the same JSON
// value.
func startJSONServer(t *testing.T, value any) server {
	return startServer(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		json.NewEncoder(w).Encode(value)
	}))
}

func newEngineClient(s server) radishcrank.Engine {
	up := newEngine(0)
	up.Addr = s.addr
	return rcengine.NewDialer().Engine(up)
}

// startReportServer starts a server that responds with the load report of an engine
// that serves the given number of models.
func startReportServer(t *testing.T, models int) server {
	report := newEngine(0).Load
	report.Running, report.Waiting, report.QueuedTokens, report.EvictionsPerSecond = 12, 3, 4000, 25.5
	for i := range models {
		report.Weights[radishcrank.ModelID(fmt.Sprintf("model-%d", 17+i))] = "2026-11-30"
	}
	return startJSONServer(t, report)
}

func newReportClient(t *testing.T, models int) radishcrank.Engine {
	return newEngineClient(startReportServer(t, models))
}

func measureReportBytes(t *testing.T, models int) Point {
	s := startReportServer(t, models)
	client := newEngineClient(s)
	return s.measureBytes(t, func() error {
		_, err := client.Load(context.Background())
		return err
	})
}

func measureEventBatchBytes(t *testing.T, events int) Point {
	b := radishcrank.CacheEventBatch{Incarnation: newEngine(0).Incarnation, First: 1_000_000}
	for i := range events {
		b.Events = append(b.Events, radishcrank.CacheEvent{
			Seq: 1_000_000 + uint64(i), Kind: radishcrank.CacheStored, Blocks: make([]radishcrank.BlockHash, 1),
		})
	}
	s := startJSONServer(t, b)
	client := newEngineClient(s)
	return s.measureBytes(t, func() error {
		_, err := client.Events(context.Background(), 1_000_000)
		return err
	})
}

// newListing returns the platform's list of a whole fleet, which has no load reports.
func newListing(upstreams int) (l radishcrank.Listing) {
	const instances = 370
	for i := range instances {
		addr := netip.AddrFrom4([4]byte{10, 0, byte(i / 200), byte(i % 200)})
		l.Instances = append(l.Instances, radishcrank.Instance{
			ID: radishcrank.InstanceID(fmt.Sprintf("eu-north-1-router-%d", i)), Zone: zoneName, Incarnation: newEngine(0).Incarnation,
			Peer: netip.AddrPortFrom(addr, 7000), Operators: netip.AddrPortFrom(addr, 7001),
		})
	}
	for i := range upstreams {
		up := newEngine(i)
		up.Load = radishcrank.LoadReport{}
		up.Addr = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i / 200), byte(i % 200)}), 8000)
		l.Upstreams = append(l.Upstreams, up)
	}
	return l
}

func newListClient(t *testing.T, upstreams int) (server, *rcplatform.InstanceListClient) {
	s := startServer(t, rcfakelist.New(newListing(upstreams)).Handler())
	return s, rcplatform.NewInstanceListClient(rcplatform.Config{Addr: s.addr})
}

func measureListBytes(t *testing.T, upstreams int) Point {
	s, client := newListClient(t, upstreams)
	return s.measureBytes(t, func() error {
		_, err := client.List(context.Background())
		return err
	})
}

func measureListRead(t *testing.T, upstreams int) Point {
	_, client := newListClient(t, upstreams)
	return minCost(func() {
		_, err := client.List(context.Background())
		must(t, err)
	})
}

func measureListDecode(t *testing.T, upstreams int) Point {
	data, err := json.Marshal(newListing(upstreams))
	must(t, err)
	return minCost(func() {
		var l radishcrank.Listing
		must(t, json.Unmarshal(data, &l))
	})
}

// startTableServer starts a server of the table service's API and returns a client of it.
func startTableServer(t *testing.T, handler http.Handler) (server, *rcplatform.TableClient) {
	s := startServer(t, handler)
	return s, rcplatform.NewTableClient(rcplatform.Config{Addr: s.addr})
}
