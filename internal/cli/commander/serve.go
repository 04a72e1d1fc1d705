package commander

import (
	"context"
	"io"
	"time"

	"github.com/rs/zerolog"

	"github.com/heatherslip/heatherslip/internal/config/settingsloader"
	"github.com/heatherslip/heatherslip/internal/edge/server"
	"github.com/heatherslip/heatherslip/internal/standin/emulator"
	"github.com/heatherslip/heatherslip/internal/wire/eventer"
)

type serveCmd struct {
	Settings string        `help:"Settings file." required:"" type:"path"`
	Drain    time.Duration `help:"How long a stop waits for work in flight." default:"60s"`
}

// Run runs an entry instance until it is signaled to stop, then drains it.
func (c *serveCmd) Run(_ *rootCLI, inv *invocation) error {
	log := zerolog.New(inv.stdout).With().Timestamp().Logger()
	settings, err := settingsloader.Load(c.Settings)
	if err != nil {
		log.Error().Int("event", int(eventer.SettingsRejected)).Msg(eventer.SettingsRejected.Name())
		return withExitCode(ExitUsage, err)
	}
	daemon, err := server.NewDaemon(settings, log.Level(settings.LogLevel))
	if err != nil {
		return withExitCode(ExitFailed, err)
	}
	<-inv.ctx.Done()
	ctx, cancel := context.WithTimeout(context.Background(), c.Drain)
	defer cancel()
	drainErr := daemon.Drain(ctx)
	if err := daemon.Close(); err != nil {
		return withExitCode(ExitFailed, err)
	}
	if drainErr != nil {
		return withExitCode(ExitFailed, drainErr)
	}
	return nil
}

// standinsCLI is the grammar of the standins command line.
type standinsCLI struct {
	Listen    string        `help:"Where the log and the list are served." default:"127.0.0.1:7070"`
	User      string        `help:"Whose platform: akademia or association." enum:"akademia,association" default:"akademia"`
	Workers   int           `help:"Workers in all." default:"48"`
	Minions   int           `help:"Minions in all." default:"48"`
	LogDelay  time.Duration `help:"How long a synced append takes." default:"5ms"`
	Retention time.Duration `help:"How long the log keeps records; 0 is for ever." default:"0s"`
}

// Run serves the stand-ins until the process is signaled to stop.
func (c *standinsCLI) Run(inv *invocation) error {
	site := emulator.AkademiaSite()
	if c.User == "association" {
		site = emulator.AssociationSite()
	}
	site.Workers, site.Minions, site.LogDelay = c.Workers, c.Minions, c.LogDelay
	platform, err := emulator.New(c.Listen, site)
	if err != nil {
		return withExitCode(ExitFailed, err)
	}
	defer platform.Close()
	platform.SetFaults(emulator.FaultBody{Name: "log", Log: &emulator.LogFaults{
		DelayMillis: int(c.LogDelay / time.Millisecond), RetentionMillis: int(c.Retention / time.Millisecond),
	}})
	<-inv.ctx.Done()
	return nil
}

// StandinsMain runs the stand-ins of the platform as args say and returns the exit
// code.
func StandinsMain(args []string, stdout, stderr io.Writer) int {
	var cli standinsCLI
	return runCommand(&cli, "standins", "Stand-ins of the platform and the services.", args, stdout, stderr, func(*invocation) {})
}
