package rcsse

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "github.com/radishcrank/radishcrank/internal/testing/rcseed"
)

// splitReader returns the data in reads of the given sizes, then the remainder.
type splitReader struct {
	rest  []byte
	sizes []int
}

func (s *splitReader) Read(p []byte) (int, error) {
	if len(s.rest) == 0 {
		return 0, io.EOF
	}
	n := len(s.rest)
	if len(s.sizes) > 0 {
		n, s.sizes = min(n, s.sizes[0]), s.sizes[1:]
	}
	n = copy(p, s.rest[:n])
	s.rest = s.rest[n:]
	return n, nil
}

// Checks that events do not change, merge or disappear depending on where the
// network splits the stream or which line terminator the engine uses.
func TestReaderIgnoresSplits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		eol := rapid.SampledFrom([]string{"\n", "\r\n", "\r"}).Draw(t, "eol")
		lines := rapid.SliceOfN(rapid.StringMatching(`[ -~]{1,40}`), 1, 20).Draw(t, "lines")
		var raw bytes.Buffer
		for _, l := range lines {
			raw.WriteString(": comment" + eol + "id: r/1" + eol + "data: " + l + eol + "data:" + l + eol + eol)
		}
		sizes := rapid.SliceOfN(rapid.IntRange(1, 9), 0, 200).Draw(t, "sizes")
		r := NewReader(&splitReader{rest: raw.Bytes(), sizes: sizes})
		for _, l := range lines {
			e, err := r.Next()
			require.NoError(t, err)
			require.Equal(t, "r/1", e.ID)
			require.Equal(t, l+"\n"+strings.TrimPrefix(l, " "), string(e.Data))
		}
		_, err := r.Next()
		require.ErrorIs(t, err, io.EOF)
	})
}

// Checks that an event truncated by a broken connection is not returned as complete.
func TestReaderDropsUnfinishedEvent(t *testing.T) {
	r := NewReader(strings.NewReader("data: a\n\ndata: b\n"))
	e, err := r.Next()
	require.NoError(t, err)
	require.Equal(t, "a", string(e.Data))
	_, err = r.Next()
	require.ErrorIs(t, err, io.EOF)
}

// Checks that a line or an event that never ends does not use unbounded memory.
func TestReaderBoundsMemory(t *testing.T) {
	_, err := NewReader(strings.NewReader("data: " + strings.Repeat("x", MaxLineBytes))).Next()
	require.ErrorIs(t, err, ErrLineTooLong)
	_, err = NewReader(strings.NewReader(strings.Repeat("data: "+strings.Repeat("x", 1000)+"\n", 2000))).Next()
	require.ErrorIs(t, err, ErrEventTooLong)
}

// Checks that arbitrary input causes no panic and that the result does not depend on
// the sizes of the reads.
func FuzzReader(f *testing.F) {
	f.Add([]byte("data: a\r\n\r\nid: 1\ndata: b\n\n"))
	f.Add([]byte("\xef\xbb\xbfdata:x\r\rdata"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		whole, bytewise := NewReader(bytes.NewReader(raw)), NewReader(iotest.OneByteReader(bytes.NewReader(raw)))
		for {
			a, errA := whole.Next()
			b, errB := bytewise.Next()
			require.Equal(t, errA, errB)
			require.Equal(t, a, b)
			if errA != nil {
				require.True(t, errors.Is(errA, io.EOF))
				return
			}
		}
	})
}

// Checks that the hand-written encoder produces the same output as encoding/json.
func TestTokenEncoderMatchesJSON(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := string(rapid.OneOf(rapid.SliceOf(rapid.Byte()), rapid.Custom(func(t *rapid.T) []byte {
			return []byte(rapid.String().Draw(t, "s"))
		})).Draw(t, "text"))
		want, err := json.Marshal(text)
		require.NoError(t, err)
		require.Equal(t, string(want), string(AppendJSONString(nil, text)))

		chat, index := rapid.Bool().Draw(t, "chat"), rapid.IntRange(0, 2).Draw(t, "index")
		event, err := NewReader(bytes.NewReader(NewTokenEncoder("req-1", `m"1`, 7, chat).Append(nil, index, text))).Next()
		require.NoError(t, err)
		type delta struct {
			Role    string `json:"role,omitempty"`
			Content string `json:"content"`
		}
		type choice struct {
			Index  int     `json:"index"`
			Text   *string `json:"text,omitempty"`
			Delta  *delta  `json:"delta,omitempty"`
			Finish *string `json:"finish_reason"`
		}
		c, object := choice{Text: &text}, "text_completion"
		if chat {
			c, object = choice{Delta: &delta{Content: text}}, "chat.completion.chunk"
			if index == 0 {
				c.Delta.Role = "assistant"
			}
		}
		want, err = json.Marshal(struct {
			ID      string   `json:"id"`
			Object  string   `json:"object"`
			Created int      `json:"created"`
			Model   string   `json:"model"`
			Choices []choice `json:"choices"`
		}{"req-1", object, 7, `m"1`, []choice{c}})
		require.NoError(t, err)
		require.Equal(t, string(want), string(event.Data))
	})
}
