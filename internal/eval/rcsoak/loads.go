package rcsoak

import (
	"cmp"
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/radishcrank/radishcrank/internal/standin/rcfakecaller"
	"github.com/radishcrank/radishcrank/internal/standin/rcfakeupstream"
	"github.com/radishcrank/radishcrank/internal/state/rcwait"
)

const (
	// engineTokens is the memory of an engine. The longest prompt takes an eighth of it, and
	// the parts that all requests share a seventh.
	engineTokens  = 100_000
	engineSlots   = 32
	longestPrompt = engineTokens / 8
	medianPrompt  = longestPrompt / 5
	// prefillRate is that of the platform's engines, in tokens per millisecond.
	prefillRate  = 40
	outputTokens = 40
	// longPromptInterval is the mean time between two requests with long prompts, and
	// longPromptPace that between two of their events at the usual speed. Together they take
	// half of what engines prefill and, with the parts that all requests share, 0.6 of their
	// memory.
	longPromptInterval = 50 * time.Millisecond
	longPromptPace     = 80 * time.Millisecond
	longPromptTimeout  = 5500 * time.Millisecond
	// unreadTimeout is after how long upstreams abort responses that remain unread.
	unreadTimeout = 2 * time.Second
	// The responses to slow readers exceed what the kernel buffers for a connection.
	largeResponse   = 8 << 20
	largeEvent      = largeResponse / streamEvents
	slowReaderCount = 6
	// slowReaderBuffer is the size of a receive buffer. With one of 4 KiB the kernel passes only
	// 45 KB/s on loopback, whatever the reader does.
	slowReaderBuffer  = 64 << 10
	slowReaderTimeout = 8 * time.Second
	// maxReadPause lets some readers finish within the time limits of the routes.
	maxReadPause    = 300 * time.Microsecond
	uploadInterval  = 100 * time.Millisecond
	maxUpload       = 400_000
	uploadReadPause = 5 * time.Millisecond
	maxNeighbors    = 3 // Highest factor by which neighbors slow an engine down.
	// defaultStoreAge exceeds the windows of all limits.
	defaultStoreAge = time.Hour
	// loadStream is the stream of random numbers for demanding loads.
	loadStream       = 8
	minLoadGap       = 300 * time.Millisecond
	maxLoadGap       = 2 * time.Second
	minSpikeDuration = 5 * time.Second
	maxSpikeDuration = 8 * time.Second
	// spikeFaultDelay is how long after the start of a spike a fault hits instances.
	spikeFaultDelay = time.Second
)

// engineSpeeds are the speeds of engines in relation to the usual one.
var engineSpeeds = []float64{0.6, 1, 1.6}

// loads are the demanding loads of a run: accounts with rate limits, upstreams with different
// speeds and limited memory, and slow readers.
type loads struct {
	accounts  []*account
	storeAge  time.Duration
	requests  sync.Map // loadRequest, by ID.
	arrivals  sync.Map // When a request arrived at an upstream, by ID.
	answered  atomic.Int64
	overflows atomic.Int64 // Engines that ran out of memory.
	numbers   atomic.Int64 // Numbers the requests of all actions.
	large     atomic.Int64 // Large responses that slow readers got completely.
	broken    atomic.Int64 // Those of which they got a part.

	mu       sync.Mutex
	statuses map[string]int // Number of responses by service and status code, 0 for none.
}

// loadRequest is what the fakes must know of a request.
type loadRequest struct {
	account *account // Nil without a limit.
	cost    float64
	shape   rcfakeupstream.Shape
}

// machineState is what changes on the machine of an upstream.
type machineState struct {
	neighbors atomic.Int32 // Actions that slow the machine down.
	factor    atomic.Int32 // How much they do.
	reading   atomic.Int32 // Actions because of which bodies are read slowly.
}

func newLoads(storeAge time.Duration) *loads {
	return &loads{accounts: newAccounts(), storeAge: cmp.Or(storeAge, defaultStoreAge), statuses: map[string]int{}}
}

// equip gives an upstream a machine.
func (l *loads) equip(u *upstream, number int, cfg *rcfakeupstream.Config, c callbacks) {
	state := &u.machine
	cfg.Machine = &rcfakeupstream.Machine{Slots: engineSlots, Speed: engineSpeeds[number%len(engineSpeeds)], Neighbors: func() float64 {
		if state.neighbors.Load() == 0 {
			return 1
		}
		return float64(state.factor.Load())
	}}
	if u.service == "llm" {
		cfg.Machine.CapacityTokens, cfg.Machine.PrefillRate = engineTokens, prefillRate
		cfg.Machine.OnOverflow = func(id string, held int) { c.overflow(u, id, held) }
	}
	cfg.UnreadTimeout = unreadTimeout
	cfg.OnRun = func(r *http.Request) { l.recordRun(r.Header.Get("Radishcrank-Attempt-Id")) }
	cfg.Shape = func(id string) rcfakeupstream.Shape {
		if r, ok := l.requests.Load(id); ok {
			return r.(loadRequest).shape
		}
		return rcfakeupstream.Shape{}
	}
	cfg.ReadPause = func(string) time.Duration {
		if state.reading.Load() == 0 {
			return 0
		}
		return uploadReadPause
	}
}

