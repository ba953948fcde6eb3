package radishcrank

import (
	"context"
	"time"
)

// CostTerm is one part of a placement's cost, shown by explain.
type CostTerm struct {
	Name  string
	Value time.Duration
}

// Placement says where a request goes and why.
type Placement struct {
	Upstream      Upstream
	Weights       WeightsVersion
	CacheKeys     []BlockHash // Chain of the prompt's full blocks.
	CachedBlocks  int         // Leading blocks believed to be cached there.
	PredictedTTFT time.Duration
	Terms         []CostTerm
}

// ObservationKind is the kind of an Observation.
type ObservationKind string

// Kinds of observations.
const (
	ObservedFirstToken ObservationKind = "FirstToken"
	ObservedDone       ObservationKind = "Done"
	ObservedFailure    ObservationKind = "Failure"
)

// Observation reports what became of a placement. Each placement gets exactly
// one Done or Failure; FirstToken comes before it if a token arrived.
type Observation struct {
	Kind  ObservationKind
	TTFT  time.Duration // For FirstToken.
	Usage Usage         // For Done.
	Err   error         // For Failure.
}

// Chooser picks the engine for a request.
type Chooser interface {
	// Choose picks an engine that is not excluded and counts the request as
	// dispatched there until Observe reports its end. The error is a *Refusal
	// with OutcomeNotRun when no engine can take the request.
	Choose(ctx context.Context, req Request, exclude []UpstreamID) (Placement, error)
	// Observe reports the progress of a placement.
	Observe(req Request, p Placement, o Observation)
}

// Admitter enforces limits and fairness before a request is dispatched.
type Admitter interface {
	// Admit waits for the request's turn. The error is a *Refusal with
	// OutcomeNotRun, or the context's error. release must be called once, when
	// the request has ended.
	Admit(ctx context.Context, req Request) (release func(Usage), err error)
}

// StreamSink receives a complete answer in order.
type StreamSink interface {
	// Token delivers the next token; an error means that the caller is gone.
	Token(t Token) error
	// Finish is called once after the last token of a complete answer.
	Finish(f Finish) error
}

// WeightsSink is a StreamSink that wants to know which weights an answer comes
// from, before its first token.
type WeightsSink interface {
	SetWeights(w WeightsVersion)
}

// Generator produces the answer of one request, over as many engines as it takes.
type Generator interface {
	// Generate writes the whole answer to sink. A *Refusal in the error's chain
	// says what the caller is told.
	Generate(ctx context.Context, req Request, sink StreamSink) error
}

// CallRunner runs calls of plain services, at most once where configuration demands it.
type CallRunner interface {
	Run(ctx context.Context, call ServiceCall) (ServiceResponse, error)
}
