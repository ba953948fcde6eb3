package rcsoak

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/radishcrank/radishcrank/internal/standin/rcfakecaller"
	"github.com/radishcrank/radishcrank/internal/state/rcwait"
)

const (
	callerCount = 10
	// meanRequestInterval is the mean delay between two requests of a caller.
	meanRequestInterval = 10 * time.Millisecond
	// callerTimeout is the deadline that callers announce in their requests. They
	// wait 500 ms longer for the response.
	callerTimeout = 2500 * time.Millisecond
	// faultGracePeriod is the platform's ContactMs. Failures up to this time after
	// the end of a fault are attributed to the fault.
	faultGracePeriod = 3 * time.Second
	// readyInterval and maxReadyFailures are the settings of the platform's load
	// balancer.
	readyInterval    = time.Second
	maxReadyFailures = 2
)

// refusals holds the status codes that guarantee that the request did not run and
// never will.
var refusals = map[int]bool{
	http.StatusTooManyRequests: true, http.StatusServiceUnavailable: true,
	http.StatusRequestTimeout: true, http.StatusMisdirectedRequest: true,
}

// callers sends requests and checks the responses.
type callers struct {
	s             *soak
	sent          atomic.Int64
	answered      atomic.Int64
	readyFailures []atomic.Int32 // Consecutive failed readiness checks, by instance.

	mu      sync.Mutex
	refused map[string]int // Status codes of refused requests, by request ID.
	takeUps takeUps
}

func newCallers(s *soak) *callers {
	return &callers{s: s, readyFailures: make([]atomic.Int32, len(s.instances)), refused: map[string]int{}}
}

// pollReadiness performs the readiness checks of the platform's load balancer.
func (c *callers) pollReadiness(ctx context.Context) {
	client := &http.Client{Timeout: readyInterval, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		for n, i := range c.s.instances {
			if i.isReady(client) {
				c.readyFailures[n].Store(0)
			} else {
				c.readyFailures[n].Add(1)
			}
		}
		if !rcwait.Sleep(ctx, readyInterval) {
			return
		}
	}
}

// errOutOfRotation is returned when dialing an instance to which the load balancer
// would open no new connection.
var errOutOfRotation = errors.New("instance is out of rotation")

// run simulates one caller. It reuses its connection to each instance until that
// connection ends, and opens new ones only to instances that are in rotation.
func (c *callers) run(ctx context.Context, number int, rng *rand.Rand) {
	clients := make([]*http.Client, len(c.s.instances))
	for n := range clients {
		transport := &http.Transport{MaxIdleConnsPerHost: 1, DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			if c.readyFailures[n].Load() >= maxReadyFailures {
				return nil, errOutOfRotation
			}
			return new(net.Dialer).DialContext(ctx, network, addr)
		}}
		defer transport.CloseIdleConnections()
		clients[n] = &http.Client{Transport: transport, Timeout: callerTimeout + 500*time.Millisecond}
	}
	streams := rand.New(rand.NewPCG(c.s.cfg.Seed, uint64(streamStream+number)))
	for k := 0; rcwait.Sleep(ctx, time.Duration(rng.Int64N(int64(2*meanRequestInterval)))); k++ {
		n := rng.IntN(len(clients))
		path := callerPaths[rng.IntN(len(callerPaths))]
		if path == "/advice/1" && streams.Float64() < takeUpProbability {
			c.streamInPieces(clients, streams, fmt.Sprintf("%d-%d", number, k))
			continue
		}
		c.request(clients[n], c.s.instances[n], path, fmt.Sprintf("i%d-%d-%d", n, number, k))
	}
}

// callerPaths are the paths of the routes that all configurations have.
var callerPaths = []string{"/book/1", "/look/1", "/advice/1", "/chat/1"}

// generates reports whether engines serve a path.
func generates(path string) bool {
	return strings.HasPrefix(path, "/advice/") || strings.HasPrefix(path, "/chat/")
}

func send(client *http.Client, i *instance, path, id string) rcfakecaller.Result {
	q := rcfakecaller.Request{Addr: i.frontAddr, Path: path, ID: id, Timeout: callerTimeout}
	if generates(path) {
		q.Model = model
	}
	return rcfakecaller.Send(client, q)
}

// request sends one request and checks the response.
func (c *callers) request(client *http.Client, i *instance, path, id string) {
	start := time.Now()
	c.s.requestTimes.Store(id, start)
	r := send(client, i, path, id)
	if errors.Is(r.Err, errOutOfRotation) {
		return
	}
	c.sent.Add(1)
	c.s.recordTold(i, r)
	c.s.recordToldLeaving(i, r)
	c.s.countServed(i, id, start, r.Status == http.StatusOK && r.Err == nil)
	nonIdempotent := path == "/book/1"
	if n := c.s.env.runCounter.Runs(id); nonIdempotent && n > 1 {
		c.s.violation("at most once", "%s ran %d times", id, n)
	}
	c.checkSoundRefusal(path, id, r)
	switch {
	case r.Status == http.StatusOK:
		c.checkResponse(path, id, r)
	case refusals[r.Status] && nonIdempotent:
		c.mu.Lock()
		c.refused[id] = r.Status
		c.mu.Unlock()
		c.checkRefusals(id)
	case r.Status == http.StatusNotFound || r.Status == http.StatusUnauthorized:
		c.s.violation("proper requests are not denied", "%s to %s: status %d", id, path, r.Status)
	case r.Status == 0 && c.s.env.runCounter.Runs(id) > 0:
		if c.s.awaitStallDetection(); !c.s.env.faultFreeSince(start.Add(-faultGracePeriod)) {
			return
		}
		c.s.violation("planned work cuts nothing", "%s to i%d, sent at %s: %v", id, i.number, c.s.elapsed(start), r.Err)
	}
}

func (c *callers) checkResponse(path, id string, r rcfakecaller.Result) {
	want := plainAnswer(id, r.Body)
	if generates(path) {
		want = expectedStream()
		var versions []string
		if r.Body, versions = splitSoftware(r.Body); len(versions) > 1 {
			c.s.violation("streams keep their software version", "%s holds events of %v", id, versions)
		}
	}
	switch {
	case r.Err != nil && strings.HasPrefix(want, r.Body):
		return // Truncated, and the caller can detect it.
	case !r.Signed:
		c.s.violation("answers come from upstreams", "%s: status 200 without the signature of an upstream", id)
	case r.Body != want:
		c.s.violation("answers are whole", "%s: got %q (%v)", id, r.Body, r.Err)
	default:
		c.answered.Add(1)
	}
}

// checkRefusals checks that the refused requests with the given IDs did not run.
// Without IDs it checks all refused requests.
func (c *callers) checkRefusals(ids ...string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(ids) == 0 {
		for id := range c.refused {
			ids = append(ids, id)
		}
	}
	for _, id := range ids {
		if n := c.s.env.runCounter.Runs(id); n > 0 {
			c.s.violation("refusals are true", "%s got %d and ran %d times", id, c.refused[id], n)
		}
	}
}

func expectedStream() string {
	var b bytes.Buffer
	for i := 1; i <= streamEvents; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: token %d\n\n", i, i)
	}
	return b.String()
}