// engineFields and accountEntries complete the configuration.
func (l *loads) engineFields() string {
	if l == nil {
		return ""
	}
	return fmt.Sprintf(`"KvCapacityTokens":%d,`, engineTokens)
}

func (l *loads) accountEntries() (text string) {
	if l == nil {
		return ""
	}
	for _, a := range l.accounts {
		rate := a.currentRate()
		text += fmt.Sprintf(`,{"Name":%q,"ApiKeys":[%q],"RatePerS":%v,"Burst":%v,"Unit":%q,"PlainTokens":%d}`, a.name, a.name, rate, rate, a.unit, plainTokens)
	}
	return text
}

// newLoadClient returns a client for requests of any number. Slow readers have connections
// with small buffers.
func newLoadClient(slow bool) *http.Client {
	timeout, transport := longPromptTimeout+500*time.Millisecond, &http.Transport{MaxIdleConnsPerHost: engineSlots}
	if slow {
		timeout, transport.DisableKeepAlives = slowReaderTimeout, true
		transport.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
			conn, err := new(net.Dialer).DialContext(ctx, network, addr)
			if err == nil {
				err = conn.(*net.TCPConn).SetReadBuffer(slowReaderBuffer)
			}
			return conn, err
		}
	}
	return &http.Client{Transport: transport, Timeout: timeout}
}

// sendLoad sends a request to an instance and checks its response.
func (s *soak) sendLoad(client *http.Client, i *instance, q rcfakecaller.Request, l loadRequest) {
	q.Addr, q.Timeout = i.frontAddr, cmp.Or(q.Timeout, callerTimeout)
	if generates(q.Path) {
		q.Model = model
	}
	start := time.Now()
	s.env.loads.requests.Store(q.ID, l)
	s.requestTimes.Store(q.ID, start)
	if l.account != nil {
		q.Key = l.account.name
		l.account.offer(l.cost, start)
	}
	r := rcfakecaller.Send(client, q)
	if q.Path == "/book/1" {
		if n := s.env.runCounter.Runs(q.ID); n > 1 {
			s.violation("at most once", "%s ran %d times", q.ID, n)
		}
	}
	s.env.loads.mu.Lock()
	s.env.loads.statuses[fmt.Sprint(q.Path, " ", r.Status)]++
	s.env.loads.mu.Unlock()
	s.callers.checkSoundRefusal(q.Path, q.ID, r)
	switch r.Status {
	case http.StatusOK:
		s.checkShaped(q, r, l.shape)
	case http.StatusTooManyRequests:
		s.checkLimited(i, q.ID, l, start, r)
	}
}

// checkShaped checks that a response with status 200 is complete, or that its caller can see
// that it is not.
func (s *soak) checkShaped(q rcfakecaller.Request, r rcfakecaller.Result, shape rcfakeupstream.Shape) {
	padding := ""
	if shape.Padding > 0 {
		padding = " " + strings.Repeat("x", shape.Padding-1)
	}
	want := "done " + q.ID + padding
	if q.Model != "" {
		want = strings.ReplaceAll(expectedStream(), "\n\n", padding+"\n\n")
	}
	switch {
	case r.Err != nil && strings.HasPrefix(want, r.Body):
		if padding != "" {
			s.env.loads.broken.Add(1)
		}
	case !r.Signed:
		s.violation("answers come from upstreams", "%s: status 200 without the signature of an upstream", q.ID)
	case r.Body != want:
		s.violation("answers are whole", "%s: got %d bytes of %d (%v)", q.ID, len(r.Body), len(want), r.Err)
	default:
		s.env.loads.answered.Add(1)
		if padding != "" {
			s.env.loads.large.Add(1)
		}
	}
}

// sendLongPrompts sends requests with prompts of long-tailed sizes until the end of an action.
func (s *soak) sendLongPrompts(ctx context.Context, a action) {
	client, rng := newLoadClient(false), s.actionRand(a)
	s.repeat(ctx, a, longPromptInterval, rng, func(i *instance, id string) {
		own := min(longestPrompt, int(medianPrompt*math.Exp(0.9*rng.NormFloat64())))
		q := rcfakecaller.Request{ID: id, Path: "/chat/1", OwnTokens: max(1, own), OutputTokens: outputTokens, Timeout: longPromptTimeout}
		s.background.Go(func() { s.sendLoad(client, i, q, loadRequest{shape: rcfakeupstream.Shape{Delay: longPromptPace}}) })
	})
}

