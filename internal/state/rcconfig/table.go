package rcconfig

// Sets of scopes whose exceptions may override a setting.
var (
	noScopes      []ScopeKind
	accountScope  = []ScopeKind{ScopeAccount}
	requestScopes = []ScopeKind{ScopeAccount, ScopeModel}
	upstreamScope = []ScopeKind{ScopeUpstream}
	allScopes     = []ScopeKind{ScopeAccount, ScopeModel, ScopeUpstream, ScopeZone}
	zoneScope     = []ScopeKind{ScopeZone}
)

// settingTable describes every setting. Parsing, validation, effective settings,
// diffs and docs/operators/settings.md are derived from it. Each Name is a field of
// Settings.
var settingTable = []Setting{
	{Name: "BlockTokens", Kind: KindCount, Unit: "tokens", Default: "2000", Min: "1", Max: "100000", Scopes: noScopes,
		Doc: "Number of tokens in a cache block. All instances must split prompts in the same way, so it has no exceptions."},
	{Name: "BytesPerToken", Kind: KindCount, Unit: "bytes", Default: "4", Min: "1", Max: "16", Scopes: noScopes,
		Doc: "Number of prompt bytes that count as one token when a prompt is split into blocks and its cost is estimated."},
	{Name: "RecomputeWeight", Kind: KindNumber, Unit: "seconds per second", Default: "0.5", Min: "0", Max: "100", Scopes: zoneScope,
		Doc: "Cost in the choice of an upstream for each second of prefill that a cached prefix on another upstream would save. With 0, only the time to first token counts."},
	{Name: "CrossZoneCost", Kind: KindDuration, Default: "2ms", Min: "0s", Max: "10s", Scopes: zoneScope,
		Doc: "Added to the predicted time to first token of an upstream in another availability zone."},
	{Name: "RequestsPerSecond", Kind: KindNumber, Unit: "requests/s", Default: "0", Min: "0", Max: "1000000", Scopes: accountScope,
		Doc: "Rate of requests admitted for a client account across the whole fleet. 0 means no limit."},
	{Name: "TokensPerSecond", Kind: KindNumber, Unit: "tokens/s", Default: "0", Min: "0", Max: "1000000000", Scopes: accountScope,
		Doc: "Rate of prompt and generated tokens admitted for a client account across the whole fleet. 0 means no limit."},
	{Name: "Concurrency", Kind: KindCount, Unit: "requests", Default: "0", Min: "0", Max: "1000000", Scopes: accountScope,
		Doc: "Maximum number of concurrent requests of a client account across the whole fleet. 0 means no limit."},
	{Name: "QueueLength", Kind: KindCount, Unit: "requests", Default: "256", Min: "0", Max: "100000", Scopes: accountScope,
		Doc: "Maximum number of requests of a client account that wait on one instance. Further requests are refused with NotRun."},
	{Name: "OvershootFactor", Kind: KindNumber, Unit: "times", Default: "2", Min: "1", Max: "16", Scopes: accountScope,
		Doc: "Highest multiple of a fleet-wide limit that the instances may admit together while they cannot reach each other."},
	{Name: "Priority", Kind: KindCount, Default: "0", Min: "-100", Max: "100", Scopes: requestScopes,
		Doc: "Priority passed on to engines; requests with a higher value run first."},
	{Name: "FirstTokenDeadline", Kind: KindDuration, Default: "30s", Min: "50ms", Max: "10m", Scopes: requestScopes,
		Doc: "A request whose first token is not expected within this time is refused at once with NotRun."},
	{Name: "ProgressTimeout", Kind: KindDuration, Default: "5s", Min: "100ms", Max: "5m", Scopes: allScopes,
		Doc: "A stream that delivers nothing for this long is cancelled and resumed on another upstream."},
	{Name: "StreamTimeout", Kind: KindDuration, Default: "30m", Min: "1s", Max: "24h", Scopes: requestScopes,
		Doc: "Maximum duration of a response."},
	{Name: "MaxBodyBytes", Kind: KindSize, Default: "8MiB", Min: "1KiB", Max: "64MiB", Scopes: accountScope,
		Doc: "Maximum size of a request body."},
	{Name: "MaxHeaderBytes", Kind: KindSize, Default: "64KiB", Min: "4KiB", Max: "1MiB", Scopes: noScopes,
		Doc: "Maximum size of the header of a request."},
	{Name: "BodyReadTimeout", Kind: KindDuration, Default: "30s", Min: "1s", Max: "10m", Scopes: accountScope,
		Doc: "Time within which a caller must send the whole body of a request."},
	{Name: "MaxTokens", Kind: KindCount, Unit: "tokens", Default: "4096", Min: "1", Max: "1000000", Scopes: requestScopes,
		Doc: "Maximum number of generated tokens of a response."},
	{Name: "RetryRatio", Kind: KindNumber, Unit: "retries per request", Default: "0.1", Min: "0", Max: "1", Scopes: noScopes,
		Doc: "Retry budget of a client account and of an upstream, as a share of its requests."},
	{Name: "HedgeRatio", Kind: KindNumber, Unit: "hedges per request", Default: "0.05", Min: "0", Max: "1", Scopes: noScopes,
		Doc: "Share of requests that may also be sent to a second upstream when the first token is late. 0 disables hedging."},
	{Name: "RecordRetention", Kind: KindDuration, Default: "72h", Min: "1h", Max: "2160h", Scopes: noScopes,
		Doc: "How long the record of a call that must not be repeated is kept. A retry with the same idempotency key is protected only during this time, so callers must not reuse a key after it."},
	{Name: "ChecksFence", Kind: KindFlag, Default: "false", Scopes: upstreamScope,
		Doc: "Whether an engine refuses orders with an old fencing number. Orders to other engines are first written as intents, which takes longer."},
	{Name: "LeaseDuration", Kind: KindDuration, Default: "10s", Min: "2s", Max: "10m", Scopes: noScopes,
		Doc: "How long the lease of the instance that sends orders to engines is valid without renewal."},
	{Name: "LeaseMargin", Kind: KindDuration, Default: "2s", Min: "100ms", Max: "1m", Scopes: noScopes,
		Doc: "Time before the end of its lease at which the holder stops sending orders. It must be below half of LeaseDuration."},
	{Name: "OrderTimeout", Kind: KindDuration, Default: "5s", Min: "100ms", Max: "10m", Scopes: noScopes,
		Doc: "Time within which an engine must answer an order."},
	{Name: "SnapshotMaxAge", Kind: KindDuration, Default: "10m", Min: "10s", Max: "24h", Scopes: noScopes,
		Doc: "Maximum age of a snapshot; an instance that warms up refuses an older one."},
	{Name: "ShutdownTimeout", Kind: KindDuration, Default: "30s", Min: "1s", Max: "30m", Scopes: noScopes,
		Doc: "Time for running work to complete in a graceful shutdown before it is cancelled."},
}
