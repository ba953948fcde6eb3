package rctoml

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestCheck guards against an invalid value that is accepted, that is reported for
// the field of the same name in another table, or that suppresses later diagnostics.
func TestCheck(t *testing.T) {
	got := map[string]any{}
	field := func(path string, required bool) Field {
		return Field{Path: path, Want: "a number above 0", Fallback: "5", Required: required, Decode: func(v any) bool {
			n, ok := Number(v)
			if ok && n > 0 {
				got[path] = n
				return true
			}
			return false
		}}
	}
	fields := []Field{field("Top", true), field("A.Size", false), field("B.Size", false), field("B.Absent", false), field("B.Needed", true), field("C.Size", false)}
	diagnostics, err := Check("Top = 1\nC = 3\nUnknown = true\n[A]\nSize = 2.5\n\n[B]\n  Size = \"big\" # Size = 1\n", fields)
	require.NoError(t, err)
	require.Equal(t, map[string]any{"Top": 1.0, "A.Size": 2.5}, got)
	require.Equal(t, []Diagnostic{
		{Line: 8, Field: "B.Size", Want: "a number above 0", Fallback: "5"},
		{Field: "B.Needed", Want: "a number above 0", Required: true, Missing: true},
		{Line: 2, Field: "C", Want: "a table", Fallback: "5"},
	}, diagnostics)
	require.Equal(t, "B.Size: expected a number above 0; used instead: 5", diagnostics[0].String())
	require.Equal(t, "B.Needed is missing: expected a number above 0; the file is refused", diagnostics[1].String())
	_, err = Check("Top = 1\nA = ", fields)
	require.ErrorContains(t, err, "line 2")
}

// TestUnknownFields guards against misspelt fields that are silently ignored.
func TestUnknownFields(t *testing.T) {
	diagnostics, err := UnknownFields("Top = 1\n[A]\nSize = 1\nSiez = 2\n[A.Env]\nX = 1\n[D]\nE = 1\n", []string{"Top", "A.Size", "A.Env"})
	require.NoError(t, err)
	require.Equal(t, []Diagnostic{
		{Line: 4, Field: "A.Siez", Required: true},
		{Line: 7, Field: "D", Required: true},
	}, diagnostics)
	require.Equal(t, "A.Siez is unknown; the file is refused", diagnostics[0].String())
}

// TestNumber guards against infinite timeouts and limits, and against values of
// another type.
func TestNumber(t *testing.T) {
	for _, text := range []string{"inf", "-inf", "nan", `"1"`, "true"} {
		diagnostics, err := Check("N = "+text, []Field{{Path: "N", Decode: func(v any) bool { _, ok := Number(v); return ok }}})
		require.NoError(t, err)
		require.Len(t, diagnostics, 1, text)
	}
}
