// Package commander implements two command lines: heatherslip, which runs entry
// instances and is the operators' client, and standins, which runs the emulated
// platform.
package commander

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"github.com/heatherslip/heatherslip/internal/cli/client"
	"github.com/heatherslip/heatherslip/internal/wire/namer"
)

// Exit codes.
const (
	ExitOK = 0
	// ExitFailed means that the command, or the job or request that it submitted,
	// failed.
	ExitFailed = 1
	// ExitUsage means that settings, questionnaire answers or arguments are
	// invalid.
	ExitUsage = 2
	// ExitRefused means that the instance refused the call and ran nothing.
	ExitRefused = 3
	// ExitUnknown means that the result is unknown: the work may have run.
	ExitUnknown = 4
	// ExitUnreachable means that the instance did not respond, and is also the
	// code of errors that carry no other.
	ExitUnreachable = 5
)

// exitError is an error that ends the program with the given exit code.
type exitError struct {
	code int
	err  error
}

func (e *exitError) Error() string { return e.err.Error() }
func (e *exitError) Unwrap() error { return e.err }

// withExitCode returns err with the exit code that the program ends with.
func withExitCode(code int, err error) error { return &exitError{code: code, err: err} }

// invocation holds the context and the outputs of one run of a command.
type invocation struct {
	ctx            context.Context
	stdout, stderr io.Writer
	// jsonOutput selects JSON instead of tables.
	jsonOutput bool
}

// rootCLI is the grammar of the heatherslip command line. kong derives the names
// of commands and flags from its fields.
type rootCLI struct {
	Server string `help:"Instance to call: IP number and port." default:"127.0.0.1:7080" env:"HEATHERSLIP_SERVER"`
	Token  string `help:"Bearer token of the calling team." env:"HEATHERSLIP_TOKEN"`
	Team   string `help:"Calling team, where it has no token." env:"HEATHERSLIP_TEAM"`
	JSON   bool   `help:"Print JSON for programs in place of tables." name:"json"`

	Serve     serveCmd     `cmd:"" help:"Run an entry instance. Example: heatherslip serve --settings e0.ini"`
	Edge      edgeCmd      `cmd:"" help:"Run an entry instance on the users' platform."`
	Demo      demoCmd      `cmd:"" help:"Show the main job on embedded stand-ins. Example: heatherslip demo"`
	Load      loadCmd      `cmd:"" help:"Drive embedded instances with a load scenario. Example: heatherslip load steady-akademia"`
	Form      formCmd      `cmd:"" help:"Print the blank questionnaire. Example: heatherslip form > answers.ini"`
	NewToken  tokenCmd     `cmd:"" name:"token" help:"Make a bearer token and its digest for the questionnaire."`
	Check     checkCmd     `cmd:"" help:"Check a questionnaire's answers. Example: heatherslip check answers.ini"`
	Generate  generateCmd  `cmd:"" help:"Show the configuration that answers give, each line with its answer."`
	Diff      diffCmd      `cmd:"" help:"Show how the configuration of two questionnaires differs."`
	Publish   publishCmd   `cmd:"" help:"Publish a questionnaire's configuration as the next revision."`
	Config    configCmd    `cmd:"" help:"Show the configuration in force and the history of revisions."`
	Service   serviceCmd   `cmd:"" help:"Create services, and list them."`
	Job       jobCmd       `cmd:"" help:"Submit, follow, fetch and cancel jobs."`
	Request   requestCmd   `cmd:"" help:"Send a request to a service. Example: heatherslip request order-desk --kind quote"`
	Instances instancesCmd `cmd:"" help:"List the entry instances."`
	Workers   workersCmd   `cmd:"" help:"List the workers that the instance sees."`
	Minions   minionsCmd   `cmd:"" help:"List the minions that the instance sees."`
	Explain   explainCmd   `cmd:"" help:"Print what the logs of instances say of one job. Example: heatherslip explain 5c0e7a21d94b36f8 e0.log e1.log"`
	Events    eventsCmd    `cmd:"" help:"Print the catalogue of logged events."`
	Evacuate  evacuateCmd  `cmd:"" help:"Have nothing more started in a failure domain, take that back, or list. Example: heatherslip evacuate radom"`
	Drain     drainCmd     `cmd:"" help:"Have the instance finish its work and leave."`
}

func (r *rootCLI) client() *client.Client {
	return client.New(r.Server, r.Token, namer.Team(r.Team))
}

// Main runs the heatherslip command that args name and returns its exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	var cli rootCLI
	return runCommand(&cli, "heatherslip", "A dispatcher for sub-second tasks.", args, stdout, stderr, func(inv *invocation) { inv.jsonOutput = cli.JSON })
}

// runCommand parses args according to grammar, runs the command that they name
// and returns its exit code. configure sets up the invocation from the parsed
// flags.
func runCommand(grammar any, name, description string, args []string, stdout, stderr io.Writer, configure func(*invocation)) int {
	parserExit := -1 // exit code that kong asks for, as --help does
	parser, err := kong.New(grammar, kong.Name(name), kong.Description(description), kong.UsageOnError(),
		kong.Writers(stdout, stderr), kong.Exit(func(code int) { parserExit = code }))
	if err != nil {
		fmt.Fprintln(stderr, err)
		return ExitUsage
	}
	command, err := parser.Parse(args)
	if parserExit >= 0 {
		return parserExit
	}
	if err != nil {
		fmt.Fprintln(stderr, name+":", err)
		return ExitUsage
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	inv := &invocation{ctx: ctx, stdout: stdout, stderr: stderr}
	configure(inv)
	return exitCode(command.Run(grammar, inv), name, stderr)
}

// exitCode prints err to stderr, unless its message is empty, and returns the
// exit code that it carries.
func exitCode(err error, name string, stderr io.Writer) int {
	if err == nil {
		return ExitOK
	}
	var exit *exitError
	if !errors.As(err, &exit) {
		exit = &exitError{code: ExitUnreachable, err: err}
	}
	if msg := exit.err.Error(); msg != "" {
		fmt.Fprintln(stderr, name+":", msg)
	}
	return exit.code
}
