// Command radishcrank operates a fleet of router instances.
package main

import (
	"os"

	"github.com/radishcrank/radishcrank/internal/cli/rccli"
)

func main() { os.Exit(rccli.Main(os.Args[1:], os.Stdout, os.Stderr)) }
