package rccrowd

import (
	"fmt"
	"os"
	"testing"
)

// buildDir holds the program under test.
var buildDir string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "rccrowd")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	buildDir = dir
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}
