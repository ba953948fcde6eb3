package rcconfig

var (
	fleetOnly  []ScopeKind
	byAccount  = []ScopeKind{ScopeAccount}
	byCall     = []ScopeKind{ScopeAccount, ScopeModel}
	byUpstream = []ScopeKind{ScopeUpstream}
	byStream   = []ScopeKind{ScopeAccount, ScopeModel, ScopeUpstream, ScopeZone}
	byZone     = []ScopeKind{ScopeZone}
)

// settingTable describes every setting. Parsing, checks, effective values,
// diffs and docs/operators/settings.md derive from it; each Name is a field of
// Settings.
var settingTable = []Setting{
	{Name: "BlockTokens", Kind: KindCount, Unit: "tokens", Default: "2000", Min: "1", Max: "100000", Scopes: fleetOnly,
		Doc: "Tokens that one cache block covers. All instances must cut prompts alike, so it has no exceptions."},
	{Name: "BytesPerToken", Kind: KindCount, Unit: "bytes", Default: "4", Min: "1", Max: "16", Scopes: fleetOnly,
		Doc: "Prompt bytes counted as one token when a prompt is cut into blocks and its cost is estimated."},
	{Name: "RecomputeWeight", Kind: KindNumber, Unit: "seconds per second", Default: "0.5", Min: "0", Max: "100", Scopes: byZone,
		Doc: "Cost in the choice of an upstream for each second of prefill that a cached prefix elsewhere would save. 0 looks at the time to first token alone."},
	{Name: "CrossZoneCost", Kind: KindDuration, Default: "2ms", Min: "0s", Max: "10s", Scopes: byZone,
		Doc: "Added to the predicted time to first token of an upstream in another availability zone."},
	{Name: "RequestsPerSecond", Kind: KindNumber, Unit: "requests/s", Default: "0", Min: "0", Max: "1000000", Scopes: byAccount,
		Doc: "Rate of requests admitted for a client account over the whole fleet. 0 means no limit."},
	{Name: "TokensPerSecond", Kind: KindNumber, Unit: "tokens/s", Default: "0", Min: "0", Max: "1000000000", Scopes: byAccount,
		Doc: "Rate of prompt and generated tokens admitted for a client account over the whole fleet. 0 means no limit."},
	{Name: "Concurrency", Kind: KindCount, Unit: "requests", Default: "0", Min: "0", Max: "1000000", Scopes: byAccount,
		Doc: "Requests of a client account that run at the same time over the whole fleet. 0 means no limit."},
	{Name: "QueueLength", Kind: KindCount, Unit: "requests", Default: "256", Min: "0", Max: "100000", Scopes: byAccount,
		Doc: "Requests of a client account that may wait on one instance. Further ones are refused with NotRun."},
	{Name: "OvershootFactor", Kind: KindNumber, Unit: "times", Default: "2", Min: "1", Max: "16", Scopes: byAccount,
		Doc: "Highest multiple of a fleet-wide limit that the instances may admit together while they cannot hear each other."},
	{Name: "Priority", Kind: KindCount, Default: "0", Min: "-100", Max: "100", Scopes: byCall,
		Doc: "Priority passed on to engines; a higher value runs first."},
	{Name: "FirstTokenDeadline", Kind: KindDuration, Default: "30s", Min: "50ms", Max: "10m", Scopes: byCall,
		Doc: "A request whose first token is not expected within this time is refused at once with NotRun."},
	{Name: "ProgressTimeout", Kind: KindDuration, Default: "5s", Min: "100ms", Max: "5m", Scopes: byStream,
		Doc: "A stream that delivers nothing for this long is given up and resumed on another upstream."},
	{Name: "StreamTimeout", Kind: KindDuration, Default: "30m", Min: "1s", Max: "24h", Scopes: byCall,
		Doc: "Longest duration of one answer."},
	{Name: "MaxBodyBytes", Kind: KindSize, Default: "8MiB", Min: "1KiB", Max: "64MiB", Scopes: byAccount,
		Doc: "Largest request body."},
	{Name: "MaxHeaderBytes", Kind: KindSize, Default: "64KiB", Min: "4KiB", Max: "1MiB", Scopes: fleetOnly,
		Doc: "Largest header of a request."},
	{Name: "BodyReadTimeout", Kind: KindDuration, Default: "30s", Min: "1s", Max: "10m", Scopes: byAccount,
		Doc: "Time in which a caller must have sent the body of a request."},
	{Name: "MaxTokens", Kind: KindCount, Unit: "tokens", Default: "4096", Min: "1", Max: "1000000", Scopes: byCall,
		Doc: "Most generated tokens of one answer."},
	{Name: "RetryRatio", Kind: KindNumber, Unit: "retries per request", Default: "0.1", Min: "0", Max: "1", Scopes: fleetOnly,
		Doc: "Retry budget of a client account and of an upstream, as a share of its requests."},
	{Name: "HedgeRatio", Kind: KindNumber, Unit: "hedges per request", Default: "0.05", Min: "0", Max: "1", Scopes: fleetOnly,
		Doc: "Share of requests that may be sent to a second upstream when the first token is late. 0 turns hedging off."},
	{Name: "RecordRetention", Kind: KindDuration, Default: "72h", Min: "1h", Max: "2160h", Scopes: fleetOnly,
		Doc: "How long the record of a call that must not be repeated is kept. A retry with the same idempotency key is protected only in this time, so callers must not reuse a key after it."},
	{Name: "ChecksFence", Kind: KindFlag, Default: "false", Scopes: byUpstream,
		Doc: "Says that an engine refuses orders with an old fencing number. Orders to other engines are first written as intents, which takes longer."},
	{Name: "LeaseDuration", Kind: KindDuration, Default: "10s", Min: "2s", Max: "10m", Scopes: fleetOnly,
		Doc: "How long the lease of the instance that orders engines lasts without renewal."},
	{Name: "LeaseMargin", Kind: KindDuration, Default: "2s", Min: "100ms", Max: "1m", Scopes: fleetOnly,
		Doc: "The holder stops ordering so long before its lease ends. It must be below half of LeaseDuration."},
	{Name: "OrderTimeout", Kind: KindDuration, Default: "5s", Min: "100ms", Max: "10m", Scopes: fleetOnly,
		Doc: "Time in which an engine must have answered an order."},
	{Name: "SnapshotMaxAge", Kind: KindDuration, Default: "10m", Min: "10s", Max: "24h", Scopes: fleetOnly,
		Doc: "An older snapshot is refused when an instance warms up."},
	{Name: "ShutdownTimeout", Kind: KindDuration, Default: "30s", Min: "1s", Max: "30m", Scopes: fleetOnly,
		Doc: "Time that running work gets in a graceful shutdown before it is cut."},
}
