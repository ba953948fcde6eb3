package rcboard

import (
	"time"

	"github.com/radishcrank/radishcrank"
)

// Lock ranks of the tables: a table of lower rank is locked first. RankIndex is the
// position of the prefix index, which is not a table of the board and has its own
// lock.
const (
	RankConfig Rank = iota + 1
	RankInstances
	RankUpstreams
	RankAccounts
	RankBreakers
	RankSuspects
	RankIndex
	RankStreams
)

// AccountUsage is the current usage of one client account on this instance.
type AccountUsage struct {
	Running         int     // Requests dispatched and not yet finished.
	Queued          int     // Requests waiting for admission.
	TokensPerSecond float64 // Recent demand in prompt and generated tokens.
}

// Breaker is the circuit breaker state of one upstream.
type Breaker struct {
	State     string // Closed, Open or HalfOpen.
	Failures  int    // Consecutive failures.
	ChangedAt time.Time
}

// Suspect is a request content that was in flight when upstreams crashed.
type Suspect struct {
	Crashes   int
	Verdict   bool // Whether requests with the content are refused.
	LastCrash time.Time
}

// Stream is one response in progress.
type Stream struct {
	Account   radishcrank.ClientAccountID
	Model     radishcrank.ModelID
	Upstream  radishcrank.UpstreamID
	Delivered int // Tokens sent to the caller.
	Attempts  int
	StartedAt time.Time
}

// Board holds the shared tables of one instance. The comment of each field names
// the package that writes the table.
type Board struct {
	Instances *Table[radishcrank.InstanceID, radishcrank.Instance] // rcmember
	Upstreams *Table[radishcrank.UpstreamID, radishcrank.Upstream] // rcwatch
	Accounts  *Table[radishcrank.ClientAccountID, AccountUsage]    // rclimit
	Breakers  *Table[radishcrank.UpstreamID, Breaker]              // rcretry
	Suspects  *Table[string, Suspect]                              // rcpoison
	Streams   *Table[radishcrank.RequestID, Stream]                // rcrelay
}

// New returns a board with empty tables.
func New() *Board {
	return &Board{
		Instances: NewTable[radishcrank.InstanceID, radishcrank.Instance]("Instances", RankInstances),
		Upstreams: NewTable[radishcrank.UpstreamID, radishcrank.Upstream]("Upstreams", RankUpstreams),
		Accounts:  NewTable[radishcrank.ClientAccountID, AccountUsage]("Accounts", RankAccounts),
		Breakers:  NewTable[radishcrank.UpstreamID, Breaker]("Breakers", RankBreakers),
		Suspects:  NewTable[string, Suspect]("Suspects", RankSuspects),
		Streams:   NewTable[radishcrank.RequestID, Stream]("Streams", RankStreams),
	}
}

// Dump is a copy of the contents of a Board.
type Dump struct {
	Instances map[radishcrank.InstanceID]radishcrank.Instance
	Upstreams map[radishcrank.UpstreamID]radishcrank.Upstream
	Accounts  map[radishcrank.ClientAccountID]AccountUsage
	Breakers  map[radishcrank.UpstreamID]Breaker
	Suspects  map[string]Suspect
	Streams   map[radishcrank.RequestID]Stream
}

// Dump returns a copy of all tables. The tables are copied one after the other,
// so the copy is consistent within each table but not across tables.
func (b *Board) Dump() Dump {
	return Dump{
		Instances: b.Instances.Snapshot(),
		Upstreams: b.Upstreams.Snapshot(),
		Accounts:  b.Accounts.Snapshot(),
		Breakers:  b.Breakers.Snapshot(),
		Suspects:  b.Suspects.Snapshot(),
		Streams:   b.Streams.Snapshot(),
	}
}
