// Package rcseed sets a fixed default for the seed of rapid, so that each run of a
// property test checks the same cases. Tests import it for its side effect. The flag
// -rapid.seed overrides the default.
package rcseed

import (
	"flag"

	_ "pgregory.net/rapid" // Registers the flag rapid.seed.
)

const seed = "20261203"

func init() {
	if err := flag.Set("rapid.seed", seed); err != nil {
		panic(err)
	}
}
