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

func wireProbes() []probe {
	return []probe{
		{"ReportBytes", "one load report, both directions with HTTP headers", "model of the engine", "B",
			[]int{1, 2, 4, 8}, reportBytes},
		{"EventBatchBytes", "one batch of events of one block each, both directions with HTTP headers", "event", "B",
			[]int{0, 8, 32, 128}, eventBatchBytes},
		{"ListBytes", "one read of the instance list with 370 instances, both directions with HTTP headers", "upstream", "B",
			[]int{12, 1000, 2750, 5500}, listBytes},
		{"ListRead", "the same, CPU time of the stand-in included", "upstream", "µs",
			[]int{12, 1000, 2750, 5500}, listRead},
		{"ListDecode", "decode the answer alone", "upstream", "µs",
			[]int{12, 1000, 2750, 5500}, listDecode},
	}
}

// server is an HTTP server on loopback that counts the bytes of its connections.
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

// listen serves a handler until the test ends.
func listen(t *testing.T, handler http.Handler) server {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	check(t, err)
	s := server{listener.Addr().(*net.TCPAddr).AddrPort(), &atomic.Int64{}}
	srv := &http.Server{Handler: handler}
	go srv.Serve(countingListener{listener, s.bytes})
	t.Cleanup(func() { srv.Close() })
	return s
}

// bytesOf returns the mean bytes of an exchange on an open connection.
func (s server) bytesOf(t *testing.T, exchange func() error) Point {
	const exchanges = 20
	check(t, exchange())
	before := s.bytes.Load()
	for range exchanges {
		check(t, exchange())
	}
	return Point{Value: float64(s.bytes.Load()-before) / exchanges}
}

// answering serves the same JSON value to all requests.
func answering(t *testing.T, value any) server {
	return listen(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		json.NewEncoder(w).Encode(value)
	}))
}

func clientOf(s server) radishcrank.Engine {
	up := engine(0)
	up.Addr = s.addr
	return rcengine.NewDialer().Engine(up)
}

// reportServer answers with the load report of an engine that serves some models.
func reportServer(t *testing.T, models int) server {
	report := engine(0).Load
	report.Running, report.Waiting, report.QueuedTokens, report.EvictionsPerSecond = 12, 3, 4000, 25.5
	for i := range models {
		report.Weights[radishcrank.ModelID(fmt.Sprintf("model-%d", 17+i))] = "2026-11-30"
	}
	return answering(t, report)
}

func reportClient(t *testing.T, models int) radishcrank.Engine {
	return clientOf(reportServer(t, models))
}

func reportBytes(t *testing.T, models int) Point {
	s := reportServer(t, models)
	client := clientOf(s)
	return s.bytesOf(t, func() error {
		_, err := client.Load(context.Background())
		return err
	})
}

func eventBatchBytes(t *testing.T, events int) Point {
	b := radishcrank.CacheEventBatch{Incarnation: engine(0).Incarnation, First: 1_000_000}
	for i := range events {
		b.Events = append(b.Events, radishcrank.CacheEvent{
			Seq: 1_000_000 + uint64(i), Kind: radishcrank.CacheStored, Blocks: make([]radishcrank.BlockHash, 1),
		})
	}
	s := answering(t, b)
	client := clientOf(s)
	return s.bytesOf(t, func() error {
		_, err := client.Events(context.Background(), 1_000_000)
		return err
	})
}

// listing describes the whole fleet as the platform's list does, without load reports.
func listing(upstreams int) (l radishcrank.Listing) {
	const instances = 370
	for i := range instances {
		addr := netip.AddrFrom4([4]byte{10, 0, byte(i / 200), byte(i % 200)})
		l.Instances = append(l.Instances, radishcrank.Instance{
			ID: radishcrank.InstanceID(fmt.Sprintf("eu-north-1-router-%d", i)), Zone: zoneName, Incarnation: engine(0).Incarnation,
			Peer: netip.AddrPortFrom(addr, 7000), Operators: netip.AddrPortFrom(addr, 7001),
		})
	}
	for i := range upstreams {
		up := engine(i)
		up.Load = radishcrank.LoadReport{}
		up.Addr = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i / 200), byte(i % 200)}), 8000)
		l.Upstreams = append(l.Upstreams, up)
	}
	return l
}

func listClient(t *testing.T, upstreams int) (server, *rcplatform.InstanceListClient) {
	s := listen(t, rcfakelist.New(listing(upstreams)).Handler())
	return s, rcplatform.NewInstanceListClient(rcplatform.Config{Addr: s.addr})
}

func listBytes(t *testing.T, upstreams int) Point {
	s, client := listClient(t, upstreams)
	return s.bytesOf(t, func() error {
		_, err := client.List(context.Background())
		return err
	})
}

func listRead(t *testing.T, upstreams int) Point {
	_, client := listClient(t, upstreams)
	return best(func() {
		_, err := client.List(context.Background())
		check(t, err)
	})
}

func listDecode(t *testing.T, upstreams int) Point {
	data, err := json.Marshal(listing(upstreams))
	check(t, err)
	return best(func() {
		var l radishcrank.Listing
		check(t, json.Unmarshal(data, &l))
	})
}

// tableServer serves the table service's API and counts its bytes.
func tableServer(t *testing.T, handler http.Handler) (server, *rcplatform.TableClient) {
	s := listen(t, handler)
	return s, rcplatform.NewTableClient(rcplatform.Config{Addr: s.addr})
}
