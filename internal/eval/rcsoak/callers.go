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
	// callerPause is the mean pause of a caller between two requests.
	callerPause = 10 * time.Millisecond
	// callerPatience is what callers state and wait.
	callerPatience = 2500 * time.Millisecond
	// contactTime is the platform's ContactMs: a fault excuses what happens until
	// so long after its end.
	contactTime = 3 * time.Second
	// readyInterval and readyMisses are those of the platform's balancer.
	readyInterval = time.Second
	readyMisses   = 2
)

// refusals promise that the request did not run and never will.
var refusals = map[int]bool{
	http.StatusTooManyRequests: true, http.StatusServiceUnavailable: true,
	http.StatusRequestTimeout: true, http.StatusMisdirectedRequest: true,
}

// callers send requests and judge the answers.
type callers struct {
	s        *soak
	sent     atomic.Int64
	answered atomic.Int64
	misses   []atomic.Int32 // Readiness checks in a row that failed, by instance.

	mu      sync.Mutex
	refused map[string]int // Requests that were refused, and with what.
}

func newCallers(s *soak) *callers {
	return &callers{s: s, misses: make([]atomic.Int32, len(s.instances)), refused: map[string]int{}}
}

// watch plays the balancer's readiness checks.
func (c *callers) watch(ctx context.Context) {
	client := &http.Client{Timeout: readyInterval, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		for n, i := range c.s.instances {
			if i.isReady(client) {
				c.misses[n].Store(0)
			} else {
				c.misses[n].Add(1)
			}
		}
		if !rcwait.Sleep(ctx, readyInterval) {
			return
		}
	}
}

// errOutOfRotation says that the balancer would send a new connection elsewhere.
var errOutOfRotation = errors.New("instance is out of rotation")

// run is one caller. It uses a connection to each instance until that ends, and
// opens new ones only to instances that are in rotation.
func (c *callers) run(ctx context.Context, number int, rng *rand.Rand) {
	clients := make([]*http.Client, len(c.s.instances))
	for n := range clients {
		transport := &http.Transport{MaxIdleConnsPerHost: 1, DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			if c.misses[n].Load() >= readyMisses {
				return nil, errOutOfRotation
			}
			return new(net.Dialer).DialContext(ctx, network, addr)
		}}
		defer transport.CloseIdleConnections()
		clients[n] = &http.Client{Transport: transport, Timeout: callerPatience + 500*time.Millisecond}
	}
	for k := 0; rcwait.Sleep(ctx, time.Duration(rng.Int64N(int64(2*callerPause)))); k++ {
		n := rng.IntN(len(clients))
		path := []string{"/book/1", "/look/1", "/advice/1"}[rng.IntN(3)]
		c.request(clients[n], c.s.instances[n], path, fmt.Sprintf("i%d-%d-%d", n, number, k))
	}
}

func send(client *http.Client, i *instance, path, id string) rcfakecaller.Result {
	q := rcfakecaller.Request{Addr: i.front, Path: path, ID: id, Timeout: callerPatience}
	if strings.HasPrefix(path, "/advice/") {
		q.Model = model
	}
	return rcfakecaller.Send(client, q)
}

// request sends one request and judges what comes back.
func (c *callers) request(client *http.Client, i *instance, path, id string) {
	begun := time.Now()
	r := send(client, i, path, id)
	if errors.Is(r.Err, errOutOfRotation) {
		return
	}
	c.sent.Add(1)
	once := path == "/book/1"
	if n := c.s.world.ledger.Runs(id); once && n > 1 {
		c.s.broken("at most once", "%s ran %d times", id, n)
	}
	switch {
	case r.Status == http.StatusOK:
		c.judgeAnswer(path, id, r)
	case refusals[r.Status] && once:
		c.mu.Lock()
		c.refused[id] = r.Status
		c.mu.Unlock()
		c.judgeRefusals(id)
	case r.Status == http.StatusNotFound || r.Status == http.StatusUnauthorized:
		c.s.broken("proper requests are not denied", "%s to %s: status %d", id, path, r.Status)
	case r.Status == 0 && c.s.world.ledger.Runs(id) > 0:
		if c.s.noticeStalls(); !c.s.world.calmSince(begun.Add(-contactTime)) {
			return
		}
		c.s.broken("planned work cuts nothing", "%s to i%d, sent at %s: %v", id, i.number, c.s.clock(begun), r.Err)
	}
}

func (c *callers) judgeAnswer(path, id string, r rcfakecaller.Result) {
	want := "done " + id
	if path == "/advice/1" {
		want = wholeStream()
	}
	switch {
	case r.Err != nil && strings.HasPrefix(want, r.Body):
		return // Cut short, and it shows.
	case !r.Signed:
		c.s.broken("answers are the upstream's", "%s: 200 without a signature", id)
	case r.Body != want:
		c.s.broken("answers are whole", "%s: got %q (%v)", id, r.Body, r.Err)
	default:
		c.answered.Add(1)
	}
}

// judgeRefusals checks that refused requests have not run.
func (c *callers) judgeRefusals(ids ...string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(ids) == 0 {
		for id := range c.refused {
			ids = append(ids, id)
		}
	}
	for _, id := range ids {
		if n := c.s.world.ledger.Runs(id); n > 0 {
			c.s.broken("refusals are true", "%s got %d and ran %d times", id, c.refused[id], n)
		}
	}
}

func wholeStream() string {
	var b bytes.Buffer
	for i := 1; i <= streamEvents; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: token %d\n\n", i, i)
	}
	return b.String()
}
