package radishcrank

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"time"
)

// RetryPolicy states whether an exchange may run more than once.
type RetryPolicy int

// Retry policies.
const (
	// RetryNever allows at most one run.
	RetryNever RetryPolicy = iota
	// RetryAllowed allows any number of runs.
	RetryAllowed
	// RetryResume allows another upstream to resume a stream after its last
	// delivered event.
	RetryResume
)

// PromptPart is a segment of a prompt that several requests may share. A part
// is cached only together with all preceding parts.
type PromptPart struct {
	ID     string
	Tokens int
}

// RoutePolicy is the configuration that applies to the requests of one route.
type RoutePolicy struct {
	Name           string
	Retry          RetryPolicy
	Stream         bool
	MaxAttempts    int           // Limit on the upstreams that one exchange is sent to.
	Timeout        time.Duration // Limit on the time until the client has the complete response.
	LatencyTarget  time.Duration // Target for the time to the response, or to the first event of a stream.
	AbandonAfter   time.Duration // Time without a first event after which clients abandon a stream; 0 if they wait until the deadline.
	MaxEventGap    time.Duration // Longest gap between two events of a stream that counts as on time.
	Priority       int           // 0 is the most urgent.
	AllowAnonymous bool          // Requests need no API key.
}

// Exchange is a request whose body the router forwards without interpreting it,
// with the metadata that routing needs.
type Exchange struct {
	ID           RequestID
	Account      ClientAccountID
	Isolated     bool // Shares no cached parts with other accounts.
	Route        RoutePolicy
	Service      string
	Services     []string // Services among which the route splits its requests.
	Method       string
	Target       string      // Path and query as received from the client.
	Header       http.Header // End-to-end headers of the client.
	Credential   string      // API key as received from the client.
	Detoured     bool        // Another instance has sent it, because it reaches no upstream.
	Body         []byte
	Model        ModelID
	PromptParts  []PromptPart
	PromptTokens int
	OutputTokens int       // Limit on the generated tokens.
	LengthHint   int       // Client's estimate of the number of generated tokens; 0 if unknown.
	Priority     int       // Priority at an engine: by the account or route, then by the route; 0 is the most urgent.
	LatePriority int       // Priority if the response begins after its latency target; Priority if none lower is free.
	LastEventID  string    // Last event that the client has of a stream that it takes up again.
	Resumes      RequestID // Attempt that delivered the first event of that stream; empty if the client does not name it.
	ReceivedAt   time.Time
	Deadline     time.Time // The earlier of the client's deadline and the route's timeout.
}

// Generates reports whether the exchange is served by a model engine.
func (x *Exchange) Generates() bool { return x.Model != "" }

// SendOptions are the router's choices for one attempt to send an exchange.
type SendOptions struct {
	Weights     WeightsVersion // The upstream rejects the exchange if it serves other weights; empty accepts any.
	CacheSalt   string         // Restricts the cached parts that the run may use.
	KVSource    netip.AddrPort // Engine or KV store to copy cached parts from; the zero value means none.
	KVTarget    netip.AddrPort // KV store to copy the prompt's parts to after prefill; the zero value means none.
	LastEventID string         // Last event that the client received.
	Timeout     time.Duration  // Time limit for the upstream.
	Priority    int            // Priority at an engine; 0 is the most urgent.
	FreshConn   bool           // Use only a new or recently used connection.
}

// QueueReport is the load that an upstream reports with a response.
type QueueReport struct {
	Running int
	Waiting int
	Slots   int
	// Slowness is how long work currently takes on the upstream's machine, 100 is usual; 0
	// if the upstream does not say.
	Slowness float64
}

// ReplyClass classifies a reply by what it proves about the exchange.
type ReplyClass int

// Classes of replies.
const (
	// ReplyAnswered is the upstream's response to the exchange.
	ReplyAnswered ReplyClass = iota
	// ReplyBusy proves that the upstream rejected the exchange without running it.
	ReplyBusy
	// ReplyMisdirected proves that the exchange reached another incarnation or
	// other weights, which did not run it.
	ReplyMisdirected
	// ReplyInvalid proves nothing: the bytes received belong to another exchange
	// or to none.
	ReplyInvalid
)

// Reply is the status and headers of an upstream's response, with its unread body.
type Reply struct {
	Class  ReplyClass
	Status int
	Header http.Header // End-to-end headers.
	Length int64       // Length of the body, or -1.
	// Unframed means that the body has neither a length nor chunks and ends with its
	// connection, which does not prove that it is whole.
	Unframed bool
	Body     io.ReadCloser // Closing it before EOF cancels the run.
	Load     *QueueReport  // Nil if the upstream reported none.
	// RateLimit is the number of requests per second that the upstream accepts from
	// all instances together; nil if it states none.
	RateLimit *float64
	Weights   WeightsVersion
	Leaving   bool // The upstream says that it leaves and takes no further requests.
	// PauseFor is how long the upstream wants no further requests from this instance,
	// because it has turned this one away; 0 if it does not say.
	PauseFor time.Duration
	// Brittle is how many requests the upstream can turn away in a second before it falls
	// over; 0 if it does not say that it is brittle.
	Brittle int
	// Instance is the upstream that replied to a misdirected exchange.
	Instance UpstreamID
	Conn     Connection // Nil if it is unknown on which connection the reply arrives.
}

// DetourSender sends exchanges to upstreams through another instance.
type DetourSender interface {
	// SendThrough sends an exchange to the instance that listens for callers at an address.
	// The class of its reply is ReplyAnswered for the response of an upstream, ReplyBusy
	// if the exchange has not run and the reply is for the client, ReplyMisdirected if it
	// has not run because that instance cannot serve it, and ReplyInvalid if it may have
	// run. An error that wraps ErrNotSent means that the instance did not receive it.
	SendThrough(ctx context.Context, to netip.AddrPort, x *Exchange, timeout time.Duration) (*Reply, error)
}

// Connection is the connection on which a reply arrives. It does not outlive the
// upstream's process, so that the incarnation behind it never changes.
type Connection interface {
	// Incarnation returns the incarnation behind the connection, or 0 if it has not been
	// confirmed.
	Incarnation() Incarnation
	// OpenedAt returns when the connection was opened.
	OpenedAt() time.Time
	// SetIncarnation records the incarnation that the upstream has reported while the
	// connection was open.
	SetIncarnation(i Incarnation)
}

// Sender sends exchanges to upstreams. Errors that wrap ErrNotSent mean that
// the exchange did not run; after any other error it may or may not have run.
type Sender interface {
	Send(ctx context.Context, up Upstream, x *Exchange, o SendOptions) (*Reply, error)
}
