package rcfront

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestEachElement guards against elements that are split or joined in another way than
// encoding/json does.
func TestEachElement(t *testing.T) {
	for _, text := range []string{
		`[]`, ` [ ] `, `[1]`, `[1,2]`, `[ "a,b" , "c]\"[" , "\\" ]`, `[[1,[2,3]],{"a":[4,{"b":"},]"}]},null]`, "[\n{},\t{}\r\n]", `["\\\"",","]`,
	} {
		var want []json.RawMessage
		require.NoError(t, json.Unmarshal([]byte(text), &want))
		got := []json.RawMessage{}
		require.NoError(t, eachElement([]byte(text), func(e []byte) error {
			got = append(got, e)
			return nil
		}))
		require.Equal(t, want, got, text)
	}
}

// TestChatPrompt guards against chats whose text differs between the forms of the API, and
// malformed chats that are accepted.
func TestChatPrompt(t *testing.T) {
	for text, want := range map[string]string{
		`null`: "", `[]`: "", `[{}]`: "<||>\n",
		`[{"role":"user","content":"a\n]"},{"role":"b","content":[{"type":"text","text":"c"},{"type":"text","text":",d"}]}]`: "<|user|>a\n]\n<|b|>c,d\n",
	} {
		var body completionRequest
		require.NoError(t, json.Unmarshal([]byte(`{"messages":`+text+`}`), &body), text)
		require.Equal(t, want, string(body.Messages))
	}
	for _, text := range []string{`{}`, `"a"`, `[1]`, `[{"content":1}]`, `[{"content":[0]}]`, `[{"content":[{"type":"image"}]}]`} {
		require.Error(t, json.Unmarshal([]byte(`{"messages":`+text+`}`), new(completionRequest)), text)
	}
}

// TestMemoryOfText guards against reservations below what decoded and encoded text holds.
func TestMemoryOfText(t *testing.T) {
	invalid := `{"prompt":"` + strings.Repeat("\xff", 10_000) + `"}`
	var body completionRequest
	require.NoError(t, json.Unmarshal([]byte(invalid), &body))
	require.GreaterOrEqual(t, decodedBytes([]byte(invalid)), int64(2*len(body.Prompt)))
	for _, prompt := range []string{strings.Repeat("\n", 1000), strings.Repeat(`"`, 1000), strings.Repeat(`\`, 1000), strings.Repeat("<|", 1000)} {
		var b strings.Builder
		e := json.NewEncoder(&b)
		e.SetEscapeHTML(false)
		require.NoError(t, e.Encode(prompt))
		require.GreaterOrEqual(t, encodedBytes(prompt), int64(b.Len()))
	}
}
