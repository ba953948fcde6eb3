package rceval

import (
	"cmp"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/radishcrank/radishcrank"
	"github.com/radishcrank/radishcrank/internal/routing/rcprefix"
)

// TraceConfig configures the trace of a deployment.
type TraceConfig struct {
	Rate          float64 // Requests per second at the peak.
	Duration      time.Duration
	HotSetShiftAt time.Duration // When large and small accounts swap their traffic and get new texts; 0 means never.
	Seed          uint64

	// BytesPerToken is the number of prompt bytes counted as one token. 0 means 1.
	// Fewer bytes than in production only save hashing time.
	BytesPerToken int
}

func (c TraceConfig) bytesPerToken() int { return max(1, c.BytesPerToken) }

// TraceRequest is one request of a trace.
type TraceRequest struct {
	ID           radishcrank.RequestID
	At           time.Duration
	Account      radishcrank.ClientAccountID
	Instance     int
	PromptTokens int
	AnswerTokens int
	CacheKeys    []radishcrank.BlockHash

	segments []segment
}

// segment is a part of a prompt whose text depends only on its name and length.
type segment struct {
	name   uint64
	tokens int
}

// Trace is a list of requests in order of arrival.
type Trace struct {
	Config   TraceConfig
	Requests []TraceRequest

	texts map[segment]string // Texts of the segments that many prompts share.
}

type generator struct {
	d     Deployment
	cfg   TraceConfig
	rng   *rand.Rand
	trace *Trace
}

// NewTrace generates a trace. Arrivals are open-loop: a caller's next turn does
// not wait for the answer, so every policy gets the same requests.
func NewTrace(d Deployment, cfg TraceConfig) *Trace {
	g := generator{
		d:     d,
		cfg:   cfg,
		rng:   rand.New(rand.NewPCG(cfg.Seed, 1)),
		trace: &Trace{Config: cfg, texts: make(map[segment]string)},
	}
	turns := float64(d.TurnsMin+d.TurnsMax) / 2
	// Sessions begin before the trace and their turns before its start are dropped,
	// so that callers in all turns are present from the start.
	lead := time.Duration(turns * float64(d.MeanTurnInterval))
	for at := -lead; ; {
		at += g.exponential(turns / cfg.Rate)
		if at >= cfg.Duration {
			break
		}
		if g.rng.Float64() < g.arrivalRateRatio(at) {
			g.addSession(at)
		}
	}
	slices.SortStableFunc(g.trace.Requests, func(a, b TraceRequest) int { return cmp.Compare(a.At, b.At) })
	for i := range g.trace.Requests {
		g.assignIDAndKeys(i)
	}
	return g.trace
}

func (g *generator) exponential(seconds float64) time.Duration {
	return time.Duration(g.rng.ExpFloat64() * seconds * float64(time.Second))
}

// arrivalRateRatio returns the arrival rate at a time as a fraction of the peak
// rate.
func (g *generator) arrivalRateRatio(at time.Duration) float64 {
	quarter := g.cfg.Duration / 4
	if !g.d.PeakInMiddle || (at >= quarter && at < 3*quarter) {
		return 1
	}
	return 0.5
}

func (g *generator) addSession(at time.Duration) {
	account := g.drawAccount(at)
	caller := g.rng.Uint64()
	contextTokens := g.uniform(g.d.CallerTokensMin, g.d.CallerTokensMax)
	for turn := range g.uniform(g.d.TurnsMin, g.d.TurnsMax) {
		if turn > 0 {
			at += g.exponential(g.d.MeanTurnInterval.Seconds())
		}
		r := TraceRequest{
			At:           at,
			Account:      radishcrank.ClientAccountID(fmt.Sprintf("account-%d", account+1)),
			Instance:     g.rng.IntN(g.d.Instances),
			AnswerTokens: g.uniform(g.d.AnswerTokensMin, g.d.AnswerTokensMax),
			segments:     g.sharedSegments(account, at),
		}
		r.segments = append(r.segments, segment{name: caller, tokens: contextTokens + turn*g.d.TokensPerTurn})
		for _, s := range r.segments {
			r.PromptTokens += s.tokens
		}
		if at >= 0 && at < g.cfg.Duration {
			g.trace.Requests = append(g.trace.Requests, r)
		}
	}
}

func (g *generator) uniform(low, high int) int { return low + g.rng.IntN(high-low+1) }

// drawAccount draws an account at random. After the hot-set shift the smallest
// account has the traffic of the largest.
func (g *generator) drawAccount(at time.Duration) int {
	x := g.rng.Float64()
	n := len(g.d.TrafficShares) - 1
	for i, share := range g.d.TrafficShares {
		if x -= share; x < 0 || i == n {
			if g.shifted(at) {
				return n - i
			}
			return i
		}
	}
	return n
}

func (g *generator) shifted(at time.Duration) bool {
	return g.cfg.HotSetShiftAt > 0 && at >= g.cfg.HotSetShiftAt
}

// sharedSegments returns the segments that all callers of an account share. The
// second one changes at the hot-set shift.
func (g *generator) sharedSegments(account int, at time.Duration) []segment {
	edition := uint64(0)
	if g.shifted(at) {
		edition = 1
	}
	base := uint64(account+1) << 8
	return []segment{{name: base, tokens: g.d.SharedPromptTokens}, {name: base | 16 | edition, tokens: g.d.AccountPromptTokens}}
}

func (g *generator) assignIDAndKeys(i int) {
	r := &g.trace.Requests[i]
	r.ID = radishcrank.RequestID(fmt.Sprintf("r%06d", i))
	for _, s := range r.segments[:2] {
		if _, ok := g.trace.texts[s]; !ok {
			g.trace.texts[s] = segmentText(s, g.cfg.bytesPerToken())
		}
	}
	scope := radishcrank.CacheScope{Account: r.Account, Model: model, Weights: weights}
	r.CacheKeys = rcprefix.Chain(scope, g.trace.Prompt(r), blockTokens*g.cfg.bytesPerToken())
}

// Prompt returns the prompt of a request.
func (t *Trace) Prompt(r *TraceRequest) string {
	var b strings.Builder
	b.Grow(r.PromptTokens * t.Config.bytesPerToken())
	for _, s := range r.segments {
		shared, ok := t.texts[s]
		if !ok {
			shared = segmentText(s, t.Config.bytesPerToken())
		}
		b.WriteString(shared)
	}
	return b.String()
}

// segmentText returns the text of a segment. The text of a longer segment of
// the same name starts with that of a shorter one, as in a conversation that
// continues.
func segmentText(s segment, bytesPerToken int) string {
	n := s.tokens * bytesPerToken
	out := make([]byte, 0, n+wordRunBytes)
	var raw [8]byte
	for x := uint64(0); len(out) < n; x++ {
		binary.LittleEndian.PutUint64(raw[:], mixBits(s.name+x*0x9e3779b97f4a7c15))
		word := hex.EncodeToString(raw[:])
		for range wordRunBytes / len(word) {
			out = append(out, word...)
		}
	}
	return string(out[:n])
}

// wordRunBytes is the length to which each word is repeated, a multiple of the
// word's length in bytes. Words are repeated because generating a word takes
// more time than copying it.
const wordRunBytes = 256

// mixBits spreads the bits of x over the whole word with the finalizer of
// SplitMix64.
func mixBits(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
