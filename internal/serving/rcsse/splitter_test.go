package rcsse

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestSplitterDependsOnReads guards against events whose ends are missed, or found at
// other places, because a read ended inside them.
func TestSplitterDependsOnReads(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		end := rapid.SampledFrom([]string{"\n", "\r\n", "\r"})
		text, ends := "", []int{}
		for range rapid.IntRange(0, 5).Draw(t, "events") {
			e := end.Draw(t, "end")
			if rapid.Bool().Draw(t, "comment") {
				text += ": c" + e
			}
			text += "id: 1" + e + "data: x" + e + e
			ends = append(ends, len(text))
		}
		rest := rapid.SampledFrom([]string{"", "id", "id: 2\n", ": c\n"}).Draw(t, "rest")
		text += rest
		var s Splitter
		var found []int
		for at := 0; at < len(text); {
			read := text[at : at+rapid.IntRange(1, len(text)-at).Draw(t, "read")]
			n, ended := s.Split([]byte(read))
			if at += n; ended {
				found = append(found, at)
			}
		}
		require.Equal(t, len(ends), len(found))
		for i := range ends {
			if found[i] != ends[i] {
				require.Equal(t, "\r\n", text[found[i]-1:ends[i]], "only the end of a line may be split")
			}
		}
		require.Equal(t, rest == "" || rest[0] == ':', s.BetweenEvents())
	})
}
