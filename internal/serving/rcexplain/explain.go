// Package rcexplain defines what an instance on the users' platform reports about how it
// would route a request now, and a client that asks instances for it.
package rcexplain

import (
	"fmt"
	"strconv"
	"strings"
)

const (
	// Path is where the listener for operators answers, and InstancesPath where it lists the
	// instances that are registered.
	Path          = "/explain"
	InstancesPath = "/instances"
	// MaxRequestBytes bounds a request. A prompt of 1,000 parts takes 80 KB.
	MaxRequestBytes = 256 << 10
)

// Part is a part of a prompt.
type Part struct {
	ID     string
	Tokens int
}

// Request describes a request. It holds no key and no text.
type Request struct {
	Account    string `json:",omitempty"`
	Route      string // Name of the route.
	Service    string `json:",omitempty"` // One of the route's; default is the first.
	Model      string `json:",omitempty"` // Empty for plain services.
	Parts      []Part `json:",omitempty"` // The last one belongs to the request itself.
	DeadlineMS int64  `json:",omitempty"` // Remaining time; the route's timeout bounds it.
	Priority   *int   `json:",omitempty"` // Default is that of the account or else the route.
	// LastEvent is the Last-Event-Id of a client that takes up a stream, and Resumes is the
	// attempt that brought its first event, if the client names it.
	LastEvent string `json:",omitempty"`
	Resumes   string `json:",omitempty"`
}

// Outcomes of a request.
const (
	Sent           = "Sent"           // It would be sent to Report.Upstream.
	Waits          = "Waits"          // It would wait for an upstream to become usable.
	Detoured       = "Detoured"       // It would be sent through another instance.
	Refused        = "Refused"        // 503 with Retry-After.
	RefusedFinally = "RefusedFinally" // 400, not to be repeated.
)

// Term is one term of the expected cost of an upstream.
type Term struct {
	Name string
	MS   float64
}

// Upstream is one candidate. Costs are 0 if it was not considered.
type Upstream struct {
	ID         string
	Zone       string
	Chosen     bool   `json:",omitempty"`
	Obstacle   string `json:",omitempty"` // Why it gets no request; empty if it may.
	ObstacleMS int64  `json:",omitempty"` // How long that is expected to last; 0 if unknown.
	CostMS     float64
	Terms      []Term `json:",omitempty"`
	WaitMS     float64
	Owner      bool   `json:",omitempty"`
	Uncached   int    `json:",omitempty"` // Prompt tokens to prefill.
	Weights    string // Of the model, as last reported.
	Software   string `json:",omitempty"` // Version of the upstream's software.
	Slots      int
	// Running and Prefilling are of this instance, and the others' as they last reported.
	Running, Prefilling             int
	OthersRunning, OthersPrefilling int
	Listed                          bool // False if its removal from the list is doubted.
	// ReportedRunning and ReportedWaiting are the load that the upstream last reported, and
	// ReportAgeMS is how long ago; -1 if no report is known.
	ReportedRunning, ReportedWaiting int
	ReportAgeMS                      int64
}

// Information says where the instance's view comes from.
type Information struct {
	ConfigVersion  int64
	StoreReachable bool   // By this instance, or by the relay that reads for it.
	StoreReader    string // Instance that this one gets the list of upstreams from; empty if it reads the store.
	Instances      int    // Registered ones, including this one.
	NotReached     int    // Others that did not answer the last message.
	Draining       bool   `json:",omitempty"`
}

// Resumes says where a stream began that its client takes up. It goes on only at that service
// and software version, on any weights that new requests may use.
type Resumes struct {
	LastEvent string
	Attempt   string `json:",omitempty"` // Attempt that brought the first event; empty if the client does not name it.
	Known     bool   // False if that is unknown, or the route does not use that service.
	Why       string `json:",omitempty"` // Why Known is false.
	Service   string `json:",omitempty"`
	Software  string `json:",omitempty"`
}

// Report says how a request would be routed now.
type Report struct {
	Instance, Zone string
	Route, Service string
	Account, Model string `json:",omitempty"`
	Priority       int
	Outcome        string
	Why            string // The limit or state that decides; empty if it would be sent.
	Upstream       string `json:",omitempty"`
	KVSource       string `json:",omitempty"` // Engine or KV store from which parts are copied.
	// ExpectedWaitMS is the shortest expected wait at a healthy upstream. Above MaxWaitMS the
	// request is refused.
	ExpectedWaitMS, MaxWaitMS float64
	// RetryAfterMS are the shortest and the longest delay that a refusal would name.
	RetryAfterMS [2]float64
	// AccountFraction is the fraction of such requests that the rate limit of the account
	// admits now; 1 if the account has none, or has not reached it.
	AccountFraction float64
	Deferred        string `json:",omitempty"` // Why it would yield to other requests at the engine; empty if it would not.
	// QueueMS is how long the request may wait for an upstream to become usable.
	QueueMS int64
	// Convicted is the number of combinations of parts of the prompt that are known to crash
	// upstreams. Crashes of the request's own content are not covered, since it is not given.
	Convicted   int      `json:",omitempty"`
	LinksCut    bool     `json:",omitempty"` // This instance reaches no upstream of the service.
	Resumes     *Resumes `json:",omitempty"` // Nil unless the client takes up a stream.
	Information Information
	Upstreams   []Upstream
}

// ParseParts parses a list of ID:TOKENS, separated by commas.
func ParseParts(text string) (parts []Part, err error) {
	if text == "" {
		return nil, nil
	}
	for field := range strings.SplitSeq(text, ",") {
		id, count, ok := strings.Cut(strings.TrimSpace(field), ":")
		n, err := strconv.Atoi(count)
		if !ok || id == "" || err != nil || n < 0 {
			return nil, fmt.Errorf("part %q is not ID:TOKENS", field)
		}
		parts = append(parts, Part{ID: id, Tokens: n})
	}
	return parts, nil
}
