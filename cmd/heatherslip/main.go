// Command heatherslip runs entry instances and is the operators' client.
package main

import (
	"os"

	"github.com/heatherslip/heatherslip/internal/cli/commander"
)

func main() {
	os.Exit(commander.Main(os.Args[1:], os.Stdout, os.Stderr))
}
