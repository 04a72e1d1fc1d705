// Package commander is the command line: the daemon's start and the operators'
// client.
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
	// ExitFailed says that the work, or what was asked for, has failed.
	ExitFailed = 1
	// ExitUsage says that settings, answers or arguments are wrong.
	ExitUsage = 2
	// ExitRefused says that the instance refused, and nothing was run.
	ExitRefused = 3
	// ExitUnknown says that it cannot be told whether the work has run.
	ExitUnknown = 4
	// ExitUnreachable says that no instance answered.
	ExitUnreachable = 5
)

// exit carries an exit code through the commands.
type exit struct {
	code int
	err  error
}

func (e *exit) Error() string { return e.err.Error() }
func (e *exit) Unwrap() error { return e.err }

func fail(code int, err error) error { return &exit{code: code, err: err} }

// screen is where a command writes.
type screen struct {
	ctx      context.Context
	out, err io.Writer
	// json is set where programs read the output.
	json bool
}

type root struct {
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
	Drain     drainCmd     `cmd:"" help:"Have the instance finish its work and leave."`
}

func (r *root) client() *client.Client {
	return client.New(r.Server, r.Token, namer.Team(r.Team))
}

// Main runs one command and returns its exit code.
func Main(args []string, out, errs io.Writer) int {
	var r root
	return run(&r, "heatherslip", "A dispatcher for sub-second tasks.", args, out, errs, func(s *screen) { s.json = r.JSON })
}

// run parses the arguments and runs the command that they name.
func run(grammar any, name, about string, args []string, out, errs io.Writer, prepare func(*screen)) int {
	exited := -1
	parser, err := kong.New(grammar, kong.Name(name), kong.Description(about), kong.UsageOnError(),
		kong.Writers(out, errs), kong.Exit(func(code int) { exited = code }))
	if err != nil {
		fmt.Fprintln(errs, err)
		return ExitUsage
	}
	call, err := parser.Parse(args)
	if exited >= 0 {
		return exited
	}
	if err != nil {
		fmt.Fprintln(errs, name+":", err)
		return ExitUsage
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	s := &screen{ctx: ctx, out: out, err: errs}
	prepare(s)
	return code(call.Run(grammar, s), name, errs)
}

func code(err error, name string, errs io.Writer) int {
	if err == nil {
		return ExitOK
	}
	var e *exit
	if !errors.As(err, &e) {
		e = &exit{code: ExitUnreachable, err: err}
	}
	if msg := e.err.Error(); msg != "" {
		fmt.Fprintln(errs, name+":", msg)
	}
	return e.code
}
