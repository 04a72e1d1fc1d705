// Command standins serves stand-ins of the platform, its workers and the services'
// minions, for development and tests.
package main

import (
	"os"

	"github.com/heatherslip/heatherslip/internal/cli/commander"
)

func main() {
	os.Exit(commander.StandinsMain(os.Args[1:], os.Stdout, os.Stderr))
}
