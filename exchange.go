package radishcrank

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"time"
)

// RetryPolicy says how often an exchange may run.
type RetryPolicy int

// Ways of repeating an exchange.
const (
	// RetryNever allows one run at most.
	RetryNever RetryPolicy = iota
	// RetryAllowed allows any number of runs.
	RetryAllowed
	// RetryResume allows another upstream to continue a stream after its last delivered event.
	RetryResume
)

// PromptPart is a piece of a prompt that requests may share. A part is cached
// only together with all parts before it.
type PromptPart struct {
	ID     string
	Tokens int
}

// RoutePolicy is what the configuration says of the requests of one route.
type RoutePolicy struct {
	Name           string
	Retry          RetryPolicy
	Stream         bool
	MaxAttempts    int           // Upstreams that one exchange may run on.
	Timeout        time.Duration // Longest time until the caller has its final answer.
	LatencyTarget  time.Duration // Time to the answer, or to a stream's first event, that earns its full worth.
	AbandonAfter   time.Duration // Time without the first event after which callers leave a stream; 0 if they wait until the deadline.
	MaxEventGap    time.Duration // Longest pause between two events of a stream that is on time.
	Priority       int           // 0 is the most urgent.
	AllowAnonymous bool          // No API key is needed.
}

// Exchange is a request whose body the router passes on unread, together with
// what routing needs to know of it.
type Exchange struct {
	ID           RequestID
	Account      ClientAccountID
	Isolated     bool // Shares no cached part with other accounts.
	Route        RoutePolicy
	Service      string
	Method       string
	Target       string      // Path and query, as the caller sent them.
	Header       http.Header // End-to-end headers of the caller.
	Body         []byte
	Model        ModelID
	PromptParts  []PromptPart
	PromptTokens int
	OutputTokens int // Most tokens that may be generated.
	LengthHint   int // The caller's estimate of the generated tokens; 0 if unknown.
	Priority     int // Rank of the account or route; 0 is the most urgent.
	LastEventID  string
	ReceivedAt   time.Time
	Deadline     time.Time // Earlier of the caller's deadline and the route's timeout.
}

// Generates reports whether the exchange is answered by a model engine.
func (x *Exchange) Generates() bool { return x.Model != "" }

// SendOptions are the parts of a dispatch that the router decides on.
type SendOptions struct {
	Weights     WeightsVersion // The upstream refuses the exchange if it serves other weights; empty leaves them open.
	CacheSalt   string         // Scope of the cached parts that the run may use.
	KVSource    netip.AddrPort // Engine or store to copy cached parts from; invalid for none.
	KVTarget    netip.AddrPort // Store to copy the prompt's parts to once they are read; invalid for none.
	LastEventID string         // Last event that the caller has.
	Timeout     time.Duration  // Time that the upstream may take.
	FreshConn   bool           // Do not reuse a connection that has been idle for long.
}

// QueueReport is the load that an upstream tells with an answer.
type QueueReport struct {
	Running int
	Waiting int
	Slots   int
}

// ReplyClass says what a reply proves.
type ReplyClass int

// Verdicts on replies.
const (
	// ReplyAnswered is the upstream's own answer to the exchange.
	ReplyAnswered ReplyClass = iota
	// ReplyBusy proves that the upstream refused the exchange without running it.
	ReplyBusy
	// ReplyMisdirected proves that another incarnation or other weights were met, which did not run it.
	ReplyMisdirected
	// ReplyInvalid proves nothing: the bytes belong to another exchange or to none.
	ReplyInvalid
)

// Reply is the head of an upstream's answer and its unread body.
type Reply struct {
	Class   ReplyClass
	Status  int
	Header  http.Header   // End-to-end headers.
	Length  int64         // Length of the body, or -1.
	Body    io.ReadCloser // Closing it before its end cancels the run.
	Load    *QueueReport  // Nil if the upstream did not tell.
	Weights WeightsVersion
	// Instance is the upstream that answered a misdirected exchange.
	Instance UpstreamID
}

// Sender sends exchanges to upstreams. Errors that wrap ErrNotSent mean that
// the exchange did not run; any other error leaves it open.
type Sender interface {
	Send(ctx context.Context, up Upstream, x *Exchange, o SendOptions) (*Reply, error)
}
