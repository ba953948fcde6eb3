package rctoml

import (
	"math"
	"slices"
)

// Number returns a TOML integer or finite float.
func Number(v any) (n float64, ok bool) {
	switch v := v.(type) {
	case int64:
		return float64(v), true
	case float64:
		return v, !math.IsInf(v, 0) && !math.IsNaN(v)
	}
	return 0, false
}

// PositiveAtMost reads a number above 0.
func PositiveAtMost(most float64) func(any) bool {
	return func(v any) bool {
		n, ok := Number(v)
		return ok && n > 0 && n <= most
	}
}

// NonEmptyString reads text that is not empty.
func NonEmptyString(to *string) func(any) bool {
	return func(v any) bool {
		*to, _ = v.(string)
		return *to != ""
	}
}

// ParsedString reads text that a function parses.
func ParsedString[T any](to *T, parse func(string) (T, error)) func(any) bool {
	return func(v any) bool {
		text, _ := v.(string)
		got, err := parse(text)
		if err == nil {
			*to = got
		}
		return err == nil
	}
}

// StringList reads a list of names, which must be among the allowed ones if there are any.
func StringList(allowed ...string) func(any) bool {
	return func(v any) bool {
		list, ok := v.([]any)
		for _, entry := range list {
			name, isName := entry.(string)
			ok = ok && isName && (len(allowed) == 0 || slices.Contains(allowed, name))
		}
		return ok
	}
}

// HasType reports whether a value has a type of TOML.
func HasType[T any](v any) bool {
	_, ok := v.(T)
	return ok
}
