package rcconfig

import (
	"errors"
	"fmt"
	"math"
	"reflect"
	"strconv"
	"strings"
	"time"
)

// ValueKind is the type of a setting's value.
type ValueKind string

// Kinds of values.
const (
	KindCount    ValueKind = "Count"    // Whole number.
	KindNumber   ValueKind = "Number"   // Decimal number.
	KindDuration ValueKind = "Duration" // Number with unit, as in "250ms" or "72h".
	KindSize     ValueKind = "Size"     // Whole number with unit B, KiB, MiB or GiB.
	KindFlag     ValueKind = "Flag"     // "true" or "false".
)

// sizeUnits is sorted from the largest to the smallest unit, so that formatSize
// chooses the largest one that divides a size, and "B" is tried last in parsing.
var sizeUnits = []struct {
	suffix string
	bytes  int64
}{
	{"GiB", 1 << 30},
	{"MiB", 1 << 20},
	{"KiB", 1 << 10},
	{"B", 1},
}

func (k ValueKind) parse(text string) (any, error) {
	switch k {
	case KindCount:
		n, err := strconv.ParseInt(text, 10, 32)
		if err != nil {
			return nil, errors.New("the value must be a whole number")
		}
		return n, nil
	case KindNumber:
		return parseNumber(text)
	case KindDuration:
		return parseDuration(text)
	case KindSize:
		return parseSize(text)
	case KindFlag:
		return parseFlag(text)
	}
	return nil, fmt.Errorf("the kind %q is unknown", k)
}

func parseNumber(text string) (float64, error) {
	f, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsInf(f, 0) || math.IsNaN(f) {
		return 0, errors.New("the value must be a decimal number")
	}
	return f, nil
}

func parseDuration(text string) (time.Duration, error) {
	// time.ParseDuration accepts 0 without a unit.
	last := len(text) - 1
	d, err := time.ParseDuration(text)
	if err != nil || (text[last] >= '0' && text[last] <= '9') {
		return 0, errors.New(`the value must be a duration with a unit, for instance "250ms", "5s" or "72h"`)
	}
	return d, nil
}

func parseSize(text string) (int64, error) {
	for _, u := range sizeUnits {
		digits, ok := strings.CutSuffix(text, u.suffix)
		if !ok {
			continue
		}
		n, err := strconv.ParseInt(strings.TrimSpace(digits), 10, 64)
		if err != nil || n < 0 || n > math.MaxInt64/u.bytes {
			break
		}
		return n * u.bytes, nil
	}
	return 0, errors.New(`the value must be a size with a unit, for instance "64KiB" or "8MiB"`)
}

func parseFlag(text string) (bool, error) {
	switch text {
	case "true":
		return true, nil
	case "false":
		return false, nil
	}
	return false, errors.New(`the value must be "true" or "false"`)
}

// format is the inverse of parse.
func (k ValueKind) format(v any) string {
	switch k {
	case KindNumber:
		return strconv.FormatFloat(reflect.ValueOf(v).Float(), 'g', -1, 64)
	case KindDuration:
		return formatDuration(v.(time.Duration))
	case KindSize:
		return formatSize(reflect.ValueOf(v).Int())
	}
	return fmt.Sprint(v)
}

// formatDuration omits trailing zero components, so 72h0m0s becomes 72h.
func formatDuration(d time.Duration) string {
	s := d.String()
	if strings.HasSuffix(s, "m0s") {
		s = strings.TrimSuffix(s, "0s")
	}
	if strings.HasSuffix(s, "h0m") {
		s = strings.TrimSuffix(s, "0m")
	}
	return s
}

func formatSize(n int64) string {
	for _, u := range sizeUnits {
		if n%u.bytes == 0 && n >= u.bytes {
			return strconv.FormatInt(n/u.bytes, 10) + u.suffix
		}
	}
	return "0B"
}

// toFloat64 converts a value for the comparison with its bounds. Durations up to 104
// days and sizes up to 8 PiB are represented exactly.
func toFloat64(v any) float64 {
	r := reflect.ValueOf(v)
	switch {
	case r.CanInt():
		return float64(r.Int())
	case r.CanFloat():
		return r.Float()
	}
	return 0
}
