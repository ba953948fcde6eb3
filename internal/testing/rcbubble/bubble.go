// Package rcbubble runs property tests in a testing/synctest bubble, which has a fake
// clock.
package rcbubble

import (
	"testing"
	"testing/synctest"
)

// Run runs f in a synctest bubble and propagates a panic of f to the caller. rapid
// reports a failed check by a panic, which it must see to shrink the failing case.
func Run(t *testing.T, f func()) {
	t.Helper()
	var panicked any
	synctest.Test(t, func(*testing.T) {
		defer func() { panicked = recover() }()
		f()
	})
	if panicked != nil {
		panic(panicked)
	}
}
