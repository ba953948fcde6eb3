// Package rcseed fixes the seed of property tests, so that each run checks the
// same cases. Tests import it for its effect; -rapid.seed still overrides it.
package rcseed

import (
	"flag"

	_ "pgregory.net/rapid" // Registers the flag that init sets.
)

const seed = "20261203"

func init() {
	if err := flag.Set("rapid.seed", seed); err != nil {
		panic(err)
	}
}
