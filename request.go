package radishcrank

import "time"

// Priority is the scheduling priority inside an engine; higher values run first.
type Priority int

// Request is a request for generated text, after authentication and parsing.
type Request struct {
	ID      RequestID
	Account ClientAccountID
	Model   ModelID
	Adapter string
	// Parts identify the parts of the prompt that other requests of the account may hold;
	// empty if they are unknown.
	Parts  []string
	Prompt string // Canonical text of all messages; prefix caching operates on its bytes.
	// PromptBody continues Prompt, where a copy into a string would double the memory of a
	// large body. Only the key of the content covers it.
	PromptBody []byte
	Chat       bool // Respond in the chat format of the API.
	Stream     bool
	MaxTokens  int
	Priority   Priority
	Deadline   time.Time // A first token after it is of no use to the client.
	ResumeFrom int       // Index of the first token to generate; earlier tokens have been delivered.

	// PinnedWeights restricts the choice to engines that serve these weights. It
	// is set once a token has been delivered; empty allows any weights.
	PinnedWeights WeightsVersion
}

// IsContinuation reports whether an earlier run of the request delivered output.
// Errors of such a request must not have the outcome NotRun.
func (r Request) IsContinuation() bool { return r.ResumeFrom > 0 || r.PinnedWeights != "" }

// EstimatePromptTokens estimates the number of tokens in n bytes of prompt,
// rounded up.
func EstimatePromptTokens(n, bytesPerToken int) int {
	if bytesPerToken <= 0 {
		return n
	}
	return (n + bytesPerToken - 1) / bytesPerToken
}

// Token is a generated token.
type Token struct {
	Index int // Position in the complete response, starting at 0.
	Text  string
}

// Usage holds the token counts of a finished request.
type Usage struct {
	PromptTokens     int
	CachedTokens     int // Prompt tokens found in the engine's prefix cache.
	CompletionTokens int
}

// Finish describes the end of a stream.
type Finish struct {
	Reason string // Finish reason of the OpenAI API, such as "stop" or "length".
	Usage  Usage
}
