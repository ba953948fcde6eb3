// Package rcwire defines the messages of the model engines' HTTP API. The
// OpenAI-compatible part keeps its snake case; the extension is in Pascal case.
package rcwire

import "github.com/radishcrank/radishcrank"

// Paths of the engine API.
const (
	PathCompletions = "/v1/completions"
	PathRequests    = "/requests/"
	PathLoad        = "/load"
	PathEvents      = "/cache_events"
	PathExport      = "/kv/export"
	PathImport      = "/kv/import"
	PathOrders      = "/orders"
)

// CompletionRequest asks an engine for a generation.
type CompletionRequest struct {
	Model     string           `json:"model"`
	Prompt    string           `json:"prompt"`
	MaxTokens int              `json:"max_tokens,omitempty"`
	Stream    bool             `json:"stream"`
	Extension RequestExtension `json:"radishcrank"`
}

// RequestExtension is the router's part of a CompletionRequest.
type RequestExtension struct {
	RequestID  radishcrank.RequestID
	Priority   radishcrank.Priority
	CacheKeys  []radishcrank.BlockHash
	Weights    radishcrank.WeightsVersion
	Adapter    string
	ResumeFrom int // Index of the first token to send.

	// Upstream and Incarnation name the engine that the request is meant for.
	// An engine that is another one refuses the request with 412.
	Upstream    radishcrank.UpstreamID
	Incarnation radishcrank.Incarnation // 0 when unknown.
	// Attempt tells apart runs of the same RequestID, so that a late
	// DELETE /requests/ID?attempt=N cancels no newer run. 0 is unset.
	Attempt uint64
}

// CompletionChunk is one event of an engine's stream.
type CompletionChunk struct {
	ID        string         `json:"id"`
	Choices   []Choice       `json:"choices"`
	Usage     *Usage         `json:"usage,omitempty"`
	Extension ChunkExtension `json:"radishcrank"`
}

// Choice is the only choice of a CompletionChunk.
type Choice struct {
	Index        int    `json:"index"`
	Text         string `json:"text"`
	FinishReason string `json:"finish_reason,omitempty"`
}

// Usage counts tokens as the OpenAI API does.
type Usage struct {
	PromptTokens        int           `json:"prompt_tokens"`
	CompletionTokens    int           `json:"completion_tokens"`
	TotalTokens         int           `json:"total_tokens"`
	PromptTokensDetails PromptDetails `json:"prompt_tokens_details"`
}

// PromptDetails tells how many prompt tokens were cached.
type PromptDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

// ChunkExtension identifies the chunk's request and place in the stream.
type ChunkExtension struct {
	RequestID   radishcrank.RequestID
	Index       int // Index of the token; on the finish chunk, the number of tokens.
	Weights     radishcrank.WeightsVersion
	Incarnation radishcrank.Incarnation
}

// BlockList names blocks to export or import.
type BlockList struct {
	Blocks []radishcrank.BlockHash
}
