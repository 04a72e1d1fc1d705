package commander

import (
	"context"
	"io"
	"time"

	"github.com/rs/zerolog"

	"github.com/heatherslip/heatherslip/internal/config/checker"
	"github.com/heatherslip/heatherslip/internal/edge/server"
	"github.com/heatherslip/heatherslip/internal/standin/emulator"
	"github.com/heatherslip/heatherslip/internal/wire/eventer"
)

type serveCmd struct {
	Settings string        `help:"Settings file." required:"" type:"path"`
	Drain    time.Duration `help:"How long a stop waits for work in flight." default:"60s"`
}

// Run serves until a signal comes, and then drains.
func (c *serveCmd) Run(_ *root, s *screen) error {
	log := zerolog.New(s.out).With().Timestamp().Logger()
	settings, err := checker.Check(c.Settings)
	if err != nil {
		log.Error().Int("event", int(eventer.SettingsBad)).Msg(eventer.SettingsBad.Name())
		return fail(ExitUsage, err)
	}
	d, err := server.NewDaemon(settings, log.Level(settings.Level))
	if err != nil {
		return fail(ExitFailed, err)
	}
	<-s.ctx.Done()
	ctx, cancel := context.WithTimeout(context.Background(), c.Drain)
	defer cancel()
	drained := d.Drain(ctx)
	if err := d.Close(); err != nil {
		return fail(ExitFailed, err)
	}
	if drained != nil {
		return fail(ExitFailed, drained)
	}
	return nil
}

type standinsRoot struct {
	Listen    string        `help:"Where the log and the list are served." default:"127.0.0.1:7070"`
	User      string        `help:"Whose platform: akademia or association." enum:"akademia,association" default:"akademia"`
	Workers   int           `help:"Workers in all." default:"48"`
	Minions   int           `help:"Minions in all." default:"48"`
	LogDelay  time.Duration `help:"How long a synced append takes." default:"5ms"`
	Retention time.Duration `help:"How long the log keeps records; 0 is for ever." default:"0s"`
}

// Run serves the stand-ins until a signal comes.
func (c *standinsRoot) Run(s *screen) error {
	site := emulator.AkademiaSite()
	if c.User == "association" {
		site = emulator.AssociationSite()
	}
	site.Workers, site.Minions, site.LogDelay = c.Workers, c.Minions, c.LogDelay
	p, err := emulator.New(c.Listen, site)
	if err != nil {
		return fail(ExitFailed, err)
	}
	defer p.Close()
	p.SetFaults(emulator.FaultBody{Name: "log", Log: &emulator.LogFaults{
		DelayMillis: int(c.LogDelay / time.Millisecond), KeepMillis: int(c.Retention / time.Millisecond),
	}})
	<-s.ctx.Done()
	return nil
}

// Standins runs the stand-ins and returns the exit code.
func Standins(args []string, out, errs io.Writer) int {
	var r standinsRoot
	return run(&r, "standins", "Stand-ins of the platform and the services.", args, out, errs, func(*screen) {})
}
