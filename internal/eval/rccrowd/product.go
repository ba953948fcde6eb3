package rccrowd

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/serving/rcops"
	"github.com/radishcrank/radishcrank/internal/standin/rcfakeengine"
	"github.com/radishcrank/radishcrank/internal/standin/rcfakelist"
	"github.com/radishcrank/radishcrank/internal/standin/rcfakeobject"
	"github.com/radishcrank/radishcrank/internal/standin/rcfaketable"
	"github.com/radishcrank/radishcrank/internal/state/rcconfig"
)

const (
	productKey   = "k1"
	operatorKey  = "operator"
	productModel = "advice"
	// chatTokens is the length of the answers of the fake engine, which takes about a second
	// for them.
	chatTokens = 200
)

const bootTemplate = `[Instance]
ID = i0
Region = r
Zone = z
[Listeners]
Callers = %[1]s
Peers = %[2]s
Operators = %[3]s
[Platform]
Table = %[4]s
Objects = %[5]s
Instances = %[6]s
Weights = %[6]s
[Peers]
Key = 00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff
[Operators]
KeyHashes = %[7]s
`

// StartProduct starts program with the product's own interface (--settings) and waits until it
// has its configuration and its upstreams. limits.MaxFDs is the process's limit of descriptors;
// limits.MemoryMB is not passed on, since the interface has no setting for it.
func StartProduct(program, dir string, limits Limits) (p *Process, err error) {
	defer func() {
		if err != nil {
			err = trace.Wrap(err, "starting an instance")
		}
	}()
	p = &Process{exited: make(chan struct{}), stopPoll: make(chan struct{})}
	defer func() {
		if err != nil {
			p.Close()
		}
	}()
	serve := func(h http.Handler) netip.AddrPort {
		s := httptest.NewServer(h)
		p.closers = append(p.closers, s.Close)
		return netip.MustParseAddrPort(s.Listener.Addr().String())
	}
	engine := rcfakeengine.New(rcfakeengine.Config{
		ID: "e0", Models: map[radishcrank.ModelID]radishcrank.WeightsVersion{productModel: "w1"},
		CacheBlocks: 1000, BlockTokens: 2000, BytesPerToken: 4, MaxBatch: 256,
		PrefillPerSecond: 1e9, DecodePerSecond: chatTokens, MaxAnswerTokens: chatTokens,
	})
	list := rcfakelist.New(radishcrank.Listing{Upstreams: []radishcrank.Upstream{
		{ID: "u0", Role: radishcrank.RoleService, Zone: "z", Service: "desk", Addr: serve(http.HandlerFunc(serveProductUpstream))},
		{ID: "e0", Role: radishcrank.RoleEngine, Zone: "z", Models: []radishcrank.ModelID{productModel}, Addr: serve(engine.Handler())},
	}})
	ip := "127.0.0.1"
	ports, err := freePorts(ip, 3)
	if err != nil {
		return p, err
	}
	addr := func(n int) string { return net.JoinHostPort(ip, strconv.Itoa(ports[n])) }
	p.FrontAddr, p.PeerAddr, p.OperatorAddr = addr(0), addr(1), addr(2)
	text := fmt.Sprintf(bootTemplate, p.FrontAddr, p.PeerAddr, p.OperatorAddr, serve(rcfaketable.New().Handler()),
		serve(rcfakeobject.New().Handler()), serve(list.Handler()), rcconfig.HashKey(operatorKey))
	settings := filepath.Join(dir, "boot.ini")
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		return p, err
	}
	if p.log, err = os.Create(filepath.Join(dir, "log")); err != nil {
		return p, err
	}
	p.cmd = exec.Command("sh", "-c", fmt.Sprintf(`ulimit -n %d && exec "$0" "$@"`, limits.MaxFDs), program, "--settings", settings)
	if err := p.launch(); err != nil {
		return p, err
	}
	return p, p.configureProduct(limits)
}

// configureProduct pushes the configuration and waits until it is in force.
func (p *Process) configureProduct(limits Limits) error {
	doc := &rcconfig.Document{
		Defaults: rcconfig.DefaultSettings(),
		Accounts: []rcconfig.Account{{ID: "t1", Weight: 1, KeyHashes: []string{rcconfig.HashKey(productKey)}}},
		Services: []rcconfig.Service{{Name: "desk"}},
		Models:   []rcconfig.Model{{ID: productModel, Weights: "w1"}},
	}
	doc.Defaults.MaxBodyBytes = int64(limits.MaxBodyBytes)
	client := rcops.NewClient(rcops.ClientConfig{URL: "http://" + p.OperatorAddr, Key: operatorKey})
	const attempts = 1000
	for range attempts {
		status, err := client.Status(context.Background())
		switch {
		case !p.Alive():
			return fmt.Errorf("the process ended: %v", p.cmd.ProcessState)
		case err == nil && status.Ready && status.ConfigRevision == 1 && status.Engines == 1 && status.Services == 1:
			return nil
		case err == nil && status.ConfigRevision == 0:
			// Fails until the table has been reached, and when it has been done already.
			_, _ = client.Push(context.Background(), rcops.PushRequest{Author: "test", Text: string(doc.Render())})
		}
		time.Sleep(20 * time.Millisecond)
	}
	return fmt.Errorf("not ready after %d checks", attempts)
}

// pendingTime is how long requests for /pending/ take.
const pendingTime = 5 * time.Second

// serveProductUpstream is a plain service that reads the whole body of a request.
func serveProductUpstream(w http.ResponseWriter, r *http.Request) {
	size, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	switch {
	case strings.HasPrefix(r.URL.Path, "/large/"):
		w.Write(bytes.Repeat([]byte("x"), LargeResponseBytes)) // A failed write means that the instance has hung up.
		return
	case strings.HasPrefix(r.URL.Path, "/pending/"):
		select {
		case <-time.After(pendingTime):
		case <-r.Context().Done():
		}
	}
	fmt.Fprintf(w, "read %d bytes", size)
}

// ProductHead returns the request line and the headers that each request to the product's own
// interface needs, without the empty line. path is the one that the service desk gets.
func ProductHead(path string, n int) string {
	return fmt.Sprintf("POST /services/desk%s%d HTTP/1.1\r\nHost: a.example\r\nAuthorization: Bearer %s\r\n", path, n, productKey)
}

// ProductBodyHead returns the head of a request with a body of a length.
func ProductBodyHead(path string, n, length int) string {
	return ProductHead(path, n) + "Content-Length: " + strconv.Itoa(length) + "\r\n\r\n"
}

// ProductChunkedHead returns the head of a request with a chunked body.
func ProductChunkedHead(n int) string {
	return ProductHead("/look/", n) + "Transfer-Encoding: chunked\r\n\r\n"
}

// ChatRequest returns a chat request with a body.
func ChatRequest(body string) string {
	return "POST /v1/chat/completions HTTP/1.1\r\nHost: a.example\r\nAuthorization: Bearer " + productKey +
		"\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
}
