// Command radishcrankd runs one router instance.
package main

import (
	"os"

	"github.com/radishcrank/radishcrank/internal/cli/rcserve"
)

func main() { os.Exit(rcserve.Main(os.Args[1:], os.Stdout, os.Stderr)) }
