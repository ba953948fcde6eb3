package rcfakeupstream

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	// slownessJitter is the fraction by which the reported slowness varies between two
	// responses.
	slownessJitter = 0.1
	// readPiece is how much of a body a slow reader reads at once, at most.
	readPiece = 4 << 10
)

// Machine describes the machine that an upstream runs on. Upstreams with a machine report
// their load in all responses.
type Machine struct {
	Slots     int            // Requests that run at the same time; others are refused.
	Speed     float64        // 1 is usual.
	Neighbors func() float64 // Current factor by which neighbors slow the upstream down; nil means 1.
	// CapacityTokens is the number of tokens that fit in memory; 0 means no limit. A part of
	// a prompt takes memory once, as long as any request with it runs. The upstream crashes
	// when it holds more.
	CapacityTokens int
	// PrefillRate is the number of tokens per millisecond that a machine of the usual speed
	// adds to its memory before the first event; 0 means no limit.
	PrefillRate float64
	// OnOverflow is called with the tokens held when memory is exceeded, before Config.OnCrash.
	OnOverflow func(id string, held int)
}

// Shape is the size and pace of a response.
type Shape struct {
	Padding int           // Bytes added to a plain response or to each event.
	Delay   time.Duration // Replaces Config.Delay; 0 keeps it.
}

// holdings are the requests that a process of an upstream holds. They are guarded by
// Upstream.mu.
type holdings struct {
	running, waiting, tokens int
	parts                    map[string]int // Number of running requests with a part.
}

func newHoldings() *holdings { return &holdings{parts: map[string]int{}} }

// slowness returns how long work currently takes; 100 is usual.
func (u *Upstream) slowness() float64 {
	m := u.cfg.Machine
	if m == nil {
		return 100
	}
	slowness := 100 / m.Speed
	if m.Neighbors != nil {
		slowness *= m.Neighbors()
	}
	return slowness
}

// pace returns how long work takes that takes d at the usual speed.
func (u *Upstream) pace(d time.Duration) time.Duration {
	return time.Duration(float64(d) * u.slowness() / 100)
}

func (u *Upstream) announceLoad(h http.Header) {
	m := u.cfg.Machine
	if m == nil {
		return
	}
	slowness := u.slowness() * (1 + slownessJitter*(2*rand.Float64()-1))
	u.mu.Lock()
	defer u.mu.Unlock()
	h.Set("Radishcrank-Server-Load", fmt.Sprintf("%d,%d,%d,%.0f", u.held.running, u.held.waiting, m.Slots, slowness))
}

// HeldTokens returns the number of tokens in memory.
func (u *Upstream) HeldTokens() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.held.tokens
}

// wait counts a request as waiting until the returned function is called.
func (u *Upstream) wait() (end func()) {
	u.mu.Lock()
	defer u.mu.Unlock()
	held := u.held
	held.waiting++
	return func() {
		u.mu.Lock()
		defer u.mu.Unlock()
		held.waiting--
	}
}

// takeSlot counts a request as running until end is called. ok is false if all slots are
// taken.
func (u *Upstream) takeSlot() (end func(), ok bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	held := u.held
	if m := u.cfg.Machine; m != nil && held.running >= m.Slots {
		return nil, false
	}
	held.running++
	return func() {
		u.mu.Lock()
		defer u.mu.Unlock()
		held.running--
	}, true
}

// hold adds the prompt of a request to the memory until release is called. added is the
// number of tokens that were not in memory, and tokens the number that are now.
func (u *Upstream) hold(r *http.Request) (release func(), added, tokens int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	held, parts := u.held, promptParts(r)
	for part, size := range parts {
		if held.parts[part]++; held.parts[part] == 1 {
			added += size
		}
	}
	held.tokens += added
	return func() {
		u.mu.Lock()
		defer u.mu.Unlock()
		for part, size := range parts {
			if held.parts[part]--; held.parts[part] == 0 {
				delete(held.parts, part)
				held.tokens -= size
			}
		}
	}, added, held.tokens
}

// promptParts returns the sizes of the parts of a prompt, in tokens. Parts that cannot be
// read are left out.
func promptParts(r *http.Request) map[string]int {
	parts := map[string]int{}
	for _, entry := range strings.Split(r.Header.Get("Radishcrank-Prefix-Hash"), ",") {
		if name, size, ok := strings.Cut(entry, ":"); ok {
			if n, err := strconv.Atoi(size); err == nil {
				parts[name] = n
			}
		}
	}
	return parts
}

// prefill adds the prompt of a request to the memory until release is called, and waits for
// as long as that takes. It crashes the upstream if the prompt does not fit.
func (u *Upstream) prefill(r *http.Request, id string) (release func()) {
	m := u.cfg.Machine
	if m == nil || u.cfg.Model == "" {
		return func() {}
	}
	release, added, tokens := u.hold(r)
	if m.CapacityTokens > 0 && tokens > m.CapacityTokens {
		if m.OnOverflow != nil {
			m.OnOverflow(id, tokens)
		}
		u.cfg.OnCrash()
		release()
		panic(http.ErrAbortHandler)
	}
	if m.PrefillRate > 0 {
		time.Sleep(u.pace(time.Duration(float64(added) / m.PrefillRate * float64(time.Millisecond))))
	}
	return release
}

// readSlowly reads the body of a request with a pause after each piece.
func readSlowly(r *http.Request, pause time.Duration) error {
	for buf := make([]byte, readPiece); ; time.Sleep(pause) {
		switch _, err := r.Body.Read(buf); err {
		case nil:
		case io.EOF:
			return nil
		default:
			return err
		}
	}
}

// padding returns what the shape of a response adds to its events or to its body.
func (s Shape) padding() string {
	if s.Padding == 0 {
		return ""
	}
	return " " + strings.Repeat("x", s.Padding-1)
}

// extendWrite gives the other side the time in which it has to read more of a response.
func (u *Upstream) extendWrite(c *http.ResponseController) {
	if u.cfg.UnreadTimeout > 0 {
		_ = c.SetWriteDeadline(time.Now().Add(u.cfg.UnreadTimeout)) // Fails only on connections without deadlines.
	}
}
