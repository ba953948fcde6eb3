package rcpack

import (
	"testing"

	"github.com/stretchr/testify/require"
)

type older struct{ Name string }

type newer struct {
	Name  string
	Items []older
	Data  []byte
}

// Guards against program versions that cannot read each other's rows, because one
// of them has more fields.
func TestVersionsReadEachOther(t *testing.T) {
	data, err := Marshal(newer{Name: "a", Items: []older{{"b"}}, Data: []byte{1}})
	require.NoError(t, err)
	var o older
	require.NoError(t, Unmarshal(data, 10, &o))
	require.Equal(t, "a", o.Name)
	data, err = Marshal(o)
	require.NoError(t, err)
	var n newer
	require.NoError(t, Unmarshal(data, 10, &n))
	require.Equal(t, newer{Name: "a"}, n)
}

// Guards against a short input that makes an instance allocate gigabytes or recurse
// without bound.
func FuzzUnmarshal(f *testing.F) {
	data, err := Marshal(newer{Name: "a", Items: []older{{"b"}}, Data: []byte{1}})
	require.NoError(f, err)
	f.Add(data)
	f.Add([]byte("\x82\xa5Items\xdd\xff\xff\xff\xff\xa4Data\xc6\xff\xff\xff\xff"))
	f.Add([]byte("\x81\xa4Data\xc6\xff\xff\xff\xff"))
	f.Add([]byte("\xdf\xff\xff\xff\xff"))
	f.Fuzz(func(t *testing.T, data []byte) {
		var n newer
		if Unmarshal(data, 10, &n) == nil {
			require.LessOrEqual(t, len(n.Items), 10)
		}
	})
}
