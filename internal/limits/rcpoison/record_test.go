package rcpoison

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/radishcrank/radishcrank"
)

// TestKeyOfBody guards against a content that has another key when its body is not copied
// into the prompt, so that verdicts of earlier instances would be lost.
func TestKeyOfBody(t *testing.T) {
	r := radishcrank.Request{Account: "a", Model: "m", Prompt: "POST /x\nbody"}
	split := r
	split.Prompt, split.PromptBody = "POST /x\n", []byte("body")
	require.Equal(t, KeyOf(r), KeyOf(split))
	require.Equal(t, hash("a", "m", "", "POST /x\nbody"), KeyOf(split))
	split.PromptBody = []byte("other")
	require.NotEqual(t, KeyOf(r), KeyOf(split))
}