// readSlowly sends requests whose callers read large responses slowly.
func (s *soak) readSlowly(ctx context.Context, a action) {
	client, rng := newLoadClient(true), s.actionRand(a)
	s.repeat(ctx, a, a.duration/slowReaderCount, rng, func(i *instance, id string) {
		q := rcfakecaller.Request{ID: id, Path: callerPaths[rng.IntN(len(callerPaths))], ReadPause: time.Duration(rng.Int64N(int64(maxReadPause))), Timeout: longPromptTimeout}
		shape := rcfakeupstream.Shape{Padding: largeResponse}
		if generates(q.Path) {
			shape.Padding = largeEvent
		}
		s.background.Go(func() { s.sendLoad(client, i, q, loadRequest{shape: shape}) })
	})
}

// uploadToSlowReaders makes an upstream read bodies slowly, and sends large ones.
func (s *soak) uploadToSlowReaders(ctx context.Context, a action, later func(func())) {
	u := s.env.upstream(a.target)
	u.machine.reading.Add(1)
	later(func() { u.machine.reading.Add(-1) })
	client, rng := newLoadClient(false), s.actionRand(a)
	s.repeat(ctx, a, uploadInterval, rng, func(i *instance, id string) {
		q := rcfakecaller.Request{ID: id, Path: callerPaths[rng.IntN(len(callerPaths))], BodyBytes: 1 + rng.IntN(maxUpload)}
		s.background.Go(func() { s.sendLoad(client, i, q, loadRequest{}) })
	})
}

// addNeighbors slows some engines down.
func (s *soak) addNeighbors(a action, later func(func())) {
	s.env.mu.Lock()
	defer s.env.mu.Unlock()
	for n, u := range s.env.upstreams {
		if u.service == "llm" && (a.variant+n)%2 == 0 {
			u.machine.factor.Store(int32(2 + a.target%(maxNeighbors-1)))
			u.machine.neighbors.Add(1)
			later(func() { u.machine.neighbors.Add(-1) })
		}
	}
}

// actionRand returns the random numbers of an action.
func (s *soak) actionRand(a action) *rand.Rand {
	return rand.New(rand.NewPCG(s.cfg.Seed, uint64(loadStream)<<16+uint64(a.target)))
}

// pickRunning returns one of some instances, if possible one that has not been told to stop.
func pickRunning(instances []*instance, rng *rand.Rand) (i *instance) {
	for range len(instances) {
		if i = instances[rng.IntN(len(instances))]; i.running() {
			break
		}
	}
	return i
}

// repeat calls send with random instances and new IDs until the end of an action.
func (s *soak) repeat(ctx context.Context, a action, interval time.Duration, rng *rand.Rand, send func(i *instance, id string)) {
	end := time.Now().Add(a.duration)
	s.background.Go(func() {
		for rcwait.Sleep(ctx, time.Duration(rng.Int64N(int64(2*interval)))) && time.Now().Before(end) {
			i := pickRunning(s.instances, rng)
			send(i, fmt.Sprintf("i%d-load-%d", i.number, s.env.loads.numbers.Add(1)))
		}
	})
}

// performLoad performs an action that belongs to demanding loads.
func (s *soak) performLoad(ctx context.Context, a action, later func(func())) {
	switch a.kind {
	case spikeAccount:
		account := s.env.loads.accounts[a.target%spikingAccounts]
		account.spikes.Add(1)
		later(func() { account.spikes.Add(-1) })
	case lowerLimit:
		account := s.env.loads.accounts[a.target%spikingAccounts]
		s.env.changeLimit(account, 1)
		later(func() { s.env.changeLimit(account, -1) })
	case longPrompts:
		s.sendLongPrompts(ctx, a)
	case slowReaders:
		s.readSlowly(ctx, a)
	case slowUploads:
		s.uploadToSlowReaders(ctx, a, later)
	case neighborsCome:
		s.addNeighbors(a, later)
	}
}

// newLoadActions returns the demanding loads, all through the run. In the part with faults
// each spike of an account is joined by a fault of instances or between them.
func newLoadActions(cfg Config) (actions []action) {
	rng := rand.New(rand.NewPCG(cfg.Seed, loadStream))
	between := func(low, high time.Duration) time.Duration { return low + time.Duration(rng.Int64N(int64(high-low))) }
	start := time.Duration(plannedOnlyFraction * float64(cfg.Duration))
	for at := between(minLoadGap, maxLoadGap); at < cfg.Duration; at += between(minLoadGap, maxLoadGap) {
		a := action{
			at: at, kind: loadKinds[rng.IntN(len(loadKinds))], target: rng.IntN(1 << 10), variant: rng.IntN(1 << 10),
			duration: between(minSpikeDuration, maxSpikeDuration),
		}
		actions = append(actions, a)
		if a.kind == spikeAccount && at > start {
			actions = append(actions, action{
				at: at + spikeFaultDelay, kind: []actionKind{cutPeers, pauseInstance, killInstance}[rng.IntN(3)], target: rng.IntN(1 << 10), variant: rng.IntN(1 << 10),
				selector: []instanceSelector{byNumber, allInstances}[rng.IntN(2)], duration: between(minPeerCutDuration, maxFaultDuration),
			})
		}
	}
	return actions
}
