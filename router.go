package radishcrank

import (
	"context"
	"time"
)

// CostTerm is one term of a placement's cost, as shown by the explain command.
type CostTerm struct {
	Name  string
	Value time.Duration
}

// Placement is the engine chosen for a request, with the reasons for the choice.
type Placement struct {
	Upstream      Upstream
	Weights       WeightsVersion
	CacheKeys     []BlockHash // Hash chain of the prompt's full blocks.
	CachedBlocks  int         // Leading blocks expected to be cached on the engine.
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

// Observation reports the progress of a placement. Each placement gets exactly
// one Done or Failure, preceded by FirstToken if a token arrived.
type Observation struct {
	Kind  ObservationKind
	TTFT  time.Duration // For FirstToken.
	Usage Usage         // For Done.
	Err   error         // For Failure.
}

// Chooser selects the engine for a request.
type Chooser interface {
	// Choose selects an engine that is not excluded and counts the request as
	// in flight there until Observe reports its end. If no engine can take the
	// request, the error is a *Refusal with OutcomeNotRun.
	Choose(ctx context.Context, req Request, exclude []UpstreamID) (Placement, error)
	// Observe reports the progress of a placement.
	Observe(req Request, p Placement, o Observation)
}

// Admitter enforces limits and fairness between accounts before a request is
// dispatched.
type Admitter interface {
	// Admit waits for the request's turn. The error is a *Refusal with
	// OutcomeNotRun, or the context's error. release must be called exactly once,
	// when the request has ended.
	Admit(ctx context.Context, req Request) (release func(Usage), err error)
}

// StreamSink receives the tokens of a response in order.
type StreamSink interface {
	// Token delivers the next token; an error means that the client has disconnected.
	Token(t Token) error
	// Finish is called once, after the last token of a complete response.
	Finish(f Finish) error
}

// WeightsSink is implemented by a StreamSink that needs the weights version of a
// response before its first token.
type WeightsSink interface {
	SetWeights(w WeightsVersion)
}

// Generator generates the response to a request, retrying on other engines as
// needed.
type Generator interface {
	// Generate writes the complete response to sink. A *Refusal in the error's
	// chain holds what to report to the client.
	Generate(ctx context.Context, req Request, sink StreamSink) error
}

// CallRunner runs calls to plain services, at most once for services configured
// as non-repeatable.
type CallRunner interface {
	Run(ctx context.Context, call ServiceCall) (ServiceResponse, error)
}
