// Package rceval evaluates choosers in virtual time. Small models of engines
// and instances run a generated trace through the real decision code and
// through baselines, and the same measures are taken of each.
//
// It is not a cluster simulator: instances share nothing but the engines, the
// network is a fixed delay, and admission limits are left out.
package rceval

import (
	"time"

	"github.com/radishcrank/radishcrank"
)

const (
	model         radishcrank.ModelID        = "advice"
	weights       radishcrank.WeightsVersion = "w1"
	blockTokens                              = 2000
	bytesPerToken                            = 1 // Of the traces that Run gets; see TraceConfig.
	maxAttempts                              = 4 // As in rcdaemon.
)

// EngineParams describe each engine of a deployment.
type EngineParams struct {
	CacheBlocks      int
	MaxBatch         int
	PrefillPerSecond float64       // Prompt tokens a second, shared by all requests.
	DecodePerSecond  float64       // Tokens a second for one request.
	ReportInterval   time.Duration // Between two load reports.
	ReportDelay      time.Duration // From a report to its being readable.
	EventDelay       time.Duration // From a cache event to its being readable.
	EventLossRatio   float64       // Part of the cache events that are lost.
	RestartDelay     time.Duration // From a crash to the next incarnation.
}

// Deployment describes the fleet and traffic of one user.
type Deployment struct {
	Name                string
	Zones               int
	Engines             int
	Instances           int
	Engine              EngineParams
	TrafficShares       []float64 // Part of the traffic of each client account.
	SharedPromptTokens  int       // Text that an account's callers all share.
	AccountPromptTokens int       // Text below it, also of the whole account.
	CallerTokensMin     int       // Caller's own text; uniform between the two.
	CallerTokensMax     int
	TokensPerTurn       int // Growth of the prompt with each turn.
	TurnsMin            int
	TurnsMax            int
	MeanTurnInterval    time.Duration // Mean time between turns; exponential.
	AnswerTokensMin     int
	AnswerTokensMax     int
	PeakInMiddle        bool // Arrivals rise from half the rate to the full rate in the middle half.
}

func engineParams(cacheBlocks int) EngineParams {
	return EngineParams{
		CacheBlocks:      cacheBlocks,
		MaxBatch:         16,
		PrefillPerSecond: 20000,
		DecodePerSecond:  100,
		ReportInterval:   100 * time.Millisecond,
		ReportDelay:      150 * time.Millisecond,
		EventDelay:       200 * time.Millisecond,
		EventLossRatio:   0.01,
		RestartDelay:     time.Second,
	}
}

// Riga is the deployment of Daugava Boxflow: nested prompts with several turns
// of each caller. An engine's cache is too small for all accounts' texts.
func Riga() Deployment {
	return Deployment{
		Name:                "Riga",
		Zones:               3,
		Engines:             12,
		Instances:           6,
		Engine:              engineParams(110),
		TrafficShares:       []float64{0.30, 0.22, 0.16, 0.10, 0.08, 0.06, 0.05, 0.03},
		SharedPromptTokens:  20000,
		AccountPromptTokens: 5000,
		CallerTokensMin:     2500,
		CallerTokensMax:     4500,
		TokensPerTurn:       700,
		TurnsMin:            2,
		TurnsMax:            8,
		MeanTurnInterval:    3 * time.Second,
		AnswerTokensMin:     40,
		AnswerTokensMax:     120,
	}
}

// Sofia is the deployment of the Municipal Markets Agency: one long text, and a
// crowd of callers with one short question each.
func Sofia() Deployment {
	return Deployment{
		Name:                "Sofia",
		Zones:               4,
		Engines:             12,
		Instances:           8,
		Engine:              engineParams(60),
		TrafficShares:       []float64{0.35, 0.20, 0.14, 0.10, 0.08, 0.06, 0.04, 0.03},
		SharedPromptTokens:  24000,
		AccountPromptTokens: 1500,
		CallerTokensMin:     200,
		CallerTokensMax:     800,
		TurnsMin:            1,
		TurnsMax:            1,
		AnswerTokensMin:     60,
		AnswerTokensMax:     160,
		PeakInMiddle:        true,
	}
}

// reachable is the part of the unlimited cache's hit rate that capacity assumes.
// The reference with true state reaches 0.99 in calm load, and the rest allows for replicas.
const reachable = 0.98

// Capacity is what the fleet can serve at a stated hit rate.
type Capacity struct {
	HitRate           float64 // Assumed of every policy.
	MeanPrompt        float64 // Tokens.
	RequestsPerSecond float64 // At the peak of the trace.
}

// EstimateCapacity works the capacity out from the engine parameters: an engine is
// full when its prefill or its batch slots are in use all the time.
func EstimateCapacity(d Deployment, seed uint64) Capacity {
	probe := NewTrace(d, TraceConfig{Rate: 100, Duration: time.Minute, Seed: seed})
	limit := unlimited(d, probe, 0, probe.Config.Duration)
	c := Capacity{HitRate: reachable * limit.HitRate}
	var answer float64
	for _, r := range probe.Requests {
		c.MeanPrompt += float64(r.PromptTokens)
		answer += float64(r.AnswerTokens)
	}
	n := float64(len(probe.Requests))
	c.MeanPrompt /= n
	answer /= n
	prefill := c.MeanPrompt * (1 - c.HitRate) / d.Engine.PrefillPerSecond
	slot := (prefill + answer/d.Engine.DecodePerSecond) / float64(d.Engine.MaxBatch)
	c.RequestsPerSecond = float64(d.Engines) / max(prefill, slot)
	return c
}

// MinHitRate returns the hit rate below which a load is more than the fleet's
// prefill can do, so that queues grow without end.
func (c Capacity) MinHitRate(level float64) float64 { return 1 - (1-c.HitRate)/level }
