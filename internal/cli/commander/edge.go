package commander

import (
	"context"
	"errors"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/rs/zerolog"

	"github.com/heatherslip/heatherslip/internal/edge/recorder"
	"github.com/heatherslip/heatherslip/internal/edge/starter"
	"github.com/heatherslip/heatherslip/internal/wire/eventer"
	"github.com/heatherslip/heatherslip/platform"
)

const (
	// heapGrowth is how much the heap grows between collections, in percent:
	// memory is dearer on the platform than the processor time that it saves.
	heapGrowth = 50
	// memoryShare is the part of the platform's limit that the collector keeps
	// below.
	memoryShare = 0.5
)

type edgeCmd struct {
	Settings string `help:"Settings file of the platform; by default the one that the platform names in the environment." type:"path"`
	Metrics  int    `help:"Port that serves meters at /metrics on the instance's address, beside the peers' port." default:"0"`
	Level    string `help:"Lowest level that is logged." enum:"debug,info,warn" default:"debug" env:"HEATHERSLIP_LOG"`
}

// Run runs an entry instance on the users' platform until SIGTERM.
func (c *edgeCmd) Run(s *screen) error {
	// A hang-up ends a process that has not asked for it yet.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	lines := recorder.New(s.out)
	defer lines.Close()
	level, err := zerolog.ParseLevel(c.Level)
	if err != nil {
		return fail(ExitUsage, err)
	}
	zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMs
	log := zerolog.New(lines).Level(level).With().Timestamp().Logger()
	if c.Settings == "" {
		c.Settings = os.Getenv(platform.SettingsVariable)
	}
	settings, err := platform.LoadSettings(c.Settings)
	if err != nil {
		log.Error().Int("event", int(eventer.SettingsBad)).Err(err).Msg(eventer.SettingsBad.Name())
		return fail(ExitUsage, errors.New("settings are refused"))
	}
	debug.SetGCPercent(heapGrowth)
	if settings.MemoryLimit > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(settings.MemoryLimit)))
	}
	instance, err := starter.New(settings, starter.Options{SettingsPath: c.Settings, MetricsPort: c.Metrics}, lines, log)
	if err != nil {
		return fail(ExitFailed, err)
	}
	defer instance.Close()
	c.wait(s.ctx, hangups, instance)
	instance.Drain()
	return nil
}

// wait reloads the settings at each SIGHUP until the context ends.
func (c *edgeCmd) wait(ctx context.Context, hangups <-chan os.Signal, instance *starter.Instance) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			instance.ReloadSettings()
		}
	}
}
