// Package rcbubble runs property tests in virtual time.
package rcbubble

import (
	"testing"
	"testing/synctest"
)

// Run runs f in a synctest bubble and passes on a panic of its goroutine. With
// it rapid, which ends a failed check by a panic, can shrink the failure.
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
