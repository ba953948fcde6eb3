// Package rcwire defines the messages of the HTTP API of model engines. Fields of
// the OpenAI API are in snake case, fields of the extension in Pascal case.
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

// CompletionRequest is the body of a generation request.
type CompletionRequest struct {
	Model     string           `json:"model"`
	Prompt    string           `json:"prompt"`
	MaxTokens int              `json:"max_tokens,omitempty"`
	Stream    bool             `json:"stream"`
	Extension RequestExtension `json:"radishcrank"`
}

// RequestExtension holds the fields of a CompletionRequest beyond the OpenAI API.
type RequestExtension struct {
	RequestID  radishcrank.RequestID
	Priority   radishcrank.Priority
	CacheKeys  []radishcrank.BlockHash
	Weights    radishcrank.WeightsVersion
	Adapter    string
	ResumeFrom int // Index of the first token to send.

	// Upstream and Incarnation identify the target engine. Any other engine or
	// incarnation rejects the request with status 412.
	Upstream    radishcrank.UpstreamID
	Incarnation radishcrank.Incarnation // 0 if unknown.
	// Attempt distinguishes runs with the same RequestID, so that a late
	// DELETE /requests/ID?attempt=N does not cancel a newer run. 0 means unset.
	Attempt uint64
}

// CompletionChunk is an event of an engine's stream.
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

// Usage holds token counts as in the OpenAI API.
type Usage struct {
	PromptTokens        int           `json:"prompt_tokens"`
	CompletionTokens    int           `json:"completion_tokens"`
	TotalTokens         int           `json:"total_tokens"`
	PromptTokensDetails PromptDetails `json:"prompt_tokens_details"`
}

// PromptDetails breaks down the prompt tokens.
type PromptDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

// ChunkExtension identifies the request of a chunk and its position in the stream.
type ChunkExtension struct {
	RequestID   radishcrank.RequestID
	Index       int // Index of the token; on the finish chunk, the number of tokens.
	Weights     radishcrank.WeightsVersion
	Incarnation radishcrank.Incarnation
}

// BlockList lists blocks to export or import.
type BlockList struct {
	Blocks []radishcrank.BlockHash
}
