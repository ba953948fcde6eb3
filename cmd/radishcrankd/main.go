// Command radishcrankd runs one router instance. With --settings, it uses a boot settings
// file. As "radishcrankd platform", it uses the settings of the users' platform.
package main

import (
	"os"

	"github.com/radishcrank/radishcrank/internal/cli/rcnode"
	"github.com/radishcrank/radishcrank/internal/cli/rcserve"
)

func main() {
	if len(os.Args) == 2 && os.Args[1] == "platform" {
		os.Exit(rcnode.Main(os.Stdout, os.Stderr))
	}
	os.Exit(rcserve.Main(os.Args[1:], os.Stdout, os.Stderr))
}
