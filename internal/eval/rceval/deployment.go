// Package rceval evaluates choosers in virtual time. It replays a generated
// trace on simple models of engines and instances, with the router's decision
// code and with each baseline policy, and computes the same metrics for all of
// them.
//
// It does not simulate a complete cluster: instances share only the engines,
// the network delay is constant, and there are no admission limits.
package rceval

import (
	"time"

	"github.com/radishcrank/radishcrank"
)

const (
	model         radishcrank.ModelID        = "advice"
	weights       radishcrank.WeightsVersion = "w1"
	blockTokens                              = 2000
	bytesPerToken                            = 1 // For the traces passed to Run; see TraceConfig.
	maxAttempts                              = 4 // Same value as in rcdaemon.
)

// EngineParams holds the parameters of every engine in a deployment.
type EngineParams struct {
	CacheBlocks      int
	MaxBatch         int
	PrefillPerSecond float64       // Prompt tokens per second, shared by all requests.
	DecodePerSecond  float64       // Tokens per second for one request.
	ReportInterval   time.Duration // Interval between load reports.
	ReportDelay      time.Duration // Time until a load report becomes readable.
	EventDelay       time.Duration // Time until a cache event becomes readable.
	EventLossRatio   float64       // Fraction of the cache events that are lost.
	RestartDelay     time.Duration // Time from a crash to the next incarnation.
}

// Deployment describes the fleet and traffic of one user.
type Deployment struct {
	Name                string
	Zones               int
	Engines             int
	Instances           int
	Engine              EngineParams
	TrafficShares       []float64 // Fraction of the traffic of each client account.
	SharedPromptTokens  int       // First prompt segment, shared by all callers of an account.
	AccountPromptTokens int       // Second prompt segment, also shared by the whole account.
	CallerTokensMin     int       // Initial length of the caller's own segment; uniform between the two.
	CallerTokensMax     int
	TokensPerTurn       int // Growth of the prompt in each turn.
	TurnsMin            int
	TurnsMax            int
	MeanTurnInterval    time.Duration // The time between turns has an exponential distribution.
	AnswerTokensMin     int
	AnswerTokensMax     int
	PeakInMiddle        bool // Arrivals rise from half the peak rate to the full rate in the middle half of the trace.
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

// Riga returns the deployment of Daugava Boxflow: nested prompts and several
// turns per caller. The cache of one engine is too small for the texts of all
// accounts.
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

// Sofia returns the deployment of the Municipal Markets Agency: one long shared
// text and many callers with one short question each.
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

// reachableHitRatio is the fraction of the unlimited cache's hit rate that
// EstimateCapacity assumes. The oracle policy reaches 0.99 in calm load; the
// difference allows for replicas of blocks.
const reachableHitRatio = 0.98

// Capacity is the load that the fleet can serve at a given hit rate.
type Capacity struct {
	HitRate           float64 // Assumed for every policy.
	MeanPrompt        float64 // Tokens.
	RequestsPerSecond float64 // At the peak of the trace.
}

// EstimateCapacity computes the capacity from the engine parameters: an engine
// is saturated when its prefill unit or all its batch slots are always in use.
func EstimateCapacity(d Deployment, seed uint64) Capacity {
	probe := NewTrace(d, TraceConfig{Rate: 100, Duration: time.Minute, Seed: seed})
	ideal := idealResult(d, probe, 0, probe.Config.Duration)
	c := Capacity{HitRate: reachableHitRatio * ideal.HitRate}
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

// MinHitRate returns the hit rate below which a load exceeds the prefill
// throughput of the fleet, so that queues grow without bound.
func (c Capacity) MinHitRate(level float64) float64 { return 1 - (1-c.HitRate)/level }
