package commander

import (
	"context"
	"errors"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/rs/zerolog"

	"github.com/heatherslip/heatherslip/internal/edge/logwriter"
	"github.com/heatherslip/heatherslip/internal/edge/starter"
	"github.com/heatherslip/heatherslip/internal/wire/eventer"
	"github.com/heatherslip/heatherslip/platform"
)

const (
	// gcPercent is the heap growth, in percent, that triggers a garbage
	// collection. It is below the default of 100 because memory costs more on
	// the platform than the CPU time that fewer collections would save.
	gcPercent = 50
	// memoryLimitFraction is the garbage collector's soft memory limit as a
	// fraction of the platform's memory limit.
	memoryLimitFraction = 0.5
)

type edgeCmd struct {
	Settings string `help:"Settings file of the platform; by default the one that the platform names in the environment." type:"path"`
	Metrics  int    `help:"Port that serves meters at /metrics on the instance's address, beside the peers' port." default:"0"`
	Apart    bool   `help:"Keep tasks that slow each other down on one worker apart." default:"true" negatable:""`
	Level    string `help:"Lowest level that is logged." enum:"debug,info,warn" default:"debug" env:"HEATHERSLIP_LOG"`
}

// Run runs an entry instance on the users' platform until SIGTERM.
func (c *edgeCmd) Run(inv *invocation) error {
	// Register for SIGHUP first: its default action terminates the process.
	sighups := make(chan os.Signal, 1)
	signal.Notify(sighups, syscall.SIGHUP)
	defer signal.Stop(sighups)
	logWriter := logwriter.New(inv.stdout)
	defer logWriter.Close()
	level, err := zerolog.ParseLevel(c.Level)
	if err != nil {
		return withExitCode(ExitUsage, err)
	}
	zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMs
	log := zerolog.New(logWriter).Level(level).With().Timestamp().Logger()
	if c.Settings == "" {
		c.Settings = os.Getenv(platform.SettingsVariable)
	}
	settings, err := platform.LoadSettings(c.Settings)
	if err != nil {
		log.Error().Int("event", int(eventer.SettingsRejected)).Err(err).Msg(eventer.SettingsRejected.Name())
		return withExitCode(ExitUsage, errors.New("invalid settings; see the log"))
	}
	debug.SetGCPercent(gcPercent)
	if settings.MemoryLimit > 0 {
		debug.SetMemoryLimit(int64(memoryLimitFraction * float64(settings.MemoryLimit)))
	}
	instance, err := starter.New(settings, starter.Options{SettingsPath: c.Settings, MetricsPort: c.Metrics, IgnoresInterference: !c.Apart}, logWriter, log)
	if err != nil {
		return withExitCode(ExitFailed, err)
	}
	defer instance.Close()
	c.reloadOnSIGHUP(inv.ctx, sighups, instance)
	instance.Drain()
	return nil
}

// reloadOnSIGHUP reloads the settings at each SIGHUP until ctx is done.
func (c *edgeCmd) reloadOnSIGHUP(ctx context.Context, sighups <-chan os.Signal, instance *starter.Instance) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-sighups:
			instance.ReloadSettings()
		}
	}
}
