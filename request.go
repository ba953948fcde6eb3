package radishcrank

import "time"

// Priority orders requests inside an engine; a higher value runs first.
type Priority int

// Request is one call for generated text, after authentication and parsing.
type Request struct {
	ID         RequestID
	Account    ClientAccountID
	Model      ModelID
	Adapter    string
	Prompt     string // Canonical text of all messages; the prefix cache works on its bytes.
	Chat       bool   // Answer in the chat form of the API.
	Stream     bool
	MaxTokens  int
	Priority   Priority
	Deadline   time.Time // The caller gains nothing from a first token after it.
	ResumeFrom int       // Index of the first token to generate; tokens before it were delivered.

	// PinnedWeights restricts the choice to engines that serve these weights. It
	// is set once a token was delivered; empty leaves the weights open.
	PinnedWeights WeightsVersion
}

// IsContinuation reports whether an earlier run of the request delivered output, so
// that no refusal may say NotRun of it.
func (r Request) IsContinuation() bool { return r.ResumeFrom > 0 || r.PinnedWeights != "" }

// EstimatePromptTokens estimates the tokens of n bytes of prompt.
func EstimatePromptTokens(n, bytesPerToken int) int {
	if bytesPerToken <= 0 {
		return n
	}
	return (n + bytesPerToken - 1) / bytesPerToken
}

// Token is one generated token of a stream.
type Token struct {
	Index int // Position in the whole answer, from 0.
	Text  string
}

// Usage counts the tokens of one finished request.
type Usage struct {
	PromptTokens     int
	CachedTokens     int // Prompt tokens that the engine found in its cache.
	CompletionTokens int
}

// Finish ends a stream.
type Finish struct {
	Reason string // As in the OpenAI API, for instance "stop" or "length".
	Usage  Usage
}
