// Command standins serves stand-ins of the platform and the services.
package main

import (
	"os"

	"github.com/heatherslip/heatherslip/internal/cli/commander"
)

func main() {
	os.Exit(commander.Standins(os.Args[1:], os.Stdout, os.Stderr))
}
