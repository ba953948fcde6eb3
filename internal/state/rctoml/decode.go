package rctoml

import (
	"math"
	"slices"
)

// Number converts a TOML integer or finite float.
func Number(v any) (n float64, ok bool) {
	switch v := v.(type) {
	case int64:
		return float64(v), true
	case float64:
		return v, !math.IsInf(v, 0) && !math.IsNaN(v)
	}
	return 0, false
}

// PositiveAtMost accepts a number above 0 and at most limit.
func PositiveAtMost(limit float64) func(any) bool {
	return func(v any) bool {
		n, ok := Number(v)
		return ok && n > 0 && n <= limit
	}
}

// NonEmptyString stores a string and accepts it if it is not empty.
func NonEmptyString(to *string) func(any) bool {
	return func(v any) bool {
		*to, _ = v.(string)
		return *to != ""
	}
}

// ParsedString accepts a string that parse accepts, and stores the result.
func ParsedString[T any](to *T, parse func(string) (T, error)) func(any) bool {
	return func(v any) bool {
		text, _ := v.(string)
		parsed, err := parse(text)
		if err == nil {
			*to = parsed
		}
		return err == nil
	}
}

// StringList accepts an array of strings. If any allowed strings are given, each
// element must be one of them.
func StringList(allowed ...string) func(any) bool {
	return func(v any) bool {
		list, ok := v.([]any)
		for _, element := range list {
			s, isString := element.(string)
			ok = ok && isString && (len(allowed) == 0 || slices.Contains(allowed, s))
		}
		return ok
	}
}

// HasType accepts a value that the TOML decoder represents by type T.
func HasType[T any](v any) bool {
	_, ok := v.(T)
	return ok
}
